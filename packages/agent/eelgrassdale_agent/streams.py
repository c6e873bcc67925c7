"""Answer streams of the entry nodes, read with one long poll for many cursors."""

import threading
from collections.abc import Callable, Iterable
from functools import partial

from attrs import define, field

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import InvariantMonitor
from eelgrassdale.wire import Cursor, Frame
from eelgrassdale_agent.answers import AnswerBuffer

MAX_FRAME_BYTES = 256 * 1024
MAX_POLL_BYTES = 1024 * 1024
MAX_POLL_SECONDS = 5.0
# Shortest interval between two poll responses to one entry node while tokens arrive,
# so that tokens that are pending at the same time share a message.
MIN_POLL_INTERVAL_SECONDS = 0.01
# Once a waiting poll has frames, it waits this much longer, so that the tokens of one
# engine step share a response. It does not wait if an answer is complete.
POLL_BATCH_DELAY_SECONDS = 0.003
# While the entry node has a stream without a cursor, its polls return after this
# time, so that the first token of that stream need not wait for a long poll to end.
NEW_STREAM_POLL_SECONDS = 0.01
# After this time such a stream no longer shortens the polls: its reader may have no
# buffer space and therefore send no cursor.
NEW_STREAM_SECONDS = 1.0
# A stream is abandoned once its entry node has not polled for this time.
ABANDON_TIMEOUT_SECONDS = 10.0
# A finished stream is kept this long after its last frame was sent, since the poll
# response can be lost and the frame has to be sent again.
FINISHED_KEEP_SECONDS = 5.0
# A finished answer without a cursor is kept this long. An entry node sends no cursor
# while its caller reads slowly, and cancels the stream when it drops the caller.
UNREAD_KEEP_SECONDS = 60.0
UTF8_CONTINUATION_MASK = 0xC0
UTF8_CONTINUATION = 0x80

StreamKey = tuple[str, int]


@define(kw_only=True)
class Stream:
    """One reader of an answer, for one attempt of a request of one entry node."""

    key: StreamKey
    sender: str
    sender_incarnation: int
    answer: AnswerBuffer
    on_abandoned: Callable[[ResultCode], None]
    on_read: Callable[[], None]
    last_cursor_at: float
    ended_at: float | None = None


@define(kw_only=True)
class EntryNode:
    """Poll state of one entry node, with one condition for all its streams.

    `unpolled_streams` holds the opening time of each stream without a cursor so far.
    """

    changed: threading.Condition = field(factory=threading.Condition)
    version: int = 0
    incarnation: int = 0
    last_poll_at: float = 0.0
    last_sent_at: float = 0.0
    unpolled_streams: dict[StreamKey, float] = field(factory=dict)

    def wake(self) -> None:
        """Wake the waiting polls of this entry node."""
        with self.changed:
            self.version += 1
            self.changed.notify_all()


class StreamTable:
    """All streams of an agent.

    Parameters
    ----------
    incarnation : int
        Incarnation of the agent, sent with every frame.
    clock : Clock
        Monotonic time.
    monitor : InvariantMonitor
        Invariant monitor, currently unused.
    max_streams : int
        Largest number of streams.
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
        self._streams: dict[StreamKey, Stream] = {}
        self._entry_nodes: dict[str, EntryNode] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def is_full(self) -> bool:
        """Return whether no further stream can be opened."""
        return len(self._streams) >= self._max_streams

    def open(
        self,
        key: StreamKey,
        *,
        sender: str,
        sender_incarnation: int,
        answer: AnswerBuffer,
        on_abandoned: Callable[[ResultCode], None],
        on_read: Callable[[], None],
    ) -> None:
        """Add a reader of `answer`; ignored if the key already has a stream.

        `on_abandoned` is called with the code when the stream is removed,
        `on_read` after each cursor.
        """
        now = self._clock.monotonic()
        with self._lock:
            if key in self._streams:
                return
            entry_node = self._entry_node(sender, sender_incarnation, now)
            self._streams[key] = Stream(
                key=key,
                sender=sender,
                sender_incarnation=sender_incarnation,
                answer=answer,
                on_abandoned=on_abandoned,
                on_read=on_read,
                last_cursor_at=now,
            )
            entry_node.unpolled_streams[key] = now
        answer.add_listener(entry_node.wake)
        entry_node.wake()

    def poll(
        self,
        cursors: Iterable[Cursor],
        *,
        sender: str,
        sender_incarnation: int,
        wait_seconds: float,
    ) -> list[Frame]:
        """Return the frames after the cursors, waiting for at least one."""
        started = self._clock.monotonic()
        deadline = started + min(wait_seconds, MAX_POLL_SECONDS)
        with self._lock:
            entry_node = self._entry_node(sender, sender_incarnation, started)
            entry_node.last_poll_at = started
        cursors = list(cursors)
        self._acknowledge(cursors, sender, entry_node, started)
        self._limit_poll_rate(entry_node)
        has_waited = False
        while True:
            version = entry_node.version
            frames = self._frames(cursors, sender)
            now = self._clock.monotonic()
            if frames and has_waited and not any(frame.is_last for frame in frames):
                self._clock.sleep(POLL_BATCH_DELAY_SECONDS)
                frames = self._frames(cursors, sender)
            if frames or now >= deadline:
                entry_node.last_sent_at = entry_node.last_poll_at = now
                return frames
            seconds = deadline - now
            if _has_new_stream(entry_node, now):
                seconds = min(seconds, NEW_STREAM_POLL_SECONDS)
                deadline = now + seconds
            with entry_node.changed:
                entry_node.changed.wait_for(
                    partial(_has_changed, entry_node, version), timeout=seconds
                )
            has_waited = True

    def cancel(self, key: StreamKey, *, sender: str) -> None:
        """Remove a stream whose caller has gone away."""
        with self._lock:
            stream = self._streams.get(key)
            if stream is None or stream.sender != sender:
                return
        self._remove([key], ResultCode.CALLER_CANCELLED)

    def sweep(self) -> int:
        """Remove finished and abandoned streams and return their number."""
        now = self._clock.monotonic()
        with self._lock:
            finished = [n for n, s in self._streams.items() if _is_expired(s, now)]
            abandoned = [
                key
                for key, stream in self._streams.items()
                if self._is_abandoned(stream, now)
            ]
            used = {stream.sender for stream in self._streams.values()}
            for sender in [s for s in self._entry_nodes if s not in used]:
                if (
                    now - self._entry_nodes[sender].last_poll_at
                    > ABANDON_TIMEOUT_SECONDS
                ):
                    del self._entry_nodes[sender]
        self._remove(finished, ResultCode.OK)
        self._remove(abandoned, ResultCode.CALLER_CANCELLED)
        return len(finished) + len(abandoned)

    def unfinished_count(self) -> int:
        """Return the number of streams whose last frame has not been sent yet."""
        with self._lock:
            return sum(s.ended_at is None for s in self._streams.values())

    def _entry_node(self, name: str, incarnation: int, now: float) -> EntryNode:
        entry_node = self._entry_nodes.get(name)
        if entry_node is None:
            entry_node = EntryNode(incarnation=incarnation, last_poll_at=now)
            self._entry_nodes[name] = entry_node
        elif incarnation > entry_node.incarnation:
            entry_node.incarnation = incarnation
        return entry_node

    def _acknowledge(
        self, cursors: list[Cursor], sender: str, entry_node: EntryNode, now: float
    ) -> None:
        for cursor in cursors:
            stream = self._streams.get((cursor.request_id, cursor.attempt))
            if stream is None or stream.sender != sender:
                continue
            stream.last_cursor_at = now
            entry_node.unpolled_streams.pop(stream.key, None)
            stream.answer.acknowledge(cursor.offset)
            stream.on_read()

    def _limit_poll_rate(self, entry_node: EntryNode) -> None:
        delay = MIN_POLL_INTERVAL_SECONDS - (
            self._clock.monotonic() - entry_node.last_sent_at
        )
        if delay > 0:
            self._clock.sleep(delay)

    def _frames(self, cursors: list[Cursor], sender: str) -> list[Frame]:
        frames = []
        remaining_bytes = MAX_POLL_BYTES
        for cursor in cursors:
            frame = self._frame(cursor, sender, remaining_bytes)
            if frame is not None:
                frames.append(frame)
                remaining_bytes -= len(frame.data)
        return frames

    def _frame(self, cursor: Cursor, sender: str, remaining_bytes: int) -> Frame | None:
        stream = self._streams.get((cursor.request_id, cursor.attempt))
        if stream is None or stream.sender != sender:
            return self._failure(cursor, ResultCode.OUTCOME_UNKNOWN)
        answer = stream.answer
        final_status = answer.final_status
        wanted = min(cursor.window_bytes, MAX_FRAME_BYTES, remaining_bytes)
        data = answer.read(cursor.offset, max(0, wanted))
        if answer.is_text and cursor.offset + len(data) < answer.end:
            data = trim_partial_character(data)
        end = cursor.offset + len(data)
        is_last = final_status is not None and end == answer.end
        if not data and not is_last:
            return self._position_failure(cursor, answer)
        if is_last:
            stream.ended_at = stream.ended_at or self._clock.monotonic()
        return self._new_frame(cursor, answer, data, is_last)

    def _position_failure(self, cursor: Cursor, answer: AnswerBuffer) -> Frame | None:
        if answer.base <= cursor.offset <= answer.end:
            return None
        return self._failure(cursor, ResultCode.ANSWER_TRUNCATED)

    def _new_frame(
        self, cursor: Cursor, answer: AnswerBuffer, data: bytes, is_last: bool
    ) -> Frame:
        result = answer.final_status if is_last else answer.initial_status
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
        """Return a last frame without data that carries `code`."""
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
        entry_node = self._entry_nodes[stream.sender]
        if entry_node.incarnation > stream.sender_incarnation:
            return True
        if stream.answer.final_status is not None:
            return now - stream.last_cursor_at > UNREAD_KEEP_SECONDS
        return (
            now - max(entry_node.last_poll_at, stream.last_cursor_at)
            > ABANDON_TIMEOUT_SECONDS
        )

    def _remove(self, keys: list[StreamKey], code: ResultCode) -> None:
        for key in keys:
            with self._lock:
                stream = self._streams.pop(key, None)
            if stream is None:
                continue
            entry_node = self._entry_nodes[stream.sender]
            entry_node.unpolled_streams.pop(key, None)
            stream.answer.remove_listener(entry_node.wake)
            stream.on_abandoned(code)


def trim_partial_character(data: bytes) -> bytes:
    """Return `data` without an incomplete UTF-8 character at its end.

    To resume an answer on another agent, an entry node sends the decoded text that it
    has received; encoded again, it must have as many bytes as were received.

    Examples
    --------
    >>> trim_partial_character("aé".encode()[:2])
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


def _has_new_stream(entry_node: EntryNode, now: float) -> bool:
    if not entry_node.unpolled_streams:
        return False
    return any(
        now - opened < NEW_STREAM_SECONDS
        for opened in list(entry_node.unpolled_streams.values())
    )


def _has_changed(entry_node: EntryNode, version: int) -> bool:
    return entry_node.version != version


def _is_expired(stream: Stream, now: float) -> bool:
    ended = stream.ended_at
    return ended is not None and now - ended > FINISHED_KEEP_SECONDS
