"""Admits requests of entry nodes and creates their answer buffers, streams and jobs."""

import math
import threading
from functools import partial

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import Clock
from eelgrassdale.hashing import digest_of
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.wire import CallRequest, Envelope, SubmitAnswer
from eelgrassdale_agent import metrics as metric_names
from eelgrassdale_agent.answers import AnswerBuffer, BufferBudget
from eelgrassdale_agent.gate import AdmissionGate
from eelgrassdale_agent.jobrunner import JobRunner
from eelgrassdale_agent.jobs import Job, JobSpec, parse_prompt
from eelgrassdale_agent.plainclient import PlainRequest
from eelgrassdale_agent.streams import StreamTable

MAX_BODY_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
DEFAULT_WINDOW_BYTES = 64 * 1024
MAX_WINDOW_BYTES = 1024 * 1024
# A prompt counts as at least one token per this many bytes; a lower count from the
# entry node is raised.
BYTES_PER_TOKEN = 4
# A request with an idempotency key may run at least this long, whatever its caller's
# deadline, so that a retry with the same key gets its answer.
MIN_KEYED_RUN_SECONDS = 30.0


class RequestAdmission:
    """Admits requests, opens their streams and starts their jobs.

    Parameters
    ----------
    gate : AdmissionGate
        Admission decisions.
    job_runner : JobRunner
        Runs admitted requests on the backend server.
    streams : StreamTable
        Streams of the entry nodes.
    budget : BufferBudget
        Memory budget of the answers buffered for readers.
    max_retained_bytes : int
        Upper bound on one answer that is retained for an idempotency key.
    incarnation : int
        Incarnation of the agent, returned with every `SubmitAnswer`.
    """

    def __init__(
        self,
        *,
        gate: AdmissionGate,
        job_runner: JobRunner,
        streams: StreamTable,
        budget: BufferBudget,
        max_retained_bytes: int,
        incarnation: int,
        clock: Clock,
        metrics: Metrics,
        monitor: InvariantMonitor,
    ) -> None:
        self._gate = gate
        self._job_runner = job_runner
        self._streams = streams
        self._budget = budget
        self._retained_budget = BufferBudget(max_bytes=0, max_answers=0)
        self._max_retained_bytes = max_retained_bytes
        self._incarnation = incarnation
        self._clock = clock
        self._metrics = metrics
        self._monitor = monitor
        self._lock = threading.Lock()
        self._retained: dict[int, AnswerBuffer] = {}

    def submit(
        self, envelope: Envelope, request: CallRequest, *, received_at: float
    ) -> SubmitAnswer:
        """Admit a request, attach it to the answer of its key, or refuse it.

        `received_at` is the monotonic time at which the call arrived. The time
        since then, which may include a process pause, is subtracted from the
        request's deadline.
        """
        prompt = parse_prompt(request.body or b"") or ""
        with self._lock:
            elapsed_ms = int((self._clock.monotonic() - received_at) * 1000)
            envelope.remaining_ms = (envelope.remaining_ms or 0) - elapsed_ms
            outcome = self._gate.apply(
                ev.Submitted, **self._submitted_fields(envelope, request, prompt)
            )
            answer = self._open_stream(envelope, request, outcome, prompt)
        code = outcome.code
        self._metrics.count(
            metric_names.REQUESTS_ADMITTED
            if code is ResultCode.OK
            else metric_names.REQUESTS_REFUSED
        )
        return SubmitAnswer(
            code=int(code),
            incarnation=self._incarnation,
            headroom=self._gate.headroom(),
            model_version=answer.model_version if answer else outcome.model_version,
            detail=outcome.detail,
        )

    def refuse_new_requests(self) -> None:
        """Refuse all later requests, as the agent stops.

        On return, each request that was admitted has its stream and its job, so
        that a count of these misses none.
        """
        with self._lock:
            self._gate.apply(ev.Stopping)

    def sweep(self) -> None:
        """Drop the answers of expired keys and update the gauges."""
        for ticket in self._gate.pop_expired_tickets():
            with self._lock:
                self._retained.pop(ticket, None)
        self.update_gauges()

    def update_gauges(self) -> None:
        """Publish the buffered bytes and the number of streams as gauges."""
        self._metrics.gauge(metric_names.BUFFERED_BYTES, self._budget.held_bytes)
        self._metrics.gauge(metric_names.STREAMS, len(self._streams))

    def _submitted_fields(
        self, envelope: Envelope, request: CallRequest, prompt: str
    ) -> dict[str, object]:
        body = request.body or b""
        min_prompt_tokens = math.ceil(len(prompt.encode()) / BYTES_PER_TOKEN)
        return {
            "request_id": request.request_id,
            "attempt": request.attempt,
            "service": request.service_name,
            "key": request.key or "",
            "key_digest": _key_digest(request) if request.key else "",
            "prompt_tokens": max(request.prompt_tokens or 0, min_prompt_tokens),
            "max_tokens": request.max_tokens or 0,
            "body_bytes": len(body),
            "remaining_ms": envelope.remaining_ms or 0,
            "model_version": request.model_version or "",
            "refuse_with": int(self._refusal_code(request, body, prompt)),
        }

    def _refusal_code(self, request: CallRequest, body: bytes, prompt: str) -> int:
        if not request.request_id or not request.service_name:
            return ResultCode.INVALID_REQUEST
        if len(body) > MAX_BODY_BYTES:
            return ResultCode.REQUEST_TOO_LARGE
        if self._gate.is_model() and not prompt:
            return ResultCode.INVALID_REQUEST
        if len((request.resume_text or "").encode()) != (request.resume_offset or 0):
            return ResultCode.INVALID_REQUEST
        return ResultCode.SERVER_BUSY if self._streams.is_full() else ResultCode.OK

    def _open_stream(
        self,
        envelope: Envelope,
        request: CallRequest,
        outcome: ev.Outcome,
        prompt: str,
    ) -> AnswerBuffer | None:
        if outcome.code is not ResultCode.OK:
            return None
        if not outcome.run:
            answer = self._retained.get(outcome.ticket)
            if answer is not None:
                self._attach_reader(envelope, request, answer, job=None)
            return answer
        answer = self._new_answer(request, outcome)
        job = self._new_job(envelope, request, outcome, answer, prompt)
        if request.key:
            self._retained[outcome.ticket] = answer
        self._attach_reader(envelope, request, answer, job)
        self._job_runner.start(job)
        return answer

    def _new_answer(self, request: CallRequest, outcome: ev.Outcome) -> AnswerBuffer:
        is_retained = bool(request.key)
        window = request.window_bytes or DEFAULT_WINDOW_BYTES
        return AnswerBuffer(
            start=request.resume_offset or 0,
            prefix=(request.resume_text or "").encode(),
            is_retained=is_retained,
            window_bytes=min(window, MAX_WINDOW_BYTES),
            max_bytes=self._max_retained_bytes if is_retained else MAX_ANSWER_BYTES,
            budget=self._retained_budget if is_retained else self._budget,
            monitor=self._monitor,
            model_version=outcome.model_version,
            is_text=self._gate.is_model(),
        )

    def _new_job(
        self,
        envelope: Envelope,
        request: CallRequest,
        outcome: ev.Outcome,
        answer: AnswerBuffer,
        prompt: str,
    ) -> Job:
        is_model = self._gate.is_model()
        seconds = envelope.remaining_ms / 1000
        if request.key:
            seconds = max(seconds, MIN_KEYED_RUN_SECONDS)
        spec = JobSpec(
            request_id=request.request_id,
            attempt=request.attempt,
            traceparent=envelope.traceparent or "",
            priority=request.priority or 0,
            is_model=is_model,
            model_version=outcome.model_version,
            prompt=prompt,
            prompt_tokens=request.prompt_tokens or 0,
            max_tokens=request.max_tokens or 0,
            delivered_text=(request.resume_text or "").encode(),
            plain_request=None if is_model else _plain_request(request),
            key=request.key or "",
        )
        return Job(
            spec=spec,
            answer=answer,
            ticket=outcome.ticket,
            deadline=self._clock.monotonic() + seconds,
        )

    def _attach_reader(
        self,
        envelope: Envelope,
        request: CallRequest,
        answer: AnswerBuffer,
        job: Job | None,
    ) -> None:
        keyed = bool(request.key)
        self._streams.open(
            (request.request_id, request.attempt),
            sender=envelope.sender,
            sender_incarnation=envelope.incarnation or 0,
            answer=answer,
            on_abandoned=_no_op if keyed else partial(self._on_abandoned, job),
            on_read=_no_op if keyed else partial(self._job_runner.resume_if_space, job),
        )

    def _on_abandoned(self, job: Job, code: ResultCode) -> None:
        if job.answer.final_status is None:
            self._job_runner.stop(job, code)
        job.answer.discard()


def _key_digest(request: CallRequest) -> str:
    parts = (
        request.service_name or "",
        request.method or "",
        request.path or "",
        str(request.max_tokens or 0),
    )
    head = "\x00".join(parts).encode()
    return digest_of(head + b"\x00" + (request.body or b""))


def _plain_request(request: CallRequest) -> PlainRequest:
    return PlainRequest(
        request_id=request.request_id,
        method=request.method or "POST",
        path=request.path or "/",
        headers=dict(request.headers or {}),
        body=request.body or b"",
    )


def _no_op(*_: object) -> None:
    return None
