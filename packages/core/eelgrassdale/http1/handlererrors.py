"""Answers requests whose handler ends by an error that it does not handle."""

import asyncio
import contextlib
from collections.abc import Callable

import h11
import structlog

from eelgrassdale.http1.exchange import Exchange

# Says nothing of whether the request ran.
ERROR_STATUS = 500
ERROR_BODY = b"internal error\n"

log = structlog.get_logger(__name__)


async def answer_failed_handler(
    exchange: Exchange,
    exc: BaseException,
    *,
    request_id_header: str,
    is_closed: Callable[[], bool],
) -> None:
    """Log the error of a handler, and respond unless a response has begun.

    Errors of a connection to the caller that is closed are left to the connection.
    """
    if isinstance(exc, OSError | asyncio.CancelledError) and is_closed():
        return
    request_id = exchange.request.header(request_id_header)
    log.error(
        "handler failed",
        request=request_id,
        is_started=exchange.is_started,
        exc_info=exc,
    )
    if exchange.is_started or is_closed():
        return
    headers = (("content-type", "text/plain"),)
    if request_id:
        headers += ((request_id_header, request_id),)
    with contextlib.suppress(OSError, h11.LocalProtocolError):
        await exchange.respond(ERROR_STATUS, headers, ERROR_BODY)
