"""The task that reads all answers of one agent with one poll."""

import collections
import threading

import structlog

from eelgrassdale.catalog import ServiceKind
from eelgrassdale.results import ResultCode
from eelgrassdale.routing.frames import FrameVerdict
from eelgrassdale.wire import (
    Cursor,
    Frame,
    Headroom,
    NodeConnection,
    NotDeliveredError,
    PollAnswer,
    UnknownDeliveryError,
)
from eelgrassdale_entry.linkcontext import SILENCE_SECONDS, LinkContext
from eelgrassdale_entry.messages import AgentReport
from eelgrassdale_entry.streams import Stream, StreamTable, stream_key

# Longest wait of a poll at the agent, which answers early when a stream of
# this entry node has data or is new.
POLL_WAIT_MS = 500
# While a reader is at its bound it is missing from the poll; this bounds its
# delay after it drained.
HELD_BACK_POLL_WAIT_MS = 50
# Longest pause while every reader is at its bound or at the node's bound; one
# that drains ends it.
HELD_BACK_SECONDS = 0.25
# Polls of generated text start at least this far apart, so that tokens of all
# streams share a message; tokens of one stream come every 70 ms.
TEXT_SPACING_SECONDS = 0.012
# Pause after a failed poll.
PAUSE_SECONDS = 0.05
# An agent that took work a short time ago is polled every second, which also
# stands for the runtime's probe; others less often, to save control traffic.
IDLE_POLL_SECONDS = 1.0
REST_POLL_SECONDS = 5.0
RECENTLY_USED_SECONDS = 15.0
# Unchanged headroom is reported to the dispatcher this often at most.
REPORT_SECONDS = 0.5
# Streams of an agent that stays silent this long are given up. One refused
# connection can be a full backlog, so a second one must follow.
LOST_AFTER_SECONDS = 2.0
LOST_AFTER_REFUSED_SECONDS = PAUSE_SECONDS

log = structlog.get_logger(__name__)


class PollTask:
    """Polls one agent; its public methods may be called from any thread."""

    def __init__(
        self, *, agent: str, address: str, context: LinkContext, streams: StreamTable
    ) -> None:
        self._agent = agent
        self._context = context
        self._streams = streams
        self._conn = NodeConnection(address=address, connect_seconds=SILENCE_SECONDS)
        self._changed = threading.Event()
        self._headroom_wanted = False
        self._polled_at = float("-inf")
        self._closed = False
        self._used_at = context.clock.monotonic()
        self._silent_since: float | None = None
        self._reported: tuple = ()
        self._reported_at = float("-inf")
        self._thread = threading.Thread(
            target=self._run, name=f"poll-{agent}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """End the thread after the poll under way."""
        self._closed = True
        self._changed.set()

    def stream_added(self) -> None:
        """Read a new stream soon."""
        self._changed.set()

    def want_headroom(self) -> None:
        """Poll soon, also without streams."""
        self._headroom_wanted = True
        self._changed.set()

    def used(self) -> None:
        """Note that the agent gets work."""
        self._used_at = self._context.clock.monotonic()

    def _run(self) -> None:
        while not self._closed:
            streams = self._streams.reserve_windows(self._changed.set)
            if streams or self._is_due():
                self._poll(streams)
            if streams:
                self._space_out(streams)
            else:
                self._changed.wait(self._pause_seconds())
                self._changed.clear()
        self._lose_streams("the link to the agent closed")
        self._conn.close()

    def _space_out(self, streams: list[Stream]) -> None:
        if any(stream.attempt.request.kind is ServiceKind.PLAIN for stream in streams):
            return
        next_at = self._polled_at + TEXT_SPACING_SECONDS
        early = next_at - self._context.clock.monotonic()
        if early > 0:
            self._context.clock.sleep(early)

    def _is_due(self) -> bool:
        now = self._context.clock.monotonic()
        return self._headroom_wanted or now - self._polled_at >= self._pause_seconds()

    def _pause_seconds(self) -> float:
        if len(self._streams):
            return HELD_BACK_SECONDS
        unused = self._context.clock.monotonic() - self._used_at
        return (
            IDLE_POLL_SECONDS if unused < RECENTLY_USED_SECONDS else REST_POLL_SECONDS
        )

    def _poll(self, streams: list[Stream]) -> None:
        self._headroom_wanted = False
        self._polled_at = self._context.clock.monotonic()
        wait_ms = self._wait_ms(len(streams))
        envelope = self._context.envelope(remaining_ms=wait_ms, traceparent="")
        try:
            answer = self._conn.call(
                "poll",
                envelope,
                [_cursor(stream) for stream in streams],
                wait_ms,
                timeout_seconds=wait_ms / 1000 + SILENCE_SECONDS,
            )
        except (NotDeliveredError, UnknownDeliveryError) as exc:
            self._settle(streams, {})
            self._after_failure(exc)
            return
        self._silent_since = None
        self._receive(streams, answer)

    def _wait_ms(self, cursors: int) -> int:
        if not cursors:
            return 0
        is_held_back = len(self._streams) > cursors
        return HELD_BACK_POLL_WAIT_MS if is_held_back else POLL_WAIT_MS

    def _after_failure(self, exc: Exception) -> None:
        now = self._context.clock.monotonic()
        refused = isinstance(exc, NotDeliveredError)
        if self._silent_since is None:
            self._silent_since = now
        self._context.silent(self._agent, refused=refused)
        limit = LOST_AFTER_REFUSED_SECONDS if refused else LOST_AFTER_SECONDS
        if now - self._silent_since >= limit:
            self._lose_streams(str(exc))
        self._context.clock.sleep(PAUSE_SECONDS)

    def _lose_streams(self, message: str, *, keep_incarnation: int = 0) -> None:
        for stream in self._streams.take_lost(keep_incarnation=keep_incarnation):
            self._context.ended(
                stream.attempt, ResultCode.OUTCOME_UNKNOWN, message, by_agent=False
            )

    def _receive(self, streams: list[Stream], answer: PollAnswer) -> None:
        frames = collections.defaultdict(list)
        for frame in answer.frames or ():
            frames[frame.request_id, frame.attempt].append(frame)
        accepted = {}
        dropped = 0
        for stream in streams:
            found = frames.pop(stream_key(stream.attempt), [])
            accepted[stream] = stream.judge_all(found)
            dropped += len(found) - len(accepted[stream])
        dropped += sum(map(len, frames.values()))
        if dropped:
            self._context.metrics.count("frames_dropped", dropped)
        self._settle(streams, accepted)
        for stream, judged in accepted.items():
            for verdict, frame in judged:
                self._deliver(stream, verdict, frame)
        self._report(answer)
        self._lose_streams("the agent restarted", keep_incarnation=answer.incarnation)

    def _settle(self, streams: list[Stream], accepted: dict) -> None:
        for stream in streams:
            received = sum(
                len(frame.data or b"") for _, frame in accepted.get(stream, ())
            )
            reserved, stream.reserved = stream.reserved, 0
            stream.sink.settle(reserved=reserved, received=received)

    def _deliver(self, stream: Stream, verdict: FrameVerdict, frame: Frame) -> None:
        if frame.data:
            stream.sink.write(frame, frame.data)
        if verdict is FrameVerdict.ACCEPT:
            return
        if not self._streams.remove(stream.attempt):
            return
        if verdict is FrameVerdict.COMPLETE:
            self._check_completed(stream, frame)
            stream.sink.complete(frame, stream.reader)
            self._context.ended(stream.attempt, ResultCode.OK)
        elif verdict is FrameVerdict.FAILED:
            self._context.ended(stream.attempt, frame.code)
        else:
            self._context.metrics.count("answers_corrupt")
            self._context.ended(
                stream.attempt,
                ResultCode.ANSWER_TRUNCATED,
                "the answer does not match its length and digest",
            )

    def _check_completed(self, stream: Stream, frame: Frame) -> None:
        reader = stream.reader
        self._context.monitor.check(
            frame.digest == reader.hexdigest() and frame.total_length == reader.offset,
            "completed_answer_matches_digest",
            request_id=reader.request_id,
        )
        self._context.monitor.check(
            stream.sink.delivered() == reader.offset,
            "offsets_contiguous",
            request_id=reader.request_id,
            offset=reader.offset,
        )

    def _report(self, answer: PollAnswer) -> None:
        headroom = answer.headroom or {}
        facts = (answer.incarnation, *map(_facts, sorted(headroom.items())))
        now = self._context.clock.monotonic()
        if facts == self._reported and now - self._reported_at < REPORT_SECONDS:
            return
        self._reported, self._reported_at = facts, now
        self._context.post(
            AgentReport(
                agent=self._agent, incarnation=answer.incarnation, headroom=headroom
            )
        )


def _cursor(stream: Stream) -> Cursor:
    return Cursor(
        request_id=stream.reader.request_id,
        attempt=stream.reader.attempt,
        offset=stream.reader.offset,
        window_bytes=stream.reserved,
    )


def _facts(item: tuple[str, Headroom]) -> tuple:
    service, headroom = item
    return (
        service,
        headroom.slots,
        headroom.memory_bytes,
        headroom.accepting,
        headroom.model_version,
        headroom.running,
    )
