"""Clock interface with a system clock and a manually advanced one for tests."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""
        ...

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block for the given number of seconds."""
        ...


def boottime_seconds() -> float:
    """Return monotonic seconds that include the time while the VM is suspended.

    `time.monotonic` stops on a suspended VM, so a deadline based on it would
    pass later there than on other nodes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the seconds since boot, including suspended time."""
        return boottime_seconds()

    def now(self) -> datetime:
        """Return the operating system's wall-clock time in UTC."""
        return datetime.now(UTC)

    def sleep(self, seconds: float) -> None:
        """Block for the given number of seconds."""
        time.sleep(seconds)


class ManualClock:
    """Clock that tests advance manually.

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
        """Return the seconds by which the clock was advanced."""
        return self._elapsed

    def now(self) -> datetime:
        """Return a fixed start date plus the advanced time."""
        return self._epoch + timedelta(seconds=self._elapsed)

    def sleep(self, seconds: float) -> None:
        """Advance the clock without blocking."""
        self.advance(seconds=seconds)

    def advance(self, *, seconds: float) -> None:
        """Advance the monotonic and the wall-clock time."""
        self._elapsed += seconds
