"""Which requests a gateway that was asked to stop still takes, and until when."""

from attrs import frozen

# Callers with an older list of gateways connect for a while. Requests of this time are
# taken however long they may last, if the grace is long enough.
MAX_OPEN_SECONDS = 2.5
OPEN_SHARE = 0.35


@frozen(kw_only=True)
class StopSchedule:
    """Monotonic times of a stop: when it began, and when the last response is due.

    A request that is taken late must be able to end before the process does: if it were
    cut, its caller could not know whether it ran.

    Examples
    --------
    >>> schedule = StopSchedule(started_at=100.0, ends_at=106.8)
    >>> schedule.admits(now=101.0, expires_at=107.0)
    True
    >>> schedule.admits(now=104.0, expires_at=110.0)
    False
    >>> schedule.admits(now=104.0, expires_at=105.5)
    True

    """

    started_at: float
    ends_at: float

    def admits(self, *, now: float, expires_at: float) -> bool:
        """Return whether a request is taken that may last until `expires_at`."""
        if expires_at <= self.ends_at:
            return True
        available_seconds = self.ends_at - self.started_at
        open_seconds = min(MAX_OPEN_SECONDS, OPEN_SHARE * available_seconds)
        return now - self.started_at <= open_seconds
