"""Runs admitted requests on the backend server, each in its own thread."""

import threading

import structlog

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import Clock
from eelgrassdale.results import ExecutionState, ResultCode, info_of
from eelgrassdale.telemetry import Metrics, SpanKind, Tracer
from eelgrassdale_agent import metrics as metric_names
from eelgrassdale_agent.answers import AnswerStatus, SpaceStatus
from eelgrassdale_agent.backend import MAX_DETAIL_CHARACTERS, BackendError, Exchange
from eelgrassdale_agent.engine import EngineClient, EngineStream, GenerateRequest, Token
from eelgrassdale_agent.gate import AdmissionGate
from eelgrassdale_agent.jobs import Job, JobSpec
from eelgrassdale_agent.plainclient import PlainClient

# Time-out of one read from the backend server.
READ_TIMEOUT_SECONDS = 30.0
# Header of a failed last frame that contains the cause.
DETAIL_HEADER = "detail"

log = structlog.get_logger(__name__)


class JobRunner:
    """Starts, parks, resumes and stops jobs.

    Parameters
    ----------
    engine : EngineClient
        Client of a model engine.
    plain : PlainClient
        Client of a plain service; both have the same URL.
    gate : AdmissionGate
        Receives every completion.
    clock, metrics, tracer : Clock, Metrics, Tracer
        Monotonic time and telemetry of the process.
    slow_reader_seconds : float
        If a reader frees no space for this time, the job is parked: its engine
        stream is cancelled and its slot freed until the reader has space.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
        plain: PlainClient,
        gate: AdmissionGate,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
        slow_reader_seconds: float = 5.0,
    ) -> None:
        self._slow_reader_seconds = slow_reader_seconds
        self._engine = engine
        self._plain = plain
        self._gate = gate
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        self._lock = threading.Lock()
        self._jobs: set[Job] = set()

    def start(self, job: Job) -> None:
        """Run an admitted job in a new thread."""
        with self._lock:
            self._jobs.add(job)
        threading.Thread(
            target=self._run, args=(job,), name="request", daemon=True
        ).start()

    def stop(self, job: Job, code: ResultCode) -> None:
        """End a job early with `code` and free its slot in the engine."""
        with self._lock:
            if job.stop_code is None:
                job.stop_code = code
            parked = job.parked
            exchange = job.exchange
        if parked:
            self._finish(job, AnswerStatus(code=code))
        elif exchange is not None:
            exchange.abort()

    def resume_if_space(self, job: Job) -> None:
        """Resume a parked job if its reader has freed space."""
        if not job.parked or not job.answer.has_space():
            return
        with self._lock:
            if job.resuming or job.stop_code is not None or not job.parked:
                return
            job.resuming = True
        self._resume(job)

    def sweep(self) -> None:
        """Stop jobs past their deadline and try to resume parked ones."""
        now = self._clock.monotonic()
        with self._lock:
            jobs = list(self._jobs)
        for job in jobs:
            if now >= job.deadline:
                self.stop(job, ResultCode.DEADLINE_EXCEEDED)
            else:
                self.resume_if_space(job)

    def unfinished_count(self) -> int:
        """Return the number of jobs that have not ended."""
        with self._lock:
            return len(self._jobs)

    def _resume(self, job: Job) -> None:
        spec = job.spec
        outcome = self._gate.apply(
            ev.Resumed,
            request_id=spec.request_id,
            attempt=spec.attempt,
            model_version=spec.model_version,
            prompt_tokens=spec.prompt_tokens,
            max_tokens=spec.max_tokens,
        )
        if outcome.code is ResultCode.OK:
            job.ticket = outcome.ticket
            job.parked = job.resuming = False
            self.start(job)
        elif outcome.code is ResultCode.MODEL_VERSION_UNAVAILABLE:
            self._finish(job, AnswerStatus(code=ResultCode.ANSWER_TRUNCATED))
        else:
            job.resuming = False

    def _run(self, job: Job) -> None:
        spec = job.spec
        started = self._clock.monotonic()
        seconds = max(0.001, min(READ_TIMEOUT_SECONDS, job.deadline - started))
        client = self._engine if spec.is_model else self._plain
        exchange = client.exchange(timeout_seconds=seconds)
        with self._lock:
            job.exchange = exchange
        try:
            status = self._run_traced(job, exchange)
        except BackendError as exc:
            status = self._failure_status(job, exc)
        except Exception as exc:
            # Any exception is caught here, because the slot must be freed.
            log.error("request failed", request_id=spec.request_id, exc_info=exc)
            status = AnswerStatus(code=ResultCode.BACKEND_FAILED)
        finally:
            exchange.close()
        milliseconds = (self._clock.monotonic() - started) * 1000
        self._metrics.timing(metric_names.BACKEND_MS, milliseconds)
        self._complete(job, status)

    def _run_traced(self, job: Job, exchange: Exchange) -> AnswerStatus | None:
        spec = job.spec
        run = self._run_model if spec.is_model else self._run_plain
        if job.stop_code is not None:
            return AnswerStatus(code=job.stop_code)
        # The process may have been paused since the job was admitted.
        if self._clock.monotonic() >= job.deadline:
            return AnswerStatus(code=_code_after_deadline(job))
        with (
            self._tracer.span(
                SpanKind.AGENT,
                traceparent=spec.traceparent,
                request_id=spec.request_id,
                attempt=spec.attempt,
            ) as agent_traceparent,
            self._tracer.span(
                SpanKind.BACKEND,
                traceparent=agent_traceparent,
                model_version=spec.model_version,
            ) as backend_traceparent,
        ):
            return run(job, exchange, backend_traceparent)

    def _run_model(
        self, job: Job, exchange: Exchange, traceparent: str
    ) -> AnswerStatus | None:
        spec = job.spec
        stream = self._engine.generate(
            GenerateRequest(
                request_id=spec.backend_request_id,
                prompt=spec.prompt,
                max_tokens=spec.max_tokens,
                priority=spec.priority,
                resume_from=job.tokens,
                model_version=spec.model_version,
            ),
            exchange=exchange,
            traceparent=traceparent,
        )
        self._check_engine(stream, spec)
        job.model_version = stream.model_version
        for tokens in stream.token_batches():
            status = self._append_tokens(job, tokens)
            if status is not None:
                return status
            space = self._wait_for_space(job)
            if space is SpaceStatus.ENDED:
                return AnswerStatus(code=job.stop_code or ResultCode.CALLER_CANCELLED)
            if space is SpaceStatus.STALLED:
                return None
        raise BackendError(ResultCode.BACKEND_FAILED, "the stream has no end line")

    def _check_engine(self, stream: EngineStream, spec: JobSpec) -> None:
        known_incarnation = self._gate.engine_incarnation()
        if known_incarnation and stream.incarnation != known_incarnation:
            self._gate.apply(ev.EngineLost)
        if stream.model_version != spec.model_version:
            self._gate.apply(ev.VersionMismatch)
            raise BackendError(
                ResultCode.BACKEND_FAILED, f"model version {stream.model_version}"
            )

    def _append_tokens(self, job: Job, tokens: list[Token]) -> AnswerStatus | None:
        text = b""
        for token in tokens:
            if token.index > job.tokens or (token.is_end and token.index != job.tokens):
                raise BackendError(
                    ResultCode.BACKEND_FAILED,
                    f"token {token.index} after {job.tokens}",
                )
            if token.is_end:
                self._append_text(job, text)
                return AnswerStatus(code=ResultCode.OK)
            if token.index == job.tokens:
                text += token.text.encode()
                job.tokens += 1
        self._append_text(job, text)
        return None

    def _append_text(self, job: Job, text: bytes) -> None:
        remaining = job.spec.delivered_text[job.skipped_bytes :]
        if remaining and text:
            count = min(len(remaining), len(text))
            if remaining[:count] != text[:count]:
                raise BackendError(
                    ResultCode.ANSWER_TRUNCATED, "the resumed answer differs"
                )
            job.skipped_bytes += count
            text = text[count:]
        self._append_piece(job, text)

    def _run_plain(
        self, job: Job, exchange: Exchange, traceparent: str
    ) -> AnswerStatus | None:
        response = self._plain.call(
            job.spec.plain_request, exchange=exchange, traceparent=traceparent
        )
        head = AnswerStatus(
            code=ResultCode.OK, http_status=response.status, headers=response.headers
        )
        job.answer.initial_status = head
        for piece in response.pieces():
            self._append_piece(job, piece)
            space = self._wait_for_space(job)
            if space is SpaceStatus.ENDED:
                return AnswerStatus(code=job.stop_code or ResultCode.CALLER_CANCELLED)
            if space is SpaceStatus.STALLED:
                return AnswerStatus(code=ResultCode.CALLER_TOO_SLOW)
        return head

    def _append_piece(self, job: Job, piece: bytes) -> None:
        answer = job.answer
        offset = answer.end
        if offset + len(piece) > answer.max_bytes:
            raise BackendError(
                ResultCode.ANSWER_TOO_LARGE, f"more than {answer.max_bytes} bytes"
            )
        if piece:
            answer.append(
                piece,
                epoch=job.epoch,
                offset=offset,
                model_version=job.model_version,
            )

    def _wait_for_space(self, job: Job) -> SpaceStatus:
        if job.stop_code is not None:
            return SpaceStatus.ENDED
        return job.answer.wait_for_space(
            epoch=job.epoch, timeout_seconds=self._slow_reader_seconds
        )

    def _failure_status(self, job: Job, exc: BackendError) -> AnswerStatus:
        if job.stop_code is not None:
            never_sent = exc.code is ResultCode.NO_BACKEND_SERVER
            return AnswerStatus(code=exc.code if never_sent else job.stop_code)
        if exc.is_connection_lost:
            self._gate.apply(ev.EngineLost)
        code = exc.code
        if job.tokens and info_of(code).ran is ExecutionState.NOT_RUN:
            code = ResultCode.ANSWER_TRUNCATED
        return AnswerStatus(
            code=code, headers={DETAIL_HEADER: exc.detail[:MAX_DETAIL_CHARACTERS]}
        )

    def _complete(self, job: Job, status: AnswerStatus | None) -> None:
        is_complete = status is not None and status.code is ResultCode.OK
        parked = status is None
        if job.spec.is_model and not is_complete:
            self._engine.cancel(job.spec.backend_request_id)
        if parked:
            job.epoch = job.answer.start_epoch()
        self._gate.apply(
            ev.Completed,
            ticket=job.ticket,
            healthy=is_complete and status.http_status < 500,
            code=status.code if status else ResultCode.CALLER_TOO_SLOW,
            answer_bytes=job.answer.end,
            parked=parked,
        )
        if not parked:
            self._finish(job, status)
            return
        self._metrics.count(metric_names.REQUESTS_PARKED)
        with self._lock:
            job.parked = True
            stop_code = job.stop_code
        if stop_code is not None:
            self._finish(job, AnswerStatus(code=stop_code))

    def _finish(self, job: Job, status: AnswerStatus) -> None:
        with self._lock:
            self._jobs.discard(job)
        if not job.answer.finish(status):
            return
        counter = _counter_name(status.code)
        if counter:
            self._metrics.count(counter)


def _code_after_deadline(job: Job) -> ResultCode:
    if job.tokens:
        return ResultCode.DEADLINE_EXCEEDED
    return ResultCode.DEADLINE_PASSED


def _counter_name(code: ResultCode) -> str:
    if code is ResultCode.OK:
        return metric_names.REQUESTS_COMPLETED
    if code is ResultCode.CALLER_CANCELLED:
        return metric_names.REQUESTS_CANCELLED
    if code in (ResultCode.BACKEND_FAILED, ResultCode.NO_BACKEND_SERVER):
        return metric_names.BACKEND_FAILURES
    return ""
