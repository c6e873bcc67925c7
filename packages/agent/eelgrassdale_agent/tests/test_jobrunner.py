"""Tests of `JobRunner` with a scripted engine."""

import threading

import pytest

from eelgrassdale.admission import AdmissionController
from eelgrassdale.admission import events as ev
from eelgrassdale.clock import SystemClock
from eelgrassdale.results import ResultCode as C
from eelgrassdale.telemetry import InvariantMonitor, Metrics, new_tracer
from eelgrassdale_agent.answers import AnswerBuffer, BufferBudget
from eelgrassdale_agent.backend import BackendError
from eelgrassdale_agent.engine import Token
from eelgrassdale_agent.gate import AdmissionGate
from eelgrassdale_agent.jobrunner import JobRunner
from eelgrassdale_agent.jobs import Job, JobSpec

WAIT_SECONDS = 10.0


def tokens(*texts, first=0):
    """Return tokens with consecutive indices from `first`."""
    return [Token(index=first + n, text=text) for n, text in enumerate(texts)]


def end(count):
    """Return the end marker of an answer with `count` tokens."""
    return Token(index=count, is_end=True)


class Exchange:
    def abort(self):
        pass

    def close(self):
        pass


class Stream:
    def __init__(self, token_batches, version):
        self.incarnation = "e1"
        self.model_version = version
        self._batches = token_batches

    def token_batches(self):
        for batch in self._batches:
            if isinstance(batch, Exception):
                raise batch
            yield batch


class Engine:
    """Answers each call from a script and records the requests."""

    def __init__(self, *scripts, version="v1"):
        self.scripts = list(scripts)
        self.version = version
        self.requests = []
        self.cancelled = []

    def exchange(self, *, timeout_seconds):
        return Exchange()

    def generate(self, request, *, exchange, traceparent):
        self.requests.append(request)
        script = self.scripts.pop(0)
        if isinstance(script, Exception):
            raise script
        return Stream(script, self.version)

    def cancel(self, request_id):
        self.cancelled.append(request_id)


class Harness:
    """A job runner with a scripted engine."""

    def __init__(self, engine, *, slow_reader_seconds=0.0):
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.monitor = InvariantMonitor(metrics=self.metrics)
        settings = ev.Settings(
            agent="a", incarnation=1, wall_ms=0, monotonic=self.clock.monotonic()
        )
        self.gate = AdmissionGate(
            admission=AdmissionController(settings=settings, monitor=self.monitor),
            clock=self.clock,
            metrics=self.metrics,
        )
        self.engine = engine
        self.job_runner = JobRunner(
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

    def run(
        self,
        *,
        delivered_text=b"",
        max_bytes=10**6,
        seconds=WAIT_SECONDS,
        until_parked=False,
    ):
        """Run one request until it ends or, with `until_parked`, is parked."""
        outcome = self.gate.apply(
            ev.Submitted,
            request_id="r",
            attempt=1,
            service="s",
            prompt_tokens=1,
            max_tokens=9,
            remaining_ms=9000,
        )
        answer = AnswerBuffer(
            start=len(delivered_text),
            prefix=delivered_text,
            window_bytes=4096,
            max_bytes=max_bytes,
            budget=BufferBudget(max_bytes=10**6, max_answers=1),
            monitor=self.monitor,
            model_version="v1",
        )
        spec = JobSpec(
            request_id="r",
            attempt=1,
            traceparent="",
            priority=1,
            is_model=True,
            model_version="v1",
            prompt="p",
            prompt_tokens=1,
            max_tokens=9,
            delivered_text=delivered_text,
            plain_request=None,
            key="",
        )
        self.job = Job(
            spec=spec,
            answer=answer,
            ticket=outcome.ticket,
            deadline=self.clock.monotonic() + seconds,
        )
        self.job_runner.start(self.job)
        self.wait(lambda: self.job.parked if until_parked else answer.final_status)
        return answer

    def wait(self, condition):
        """Wait until `condition` returns true."""
        ticks = threading.Event()
        for _ in range(int(WAIT_SECONDS / 0.005)):
            if condition():
                return
            ticks.wait(0.005)
        raise AssertionError("condition not met within WAIT_SECONDS")


def text_of(answer):
    """Return the buffered bytes of an answer."""
    return answer.read(answer.base, 10**6)


def test_complete_answer():
    harness = Harness(Engine([tokens("a", "b"), [*tokens("c", first=2), end(3)]]))
    answer = harness.run()
    assert (text_of(answer), answer.final_status.code) == (b"abc", C.OK)
    assert harness.engine.cancelled == []


def test_duplicate_token_is_dropped():
    answer = Harness(
        Engine([tokens("a", "b"), tokens("b", "c", first=1), [end(3)]])
    ).run()
    assert (text_of(answer), answer.final_status.code) == (b"abc", C.OK)


@pytest.mark.parametrize(
    "script",
    [
        [tokens("a"), tokens("c", first=2)],
        [tokens("a"), [end(5)]],
        [tokens("a"), BackendError(C.BACKEND_FAILED, "reset", is_connection_lost=True)],
    ],
    ids=["gap", "wrong length", "broken"],
)
def test_incomplete_answer_fails_and_cancels_the_engine_request(script):
    harness = Harness(Engine(script))
    answer = harness.run()
    assert answer.final_status.code == C.BACKEND_FAILED
    assert harness.engine.cancelled == ["r.1"]
    assert harness.gate.running_count() == 0


def test_refused_connection_is_not_run():
    lost = BackendError(C.NO_BACKEND_SERVER, "refused", is_connection_lost=True)
    answer = Harness(Engine(lost)).run()
    assert answer.final_status.code == C.NO_BACKEND_SERVER


def test_request_whose_deadline_passed_in_a_pause_is_not_sent():
    # Guards against a request that is admitted just before the process pauses and sent
    # to the engine after the pause, long past its deadline.
    harness = Harness(Engine([tokens("a"), [end(1)]]))
    answer = harness.run(seconds=-0.5)
    assert harness.engine.requests == []
    assert answer.final_status.code == C.DEADLINE_PASSED
    assert harness.gate.running_count() == 0


def test_parked_answer_whose_deadline_passed_is_not_resumed():
    harness = StalledReaderHarness([[end(1)]])
    harness.job.deadline = harness.clock.monotonic() - 0.5
    harness.read_all()
    harness.wait(lambda: harness.answer.final_status)
    assert len(harness.engine.requests) == 1
    assert harness.answer.final_status.code == C.DEADLINE_EXCEEDED


def test_other_model_version_delivers_no_bytes_and_stops_admission():
    harness = Harness(Engine([tokens("a"), [end(1)]], version="v2"))
    answer = harness.run()
    assert (text_of(answer), answer.final_status.code) == (b"", C.BACKEND_FAILED)
    assert not harness.gate.headroom().accepting


def test_resumed_answer_skips_the_delivered_text():
    answer = Harness(Engine([tokens("ab", "cd"), [end(2)]])).run(delivered_text=b"abc")
    assert (text_of(answer), answer.end) == (b"d", 4)


def test_resumed_answer_that_differs_is_truncated():
    answer = Harness(Engine([tokens("ab", "cd"), [end(2)]])).run(delivered_text=b"abX")
    assert answer.final_status.code == C.ANSWER_TRUNCATED


def test_answer_above_its_bound_is_too_large():
    answer = Harness(Engine([tokens("abc"), [end(1)]])).run(max_bytes=2)
    assert answer.final_status.code == C.ANSWER_TOO_LARGE


def test_unexpected_error_frees_the_slot():
    harness = Harness(Engine(RuntimeError("fault")))
    assert harness.run().final_status.code == C.BACKEND_FAILED
    assert harness.gate.running_count() == 0


class StalledReaderHarness(Harness):
    """A reader that stopped reading: the answer fills its window and is parked."""

    def __init__(self, second_script):
        super().__init__(Engine([tokens("x" * 5000)], second_script))
        self.answer = self.run(until_parked=True)

    def read_all(self):
        self.answer.acknowledge(self.answer.end)
        self.job_runner.resume_if_space(self.job)


def test_parked_answer_frees_its_slot():
    harness = StalledReaderHarness([[end(1)]])
    assert harness.engine.cancelled == ["r.1"]
    assert harness.gate.running_count() == 0


def test_parked_answer_resumes_at_the_next_token():
    harness = StalledReaderHarness([tokens("y", first=1), [end(2)]])
    harness.read_all()
    harness.wait(lambda: harness.answer.final_status)
    assert harness.engine.requests[1].resume_from == 1
    assert (text_of(harness.answer), harness.answer.final_status.code) == (b"y", C.OK)
    assert harness.monitor.count == 0


def test_parked_answer_of_a_replaced_version_is_truncated():
    harness = StalledReaderHarness([])
    harness.gate.pause_admission()
    harness.gate.resume_cold("v2")
    harness.read_all()
    assert harness.answer.final_status.code == C.ANSWER_TRUNCATED


def test_parked_answer_waits_while_weights_load():
    harness = StalledReaderHarness([[end(1)]])
    harness.gate.pause_admission()
    harness.read_all()
    assert harness.answer.final_status is None
    harness.gate.resume_cold("v1")
    harness.job_runner.sweep()
    harness.wait(lambda: harness.answer.final_status)
    assert harness.answer.final_status.code == C.OK


def test_cancelled_parked_answer_ends():
    harness = StalledReaderHarness([])
    harness.job_runner.stop(harness.job, C.CALLER_CANCELLED)
    assert harness.answer.final_status.code == C.CALLER_CANCELLED
    assert harness.job_runner.unfinished_count() == 0


def test_parked_answer_ends_at_its_deadline():
    harness = StalledReaderHarness([])
    harness.job.deadline = harness.clock.monotonic()
    harness.job_runner.sweep()
    assert harness.answer.final_status.code == C.DEADLINE_EXCEEDED
