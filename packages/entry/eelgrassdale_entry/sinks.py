"""Where answers go: a stream for a model service, a body for a plain one."""

import threading
from collections.abc import Callable
from http import HTTPStatus

from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.routing.frames import AnswerReader
from eelgrassdale.wire import Frame
from eelgrassdale_entry import answers
from eelgrassdale_entry.channel import Channel

# A whole answer up to this size is written by the server thread that waits
# for it, on a connection that stays open; it fits the kernel's send buffer.
SMALL_ANSWER_BYTES = 32 * 1024


class _ChannelSink:
    def __init__(self, *, channel: Channel) -> None:
        self.channel = channel

    def reserve(self, on_room: Callable[[], None]) -> int:
        """Reserve and return the bytes that may be asked for now."""
        return self.channel.reserve(on_room)

    def settle(self, *, reserved: int, received: int) -> None:
        """Turn a reservation into bytes that `write` will be given."""
        self.channel.settle(reserved=reserved, received=received)

    def delivered(self) -> int:
        """Return the bytes of the answer given to `write` so far."""
        return self.channel.written


class StreamSink(_ChannelSink):
    """Writes generated text as chunked JSON lines.

    The head is written with the first text, so that a failure before it still
    has its own HTTP status.
    """

    def __init__(self, *, channel: Channel) -> None:
        super().__init__(channel=channel)
        self._started = False

    def write(self, frame: Frame, data: bytes) -> None:
        """Add the next text."""
        self._start(frame.model_version or "")
        self.channel.write(data)

    def complete(self, frame: Frame, reader: AnswerReader) -> None:
        """Write the last line and the terminating chunk."""
        self._start(frame.model_version or "")
        self.channel.end(
            answers.end_line(
                length=reader.offset,
                digest=reader.hexdigest(),
                model_version=frame.model_version or "",
            )
        )

    def fail(self, error: ResultError, *, model_version: str = "") -> None:
        """Answer with an error, or break a stream that has begun."""
        if self._started:
            self.channel.end(answers.failed_line(error))
        else:
            self._started = True
            self.channel.end(answers.error_answer(self.channel.request_id, error))

    def _start(self, model_version: str) -> None:
        if not self._started:
            self._started = True
            self.channel.head(
                answers.stream_head(self.channel.request_id, model_version)
            )


class PlainSink(_ChannelSink):
    """Holds the answer of a plain service until it is whole or too large.

    A server thread waits in `wait` and writes a small answer itself. After
    `hand_over` the writer task writes everything.
    """

    def __init__(self, *, channel: Channel) -> None:
        super().__init__(channel=channel)
        self.status = int(HTTPStatus.OK)
        self.headers: dict[str, str] = {}
        self.error: ResultError | None = None
        self._lock = threading.Lock()
        self._decided = threading.Event()
        self._handed_over = False
        self._head_written = False
        self._is_whole = False

    def wait(self, seconds: float) -> bool:
        """Wait until the answer is whole, too large or failed."""
        return self._decided.wait(seconds)

    def whole_body(self) -> bytes | None:
        """Return the body of a whole small answer and free it, else None."""
        with self._lock:
            if not self._is_whole or self._handed_over:
                return None
        if self.channel.held() > SMALL_ANSWER_BYTES:
            return None
        return self.channel.take_all()

    def hand_over(self) -> None:
        """Let the writer task write the answer from now on."""
        with self._lock:
            self._handed_over = True
        self._write_head()

    def write(self, frame: Frame, data: bytes) -> None:
        """Add the next part of the body."""
        self._note(frame)
        self.channel.write(data)
        if self.channel.held() > SMALL_ANSWER_BYTES:
            self._decide()

    def complete(self, frame: Frame, reader: AnswerReader) -> None:
        """Note that the body is whole."""
        self._note(frame)
        with self._lock:
            self._is_whole = True
        self._decide()
        self.channel.end(answers.LAST_CHUNK)

    def fail(self, error: ResultError, *, model_version: str = "") -> None:
        """Answer with an error, or break a body that has begun."""
        with self._lock:
            begun = self._head_written
            self.error = error
        if begun:
            self.channel.end(b"")
            return
        self._decide()

    def _note(self, frame: Frame) -> None:
        if frame.http_status:
            self.status = frame.http_status
        if frame.headers:
            self.headers = answers.end_to_end(frame.headers)

    def _decide(self) -> None:
        self._decided.set()
        self._write_head()

    def _write_head(self) -> None:
        with self._lock:
            ready = self._handed_over and self._decided.is_set()
            if not ready or self._head_written:
                return
            self._head_written = True
            error = self.error
        if error is None:
            self.channel.head(answers.head(self.status, self._chunked_headers()))
            self.channel.wake(self.channel)
        else:
            request_id = self.channel.request_id
            self.channel.drop_text()
            self.channel.end(answers.error_answer(request_id, error))

    def _chunked_headers(self) -> dict[str, str]:
        return {
            **self.headers,
            "Transfer-Encoding": "chunked",
            **answers.result_headers(self.channel.request_id, ResultCode.OK),
        }
