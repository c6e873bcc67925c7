"""Receivers of answers: streams of model services and bodies of plain ones."""

import threading
from collections.abc import Callable
from http import HTTPStatus

from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.routing.frames import AnswerValidator
from eelgrassdale.wire import Frame
from eelgrassdale_entry import responses
from eelgrassdale_entry.channel import Channel

# Complete responses up to this size are written by the server thread that waits for
# them, and the connection stays open; they fit the kernel's send buffer.
SMALL_ANSWER_BYTES = 32 * 1024


class _ChannelSink:
    def __init__(self, *, channel: Channel) -> None:
        self.channel = channel

    def reserve(self, on_window_free: Callable[[], None]) -> int:
        """Reserve and return the bytes that may be requested from the agent now."""
        return self.channel.reserve(on_window_free)

    def settle(self, *, reserved: int, received: int) -> None:
        """Replace a reservation by the bytes received, which `write` then adds."""
        self.channel.settle(reserved=reserved, received=received)

    def delivered_bytes(self) -> int:
        """Return the number of bytes passed to `write` so far."""
        return self.channel.written_bytes


class StreamSink(_ChannelSink):
    """Writes generated text as chunked JSON lines.

    The response head is written with the first text, so that an earlier failure can
    still set the HTTP status.
    """

    def __init__(self, *, channel: Channel) -> None:
        super().__init__(channel=channel)
        self._started = False

    def write(self, frame: Frame, data: bytes) -> None:
        """Add the next piece of text."""
        self._start_response(frame.model_version or "")
        self.channel.write(data)

    def complete(self, frame: Frame, validator: AnswerValidator) -> None:
        """Write the last line and the terminating chunk."""
        self._start_response(frame.model_version or "")
        self.channel.end(
            responses.final_line(
                length=validator.offset,
                digest=validator.hexdigest(),
                model_version=frame.model_version or "",
            )
        )

    def fail(self, error: ResultError, *, model_version: str = "") -> None:
        """Send an error response, or end a started stream with an error line."""
        if self._started:
            self.channel.end(responses.error_line(error))
        else:
            self._started = True
            self.channel.end(responses.error_response(self.channel.request_id, error))

    def _start_response(self, model_version: str) -> None:
        if not self._started:
            self._started = True
            self.channel.add_head(
                responses.stream_head(self.channel.request_id, model_version)
            )


class PlainSink(_ChannelSink):
    """Holds the response of a plain service until it is complete or too large.

    A server thread waits in `wait` and writes a small response itself. After
    `hand_over` the writer task writes everything.
    """

    def __init__(self, *, channel: Channel) -> None:
        super().__init__(channel=channel)
        self.status = int(HTTPStatus.OK)
        self.headers: dict[str, str] = {}
        self.error: ResultError | None = None
        self._lock = threading.Lock()
        self._ready = threading.Event()
        self._is_with_writer = False
        self._head_written = False
        self._is_complete = False

    def wait(self, seconds: float) -> bool:
        """Wait until the response is complete, too large or failed; else False."""
        return self._ready.wait(seconds)

    def pop_small_body(self) -> bytes | None:
        """Remove and return the body of a complete small response, else None."""
        with self._lock:
            if not self._is_complete or self._is_with_writer:
                return None
        if self.channel.held_bytes() > SMALL_ANSWER_BYTES:
            return None
        return self.channel.pop_body()

    def hand_over(self) -> None:
        """Make the writer task write the response from now on."""
        with self._lock:
            self._is_with_writer = True
        self._write_head()

    def write(self, frame: Frame, data: bytes) -> None:
        """Add the next part of the body."""
        self._record_head(frame)
        self.channel.write(data)
        if self.channel.held_bytes() > SMALL_ANSWER_BYTES:
            self._mark_ready()

    def complete(self, frame: Frame, validator: AnswerValidator) -> None:
        """Record that the body is complete."""
        self._record_head(frame)
        with self._lock:
            self._is_complete = True
        self._mark_ready()
        self.channel.end(responses.LAST_CHUNK)

    def fail(self, error: ResultError, *, model_version: str = "") -> None:
        """Send an error response, or truncate a body whose head was written."""
        with self._lock:
            begun = self._head_written
            self.error = error
        if begun:
            self.channel.end(b"")
            return
        self._mark_ready()

    def _record_head(self, frame: Frame) -> None:
        if frame.http_status:
            self.status = frame.http_status
        if frame.headers:
            self.headers = responses.end_to_end_headers(frame.headers)

    def _mark_ready(self) -> None:
        self._ready.set()
        self._write_head()

    def _write_head(self) -> None:
        with self._lock:
            ready = self._is_with_writer and self._ready.is_set()
            if not ready or self._head_written:
                return
            self._head_written = True
            error = self.error
        if error is None:
            self.channel.add_head(
                responses.response_head(self.status, self._chunked_headers())
            )
            self.channel.wake(self.channel)
        else:
            request_id = self.channel.request_id
            self.channel.discard_body()
            self.channel.end(responses.error_response(request_id, error))

    def _chunked_headers(self) -> dict[str, str]:
        return {
            **self.headers,
            "Transfer-Encoding": "chunked",
            **responses.result_headers(self.channel.request_id, ResultCode.OK),
        }
