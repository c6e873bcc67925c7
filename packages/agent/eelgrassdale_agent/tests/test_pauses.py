"""Tests of the guard against pauses of the process."""

import threading

import pytest

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import ManualClock
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics
from eelgrassdale_agent.backend import BackendError
from eelgrassdale_agent.pauses import PauseGuard


class FakeGate:
    """Records events; suspended between the pause and its check."""

    def __init__(self):
        self.events = []
        self.suspended = False
        self.during_pause_seen = lambda: None

    def apply(self, kind, **values):
        if kind is ev.PauseSeen:
            self.during_pause_seen()
            self.suspended = True
        if kind is ev.PauseChecked:
            self.suspended = False
        self.events.append(kind)

    def report(self, report):
        self.events.append(report)

    def is_model(self):
        return True

    def is_suspended(self):
        return self.suspended


class FakeEngine:
    """Answers a load request, or fails."""

    failure = None

    def load_report(self, *, now):
        if self.failure is not None:
            raise self.failure
        return "report"


class Bench:
    def __init__(self):
        self.gate = FakeGate()
        self.engine = FakeEngine()
        self.clock = ManualClock()
        self.is_current = True
        self.guard = PauseGuard(
            gate=self.gate,
            engine=self.engine,
            is_current=lambda: self.is_current,
            clock=self.clock,
            metrics=Metrics(),
        )


@pytest.fixture
def bench():
    return Bench()


def test_steady_ticks_are_no_pause(bench):
    for _ in range(10):
        bench.clock.advance(seconds=0.9)
        bench.guard.tick()
    assert bench.gate.events == []


def test_request_notices_a_pause_before_the_loop_does(bench):
    bench.clock.advance(seconds=1.5)
    bench.guard.before_admission()
    assert bench.gate.events == [ev.PauseSeen, "report", ev.PauseChecked]


def test_pause_is_not_checked_while_the_engine_does_not_answer(bench):
    bench.engine.failure = BackendError(
        ResultCode.NO_BACKEND_SERVER, "refused", is_lost=True
    )
    bench.clock.advance(seconds=1.5)
    bench.guard.tick()
    assert bench.gate.events == [ev.PauseSeen, ev.EngineLost]


def test_pause_is_not_checked_before_the_generation_is(bench):
    bench.is_current = False
    bench.clock.advance(seconds=1.5)
    bench.guard.tick()
    assert bench.gate.suspended


def test_request_waits_until_the_gate_knows_of_the_pause(bench):
    # The loop once set the new tick before the gate knew of the pause, and a
    # request read in between was admitted on old state.
    request = threading.Thread(target=bench.guard.before_admission)
    waiting = []

    def read_request():
        request.start()
        request.join(0.2)
        waiting.append(request.is_alive())

    bench.gate.during_pause_seen = read_request
    bench.clock.advance(seconds=1.5)
    bench.guard.tick()
    request.join(5)
    assert waiting == [True]
