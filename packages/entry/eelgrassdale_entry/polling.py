"""The task that reads all streams of one agent with shared polls."""

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
from eelgrassdale_entry.linkcontext import RESPONSE_TIMEOUT_SECONDS, LinkContext
from eelgrassdale_entry.messages import AgentReport
from eelgrassdale_entry.streams import Stream, StreamTable, stream_key

# Longest time that the agent holds a poll; it answers earlier when a stream of this
# entry node has data or is new.
POLL_WAIT_MS = 500
# Wait of a poll that leaves out a reader with a full window; it bounds the delay
# until that reader is polled again after its window has space.
BLOCKED_READER_POLL_WAIT_MS = 50
# Longest pause while no reader can reserve a window, because of its own bound or
# that of the node. It ends early when a reader has space again.
BLOCKED_READERS_PAUSE_SECONDS = 0.25
# Minimum interval between polls of generated text, so that one answer carries the
# tokens of several streams; one stream produces a token every 70 ms.
MIN_TEXT_POLL_INTERVAL_SECONDS = 0.012
# Pause after a failed poll.
FAILED_POLL_PAUSE_SECONDS = 0.05
# A recently used agent without streams is polled every second, which also replaces
# the runtime's probe; others are polled less often to save control traffic.
IDLE_POLL_INTERVAL_SECONDS = 1.0
UNUSED_POLL_INTERVAL_SECONDS = 5.0
RECENTLY_USED_SECONDS = 15.0
# Minimum interval between reports of unchanged headroom to the dispatcher.
UNCHANGED_REPORT_INTERVAL_SECONDS = 0.5
# Streams of an agent that does not answer for this long end as lost. A refused
# connection shortens the limit, but one alone may be due to a full listen backlog,
# so a second failure must follow.
STREAMS_LOST_AFTER_SECONDS = 2.0
STREAMS_LOST_AFTER_REFUSED_SECONDS = FAILED_POLL_PAUSE_SECONDS

log = structlog.get_logger(__name__)


class PollTask:
    """Polls one agent; public methods may be called from any thread."""

    def __init__(
        self, *, agent: str, address: str, context: LinkContext, streams: StreamTable
    ) -> None:
        self._agent = agent
        self._context = context
        self._streams = streams
        self._conn = NodeConnection(
            address=address, connect_timeout_seconds=RESPONSE_TIMEOUT_SECONDS
        )
        self._wake_event = threading.Event()
        self._headroom_requested = False
        self._polled_at = float("-inf")
        self._closed = False
        self._used_at = context.clock.monotonic()
        self._unresponsive_since: float | None = None
        self._reported: tuple = ()
        self._reported_at = float("-inf")
        self._thread = threading.Thread(
            target=self._run, name=f"poll-{agent}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread after the poll in progress."""
        self._closed = True
        self._wake_event.set()

    def stream_added(self) -> None:
        """Make the thread poll a new stream soon."""
        self._wake_event.set()

    def poll_for_headroom(self) -> None:
        """Make the thread poll soon, even without streams."""
        self._headroom_requested = True
        self._wake_event.set()

    def record_use(self) -> None:
        """Record that a request is submitted to the agent now."""
        self._used_at = self._context.clock.monotonic()

    def _run(self) -> None:
        while not self._closed:
            streams = self._streams.reserve_windows(self._wake_event.set)
            if streams or self._is_due():
                self._poll(streams)
            if streams:
                self._wait_for_poll_interval(streams)
            else:
                self._wake_event.wait(self._pause_seconds())
                self._wake_event.clear()
        self._end_lost_streams("the link to the agent closed")
        self._conn.close()

    def _wait_for_poll_interval(self, streams: list[Stream]) -> None:
        if any(stream.attempt.request.kind is ServiceKind.PLAIN for stream in streams):
            return
        next_at = self._polled_at + MIN_TEXT_POLL_INTERVAL_SECONDS
        remaining = next_at - self._context.clock.monotonic()
        if remaining > 0:
            self._context.clock.sleep(remaining)

    def _is_due(self) -> bool:
        now = self._context.clock.monotonic()
        return (
            self._headroom_requested or now - self._polled_at >= self._pause_seconds()
        )

    def _pause_seconds(self) -> float:
        if len(self._streams):
            return BLOCKED_READERS_PAUSE_SECONDS
        unused_seconds = self._context.clock.monotonic() - self._used_at
        return (
            IDLE_POLL_INTERVAL_SECONDS
            if unused_seconds < RECENTLY_USED_SECONDS
            else UNUSED_POLL_INTERVAL_SECONDS
        )

    def _poll(self, streams: list[Stream]) -> None:
        self._headroom_requested = False
        self._polled_at = self._context.clock.monotonic()
        wait_ms = self._wait_ms(len(streams))
        envelope = self._context.envelope(remaining_ms=wait_ms, traceparent="")
        try:
            answer = self._conn.call(
                "poll",
                envelope,
                [_cursor(stream) for stream in streams],
                wait_ms,
                timeout_seconds=wait_ms / 1000 + RESPONSE_TIMEOUT_SECONDS,
            )
        except (NotDeliveredError, UnknownDeliveryError) as exc:
            self._settle_reservations(streams, {})
            self._handle_poll_failure(exc)
            return
        self._unresponsive_since = None
        self._handle_answer(streams, answer)

    def _wait_ms(self, cursor_count: int) -> int:
        if not cursor_count:
            return 0
        has_blocked_reader = len(self._streams) > cursor_count
        return BLOCKED_READER_POLL_WAIT_MS if has_blocked_reader else POLL_WAIT_MS

    def _handle_poll_failure(self, exc: Exception) -> None:
        now = self._context.clock.monotonic()
        refused = isinstance(exc, NotDeliveredError)
        if self._unresponsive_since is None:
            self._unresponsive_since = now
        self._context.report_unresponsive(self._agent, refused=refused)
        limit = (
            STREAMS_LOST_AFTER_REFUSED_SECONDS
            if refused
            else STREAMS_LOST_AFTER_SECONDS
        )
        if now - self._unresponsive_since >= limit:
            self._end_lost_streams(str(exc))
        self._context.clock.sleep(FAILED_POLL_PAUSE_SECONDS)

    def _end_lost_streams(self, message: str, *, keep_incarnation: int = 0) -> None:
        for stream in self._streams.remove_lost(keep_incarnation=keep_incarnation):
            self._context.report_ended(
                stream.attempt, ResultCode.OUTCOME_UNKNOWN, message, by_agent=False
            )

    def _handle_answer(self, streams: list[Stream], answer: PollAnswer) -> None:
        frames = collections.defaultdict(list)
        for frame in answer.frames or ():
            frames[frame.request_id, frame.attempt].append(frame)
        accepted = {}
        dropped = 0
        for stream in streams:
            found = frames.pop(stream_key(stream.attempt), [])
            accepted[stream] = stream.accept_frames(found)
            dropped += len(found) - len(accepted[stream])
        dropped += sum(map(len, frames.values()))
        if dropped:
            self._context.metrics.count("frames_dropped", dropped)
        self._settle_reservations(streams, accepted)
        for stream, frames_with_verdicts in accepted.items():
            for verdict, frame in frames_with_verdicts:
                self._deliver_frame(stream, verdict, frame)
        self._report_headroom(answer)
        self._end_lost_streams(
            "the agent restarted", keep_incarnation=answer.incarnation
        )

    def _settle_reservations(self, streams: list[Stream], accepted: dict) -> None:
        for stream in streams:
            received = sum(
                len(frame.data or b"") for _, frame in accepted.get(stream, ())
            )
            reserved, stream.reserved = stream.reserved, 0
            stream.sink.settle(reserved=reserved, received=received)

    def _deliver_frame(
        self, stream: Stream, verdict: FrameVerdict, frame: Frame
    ) -> None:
        if frame.data:
            stream.sink.write(frame, frame.data)
        if verdict is FrameVerdict.ACCEPT:
            return
        if not self._streams.remove(stream.attempt):
            return
        if verdict is FrameVerdict.COMPLETE:
            self._check_completed(stream, frame)
            stream.sink.complete(frame, stream.validator)
            self._context.report_ended(stream.attempt, ResultCode.OK)
        elif verdict is FrameVerdict.FAILED:
            self._context.report_ended(stream.attempt, frame.code)
        else:
            self._context.metrics.count("answers_corrupt")
            fault = "does not match its length and digest"
            if verdict is FrameVerdict.INVALID:
                fault = f"has the invalid status {frame.http_status}"
            self._context.report_ended(
                stream.attempt, ResultCode.ANSWER_TRUNCATED, f"the answer {fault}"
            )

    def _check_completed(self, stream: Stream, frame: Frame) -> None:
        validator = stream.validator
        self._context.monitor.check(
            frame.digest == validator.hexdigest()
            and frame.total_length == validator.offset,
            "completed_answer_matches_digest",
            request_id=validator.request_id,
        )
        self._context.monitor.check(
            stream.sink.delivered_bytes() == validator.offset,
            "offsets_contiguous",
            request_id=validator.request_id,
            offset=validator.offset,
        )

    def _report_headroom(self, answer: PollAnswer) -> None:
        headroom = answer.headroom or {}
        current = (answer.incarnation, *map(_headroom_values, sorted(headroom.items())))
        now = self._context.clock.monotonic()
        if (
            current == self._reported
            and now - self._reported_at < UNCHANGED_REPORT_INTERVAL_SECONDS
        ):
            return
        self._reported, self._reported_at = current, now
        self._context.post(
            AgentReport(
                agent=self._agent, incarnation=answer.incarnation, headroom=headroom
            )
        )


def _cursor(stream: Stream) -> Cursor:
    return Cursor(
        request_id=stream.validator.request_id,
        attempt=stream.validator.attempt,
        offset=stream.validator.offset,
        window_bytes=stream.reserved,
    )


def _headroom_values(item: tuple[str, Headroom]) -> tuple:
    service, headroom = item
    return (
        service,
        headroom.slots,
        headroom.memory_bytes,
        headroom.accepting,
        headroom.model_version,
        headroom.running,
    )
