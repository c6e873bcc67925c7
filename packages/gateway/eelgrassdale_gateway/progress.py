"""Limits the time that an attempt may go on without progress."""

from eelgrassdale.clock import Clock


class ProgressTimer:
    """Measures the time since the last progress of an attempt.

    The caller decides what progress is, so that bytes that bring a response no
    further do not keep an attempt alive.

    Parameters
    ----------
    limit_seconds : float or None
        Longest time without progress; None for no limit.

    Examples
    --------
    >>> from eelgrassdale.clock import ManualClock
    >>> clock = ManualClock()
    >>> timer = ProgressTimer(clock=clock, limit_seconds=1.5)
    >>> clock.advance(seconds=1.0)
    >>> timer.remaining_seconds()
    0.5
    >>> timer.record_progress()
    >>> timer.remaining_seconds()
    1.5

    """

    def __init__(self, *, clock: Clock, limit_seconds: float | None) -> None:
        self._clock = clock
        self._limit_seconds = limit_seconds
        self._progress_at = clock.monotonic()

    def record_progress(self) -> None:
        """Start the time anew."""
        self._progress_at = self._clock.monotonic()

    def extend(self, seconds: float) -> None:
        """Allow this time from now on without progress."""
        if self._limit_seconds is not None:
            now = self._clock.monotonic()
            self._progress_at = now + seconds - self._limit_seconds

    def remaining_seconds(self) -> float | None:
        """Return the seconds that are left for further progress, or None."""
        if self._limit_seconds is None:
            return None
        elapsed_seconds = self._clock.monotonic() - self._progress_at
        return max(0.0, self._limit_seconds - elapsed_seconds)
