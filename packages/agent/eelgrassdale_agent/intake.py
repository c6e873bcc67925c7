"""Takes requests of entry nodes: admission, answer buffer, stream and job."""

import math
import threading
from functools import partial

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import Clock
from eelgrassdale.hashing import digest_of
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.wire import CallRequest, Envelope, SubmitAnswer
from eelgrassdale_agent import metrics as names
from eelgrassdale_agent.answers import Answer, BufferBudget
from eelgrassdale_agent.gate import AdmissionGate
from eelgrassdale_agent.jobs import Job, Task, prompt_of
from eelgrassdale_agent.plain import PlainRequest
from eelgrassdale_agent.streams import StreamTable
from eelgrassdale_agent.work import Worker

MAX_BODY_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
DEFAULT_WINDOW_BYTES = 64 * 1024
MAX_WINDOW_BYTES = 1024 * 1024
# Bytes of prompt that make a token; a lower count of the entry node is raised.
BYTES_PER_TOKEN = 4
# A keyed request runs at least this long, whatever its caller's deadline, so
# that a repeat gets its answer.
KEYED_SECONDS = 30.0


class Intake:
    """Admits requests and opens their streams.

    Parameters
    ----------
    gate : AdmissionGate
        Admission decisions.
    worker : Worker
        Runs what is admitted.
    streams : StreamTable
        Streams of the entry nodes.
    budget : BufferBudget
        Bound of the bytes held for readers.
    kept_bytes : int
        Bound of one keyed answer.
    incarnation : int
        Life of the agent, part of every answer.
    """

    def __init__(
        self,
        *,
        gate: AdmissionGate,
        worker: Worker,
        streams: StreamTable,
        budget: BufferBudget,
        kept_bytes: int,
        incarnation: int,
        clock: Clock,
        metrics: Metrics,
        monitor: InvariantMonitor,
    ) -> None:
        self._gate = gate
        self._worker = worker
        self._streams = streams
        self._budget = budget
        self._kept_budget = BufferBudget(max_bytes=0, max_answers=0)
        self._kept_bytes = kept_bytes
        self._incarnation = incarnation
        self._clock = clock
        self._metrics = metrics
        self._monitor = monitor
        self._lock = threading.Lock()
        self._kept: dict[int, Answer] = {}

    def submit(
        self, envelope: Envelope, request: CallRequest, *, received: float
    ) -> SubmitAnswer:
        """Admit a request, join the answer of its key, or refuse it.

        `received` is the monotonic time at which the call arrived; the process
        may have been paused since.
        """
        prompt = prompt_of(request.body or b"") or ""
        with self._lock:
            waited_ms = int((self._clock.monotonic() - received) * 1000)
            envelope.remaining_ms = (envelope.remaining_ms or 0) - waited_ms
            outcome = self._gate.apply(
                ev.Submitted, **self._facts(envelope, request, prompt)
            )
            answer = self._open(envelope, request, outcome, prompt)
        code = outcome.code
        self._metrics.count(
            names.REQUESTS_ADMITTED if code is ResultCode.OK else names.REQUESTS_REFUSED
        )
        return SubmitAnswer(
            code=int(code),
            incarnation=self._incarnation,
            headroom=self._gate.headroom(),
            model_version=answer.model_version if answer else outcome.model_version,
            detail=outcome.detail,
        )

    def sweep(self) -> None:
        """Forget the answers of expired keys."""
        for ticket in self._gate.take_expired():
            with self._lock:
                self._kept.pop(ticket, None)
        self.update_gauges()

    def update_gauges(self) -> None:
        """Publish the bytes and streams held for readers."""
        self._metrics.gauge(names.BUFFERED_BYTES, self._budget.held_bytes)
        self._metrics.gauge(names.STREAMS, len(self._streams))

    def _facts(
        self, envelope: Envelope, request: CallRequest, prompt: str
    ) -> dict[str, object]:
        body = request.body or b""
        least = math.ceil(len(prompt.encode()) / BYTES_PER_TOKEN)
        return {
            "request_id": request.request_id,
            "attempt": request.attempt,
            "service": request.service_name,
            "key": request.key or "",
            "key_digest": _digest(request) if request.key else "",
            "prompt_tokens": max(request.prompt_tokens or 0, least),
            "max_tokens": request.max_tokens or 0,
            "body_bytes": len(body),
            "remaining_ms": envelope.remaining_ms or 0,
            "model_version": request.model_version or "",
            "refuse_with": int(self._refuse_with(request, body, prompt)),
        }

    def _refuse_with(self, request: CallRequest, body: bytes, prompt: str) -> int:
        if not request.request_id or not request.service_name:
            return ResultCode.INVALID_REQUEST
        if len(body) > MAX_BODY_BYTES:
            return ResultCode.REQUEST_TOO_LARGE
        if self._gate.is_model() and not prompt:
            return ResultCode.INVALID_REQUEST
        if len((request.resume_text or "").encode()) != (request.resume_offset or 0):
            return ResultCode.INVALID_REQUEST
        return ResultCode.SERVER_BUSY if self._streams.is_full() else ResultCode.OK

    def _open(
        self,
        envelope: Envelope,
        request: CallRequest,
        outcome: ev.Outcome,
        prompt: str,
    ) -> Answer | None:
        if outcome.code is not ResultCode.OK:
            return None
        if not outcome.run:
            answer = self._kept.get(outcome.ticket)
            if answer is not None:
                self._listen(envelope, request, answer, job=None)
            return answer
        answer = self._new_answer(request, outcome)
        job = self._new_job(envelope, request, outcome, answer, prompt)
        if request.key:
            self._kept[outcome.ticket] = answer
        self._listen(envelope, request, answer, job)
        self._worker.start(job)
        return answer

    def _new_answer(self, request: CallRequest, outcome: ev.Outcome) -> Answer:
        kept = bool(request.key)
        window = request.window_bytes or DEFAULT_WINDOW_BYTES
        return Answer(
            start=request.resume_offset or 0,
            prefix=(request.resume_text or "").encode(),
            kept=kept,
            window_bytes=min(window, MAX_WINDOW_BYTES),
            max_bytes=self._kept_bytes if kept else MAX_ANSWER_BYTES,
            budget=self._kept_budget if kept else self._budget,
            monitor=self._monitor,
            model_version=outcome.model_version,
            is_text=self._gate.is_model(),
        )

    def _new_job(
        self,
        envelope: Envelope,
        request: CallRequest,
        outcome: ev.Outcome,
        answer: Answer,
        prompt: str,
    ) -> Job:
        is_model = self._gate.is_model()
        seconds = envelope.remaining_ms / 1000
        if request.key:
            seconds = max(seconds, KEYED_SECONDS)
        task = Task(
            request_id=request.request_id,
            attempt=request.attempt,
            traceparent=envelope.traceparent or "",
            priority=request.priority or 0,
            is_model=is_model,
            model_version=outcome.model_version,
            prompt=prompt,
            prompt_tokens=request.prompt_tokens or 0,
            max_tokens=request.max_tokens or 0,
            skip=(request.resume_text or "").encode(),
            call=None if is_model else _plain_request(request),
            key=request.key or "",
        )
        return Job(
            task=task,
            answer=answer,
            ticket=outcome.ticket,
            deadline=self._clock.monotonic() + seconds,
        )

    def _listen(
        self,
        envelope: Envelope,
        request: CallRequest,
        answer: Answer,
        job: Job | None,
    ) -> None:
        keyed = bool(request.key)
        self._streams.open(
            (request.request_id, request.attempt),
            sender=envelope.sender,
            sender_incarnation=envelope.incarnation or 0,
            answer=answer,
            on_abandoned=_nothing if keyed else partial(self._abandon, job),
            on_read=_nothing if keyed else partial(self._worker.unparked, job),
        )

    def _abandon(self, job: Job, code: ResultCode) -> None:
        if job.answer.finished is None:
            self._worker.stop(job, code)
        job.answer.discard()


def _digest(request: CallRequest) -> str:
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


def _nothing(*_: object) -> None:
    return None
