"""Load of a backend server, from the agent's own count and a lagging report."""

from collections import deque

from attrs import frozen

from eelgrassdale.admission.events import EngineReported
from eelgrassdale.admission.limit import REPORT_LAG_SECONDS


@frozen(kw_only=True)
class Use:
    """Concurrent requests and the memory reserved for them."""

    running: int = 0
    memory_bytes: int = 0


class OwnLoad:
    """The requests that this agent runs, with a short history.

    A report describes some moment within the lag, so work that the agent did
    not send is what exceeds the highest own load of that time. Everything sent
    since the report is in the present own load.
    """

    def __init__(self) -> None:
        self._history: deque[tuple[float, Use]] = deque()
        self.use = Use()

    def add(self, *, memory_bytes: int, now: float) -> None:
        """Count one more running request."""
        self._set(+1, memory_bytes, now)

    def remove(self, *, memory_bytes: int, now: float) -> None:
        """Count one running request less."""
        self._set(-1, -memory_bytes, now)

    def peak(self, *, now: float) -> Use:
        """Return the highest load within the lag of a report."""
        self._forget(now)
        uses = [use for _, use in self._history] + [self.use]
        return Use(
            running=max(use.running for use in uses),
            memory_bytes=max(use.memory_bytes for use in uses),
        )

    def _set(self, running: int, memory_bytes: int, now: float) -> None:
        self._history.append((now, self.use))
        self._forget(now)
        self.use = Use(
            running=self.use.running + running,
            memory_bytes=self.use.memory_bytes + memory_bytes,
        )

    def _forget(self, now: float) -> None:
        while self._history and now - self._history[0][0] > REPORT_LAG_SECONDS:
            self._history.popleft()


def foreign_use(report: EngineReported | None, *, peak: Use) -> Use:
    """Return the reported load that the agent's own requests do not explain.

    After a restart of the agent the engine may still run requests of its
    earlier life.

    Examples
    --------
    >>> report = EngineReported(
    ...     now=0.0, incarnation="e", sequence=1, model_version="v", running=5,
    ...     waiting=1, memory_used=100, memory_limit=1000, cold=False,
    ... )
    >>> foreign_use(report, peak=Use(running=4, memory_bytes=150))
    Use(running=2, memory_bytes=0)

    """
    if report is None:
        return Use()
    reported = report.running + report.waiting
    return Use(
        running=max(0, reported - peak.running),
        memory_bytes=max(0, report.memory_used - peak.memory_bytes),
    )
