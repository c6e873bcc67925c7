"""Tests of handlers that end by an error of their own."""

import asyncio

import pytest
from structlog.testing import capture_logs

from eelgrassdale.http1 import HttpServer

TEST_TIMEOUT_SECONDS = 5
REQUEST = b"GET /1 HTTP/1.1\r\nHost: a\r\nT-Request: r-1\r\n\r\n"
LAST_REQUEST = b"GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def exchange_bytes(handler, data):
    """Return what a server with this handler sends until it closes."""

    async def run():
        server = HttpServer(handler=handler, request_id_header="t-request")
        address = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*address)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                writer.write(data)
                received = await reader.read()
                assert server.active_requests == 0
                return received
        finally:
            writer.close()
            server.stop_listening()
            server.abort_all()

    return asyncio.run(run())


@pytest.mark.parametrize(
    "error", [KeyError("x"), ValueError("x"), OSError("x"), asyncio.CancelledError()]
)
def test_request_whose_handler_fails_is_answered(error):
    """Guards against a closed connection in place of a response."""

    async def handler(exchange):
        if exchange.request.target == "/1":
            raise error
        await exchange.respond(200, (), b"hello")

    with capture_logs() as logs:
        data = exchange_bytes(handler, REQUEST + LAST_REQUEST)
    first, _, second = data.partition(b"HTTP/1.1 200")
    assert first.startswith(b"HTTP/1.1 500")
    assert b"t-request: r-1\r\n" in first
    assert second.endswith(b"hello")
    errors = [line for line in logs if line["log_level"] == "error"]
    assert [(line["request"], bool(line["exc_info"])) for line in errors] == [
        ("r-1", True)
    ]


def test_response_that_has_begun_is_cut_off_when_its_handler_fails():
    """Guards against a partial response that looks complete."""

    async def handler(exchange):
        await exchange.start(200, ())
        await exchange.write(b"part")
        raise KeyError("x")

    with capture_logs() as logs:
        data = exchange_bytes(handler, REQUEST)
    assert b"part" in data
    assert b"0\r\n\r\n" not in data
    errors = [line for line in logs if line["log_level"] == "error"]
    assert [line["request"] for line in errors] == ["r-1"]
