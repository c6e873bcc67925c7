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


class SlidingMaximum:
    """Highest of the values that were current within the last seconds.

    Examples
    --------
    >>> highest = SlidingMaximum(seconds=2.0)
    >>> highest.replaced(5, now=1.0)
    >>> highest.replaced(3, now=2.0)
    >>> highest.within(1, now=2.5), highest.within(1, now=3.5)
    (5, 3)

    """

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._ended: deque[tuple[float, int]] = deque()

    def replaced(self, value: int, *, now: float) -> None:
        """Note that `value` was current until now."""
        while self._ended and self._ended[-1][1] <= value:
            self._ended.pop()
        self._ended.append((now, value))

    def within(self, current: int, *, now: float) -> int:
        """Return the highest value, `current` included."""
        while self._ended and now - self._ended[0][0] > self._seconds:
            self._ended.popleft()
        return max(current, self._ended[0][1]) if self._ended else current


class OwnLoad:
    """The requests that this agent runs, with the peak of the last seconds.

    A report describes some moment within the lag, so work that the agent did
    not send is what exceeds the highest own load of that time. Everything sent
    since the report is in the present own load.
    """

    def __init__(self) -> None:
        self._running = SlidingMaximum(seconds=REPORT_LAG_SECONDS)
        self._memory = SlidingMaximum(seconds=REPORT_LAG_SECONDS)
        self.use = Use()

    def add(self, *, memory_bytes: int, now: float) -> None:
        """Count one more running request."""
        self._change(+1, memory_bytes, now)

    def remove(self, *, memory_bytes: int, now: float) -> None:
        """Count one running request less."""
        self._change(-1, -memory_bytes, now)

    def peak(self, *, now: float) -> Use:
        """Return the highest load within the lag of a report."""
        return Use(
            running=self._running.within(self.use.running, now=now),
            memory_bytes=self._memory.within(self.use.memory_bytes, now=now),
        )

    def _change(self, running: int, memory_bytes: int, now: float) -> None:
        self._running.replaced(self.use.running, now=now)
        self._memory.replaced(self.use.memory_bytes, now=now)
        self.use = Use(
            running=self.use.running + running,
            memory_bytes=self.use.memory_bytes + memory_bytes,
        )


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
