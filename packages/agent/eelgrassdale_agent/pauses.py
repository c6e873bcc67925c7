"""Detects pauses of the process and checks its state after one."""

import threading
from collections.abc import Callable

import structlog

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import Clock
from eelgrassdale.pauses import PauseDetector
from eelgrassdale.telemetry import Metrics
from eelgrassdale_agent import metrics as names
from eelgrassdale_agent.backend import BackendError
from eelgrassdale_agent.engine import EngineClient
from eelgrassdale_agent.gate import AdmissionGate

log = structlog.get_logger(__name__)


class PauseGuard:
    """Keeps requests from being admitted on what was known before a pause.

    Parameters
    ----------
    gate : AdmissionGate
        Refuses new requests between the pause and its check.
    engine : EngineClient
        Asked for its incarnation and load state.
    is_current : callable
        Tells whether the configuration generation was compared since.
    clock, metrics : Clock, Metrics
        Time and counters of the process.
    """

    def __init__(
        self,
        *,
        gate: AdmissionGate,
        engine: EngineClient,
        is_current: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._gate = gate
        self._engine = engine
        self._is_current = is_current
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._detector = PauseDetector(clock=clock)

    def tick(self) -> None:
        """Note that the process runs; called several times a second."""
        self._note(self._detector.beat)
        if self._gate.is_suspended():
            self._check()

    def before_admission(self) -> None:
        """Notice a pause that the loop has not seen yet, and check after it."""
        self._note(self._detector.look)
        if self._gate.is_suspended():
            self._check()

    def _note(self, read: Callable[[], float]) -> None:
        with self._lock:
            seconds = read()
            if seconds:
                # Under the lock: a request read at the same time must not find
                # the new tick without the pause.
                self._gate.apply(ev.PauseSeen, seconds=seconds)
        if seconds:
            log.warning("the process was paused", seconds=round(seconds, 3))
            self._metrics.count(names.PAUSES)

    def _check(self) -> None:
        if self._gate.is_model() and not self._read_engine():
            return
        if self._is_current():
            self._gate.apply(ev.PauseChecked)

    def _read_engine(self) -> bool:
        try:
            report = self._engine.load_report(now=self._clock.monotonic())
        except BackendError as exc:
            log.warning("engine state not read after a pause", error=str(exc))
            if exc.is_lost:
                self._gate.apply(ev.EngineLost)
            return False
        self._gate.report(report)
        return True
