"""Tests of running jobs against a scripted engine."""

import threading

import pytest

from eelgrassdale.admission import Admission
from eelgrassdale.admission import events as ev
from eelgrassdale.clock import SystemClock
from eelgrassdale.results import ResultCode as C
from eelgrassdale.telemetry import InvariantMonitor, Metrics, new_tracer
from eelgrassdale_agent.answers import Answer, BufferBudget
from eelgrassdale_agent.backend import BackendError
from eelgrassdale_agent.engine import Token
from eelgrassdale_agent.gate import AdmissionGate
from eelgrassdale_agent.jobs import Job, Task
from eelgrassdale_agent.work import Worker

WAIT_SECONDS = 10.0


def tokens(*texts, first=0):
    """Return tokens with their indices."""
    return [Token(index=first + n, text=text) for n, text in enumerate(texts)]


def end(count):
    """Return the end line of an answer."""
    return Token(index=count, is_end=True)


class Exchange:
    def abort(self):
        pass

    def close(self):
        pass


class Stream:
    def __init__(self, batches, version):
        self.incarnation = "e1"
        self.model_version = version
        self._batches = batches

    def batches(self):
        for batch in self._batches:
            if isinstance(batch, Exception):
                raise batch
            yield batch


class Engine:
    """Answers each call from a script and records what was asked."""

    def __init__(self, *scripts, version="v1"):
        self.scripts = list(scripts)
        self.version = version
        self.asked = []
        self.cancelled = []

    def exchange(self, *, timeout_seconds):
        return Exchange()

    def generate(self, request, *, exchange, traceparent):
        self.asked.append(request)
        script = self.scripts.pop(0)
        if isinstance(script, Exception):
            raise script
        return Stream(script, self.version)

    def cancel(self, request_id):
        self.cancelled.append(request_id)


class Bench:
    """A worker whose engine follows a script."""

    def __init__(self, engine, *, slow_reader_seconds=0.0):
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.monitor = InvariantMonitor(metrics=self.metrics)
        settings = ev.Settings(
            agent="a", incarnation=1, wall_ms=0, monotonic=self.clock.monotonic()
        )
        self.gate = AdmissionGate(
            admission=Admission(settings=settings, monitor=self.monitor),
            clock=self.clock,
            metrics=self.metrics,
        )
        self.engine = engine
        self.worker = Worker(
            engine=engine,
            plain=None,
            gate=self.gate,
            clock=self.clock,
            metrics=self.metrics,
            tracer=new_tracer(otlp_endpoint="", node="a"),
            slow_reader_seconds=slow_reader_seconds,
        )
        self.make_ready()

    def make_ready(self):
        self.gate.apply(
            ev.Configured,
            generation=1,
            bounds=ev.Bounds(
                service="s",
                model=True,
                model_version="v1",
                cold_slots=2,
                max_slots=4,
                memory_bytes=10**6,
                token_bytes=1,
            ),
            services=("s",),
            data_centre_in_service=True,
            vm_in_service=True,
        )
        self.gate.resume_cold("v1")

    def run(self, *, skip=b"", max_bytes=10**6, seconds=WAIT_SECONDS, parks=False):
        """Run one request until it ends, or is parked."""
        outcome = self.gate.apply(
            ev.Submitted,
            request_id="r",
            attempt=1,
            service="s",
            prompt_tokens=1,
            max_tokens=9,
            remaining_ms=9000,
        )
        answer = Answer(
            start=len(skip),
            prefix=skip,
            window_bytes=4096,
            max_bytes=max_bytes,
            budget=BufferBudget(max_bytes=10**6, max_answers=1),
            monitor=self.monitor,
            model_version="v1",
        )
        task = Task(
            request_id="r",
            attempt=1,
            traceparent="",
            priority=1,
            is_model=True,
            model_version="v1",
            prompt="p",
            prompt_tokens=1,
            max_tokens=9,
            skip=skip,
            call=None,
            key="",
        )
        self.job = Job(
            task=task,
            answer=answer,
            ticket=outcome.ticket,
            deadline=self.clock.monotonic() + seconds,
        )
        self.worker.start(self.job)
        self.wait(lambda: self.job.parked if parks else answer.finished)
        return answer

    def wait(self, condition):
        """Wait until `condition` holds."""
        ticks = threading.Event()
        for _ in range(int(WAIT_SECONDS / 0.005)):
            if condition():
                return
            ticks.wait(0.005)
        raise AssertionError("not in time")


def text_of(answer):
    """Return the bytes of an answer that are held."""
    return answer.read(answer.base, 10**6)


def test_whole_answer():
    bench = Bench(Engine([tokens("a", "b"), [*tokens("c", first=2), end(3)]]))
    answer = bench.run()
    assert (text_of(answer), answer.finished.code) == (b"abc", C.OK)
    assert bench.engine.cancelled == []


def test_repeated_token_is_dropped():
    answer = Bench(
        Engine([tokens("a", "b"), tokens("b", "c", first=1), [end(3)]])
    ).run()
    assert (text_of(answer), answer.finished.code) == (b"abc", C.OK)


@pytest.mark.parametrize(
    "script",
    [
        [tokens("a"), tokens("c", first=2)],
        [tokens("a"), [end(5)]],
        [tokens("a"), BackendError(C.BACKEND_FAILED, "reset", is_lost=True)],
    ],
    ids=["gap", "wrong length", "broken"],
)
def test_incomplete_answer_fails_and_frees_the_engine(script):
    bench = Bench(Engine(script))
    answer = bench.run()
    assert answer.finished.code == C.BACKEND_FAILED
    assert bench.engine.cancelled == ["r.1"]
    assert bench.gate.running() == 0


def test_refused_connection_is_not_run():
    lost = BackendError(C.NO_BACKEND_SERVER, "refused", is_lost=True)
    answer = Bench(Engine(lost)).run()
    assert answer.finished.code == C.NO_BACKEND_SERVER


def test_request_whose_deadline_passed_in_a_pause_is_not_sent():
    # A request admitted right before a freeze was once sent to the engine after
    # it, long past its deadline.
    bench = Bench(Engine([tokens("a"), [end(1)]]))
    answer = bench.run(seconds=-0.5)
    assert bench.engine.asked == []
    assert answer.finished.code == C.DEADLINE_PASSED
    assert bench.gate.running() == 0


def test_parked_answer_whose_deadline_passed_is_not_resumed():
    bench = SlowReader([[end(1)]])
    bench.job.deadline = bench.clock.monotonic() - 0.5
    bench.read_all()
    bench.wait(lambda: bench.answer.finished)
    assert len(bench.engine.asked) == 1
    assert bench.answer.finished.code == C.DEADLINE_EXCEEDED


def test_other_model_version_gives_no_byte_and_stops_admission():
    bench = Bench(Engine([tokens("a"), [end(1)]], version="v2"))
    answer = bench.run()
    assert (text_of(answer), answer.finished.code) == (b"", C.BACKEND_FAILED)
    assert not bench.gate.headroom().accepting


def test_resumed_answer_skips_what_the_caller_has():
    answer = Bench(Engine([tokens("ab", "cd"), [end(2)]])).run(skip=b"abc")
    assert (text_of(answer), answer.end) == (b"d", 4)


def test_resumed_answer_that_differs_is_truncated():
    answer = Bench(Engine([tokens("ab", "cd"), [end(2)]])).run(skip=b"abX")
    assert answer.finished.code == C.ANSWER_TRUNCATED


def test_answer_above_its_bound_is_too_large():
    answer = Bench(Engine([tokens("abc"), [end(1)]])).run(max_bytes=2)
    assert answer.finished.code == C.ANSWER_TOO_LARGE


def test_unexpected_error_frees_the_slot():
    bench = Bench(Engine(RuntimeError("fault")))
    assert bench.run().finished.code == C.BACKEND_FAILED
    assert bench.gate.running() == 0


class SlowReader(Bench):
    """A reader that stopped; its answer fills the window and is parked."""

    def __init__(self, second):
        super().__init__(Engine([tokens("x" * 5000)], second))
        self.answer = self.run(parks=True)

    def read_all(self):
        self.answer.acknowledge(self.answer.end)
        self.worker.unparked(self.job)


def test_parked_answer_frees_its_slot():
    bench = SlowReader([[end(1)]])
    assert bench.engine.cancelled == ["r.1"]
    assert bench.gate.running() == 0


def test_parked_answer_resumes_at_the_next_token():
    bench = SlowReader([tokens("y", first=1), [end(2)]])
    bench.read_all()
    bench.wait(lambda: bench.answer.finished)
    assert bench.engine.asked[1].resume_from == 1
    assert (text_of(bench.answer), bench.answer.finished.code) == (b"y", C.OK)
    assert bench.monitor.count == 0


def test_parked_answer_of_a_replaced_version_is_truncated():
    bench = SlowReader([])
    bench.gate.pause()
    bench.gate.resume_cold("v2")
    bench.read_all()
    assert bench.answer.finished.code == C.ANSWER_TRUNCATED


def test_parked_answer_waits_while_weights_load():
    bench = SlowReader([[end(1)]])
    bench.gate.pause()
    bench.read_all()
    assert bench.answer.finished is None
    bench.gate.resume_cold("v1")
    bench.worker.sweep()
    bench.wait(lambda: bench.answer.finished)
    assert bench.answer.finished.code == C.OK


def test_cancelled_parked_answer_ends():
    bench = SlowReader([])
    bench.worker.stop(bench.job, C.CALLER_CANCELLED)
    assert bench.answer.finished.code == C.CALLER_CANCELLED
    assert bench.worker.unfinished() == 0


def test_parked_answer_ends_at_its_deadline():
    bench = SlowReader([])
    bench.job.deadline = bench.clock.monotonic()
    bench.worker.sweep()
    assert bench.answer.finished.code == C.DEADLINE_EXCEEDED
