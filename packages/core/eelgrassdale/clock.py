"""The clock that is passed to everything that needs a time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards; only differences matter."""
        ...

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block for the given number of seconds."""
        ...


def steady_seconds() -> float:
    """Return seconds that never go backwards and go on while a VM is suspended.

    `time.monotonic` stands still on a suspended VM, so a deadline kept with it
    would end later there than everywhere else.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the operating system's steady time in seconds."""
        return steady_seconds()

    def now(self) -> datetime:
        """Return the operating system's wall-clock time in UTC."""
        return datetime.now(UTC)

    def sleep(self, seconds: float) -> None:
        """Block for the given number of seconds."""
        time.sleep(seconds)


class ManualClock:
    """Clock that a test moves by hand.

    Examples
    --------
    >>> clock = ManualClock()
    >>> start = clock.monotonic()
    >>> clock.advance(seconds=2.5)
    >>> clock.monotonic() - start
    2.5

    """

    def __init__(self) -> None:
        self._elapsed = 0.0
        self._epoch = datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> float:
        """Return the seconds the clock was advanced by."""
        return self._elapsed

    def now(self) -> datetime:
        """Return a fixed start date plus the advanced time."""
        return self._epoch + timedelta(seconds=self._elapsed)

    def sleep(self, seconds: float) -> None:
        """Advance the clock without blocking."""
        self.advance(seconds=seconds)

    def advance(self, *, seconds: float) -> None:
        """Move both times forward."""
        self._elapsed += seconds
