"""Streams of the entry nodes: frames for many cursors with one long poll."""

import threading
from collections.abc import Callable, Iterable
from functools import partial

from attrs import define, field

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import InvariantMonitor
from eelgrassdale.wire import Cursor, Frame
from eelgrassdale_agent.answers import Answer

MAX_FRAME_BYTES = 256 * 1024
MAX_POLL_BYTES = 1024 * 1024
MAX_POLL_SECONDS = 5.0
# Answers to the polls of one entry node are at least this far apart while
# tokens arrive, so that tokens that are pending together share a message.
POLL_SPACING_SECONDS = 0.01
# After a wait the streams of one engine step get this long to arrive together.
# An answer that is complete does not wait.
POLL_GATHER_SECONDS = 0.003
# While a stream of the entry node has had no cursor yet, its polls return this
# soon, so that the first token does not wait for the end of a long poll.
NEW_STREAM_POLL_SECONDS = 0.01
# Afterwards the stream no longer shortens the polls; its reader may be full.
NEW_STREAM_SECONDS = 1.0
# A stream whose entry node does not poll for this time is abandoned.
ABANDON_SECONDS = 10.0
# A finished stream is kept this long after its last frame was sent, since the
# answer of the poll can be lost.
FINISHED_KEEP_SECONDS = 5.0
# A finished answer that is not asked for is kept this long. An entry node does
# not ask while its caller reads slowly, and cancels when it gives the caller up.
UNREAD_KEEP_SECONDS = 60.0
UTF8_CONTINUATION_MASK = 0xC0
UTF8_CONTINUATION = 0x80

StreamName = tuple[str, int]


@define(kw_only=True)
class Stream:
    """One reader of an answer: a request and attempt of one entry node."""

    name: StreamName
    sender: str
    sender_incarnation: int
    answer: Answer
    on_abandoned: Callable[[ResultCode], None]
    on_read: Callable[[], None]
    last_cursor: float
    ended_at: float | None = None


@define(kw_only=True)
class Sender:
    """An entry node: one condition for all its streams."""

    changed: threading.Condition = field(factory=threading.Condition)
    version: int = 0
    incarnation: int = 0
    last_poll: float = 0.0
    last_sent: float = 0.0
    unpolled: dict[StreamName, float] = field(factory=dict)

    def touch(self) -> None:
        """Wake the polls of this entry node."""
        with self.changed:
            self.version += 1
            self.changed.notify_all()


class StreamTable:
    """All streams of an agent.

    Parameters
    ----------
    incarnation : int
        Life of the agent, part of every frame.
    clock : Clock
        Source of the monotonic time.
    monitor : InvariantMonitor
        Checks the positions of the frames.
    max_streams : int
        Bound of the streams.
    """

    def __init__(
        self,
        *,
        incarnation: int,
        clock: Clock,
        monitor: InvariantMonitor,
        max_streams: int,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._monitor = monitor
        self._max_streams = max_streams
        self._lock = threading.Lock()
        self._streams: dict[StreamName, Stream] = {}
        self._senders: dict[str, Sender] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def is_full(self) -> bool:
        """Return whether no further stream can be opened."""
        return len(self._streams) >= self._max_streams

    def open(
        self,
        name: StreamName,
        *,
        sender: str,
        sender_incarnation: int,
        answer: Answer,
        on_abandoned: Callable[[ResultCode], None],
        on_read: Callable[[], None],
    ) -> None:
        """Add a reader of `answer`; a second one of the same name is ignored."""
        now = self._clock.monotonic()
        with self._lock:
            if name in self._streams:
                return
            owner = self._sender(sender, sender_incarnation, now)
            self._streams[name] = Stream(
                name=name,
                sender=sender,
                sender_incarnation=sender_incarnation,
                answer=answer,
                on_abandoned=on_abandoned,
                on_read=on_read,
                last_cursor=now,
            )
            owner.unpolled[name] = now
        answer.listen(owner.touch)
        owner.touch()

    def poll(
        self,
        cursors: Iterable[Cursor],
        *,
        sender: str,
        sender_incarnation: int,
        wait_seconds: float,
    ) -> list[Frame]:
        """Return the frames after the cursors, waiting until there is one."""
        started = self._clock.monotonic()
        deadline = started + min(wait_seconds, MAX_POLL_SECONDS)
        with self._lock:
            owner = self._sender(sender, sender_incarnation, started)
            owner.last_poll = started
        cursors = list(cursors)
        self._acknowledge(cursors, sender, owner, started)
        self._space_out(owner)
        waited = False
        while True:
            version = owner.version
            frames = self._frames(cursors, sender)
            now = self._clock.monotonic()
            if frames and waited and not any(frame.is_last for frame in frames):
                self._clock.sleep(POLL_GATHER_SECONDS)
                frames = self._frames(cursors, sender)
            if frames or now >= deadline:
                owner.last_sent = owner.last_poll = now
                return frames
            seconds = deadline - now
            if _has_new_stream(owner, now):
                seconds = min(seconds, NEW_STREAM_POLL_SECONDS)
                deadline = now + seconds
            with owner.changed:
                owner.changed.wait_for(
                    partial(_has_moved, owner, version), timeout=seconds
                )
            waited = True

    def cancel(self, name: StreamName, *, sender: str) -> None:
        """End a stream whose caller left."""
        with self._lock:
            stream = self._streams.get(name)
            if stream is None or stream.sender != sender:
                return
        self._drop([name], ResultCode.CALLER_CANCELLED)

    def sweep(self) -> int:
        """Drop finished and abandoned streams and return how many were dropped."""
        now = self._clock.monotonic()
        with self._lock:
            finished = [n for n, s in self._streams.items() if _is_over(s, now)]
            abandoned = [
                name
                for name, stream in self._streams.items()
                if self._is_abandoned(stream, now)
            ]
            used = {stream.sender for stream in self._streams.values()}
            for sender in [s for s in self._senders if s not in used]:
                if now - self._senders[sender].last_poll > ABANDON_SECONDS:
                    del self._senders[sender]
        self._drop(finished, ResultCode.OK)
        self._drop(abandoned, ResultCode.CALLER_CANCELLED)
        return len(finished) + len(abandoned)

    def unfinished(self) -> int:
        """Return the number of streams whose last frame was not sent yet."""
        with self._lock:
            return sum(s.ended_at is None for s in self._streams.values())

    def _sender(self, name: str, incarnation: int, now: float) -> Sender:
        sender = self._senders.get(name)
        if sender is None:
            sender = Sender(incarnation=incarnation, last_poll=now)
            self._senders[name] = sender
        elif incarnation > sender.incarnation:
            sender.incarnation = incarnation
        return sender

    def _acknowledge(
        self, cursors: list[Cursor], sender: str, owner: Sender, now: float
    ) -> None:
        for cursor in cursors:
            stream = self._streams.get((cursor.request_id, cursor.attempt))
            if stream is None or stream.sender != sender:
                continue
            stream.last_cursor = now
            owner.unpolled.pop(stream.name, None)
            stream.answer.acknowledge(cursor.offset)
            stream.on_read()

    def _space_out(self, owner: Sender) -> None:
        early = POLL_SPACING_SECONDS - (self._clock.monotonic() - owner.last_sent)
        if early > 0:
            self._clock.sleep(early)

    def _frames(self, cursors: list[Cursor], sender: str) -> list[Frame]:
        frames = []
        left = MAX_POLL_BYTES
        for cursor in cursors:
            frame = self._frame(cursor, sender, left)
            if frame is not None:
                frames.append(frame)
                left -= len(frame.data)
        return frames

    def _frame(self, cursor: Cursor, sender: str, left: int) -> Frame | None:
        stream = self._streams.get((cursor.request_id, cursor.attempt))
        if stream is None or stream.sender != sender:
            return self._failure(cursor, ResultCode.OUTCOME_UNKNOWN)
        answer = stream.answer
        finished = answer.finished
        wanted = min(cursor.window_bytes, MAX_FRAME_BYTES, left)
        data = answer.read(cursor.offset, max(0, wanted))
        if answer.is_text and cursor.offset + len(data) < answer.end:
            data = whole_characters(data)
        end = cursor.offset + len(data)
        is_last = finished is not None and end == answer.end
        if not data and not is_last:
            return self._lost_position(cursor, answer)
        if is_last:
            stream.ended_at = stream.ended_at or self._clock.monotonic()
        return self._new_frame(cursor, answer, data, is_last)

    def _lost_position(self, cursor: Cursor, answer: Answer) -> Frame | None:
        if answer.base <= cursor.offset <= answer.end:
            return None
        return self._failure(cursor, ResultCode.ANSWER_TRUNCATED)

    def _new_frame(
        self, cursor: Cursor, answer: Answer, data: bytes, is_last: bool
    ) -> Frame:
        result = answer.finished if is_last else answer.head
        return Frame(
            request_id=cursor.request_id,
            attempt=cursor.attempt,
            incarnation=self._incarnation,
            offset=cursor.offset,
            data=data,
            is_last=is_last,
            total_length=answer.end if is_last else 0,
            digest=answer.digest if is_last else "",
            code=int(result.code),
            http_status=result.http_status,
            headers=result.headers,
            model_version=answer.model_version,
        )

    def _failure(self, cursor: Cursor, code: ResultCode) -> Frame:
        """Return a last frame that carries no data and a code."""
        return Frame(
            request_id=cursor.request_id,
            attempt=cursor.attempt,
            incarnation=self._incarnation,
            offset=cursor.offset,
            data=b"",
            is_last=True,
            code=int(code),
            headers={},
        )

    def _is_abandoned(self, stream: Stream, now: float) -> bool:
        sender = self._senders[stream.sender]
        if sender.incarnation > stream.sender_incarnation:
            return True
        if stream.answer.finished is not None:
            return now - stream.last_cursor > UNREAD_KEEP_SECONDS
        return now - max(sender.last_poll, stream.last_cursor) > ABANDON_SECONDS

    def _drop(self, names: list[StreamName], code: ResultCode) -> None:
        for name in names:
            with self._lock:
                stream = self._streams.pop(name, None)
            if stream is None:
                continue
            owner = self._senders[stream.sender]
            owner.unpolled.pop(name, None)
            stream.answer.unlisten(owner.touch)
            stream.on_abandoned(code)


def whole_characters(data: bytes) -> bytes:
    """Return `data` without a UTF-8 character that its end cuts.

    An entry node resumes an answer elsewhere with the text it has, which must
    have the length of the bytes it has.

    Examples
    --------
    >>> whole_characters("aé".encode()[:2])
    b'a'

    """
    end = len(data)
    while end and data[end - 1] & UTF8_CONTINUATION_MASK == UTF8_CONTINUATION:
        end -= 1
    if not end:
        return data
    tail = data[end - 1 :]
    try:
        tail.decode()
    except UnicodeDecodeError:
        return data[: end - 1] or data
    return data


def _has_new_stream(owner: Sender, now: float) -> bool:
    if not owner.unpolled:
        return False
    return any(
        now - opened < NEW_STREAM_SECONDS for opened in list(owner.unpolled.values())
    )


def _has_moved(owner: Sender, version: int) -> bool:
    return owner.version != version


def _is_over(stream: Stream, now: float) -> bool:
    ended = stream.ended_at
    return ended is not None and now - ended > FINISHED_KEEP_SECONDS
