"""HTTP client of the model engine."""

import json
from collections.abc import Iterator

import urllib3
from attrs import frozen
from urllib3.exceptions import NewConnectionError, ProtocolError
from urllib3.exceptions import TimeoutError as HTTPTimeoutError
from urllib3.response import BaseHTTPResponse, HTTPResponse

from eelgrassdale.admission.events import EngineReported
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry.traces import TRACEPARENT
from eelgrassdale_agent.answers import PIECE_BYTES
from eelgrassdale_agent.backend import (
    FAILURES,
    BackendError,
    Exchange,
    json_bytes,
    lost,
    short_body,
)

CONTROL_SECONDS = 1.0
# A longer line is not a token; it would only fill memory.
MAX_LINE_BYTES = 64 * 1024

_REFUSALS = {
    400: ResultCode.INVALID_REQUEST,
    409: ResultCode.MODEL_VERSION_UNAVAILABLE,
    413: ResultCode.REQUEST_TOO_LARGE,
    429: ResultCode.SERVER_BUSY,
    503: ResultCode.SERVER_LOADING,
}


@frozen(kw_only=True)
class GenerateRequest:
    """One call of the engine; `resume_from` is the index of the next token."""

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    model_version: str


@frozen(kw_only=True)
class Token:
    """One token, or the end of the answer with the number of tokens."""

    index: int
    text: str = ""
    is_end: bool = False


class EngineStream:
    """The tokens of one request, read by one thread."""

    def __init__(self, *, exchange: Exchange, answer: HTTPResponse) -> None:
        self._exchange = exchange
        self._answer = answer
        self.incarnation = answer.headers.get("X-Engine-Incarnation", "")
        self.model_version = answer.headers.get("X-Model-Version", "")

    def batches(self) -> Iterator[list[Token]]:
        """Yield the tokens that arrived together until the end of the answer.

        Raises
        ------
        BackendError
            The stream broke or is malformed.

        """
        rest = b""
        try:
            for piece in self._answer.stream(PIECE_BYTES):
                *lines, rest = (rest + piece).split(b"\n")
                if len(rest) > MAX_LINE_BYTES:
                    raise ValueError("line too long")
                if lines:
                    yield [_token_of(line) for line in lines if line]
        except (*FAILURES, KeyError, TypeError) as exc:
            raise lost(exc) from exc
        raise BackendError(
            ResultCode.BACKEND_FAILED, "the stream has no end line", is_lost=True
        )

    def abort(self) -> None:
        """End the stream from any thread."""
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
        self._pool = urllib3.PoolManager(
            maxsize=2, retries=False, timeout=CONTROL_SECONDS
        )

    def exchange(self, *, timeout_seconds: float) -> Exchange:
        """Return a fresh exchange for `generate`, which another thread may abort."""
        return Exchange(url=self._url, timeout_seconds=timeout_seconds)

    def generate(
        self, request: GenerateRequest, *, exchange: Exchange, traceparent: str
    ) -> EngineStream:
        """Start a request and return its stream.

        Raises
        ------
        BackendError
            The engine refused, cannot be reached or failed.

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
        answer = exchange.send("POST", "/generate", body=body, headers=headers)
        if answer.status != 200:
            code = _REFUSALS.get(answer.status, ResultCode.BACKEND_FAILED)
            raise BackendError(code, f"status {answer.status} {short_body(answer)}")
        return EngineStream(exchange=exchange, answer=answer)

    def cancel(self, request_id: str) -> bool:
        """Cancel a request and return whether the engine confirmed it."""
        body = json_bytes({"request_id": request_id})
        try:
            answer = self._pool.request("POST", f"{self._url}/cancel", body=body)
        except FAILURES:
            return False
        return answer.status == 200

    def load_report(self, *, now: float) -> EngineReported:
        """Return the load report, with `now` as the time of asking.

        Raises
        ------
        BackendError
            `is_lost` is set when the connection was refused or broke.

        """
        answer = self._get_load()
        if answer.status != 200:
            raise BackendError(ResultCode.BACKEND_FAILED, f"status {answer.status}")
        return _report_of(answer.data, now)

    def _get_load(self) -> BaseHTTPResponse:
        try:
            try:
                return self._pool.request("GET", f"{self._url}/load")
            except ProtocolError:
                # The engine may close an idle connection at any time; only a
                # fresh one tells whether the engine itself is gone.
                self._pool.clear()
                return self._pool.request("GET", f"{self._url}/load")
        except NewConnectionError as exc:
            raise BackendError(
                ResultCode.NO_BACKEND_SERVER, repr(exc), is_lost=True
            ) from exc
        except (TimeoutError, HTTPTimeoutError) as exc:
            raise BackendError(ResultCode.BACKEND_FAILED, repr(exc)) from exc
        except FAILURES as exc:
            raise lost(exc) from exc


def _token_of(line: bytes) -> Token:
    value = json.loads(line)
    if value.get("end"):
        return Token(index=int(value["tokens"]), is_end=True)
    return Token(index=value["i"], text=value["t"])


def _report_of(body: bytes, now: float) -> EngineReported:
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
    except (ValueError, KeyError, TypeError) as exc:
        raise BackendError(ResultCode.BACKEND_FAILED, f"load report: {exc!r}") from exc
