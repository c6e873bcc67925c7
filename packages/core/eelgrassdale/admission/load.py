"""Load of a backend server, from the agent's own requests and a delayed report."""

from collections import deque

from attrs import frozen

from eelgrassdale.admission.events import EngineReported
from eelgrassdale.admission.slowstart import REPORT_LAG_SECONDS


@frozen(kw_only=True)
class Usage:
    """Concurrent requests and the memory reserved for them."""

    running: int = 0
    memory_bytes: int = 0


class SlidingMaximum:
    """Maximum of the values that were current within the last `seconds`.

    Examples
    --------
    >>> highest = SlidingMaximum(seconds=2.0)
    >>> highest.record_previous(5, now=1.0)
    >>> highest.record_previous(3, now=2.0)
    >>> highest.maximum(1, now=2.5), highest.maximum(1, now=3.5)
    (5, 3)

    """

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._previous: deque[tuple[float, int]] = deque()

    def record_previous(self, value: int, *, now: float) -> None:
        """Record that `value` was current until now."""
        while self._previous and self._previous[-1][1] <= value:
            self._previous.pop()
        self._previous.append((now, value))

    def maximum(self, current: int, *, now: float) -> int:
        """Return the highest value of the window, `current` included."""
        while self._previous and now - self._previous[0][0] > self._seconds:
            self._previous.popleft()
        return max(current, self._previous[0][1]) if self._previous else current


class OwnLoad:
    """Load of the requests that this agent runs, and its recent peak.

    A load report describes some moment within the last `REPORT_LAG_SECONDS`, so
    only reported load above the agent's own peak in that time comes from other
    requests. Requests sent since the report are in the current own load.
    """

    def __init__(self) -> None:
        self._running = SlidingMaximum(seconds=REPORT_LAG_SECONDS)
        self._memory = SlidingMaximum(seconds=REPORT_LAG_SECONDS)
        self.usage = Usage()

    def add(self, *, memory_bytes: int, now: float) -> None:
        """Count one more running request."""
        self._change(+1, memory_bytes, now)

    def remove(self, *, memory_bytes: int, now: float) -> None:
        """Count one running request less."""
        self._change(-1, -memory_bytes, now)

    def peak(self, *, now: float) -> Usage:
        """Return the highest load within the last `REPORT_LAG_SECONDS`."""
        return Usage(
            running=self._running.maximum(self.usage.running, now=now),
            memory_bytes=self._memory.maximum(self.usage.memory_bytes, now=now),
        )

    def _change(self, running: int, memory_bytes: int, now: float) -> None:
        self._running.record_previous(self.usage.running, now=now)
        self._memory.record_previous(self.usage.memory_bytes, now=now)
        self.usage = Usage(
            running=self.usage.running + running,
            memory_bytes=self.usage.memory_bytes + memory_bytes,
        )


def compute_external_usage(report: EngineReported | None, *, peak: Usage) -> Usage:
    """Return the reported load beyond the agent's own requests.

    After a restart of the agent the engine may still run requests of the
    earlier incarnation.

    Examples
    --------
    >>> report = EngineReported(
    ...     now=0.0, incarnation="e", sequence=1, model_version="v", running=5,
    ...     waiting=1, memory_used=100, memory_limit=1000, cold=False,
    ... )
    >>> compute_external_usage(report, peak=Usage(running=4, memory_bytes=150))
    Usage(running=2, memory_bytes=0)

    """
    if report is None:
        return Usage()
    reported = report.running + report.waiting
    return Usage(
        running=max(0, reported - peak.running),
        memory_bytes=max(0, report.memory_used - peak.memory_bytes),
    )
