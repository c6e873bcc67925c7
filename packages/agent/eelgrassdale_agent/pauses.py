"""Detects pauses of the process and refreshes its state afterwards."""

import threading
from collections.abc import Callable

import structlog

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import Clock
from eelgrassdale.pauses import PauseDetector
from eelgrassdale.telemetry import Metrics
from eelgrassdale_agent import metrics as metric_names
from eelgrassdale_agent.backend import BackendError
from eelgrassdale_agent.engine import EngineClient
from eelgrassdale_agent.gate import AdmissionGate

log = structlog.get_logger(__name__)


class PauseGuard:
    """Prevents requests from being admitted on state from before a process pause.

    Parameters
    ----------
    gate : AdmissionGate
        Refuses new requests from the pause until the state was checked.
    engine : EngineClient
        Source of the engine's incarnation and load state.
    is_current : callable
        Returns whether the configuration generation was compared with a peer
        since the pause.
    clock, metrics : Clock, Metrics
        Monotonic time and metrics of the process.
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
        """Record a heartbeat; called several times a second."""
        self._record_pause(self._detector.record_tick)
        if self._gate.is_suspended():
            self._revalidate()

    def check_before_admission(self) -> None:
        """Detect a pause that `tick` has not seen yet, and refresh the state."""
        self._record_pause(self._detector.detect_pause)
        if self._gate.is_suspended():
            self._revalidate()

    def _record_pause(self, detect: Callable[[], float]) -> None:
        with self._lock:
            seconds = detect()
            if seconds:
                # Applied under the lock: a concurrent request must not see the
                # new heartbeat before the gate knows of the pause.
                self._gate.apply(ev.PauseSeen, seconds=seconds)
        if seconds:
            log.warning("the process was paused", seconds=round(seconds, 3))
            self._metrics.count(metric_names.PAUSES)

    def _revalidate(self) -> None:
        if self._gate.is_model() and not self._read_engine_state():
            return
        if self._is_current():
            self._gate.apply(ev.PauseChecked)

    def _read_engine_state(self) -> bool:
        try:
            report = self._engine.load_report(now=self._clock.monotonic())
        except BackendError as exc:
            log.warning(
                "engine state unreadable after a pause; admission stays suspended",
                error=str(exc),
            )
            if exc.is_connection_lost:
                self._gate.apply(ev.EngineLost)
            return False
        self._gate.report(report)
        return True
