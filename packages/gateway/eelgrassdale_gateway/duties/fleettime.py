"""The time of day by which windows are closed: the median of what gateways say.

The wall clock of a VM may jump by seconds. A holder that closed windows by its own one
would report them before they end. Leases do not depend on it.
"""

from collections.abc import Callable

from eelgrassdale.clock import Clock

# What a gateway said is used for this time.
SAMPLE_SECONDS = 10.0
MAX_SAMPLES = 512


class FleetTime:
    """Estimates the time of day from the own wall clock and those of senders.

    Examples
    --------
    >>> from eelgrassdale.clock import ManualClock
    >>> time = FleetTime(clock=ManualClock(), unix_seconds=lambda: 1007.0)
    >>> time.record("g-2", 1000.0)
    >>> time.record("g-3", 1000.1)
    >>> time.now()
    1000.1

    """

    def __init__(self, *, clock: Clock, unix_seconds: Callable[[], float]) -> None:
        self._clock = clock
        self._unix_seconds = unix_seconds
        # By sender: the difference of its wall clock to the clock, and its age.
        self._samples: dict[str, tuple[float, float]] = {}

    def record(self, sender: str, sent_at: float) -> None:
        """Record what the wall clock of a sender shows; `sent_at` in seconds."""
        now = self._clock.monotonic()
        if sender in self._samples or len(self._samples) < MAX_SAMPLES:
            self._samples[sender] = (sent_at - now, now)

    def now(self) -> float:
        """Return seconds since 1970; of two clocks the one that is behind."""
        now = self._clock.monotonic()
        self._samples = {
            sender: sample
            for sender, sample in self._samples.items()
            if now - sample[1] <= SAMPLE_SECONDS
        }
        offsets = [offset for offset, _ in self._samples.values()]
        offsets.append(self._unix_seconds() - now)
        return now + sorted(offsets)[(len(offsets) - 1) // 2]
