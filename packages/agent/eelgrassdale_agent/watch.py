"""Reads the engine's load report at a fixed interval."""

import structlog

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import Clock
from eelgrassdale_agent.backend import BackendError
from eelgrassdale_agent.engine import EngineClient
from eelgrassdale_agent.gate import AdmissionGate

WATCH_SECONDS = 0.2

log = structlog.get_logger(__name__)


class EngineWatch:
    """Reports the engine's state and its loss to the gate.

    Parameters
    ----------
    engine : EngineClient
        The engine.
    gate : AdmissionGate
        Receives the reports.
    clock : Clock
        Time of each report.
    """

    def __init__(
        self, *, engine: EngineClient, gate: AdmissionGate, clock: Clock
    ) -> None:
        self._engine = engine
        self._gate = gate
        self._clock = clock
        self._is_lost = False

    def step(self) -> None:
        """Read the load once; a plain service has none."""
        if not self._gate.is_model():
            return
        try:
            report = self._engine.load_report(now=self._clock.monotonic())
        except BackendError as exc:
            self._note_failure(exc)
            return
        if self._is_lost:
            log.info("engine answers again", incarnation=report.incarnation)
            self._is_lost = False
        self._gate.report(report)

    def _note_failure(self, exc: BackendError) -> None:
        if not exc.is_lost:
            log.warning("load report failed", error=str(exc))
            return
        if not self._is_lost:
            log.warning("engine lost", error=str(exc))
            self._is_lost = True
        self._gate.apply(ev.EngineLost)
