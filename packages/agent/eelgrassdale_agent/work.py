"""Runs admitted requests on the backend server, one thread for each."""

import threading

import structlog

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import Clock
from eelgrassdale.results import Ran, ResultCode, verdict_of
from eelgrassdale.telemetry import Metrics, SpanKind, Tracer
from eelgrassdale_agent import metrics as names
from eelgrassdale_agent.answers import Finish, Space
from eelgrassdale_agent.backend import MAX_DETAIL_CHARACTERS, BackendError, Exchange
from eelgrassdale_agent.engine import EngineClient, EngineStream, GenerateRequest, Token
from eelgrassdale_agent.gate import AdmissionGate
from eelgrassdale_agent.jobs import Job, Task
from eelgrassdale_agent.plain import PlainClient

# Longest wait for one read from the backend server.
READ_SECONDS = 30.0
# Header of a failed last frame that tells the cause.
DETAIL = "detail"

log = structlog.get_logger(__name__)


class Worker:
    """Starts, parks, resumes and stops jobs.

    Parameters
    ----------
    engine : EngineClient
        Client of a model engine.
    plain : PlainClient
        Client of a plain service; both have the same URL.
    gate : AdmissionGate
        Learns of every completion.
    clock, metrics, tracer : Clock, Metrics, Tracer
        Time and telemetry of the process.
    slow_reader_seconds : float
        A reader that frees no space for this time loses its place in the
        engine.
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
        """Run an admitted job in a thread of its own."""
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
            self._end(job, Finish(code=code))
        elif exchange is not None:
            exchange.abort()

    def unparked(self, job: Job) -> None:
        """Resume a parked job when its reader made space."""
        if not job.parked or not job.answer.has_space():
            return
        with self._lock:
            if job.resuming or job.stop_code is not None or not job.parked:
                return
            job.resuming = True
        self._resume(job)

    def sweep(self) -> None:
        """Stop the jobs past their deadline and try parked ones again."""
        now = self._clock.monotonic()
        with self._lock:
            jobs = list(self._jobs)
        for job in jobs:
            if now >= job.deadline:
                self.stop(job, ResultCode.DEADLINE_EXCEEDED)
            else:
                self.unparked(job)

    def unfinished(self) -> int:
        """Return the number of jobs that have not ended."""
        with self._lock:
            return len(self._jobs)

    def _resume(self, job: Job) -> None:
        task = job.task
        outcome = self._gate.apply(
            ev.Resumed,
            request_id=task.request_id,
            attempt=task.attempt,
            model_version=task.model_version,
            prompt_tokens=task.prompt_tokens,
            max_tokens=task.max_tokens,
        )
        if outcome.code is ResultCode.OK:
            job.ticket = outcome.ticket
            job.parked = job.resuming = False
            self.start(job)
        elif outcome.code is ResultCode.MODEL_VERSION_UNAVAILABLE:
            self._end(job, Finish(code=ResultCode.ANSWER_TRUNCATED))
        else:
            job.resuming = False

    def _run(self, job: Job) -> None:
        task = job.task
        started = self._clock.monotonic()
        seconds = max(0.001, min(READ_SECONDS, job.deadline - started))
        client = self._engine if task.is_model else self._plain
        exchange = client.exchange(timeout_seconds=seconds)
        with self._lock:
            job.exchange = exchange
        try:
            finish = self._run_traced(job, exchange)
        except BackendError as exc:
            finish = self._failed(job, exc)
        except Exception as exc:
            # The slot must be freed whatever went wrong.
            log.error("request failed", request_id=task.request_id, exc_info=exc)
            finish = Finish(code=ResultCode.BACKEND_FAILED)
        finally:
            exchange.close()
        milliseconds = (self._clock.monotonic() - started) * 1000
        self._metrics.timing(names.BACKEND_MS, milliseconds)
        self._complete(job, finish)

    def _run_traced(self, job: Job, exchange: Exchange) -> Finish | None:
        task = job.task
        run = self._run_model if task.is_model else self._run_plain
        if job.stop_code is not None:
            return Finish(code=job.stop_code)
        # The process may have been paused since the job was admitted.
        if self._clock.monotonic() >= job.deadline:
            return Finish(code=_code_after_deadline(job))
        with (
            self._tracer.span(
                SpanKind.AGENT,
                traceparent=task.traceparent,
                request_id=task.request_id,
                attempt=task.attempt,
            ) as at_agent,
            self._tracer.span(
                SpanKind.BACKEND, traceparent=at_agent, model_version=task.model_version
            ) as outgoing,
        ):
            return run(job, exchange, outgoing)

    def _run_model(
        self, job: Job, exchange: Exchange, traceparent: str
    ) -> Finish | None:
        task = job.task
        stream = self._engine.generate(
            GenerateRequest(
                request_id=task.backend_id,
                prompt=task.prompt,
                max_tokens=task.max_tokens,
                priority=task.priority,
                resume_from=job.tokens,
                model_version=task.model_version,
            ),
            exchange=exchange,
            traceparent=traceparent,
        )
        self._check_engine(stream, task)
        job.model_version = stream.model_version
        for tokens in stream.batches():
            finish = self._take_tokens(job, tokens)
            if finish is not None:
                return finish
            space = self._space(job)
            if space is Space.GONE:
                return Finish(code=job.stop_code or ResultCode.CALLER_CANCELLED)
            if space is Space.STALLED:
                return None
        raise BackendError(ResultCode.BACKEND_FAILED, "the stream has no end line")

    def _check_engine(self, stream: EngineStream, task: Task) -> None:
        known = self._gate.engine_incarnation()
        if known and stream.incarnation != known:
            self._gate.apply(ev.EngineLost)
        if stream.model_version != task.model_version:
            self._gate.apply(ev.VersionMismatch)
            raise BackendError(
                ResultCode.BACKEND_FAILED, f"model version {stream.model_version}"
            )

    def _take_tokens(self, job: Job, tokens: list[Token]) -> Finish | None:
        text = b""
        for token in tokens:
            if token.index > job.tokens or (token.is_end and token.index != job.tokens):
                raise BackendError(
                    ResultCode.BACKEND_FAILED,
                    f"token {token.index} after {job.tokens}",
                )
            if token.is_end:
                self._append(job, text)
                return Finish(code=ResultCode.OK)
            if token.index == job.tokens:
                text += token.text.encode()
                job.tokens += 1
        self._append(job, text)
        return None

    def _append(self, job: Job, text: bytes) -> None:
        left = job.task.skip[job.skipped :]
        if left and text:
            count = min(len(left), len(text))
            if left[:count] != text[:count]:
                raise BackendError(
                    ResultCode.ANSWER_TRUNCATED, "the resumed answer differs"
                )
            job.skipped += count
            text = text[count:]
        self._append_piece(job, text)

    def _run_plain(
        self, job: Job, exchange: Exchange, traceparent: str
    ) -> Finish | None:
        answer = self._plain.call(
            job.task.call, exchange=exchange, traceparent=traceparent
        )
        head = Finish(
            code=ResultCode.OK, http_status=answer.status, headers=answer.headers
        )
        job.answer.head = head
        for piece in answer.pieces():
            self._append_piece(job, piece)
            space = self._space(job)
            if space is Space.GONE:
                return Finish(code=job.stop_code or ResultCode.CALLER_CANCELLED)
            if space is Space.STALLED:
                return Finish(code=ResultCode.CALLER_TOO_SLOW)
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

    def _space(self, job: Job) -> Space:
        if job.stop_code is not None:
            return Space.GONE
        return job.answer.wait_for_space(
            epoch=job.epoch, seconds=self._slow_reader_seconds
        )

    def _failed(self, job: Job, exc: BackendError) -> Finish:
        if job.stop_code is not None:
            never_sent = exc.code is ResultCode.NO_BACKEND_SERVER
            return Finish(code=exc.code if never_sent else job.stop_code)
        if exc.is_lost:
            self._gate.apply(ev.EngineLost)
        code = exc.code
        if job.tokens and verdict_of(code).ran is Ran.NOT_RUN:
            code = ResultCode.ANSWER_TRUNCATED
        return Finish(code=code, headers={DETAIL: exc.detail[:MAX_DETAIL_CHARACTERS]})

    def _complete(self, job: Job, finish: Finish | None) -> None:
        whole = finish is not None and finish.code is ResultCode.OK
        parked = finish is None
        if job.task.is_model and not whole:
            self._engine.cancel(job.task.backend_id)
        if parked:
            job.epoch = job.answer.new_epoch()
        self._gate.apply(
            ev.Completed,
            ticket=job.ticket,
            healthy=whole and finish.http_status < 500,
            code=finish.code if finish else ResultCode.CALLER_TOO_SLOW,
            answer_bytes=job.answer.end,
            parked=parked,
        )
        if not parked:
            self._end(job, finish)
            return
        self._metrics.count(names.REQUESTS_PARKED)
        with self._lock:
            job.parked = True
            stop_code = job.stop_code
        if stop_code is not None:
            self._end(job, Finish(code=stop_code))

    def _end(self, job: Job, finish: Finish) -> None:
        with self._lock:
            self._jobs.discard(job)
        if not job.answer.finish(finish):
            return
        counter = _counter_of(finish.code)
        if counter:
            self._metrics.count(counter)


def _code_after_deadline(job: Job) -> ResultCode:
    if job.tokens:
        return ResultCode.DEADLINE_EXCEEDED
    return ResultCode.DEADLINE_PASSED


def _counter_of(code: ResultCode) -> str:
    if code is ResultCode.OK:
        return names.REQUESTS_COMPLETED
    if code is ResultCode.CALLER_CANCELLED:
        return names.REQUESTS_CANCELLED
    if code in (ResultCode.BACKEND_FAILED, ResultCode.NO_BACKEND_SERVER):
        return names.BACKEND_FAILURES
    return ""
