"""Runtime checks of invariants."""

import structlog

from eelgrassdale.telemetry.metrics import Metrics

VIOLATIONS = "violations"

log = structlog.get_logger(__name__)


class InvariantMonitor:
    """Counts and logs violated invariants, without raising an error.

    Examples
    --------
    >>> monitor = InvariantMonitor(metrics=Metrics())
    >>> monitor.check(1 <= 2, "generation_grows", old=1, new=2)
    True
    >>> monitor.count
    0

    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        metrics.count(VIOLATIONS, 0)

    @property
    def count(self) -> int:
        """Number of violations since the start of the process."""
        return self._metrics.totals()[VIOLATIONS]

    def check(self, holds: bool, name: str, **state: object) -> bool:
        """Return `holds`; if it is false, count a violation and log `state`."""
        if not holds:
            self._metrics.count(VIOLATIONS)
            log.error("invariant violated", invariant=name, **state)
        return holds
