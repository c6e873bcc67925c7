"""Tests of `PauseGuard`."""

import threading

import pytest

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import ManualClock
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics
from eelgrassdale_agent.backend import BackendError
from eelgrassdale_agent.pauses import PauseGuard


class FakeGate:
    """Records events; suspended from `PauseSeen` until `PauseChecked`."""

    def __init__(self):
        self.events = []
        self.suspended = False
        self.on_pause_seen = lambda: None

    def apply(self, kind, **values):
        if kind is ev.PauseSeen:
            self.on_pause_seen()
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
    """Returns a load report or raises `failure`."""

    failure = None

    def load_report(self, *, now):
        if self.failure is not None:
            raise self.failure
        return "report"


class Harness:
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
def harness():
    return Harness()


def test_regular_ticks_are_not_a_pause(harness):
    for _ in range(10):
        harness.clock.advance(seconds=0.9)
        harness.guard.tick()
    assert harness.gate.events == []


def test_request_detects_a_pause_before_the_loop_does(harness):
    harness.clock.advance(seconds=1.5)
    harness.guard.check_before_admission()
    assert harness.gate.events == [ev.PauseSeen, "report", ev.PauseChecked]


def test_admission_stays_suspended_while_the_engine_does_not_answer(harness):
    harness.engine.failure = BackendError(
        ResultCode.NO_BACKEND_SERVER, "refused", is_connection_lost=True
    )
    harness.clock.advance(seconds=1.5)
    harness.guard.tick()
    assert harness.gate.events == [ev.PauseSeen, ev.EngineLost]


def test_admission_stays_suspended_until_the_generation_is_compared(harness):
    harness.is_current = False
    harness.clock.advance(seconds=1.5)
    harness.guard.tick()
    assert harness.gate.suspended


def test_request_waits_until_the_gate_knows_of_the_pause(harness):
    # Guards against a race: the loop recorded its heartbeat before it told the gate of
    # the pause, so a request in between was admitted on stale state.
    request = threading.Thread(target=harness.guard.check_before_admission)
    waiting = []

    def read_request():
        request.start()
        request.join(0.2)
        waiting.append(request.is_alive())

    harness.gate.on_pause_seen = read_request
    harness.clock.advance(seconds=1.5)
    harness.guard.tick()
    request.join(5)
    assert waiting == [True]
