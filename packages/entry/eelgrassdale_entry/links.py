"""The link to one agent: one connection for submissions and one for polls."""

import queue
import threading

import structlog
from attrs import frozen

from eelgrassdale.results import ResultCode
from eelgrassdale.wire import (
    CallRequest,
    NodeConnection,
    NotDeliveredError,
    SubmitAnswer,
    UnknownDeliveryError,
)
from eelgrassdale_entry.linkcontext import RESPONSE_TIMEOUT_SECONDS, LinkContext
from eelgrassdale_entry.messages import Attempt, AttemptAccepted, AttemptEnded
from eelgrassdale_entry.polling import PollTask
from eelgrassdale_entry.streams import StreamTable, stream_key

WINDOW_BYTES = 64 * 1024
MAX_QUEUED_CALLS = 1024

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class _CancelCall:
    attempt: Attempt


class AgentLink:
    """Submits attempts to one agent and reads their answers.

    Parameters
    ----------
    agent : str
        Name of the agent.
    address : str
        Node address of the agent, as `host:port`.
    context : LinkContext
        Services that all links share.
    """

    def __init__(self, *, agent: str, address: str, context: LinkContext) -> None:
        self.agent = agent
        self.address = address
        self._context = context
        self._conn = NodeConnection(
            address=address, connect_timeout_seconds=RESPONSE_TIMEOUT_SECONDS
        )
        self._calls: queue.Queue = queue.Queue(MAX_QUEUED_CALLS)
        self._cancelled: set[tuple[str, int]] = set()
        self._streams = StreamTable()
        self._poll_task = PollTask(
            agent=agent, address=address, context=context, streams=self._streams
        )
        self._closed = False
        self._thread = threading.Thread(
            target=self._run, name=f"submit-{agent}", daemon=True
        )

    def start(self) -> None:
        """Start the submitting and the polling task."""
        self._thread.start()
        self._poll_task.start()

    def close(self) -> None:
        """Stop both tasks after the calls in progress."""
        self._closed = True
        self._poll_task.close()
        self._enqueue(None)

    def submit(self, attempt: Attempt) -> bool:
        """Enqueue an attempt; return False when the queue of calls is full."""
        self._poll_task.record_use()
        return self._enqueue(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Stop reading the answer to an attempt and cancel it at the agent."""
        self._streams.remove(attempt)
        self._cancelled.add(stream_key(attempt))
        if not self._enqueue(_CancelCall(attempt=attempt)):
            self._cancelled.discard(stream_key(attempt))
            log.warning(
                "cancellation dropped, queue of calls is full", agent=self.agent
            )

    def request_headroom(self) -> None:
        """Make the agent report its headroom soon."""
        self._poll_task.poll_for_headroom()

    def _enqueue(self, call: object) -> bool:
        try:
            self._calls.put_nowait(call)
        except queue.Full:
            return False
        return True

    def _run(self) -> None:
        while not self._closed:
            self._execute(self._calls.get())
        while not self._calls.empty():
            self._end_unsent(self._calls.get_nowait())
        self._conn.close()

    def _execute(self, call: object) -> None:
        if isinstance(call, Attempt):
            if stream_key(call) not in self._cancelled:
                self._submit(call)
        elif isinstance(call, _CancelCall):
            # A submission that was in progress when `cancel` was called may have added
            # the stream afterwards.
            self._streams.remove(call.attempt)
            self._cancelled.discard(stream_key(call.attempt))
            self._cancel_at_agent(call.attempt)

    def _end_unsent(self, call: object) -> None:
        if isinstance(call, Attempt):
            self._context.report_ended(
                call,
                ResultCode.NO_BACKEND_SERVER,
                "the link to the agent closed",
                by_agent=False,
            )

    def _submit(self, attempt: Attempt) -> None:
        req = attempt.request
        remaining = req.deadline - self._context.clock.monotonic()
        if remaining <= 0:
            self._context.report_ended(
                attempt, ResultCode.DEADLINE_PASSED, by_agent=False
            )
            return
        envelope = self._context.envelope(
            remaining_ms=int(remaining * 1000), traceparent=req.traceparent
        )
        try:
            answer = self._conn.call(
                "submit",
                envelope,
                call_request(attempt),
                timeout_seconds=RESPONSE_TIMEOUT_SECONDS,
            )
        except NotDeliveredError as exc:
            self._context.report_unresponsive(self.agent, refused=True)
            self._context.report_ended(
                attempt, ResultCode.NO_BACKEND_SERVER, str(exc), by_agent=False
            )
        except UnknownDeliveryError as exc:
            self._context.report_unresponsive(self.agent, refused=False)
            self._context.report_ended(
                attempt, ResultCode.OUTCOME_UNKNOWN, str(exc), by_agent=False
            )
            self._cancel_at_agent(attempt)
        else:
            self._handle_submit_answer(attempt, answer)

    def _handle_submit_answer(self, attempt: Attempt, answer: SubmitAnswer) -> None:
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
        attempt.validator.incarnation = answer.incarnation
        self._context.post(
            AttemptAccepted(
                request_id=attempt.request.request_id,
                attempt=attempt.number,
                agent=self.agent,
                headroom=answer.headroom,
                model_version=answer.model_version or "",
            )
        )
        self._streams.add(attempt)
        self._poll_task.stream_added()

    def _cancel_at_agent(self, attempt: Attempt) -> None:
        try:
            self._conn.call(
                "cancel",
                self._context.envelope(remaining_ms=0, traceparent=""),
                attempt.request.request_id,
                attempt.number,
                timeout_seconds=RESPONSE_TIMEOUT_SECONDS,
            )
        except (NotDeliveredError, UnknownDeliveryError) as exc:
            log.info(
                "cancellation at the agent failed",
                agent=self.agent,
                error=str(exc),
            )


def call_request(attempt: Attempt) -> CallRequest:
    """Return the Thrift message that submits an attempt."""
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
        resume_offset=attempt.validator.offset,
        window_bytes=WINDOW_BYTES,
        resume_text=attempt.resume_text,
    )
