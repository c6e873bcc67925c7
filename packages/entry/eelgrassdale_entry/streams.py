"""The streams that an entry node reads from one agent."""

import threading
from collections.abc import Callable

from attrs import define

from eelgrassdale.routing.frames import AnswerReader, FrameVerdict
from eelgrassdale.wire import Frame
from eelgrassdale_entry.messages import AnswerSink, Attempt

StreamKey = tuple[str, int]
Judged = list[tuple[FrameVerdict, Frame]]


@define(kw_only=True, eq=False)
class Stream:
    """The answer to one attempt; `reserved` is the window of the poll under way."""

    attempt: Attempt
    reserved: int = 0

    @property
    def reader(self) -> AnswerReader:
        """Position and digest of the answer."""
        return self.attempt.reader

    @property
    def sink(self) -> AnswerSink:
        """Where the answer goes."""
        return self.attempt.request.sink

    def judge_all(self, frames: list[Frame]) -> Judged:
        """Accept the frames that continue the answer within the window."""
        kept = []
        room = self.reserved
        for frame in frames:
            verdict = self.reader.judge(frame)
            data = frame.data or b""
            if verdict is FrameVerdict.DROP or len(data) > room:
                continue
            self.reader.accept(data)
            room -= len(data)
            kept.append((verdict, frame))
        return kept


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
        """Start to read the answer to an accepted attempt."""
        with self._lock:
            self._streams[stream_key(attempt)] = Stream(attempt=attempt)

    def remove(self, attempt: Attempt) -> bool:
        """Stop reading; return whether the attempt was read until now."""
        with self._lock:
            return self._streams.pop(stream_key(attempt), None) is not None

    def reserve_windows(self, on_room: Callable[[], None]) -> list[Stream]:
        """Return the streams whose readers have room, each with its window.

        `on_room` is called when one of the others has room again.
        """
        with self._lock:
            streams = list(self._streams.values())
        for stream in streams:
            stream.reserved = stream.sink.reserve(on_room)
        return [stream for stream in streams if stream.reserved]

    def take_lost(self, *, keep_incarnation: int = 0) -> list[Stream]:
        """Remove and return the streams of all other lives of the agent."""
        with self._lock:
            lost = [
                key
                for key, stream in self._streams.items()
                if stream.reader.incarnation != keep_incarnation
            ]
            return [self._streams.pop(key) for key in lost]


def stream_key(attempt: Attempt) -> StreamKey:
    """Return the key under which the agent knows an attempt."""
    return attempt.request.request_id, attempt.number
