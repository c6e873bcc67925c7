"""Reads the engine's load report at a fixed interval."""

import structlog

from eelgrassdale.admission import events as ev
from eelgrassdale.clock import Clock
from eelgrassdale_agent.backend import BackendError
from eelgrassdale_agent.engine import EngineClient
from eelgrassdale_agent.gate import AdmissionGate

LOAD_REPORT_INTERVAL_SECONDS = 0.2

log = structlog.get_logger(__name__)


class EngineWatcher:
    """Polls the engine and passes its load reports, or its loss, to the gate.

    Parameters
    ----------
    engine : EngineClient
        The engine.
    gate : AdmissionGate
        Receives the reports.
    clock : Clock
        Time stamped on each report.
    """

    def __init__(
        self, *, engine: EngineClient, gate: AdmissionGate, clock: Clock
    ) -> None:
        self._engine = engine
        self._gate = gate
        self._clock = clock
        self._is_lost = False

    def poll_load(self) -> None:
        """Read the load report once; does nothing for a plain service."""
        if not self._gate.is_model():
            return
        try:
            report = self._engine.load_report(now=self._clock.monotonic())
        except BackendError as exc:
            self._handle_failure(exc)
            return
        if self._is_lost:
            log.info("engine reachable again", incarnation=report.incarnation)
            self._is_lost = False
        self._gate.report(report)

    def _handle_failure(self, exc: BackendError) -> None:
        if not exc.is_connection_lost:
            log.warning("load report failed", error=str(exc))
            return
        if not self._is_lost:
            log.warning("engine lost", error=str(exc))
            self._is_lost = True
        self._gate.apply(ev.EngineLost)
