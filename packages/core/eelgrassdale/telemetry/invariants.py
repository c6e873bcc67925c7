"""Invariants that the programs check while they run."""

import structlog

from eelgrassdale.telemetry.metrics import Metrics

VIOLATIONS = "violations"

log = structlog.get_logger(__name__)


class InvariantMonitor:
    """Counts and logs broken invariants; it never raises.

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
        """Return `holds`; when it is false, count and log it with `state`."""
        if not holds:
            self._metrics.count(VIOLATIONS)
            log.error("invariant violated", invariant=name, **state)
        return holds
