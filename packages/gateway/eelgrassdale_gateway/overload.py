"""Begin and end of the overload of a service, for operators.

An overload begins when some requests were refused or started late because capacity is
short, and ends when that has not happened for some seconds.
"""

from collections import Counter

import structlog
from attrs import define, field

from eelgrassdale.results import ResultCode

# Requests are refused in bursts; shorter pauses belong to the same overload.
END_SECONDS = 5.0
# A few late requests also occur in calm, where requests arrive by chance together.
MIN_EVENTS = 5

log = structlog.get_logger(__name__)


@define(kw_only=True)
class Overload:
    """One overload of a service, with the requests that it cost."""

    began_at: float
    last_at: float
    refused: Counter[tuple[str, int]] = field(factory=Counter)
    started_late: Counter[int] = field(factory=Counter)
    has_begun: bool = False

    def log_begin(self, service: str) -> None:
        """Log the begin once enough requests were refused or late."""
        event_count = self.refused.total() + self.started_late.total()
        if not self.has_begun and event_count >= MIN_EVENTS:
            self.has_begun = True
            log.info(
                "overload began",
                service=service,
                refused=self.refused.total(),
                started_late=self.started_late.total(),
            )


@define
class OverloadMonitor:
    """The overloads that have not ended, by service.

    Examples
    --------
    >>> from structlog.testing import capture_logs
    >>> monitor = OverloadMonitor()
    >>> with capture_logs() as logs:
    ...     for _ in range(MIN_EVENTS):
    ...         monitor.record_late_start("m", priority=2, now=1.0)
    ...     monitor.end_expired(now=7.0)
    >>> [line["event"] for line in logs]
    ['overload began', 'overload ended']

    """

    _overloads: dict[str, Overload] = field(factory=dict)

    def services(self) -> list[str]:
        """Return the services that are overloaded."""
        return [name for name, o in self._overloads.items() if o.has_begun]

    def is_idle(self) -> bool:
        """Return whether there is nothing that could end."""
        return not self._overloads

    def record_refusal(
        self, service: str, *, code: ResultCode, priority: int, now: float
    ) -> None:
        """Count a request that was refused because capacity is short."""
        overload = self._at(service, now)
        overload.refused[code.name, priority] += 1
        overload.log_begin(service)

    def record_late_start(self, service: str, *, priority: int, now: float) -> None:
        """Count a request that was sent too late to meet its objective."""
        overload = self._at(service, now)
        overload.started_late[priority] += 1
        overload.log_begin(service)

    def end_expired(self, *, now: float) -> None:
        """Log the end of overloads in which nothing happened for a while."""
        for service, overload in list(self._overloads.items()):
            if now - overload.last_at <= END_SECONDS:
                continue
            del self._overloads[service]
            if not overload.has_begun:
                continue
            log.info(
                "overload ended",
                service=service,
                seconds=round(overload.last_at - overload.began_at, 1),
                refused={
                    f"{code}/{priority}": count
                    for (code, priority), count in sorted(overload.refused.items())
                },
                started_late=dict(sorted(overload.started_late.items())),
            )

    def _at(self, service: str, now: float) -> Overload:
        overload = self._overloads.get(service)
        if overload is None:
            overload = Overload(began_at=now, last_at=now)
            self._overloads[service] = overload
        overload.last_at = now
        return overload
