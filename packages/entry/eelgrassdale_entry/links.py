"""The two connections to one agent and the tasks that own them."""

import collections
import queue
import threading
from collections.abc import Callable

import structlog
from attrs import define

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode
from eelgrassdale.routing.frames import AnswerReader, FrameVerdict
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.wire import (
    CallRequest,
    Cursor,
    Envelope,
    Frame,
    NodeConnection,
    NotDeliveredError,
    PollAnswer,
    UnknownDeliveryError,
)
from eelgrassdale_entry.messages import (
    AgentReport,
    AgentSilent,
    Attempt,
    AttemptAccepted,
    AttemptEnded,
)

# One second without an answer makes an agent suspect.
SILENCE_SECONDS = 1.0
# Longest wait of a poll at the agent, which answers early when a stream of
# this entry node has data or is new.
POLL_WAIT_MS = 500
# While a reader is at its bound it is missing from the poll; this bounds its
# delay after it drained.
HELD_BACK_POLL_WAIT_MS = 25
IDLE_POLL_SECONDS = 1.0
# Pause when every reader is at its bound; a reader that drains ends it.
FULL_PAUSE_SECONDS = 0.05
# Streams of an agent that stays silent this long are given up.
LOST_AFTER_SECONDS = 2.0
WINDOW_BYTES = 64 * 1024
MAX_WAITING_CALLS = 1024

log = structlog.get_logger(__name__)


@define(kw_only=True, eq=False)
class _Stream:
    attempt: Attempt
    reader: AnswerReader
    reserved: int = 0


@define(kw_only=True)
class LinkContext:
    """What all links of an entry node share."""

    clock: Clock
    metrics: Metrics
    monitor: InvariantMonitor
    post: Callable[[object], None]
    envelope: Callable[..., Envelope]


class AgentLink:
    """Submits attempts to one agent and reads all their answers.

    Parameters
    ----------
    agent : str
        Name of the agent.
    address : str
        Its node address.
    context : LinkContext
        Shared services; `post` receives the messages to the dispatcher.
    """

    def __init__(self, *, agent: str, address: str, context: LinkContext) -> None:
        self.agent = agent
        self.address = address
        self._context = context
        self._calls: queue.Queue = queue.Queue(MAX_WAITING_CALLS)
        self._streams: dict[tuple[str, int], _Stream] = {}
        self._lock = threading.Lock()
        self._changed = threading.Event()
        self._closed = False
        self._silent_since: float | None = None
        self._threads = [
            threading.Thread(target=run, name=f"{task}-{agent}", daemon=True)
            for task, run in (("submit", self._submit_loop), ("poll", self._poll_loop))
        ]

    def start(self) -> None:
        """Start both tasks."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """End both tasks without waiting for calls under way."""
        self._closed = True
        self._changed.set()
        try:
            self._calls.put_nowait(None)
        except queue.Full:
            log.warning("calls waiting at close", agent=self.agent)

    def submit(self, attempt: Attempt) -> bool:
        """Queue an attempt; false when too many calls wait."""
        try:
            self._calls.put_nowait(attempt)
        except queue.Full:
            return False
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Stop reading an attempt and free its slot at the agent."""
        self._forget(attempt)
        try:
            self._calls.put_nowait(_Cancel(attempt=attempt))
        except queue.Full:
            log.warning("cancel dropped", agent=self.agent)

    def nudge(self) -> None:
        """Poll soon, because headroom is wanted or a reader drained."""
        self._changed.set()

    def _submit_loop(self) -> None:
        conn = NodeConnection(address=self.address, connect_seconds=SILENCE_SECONDS)
        while not self._closed:
            call = self._calls.get()
            if isinstance(call, Attempt):
                self._submit(conn, call)
            elif call is not None:
                self._cancel(conn, call.attempt)
        conn.close()

    def _submit(self, conn: NodeConnection, attempt: Attempt) -> None:
        req = attempt.request
        remaining = req.deadline - self._context.clock.monotonic()
        if remaining <= 0:
            self._ended(attempt, ResultCode.DEADLINE_PASSED, by_agent=False)
            return
        envelope = self._context.envelope(
            remaining_ms=int(remaining * 1000), traceparent=req.traceparent
        )
        try:
            answer = conn.call(
                "submit",
                envelope,
                call_request(attempt),
                timeout_seconds=SILENCE_SECONDS,
            )
        except NotDeliveredError as exc:
            self._silent(refused=True)
            self._ended(attempt, ResultCode.NO_BACKEND_SERVER, str(exc), by_agent=False)
            return
        except UnknownDeliveryError as exc:
            self._silent(refused=False)
            self._ended(attempt, ResultCode.OUTCOME_UNKNOWN, str(exc), by_agent=False)
            self._cancel(conn, attempt)
            return
        self._submitted(attempt, answer)

    def _submitted(self, attempt: Attempt, answer) -> None:
        if answer.code != ResultCode.OK:
            self._context.post(
                AttemptEnded(
                    request_id=attempt.request.request_id,
                    attempt=attempt.number,
                    agent=self.agent,
                    code=answer.code,
                    message=answer.detail or "",
                    headroom=answer.headroom,
                )
            )
            return
        reader = attempt.reader
        reader.incarnation = answer.incarnation
        self._context.post(
            AttemptAccepted(
                request_id=attempt.request.request_id,
                attempt=attempt.number,
                agent=self.agent,
                incarnation=answer.incarnation,
                headroom=answer.headroom,
                model_version=answer.model_version or "",
            )
        )
        with self._lock:
            self._streams[_stream_key(attempt)] = _Stream(
                attempt=attempt, reader=reader
            )
        self._changed.set()

    def _cancel(self, conn: NodeConnection, attempt: Attempt) -> None:
        envelope = self._context.envelope(remaining_ms=0, traceparent="")
        try:
            conn.call(
                "cancel",
                envelope,
                attempt.request.request_id,
                attempt.number,
                timeout_seconds=SILENCE_SECONDS,
            )
        except (NotDeliveredError, UnknownDeliveryError) as exc:
            log.info("cancel failed", agent=self.agent, error=str(exc))

    def _poll_loop(self) -> None:
        conn = NodeConnection(address=self.address, connect_seconds=SILENCE_SECONDS)
        while not self._closed:
            streams = self._wanted_streams()
            self._poll(conn, streams)
            if streams:
                continue
            with self._lock:
                idle = not self._streams
            self._changed.wait(IDLE_POLL_SECONDS if idle else FULL_PAUSE_SECONDS)
            self._changed.clear()
        conn.close()

    def _wanted_streams(self) -> list[_Stream]:
        with self._lock:
            streams = list(self._streams.values())
        for stream in streams:
            stream.reserved = stream.attempt.request.sink.reserve()
        return [stream for stream in streams if stream.reserved]

    def _poll(self, conn: NodeConnection, streams: list[_Stream]) -> None:
        cursors = [
            Cursor(
                request_id=stream.reader.request_id,
                attempt=stream.reader.attempt,
                offset=stream.reader.offset,
                window_bytes=stream.reserved,
            )
            for stream in streams
        ]
        wait_ms = self._poll_wait_ms(len(cursors))
        envelope = self._context.envelope(remaining_ms=wait_ms, traceparent="")
        try:
            answer = conn.call(
                "poll",
                envelope,
                cursors,
                wait_ms,
                timeout_seconds=wait_ms / 1000 + SILENCE_SECONDS,
            )
        except (NotDeliveredError, UnknownDeliveryError) as exc:
            self._settle(streams, {})
            self._poll_failed(exc)
            return
        self._silent_since = None
        self._receive(streams, answer)

    def _poll_wait_ms(self, cursors: int) -> int:
        if not cursors:
            return 0
        with self._lock:
            held_back = len(self._streams) > cursors
        return HELD_BACK_POLL_WAIT_MS if held_back else POLL_WAIT_MS

    def _poll_failed(self, exc: Exception) -> None:
        now = self._context.clock.monotonic()
        refused = isinstance(exc, NotDeliveredError)
        if self._silent_since is None:
            self._silent_since = now
        self._silent(refused=refused)
        if refused or now - self._silent_since >= LOST_AFTER_SECONDS:
            self._lose_streams(str(exc))
        self._context.clock.sleep(FULL_PAUSE_SECONDS)

    def _lose_streams(self, message: str, *, keep_incarnation: int = 0) -> None:
        with self._lock:
            lost = [
                key
                for key, stream in self._streams.items()
                if stream.reader.incarnation != keep_incarnation
            ]
            streams = [self._streams.pop(key) for key in lost]
        for stream in streams:
            self._ended(
                stream.attempt, ResultCode.OUTCOME_UNKNOWN, message, by_agent=False
            )

    def _receive(self, streams: list[_Stream], answer: PollAnswer) -> None:
        frames = collections.defaultdict(list)
        for frame in answer.frames or ():
            frames[frame.request_id, frame.attempt].append(frame)
        accepted = {}
        for stream in streams:
            found = frames.pop(_stream_key(stream.attempt), ())
            accepted[id(stream)] = _judge_all(stream, found)
            self._count_dropped(len(found) - len(accepted[id(stream)]))
        self._count_dropped(sum(map(len, frames.values())))
        self._settle(streams, accepted)
        for stream in streams:
            for verdict, frame in accepted[id(stream)]:
                self._deliver(stream, verdict, frame)
        self._context.post(
            AgentReport(
                agent=self.agent,
                incarnation=answer.incarnation,
                headroom=answer.headroom or {},
            )
        )
        self._lose_streams("the agent restarted", keep_incarnation=answer.incarnation)

    def _settle(self, streams: list[_Stream], accepted: dict) -> None:
        for stream in streams:
            received = sum(
                len(frame.data or b"") for _, frame in accepted.get(id(stream), ())
            )
            stream.attempt.request.sink.settle(
                reserved=stream.reserved, received=received
            )
            stream.reserved = 0

    def _deliver(self, stream: _Stream, verdict: FrameVerdict, frame: Frame) -> None:
        sink = stream.attempt.request.sink
        if frame.data:
            sink.write(frame, frame.data)
        if verdict is FrameVerdict.ACCEPT:
            return
        if not self._forget(stream.attempt):
            return
        if verdict is FrameVerdict.COMPLETE:
            self._context.monitor.check(
                frame.digest == stream.reader.hexdigest()
                and frame.total_length == stream.reader.offset,
                "completed_answer_matches_digest",
                request_id=stream.reader.request_id,
            )
            sink.complete(frame, stream.reader)
            self._ended(stream.attempt, ResultCode.OK)
        elif verdict is FrameVerdict.FAILED:
            message = (frame.headers or {}).get("detail", "")
            self._ended(stream.attempt, frame.code, message)
        else:
            self._context.metrics.count("answers_corrupt")
            self._ended(
                stream.attempt,
                ResultCode.ANSWER_TRUNCATED,
                "the answer does not match its length and digest",
            )

    def _forget(self, attempt: Attempt) -> bool:
        with self._lock:
            return self._streams.pop(_stream_key(attempt), None) is not None

    def _count_dropped(self, count: int) -> None:
        if count:
            self._context.metrics.count("frames_dropped", count)

    def _silent(self, *, refused: bool) -> None:
        self._context.post(AgentSilent(agent=self.agent, refused=refused))

    def _ended(
        self,
        attempt: Attempt,
        code: int,
        message: str = "",
        *,
        by_agent: bool = True,
    ) -> None:
        self._context.post(
            AttemptEnded(
                request_id=attempt.request.request_id,
                attempt=attempt.number,
                agent=self.agent,
                code=code,
                message=message,
                by_agent=by_agent,
            )
        )


@define(kw_only=True)
class _Cancel:
    attempt: Attempt


def _stream_key(attempt: Attempt) -> tuple[str, int]:
    return attempt.request.request_id, attempt.number


def _judge_all(stream: _Stream, frames) -> list[tuple[FrameVerdict, Frame]]:
    kept = []
    room = stream.reserved
    for frame in frames:
        verdict = stream.reader.judge(frame)
        size = len(frame.data or b"")
        if verdict is FrameVerdict.DROP or size > room:
            continue
        stream.reader.accept(frame.data or b"")
        room -= size
        kept.append((verdict, frame))
    return kept


def call_request(attempt: Attempt) -> CallRequest:
    """Return the message that submits an attempt."""
    req = attempt.request
    return CallRequest(
        request_id=req.request_id,
        attempt=attempt.number,
        service_name=req.service,
        account=req.account,
        priority=req.priority,
        method=req.method,
        path=req.path,
        headers=dict(req.headers),
        body=req.body,
        prompt_tokens=req.prompt_tokens,
        max_tokens=req.max_tokens,
        idempotent=req.idempotent,
        key=req.key_text,
        model_version=attempt.model_version,
        resume_offset=attempt.reader.offset,
        window_bytes=WINDOW_BYTES,
        resume_text=attempt.resume_text,
    )
