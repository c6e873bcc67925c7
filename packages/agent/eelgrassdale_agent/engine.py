"""HTTP client of the model engine."""

import json
from collections.abc import Iterator

from attrs import frozen
from urllib3.exceptions import NewConnectionError, ProtocolError
from urllib3.exceptions import TimeoutError as HTTPTimeoutError
from urllib3.response import HTTPResponse

from eelgrassdale.admission.events import EngineReported
from eelgrassdale.jsondecoding import is_text, whole_number
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry.traces import TRACEPARENT
from eelgrassdale.validresponses import pool_manager
from eelgrassdale_agent.answers import PIECE_BYTES
from eelgrassdale_agent.backend import (
    EXCHANGE_ERRORS,
    BackendError,
    Exchange,
    connection_lost_error,
    json_bytes,
    read_bounded,
    read_error_excerpt,
)

CONTROL_TIMEOUT_SECONDS = 1.0
# A faulty engine may send bytes without end in place of a report.
MAX_CONTROL_BYTES = 64 * 1024
# A longer line cannot be a token; the limit bounds the memory of the line buffer.
MAX_LINE_BYTES = 64 * 1024
MAX_INDEX = 2**31 - 1
MAX_SHOWN_BYTES = 80

_CODE_BY_STATUS = {
    400: ResultCode.INVALID_REQUEST,
    409: ResultCode.MODEL_VERSION_UNAVAILABLE,
    413: ResultCode.REQUEST_TOO_LARGE,
    429: ResultCode.SERVER_BUSY,
    503: ResultCode.SERVER_LOADING,
}


@frozen(kw_only=True)
class GenerateRequest:
    """One `generate` call; `resume_from` is the index of the next token."""

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    model_version: str


@frozen(kw_only=True)
class Token:
    """One token, or the end marker, whose `index` is the number of tokens."""

    index: int
    text: str = ""
    is_end: bool = False


class EngineStream:
    """Token stream of one request, read by one thread."""

    def __init__(self, *, exchange: Exchange, response: HTTPResponse) -> None:
        self._exchange = exchange
        self._response = response
        self.incarnation = response.headers.get("X-Engine-Incarnation", "")
        self.model_version = response.headers.get("X-Model-Version", "")

    def token_batches(self) -> Iterator[list[Token]]:
        """Yield batches of tokens that arrived together, the end marker last.

        Raises
        ------
        BackendError
            The stream broke, is malformed or has no end marker.

        """
        remainder = b""
        try:
            for piece in self._response.stream(PIECE_BYTES):
                *lines, remainder = (remainder + piece).split(b"\n")
                if len(remainder) > MAX_LINE_BYTES:
                    raise ValueError("line too long")
                if lines:
                    yield [_parse_token(line) for line in lines if line]
        except (*EXCHANGE_ERRORS, KeyError, TypeError, RecursionError) as exc:
            raise connection_lost_error(exc) from exc
        raise BackendError(
            ResultCode.BACKEND_FAILED,
            "the stream has no end line",
            is_connection_lost=True,
        )

    def abort(self) -> None:
        """Shut down the stream, from any thread."""
        self._exchange.abort()

    def close(self) -> None:
        """Close the connection."""
        self._exchange.close()


class EngineClient:
    """Client of one engine.

    Parameters
    ----------
    url : str
        URL of the engine.
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = pool_manager(
            maxsize=2, retries=False, timeout=CONTROL_TIMEOUT_SECONDS
        )

    def exchange(self, *, timeout_seconds: float) -> Exchange:
        """Return a new exchange for `generate`, which another thread may abort."""
        return Exchange(url=self._url, timeout_seconds=timeout_seconds)

    def generate(
        self, request: GenerateRequest, *, exchange: Exchange, traceparent: str
    ) -> EngineStream:
        """Start a request and return its stream.

        Raises
        ------
        BackendError
            The engine refused the request, cannot be reached or failed.

        """
        body = json_bytes(
            {
                "request_id": request.request_id,
                "prompt": request.prompt,
                "max_tokens": request.max_tokens,
                "priority": request.priority,
                "resume_from": request.resume_from,
                "model_version": request.model_version,
            }
        )
        headers = {"Content-Type": "application/json", TRACEPARENT: traceparent}
        response = exchange.send("POST", "/generate", body=body, headers=headers)
        if response.status != 200:
            code = _CODE_BY_STATUS.get(response.status, ResultCode.BACKEND_FAILED)
            raise BackendError(
                code, f"status {response.status} {read_error_excerpt(response)}"
            )
        return EngineStream(exchange=exchange, response=response)

    def cancel(self, request_id: str) -> bool:
        """Cancel a request and return whether the engine confirmed it."""
        body = json_bytes({"request_id": request_id})
        try:
            status, _ = self._call("POST", "/cancel", body=body)
        except EXCHANGE_ERRORS:
            return False
        return status == 200

    def load_report(self, *, now: float) -> EngineReported:
        """Return the load report, stamped with `now`, the time of the call.

        Raises
        ------
        BackendError
            `is_connection_lost` is set when the connection was refused or broke.

        """
        status, body = self._get_load()
        if status != 200:
            raise BackendError(
                ResultCode.BACKEND_FAILED, f"load report answered with status {status}"
            )
        return _parse_load_report(body, now)

    def _call(self, method: str, path: str, *, body: bytes = b"") -> tuple[int, bytes]:
        """Return status and body of a call that has a short answer."""
        response = self._pool.request(
            method, self._url + path, body=body, preload_content=False
        )
        return response.status, read_bounded(response, max_bytes=MAX_CONTROL_BYTES)

    def _get_load(self) -> tuple[int, bytes]:
        try:
            try:
                return self._call("GET", "/load")
            except ProtocolError:
                # The engine may close an idle connection at any time; only a
                # failure on a new one shows that the engine itself is unreachable.
                self._pool.clear()
                return self._call("GET", "/load")
        except NewConnectionError as exc:
            raise BackendError(
                ResultCode.NO_BACKEND_SERVER, repr(exc), is_connection_lost=True
            ) from exc
        except (TimeoutError, HTTPTimeoutError) as exc:
            raise BackendError(ResultCode.BACKEND_FAILED, repr(exc)) from exc
        except EXCHANGE_ERRORS as exc:
            raise connection_lost_error(exc) from exc


def _parse_token(line: bytes) -> Token:
    value = json.loads(line)
    if not isinstance(value, dict):
        raise TypeError(f"no token: {line[:MAX_SHOWN_BYTES]!r}")
    is_end = bool(value.get("end"))
    index = whole_number(value["tokens" if is_end else "i"], highest=MAX_INDEX)
    text = "" if is_end else value["t"]
    if not is_text(text):
        raise TypeError(f"no text: {line[:MAX_SHOWN_BYTES]!r}")
    return Token(index=index, text=text, is_end=is_end)


def _parse_load_report(body: bytes, now: float) -> EngineReported:
    try:
        value = json.loads(body)
        return EngineReported(
            now=now,
            incarnation=str(value["incarnation"]),
            sequence=int(value["sequence"]),
            model_version=str(value["model_version"] or ""),
            running=int(value["running"]),
            waiting=int(value["waiting"]),
            memory_used=int(value["memory_used"]),
            memory_limit=int(value["memory_limit"]),
            cold=bool(value["cold"]),
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
        raise BackendError(
            ResultCode.BACKEND_FAILED, f"malformed load report: {exc!r}"
        ) from exc
