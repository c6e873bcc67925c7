"""Streams that an entry node reads from one agent."""

import threading
from collections.abc import Callable

from attrs import define

from eelgrassdale.routing.frames import AnswerValidator, FrameVerdict
from eelgrassdale.wire import Frame
from eelgrassdale_entry.messages import Attempt, ResponseSink

StreamKey = tuple[str, int]
AcceptedFrames = list[tuple[FrameVerdict, Frame]]


@define(kw_only=True, eq=False)
class Stream:
    """The answer to one attempt; `reserved` is its window in the current poll."""

    attempt: Attempt
    reserved: int = 0

    @property
    def validator(self) -> AnswerValidator:
        """Position and digest of the answer."""
        return self.attempt.validator

    @property
    def sink(self) -> ResponseSink:
        """Receiver of the answer."""
        return self.attempt.request.sink

    def accept_frames(self, frames: list[Frame]) -> AcceptedFrames:
        """Accept and return the frames that continue the answer within the window."""
        accepted = []
        window_left = self.reserved
        for frame in frames:
            verdict = self.validator.check_frame(frame)
            if verdict is FrameVerdict.INVALID:
                # The head that goes with its data may not be sent.
                frame.data = b""
            data = frame.data or b""
            if verdict is FrameVerdict.DROP or len(data) > window_left:
                continue
            self.validator.accept(data)
            window_left -= len(data)
            accepted.append((verdict, frame))
        return accepted


class StreamTable:
    """Streams by request and attempt, shared by the two tasks of a link."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._streams: dict[StreamKey, Stream] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        with self._lock:
            return len(self._streams)

    def add(self, attempt: Attempt) -> None:
        """Add the stream of an accepted attempt."""
        with self._lock:
            self._streams[stream_key(attempt)] = Stream(attempt=attempt)

    def remove(self, attempt: Attempt) -> bool:
        """Remove the stream of an attempt; return whether there was one."""
        with self._lock:
            return self._streams.pop(stream_key(attempt), None) is not None

    def reserve_windows(self, on_window_free: Callable[[], None]) -> list[Stream]:
        """Reserve windows and return the streams that got one.

        `on_window_free` is called when one of the other readers, whose windows are
        full, has space again.
        """
        with self._lock:
            streams = list(self._streams.values())
        for stream in streams:
            stream.reserved = stream.sink.reserve(on_window_free)
        return [stream for stream in streams if stream.reserved]

    def remove_lost(self, *, keep_incarnation: int = 0) -> list[Stream]:
        """Remove and return the streams of all other incarnations of the agent."""
        with self._lock:
            lost = [
                key
                for key, stream in self._streams.items()
                if stream.validator.incarnation != keep_incarnation
            ]
            return [self._streams.pop(key) for key in lost]


def stream_key(attempt: Attempt) -> StreamKey:
    """Return the key by which the agent identifies an attempt."""
    return attempt.request.request_id, attempt.number
