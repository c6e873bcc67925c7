"""The time of day by which windows are closed: the median of what gateways say.

The wall clock of a VM may jump by seconds. A holder that closed windows by its own one
would report them before they end. Leases do not depend on it.
"""

from collections import deque
from collections.abc import Callable

from eelgrassdale.clock import Clock

# What a gateway said is used for this time.
SAMPLE_SECONDS = 10.0
# After a jump ahead of the own clock, the time before it counts for so long. Windows
# are reported late meanwhile, but not early.
OWN_SAMPLE_SECONDS = 15.0
# Each received datagram asks for the time.
CACHE_SECONDS = 0.2
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
        self._own_samples: deque[tuple[float, float]] = deque()
        self._offset = 0.0
        self._offset_at = float("-inf")

    def record(self, sender: str, sent_at: float) -> None:
        """Record what the wall clock of a sender shows; `sent_at` in seconds."""
        now = self._clock.monotonic()
        if sender in self._samples or len(self._samples) < MAX_SAMPLES:
            self._samples[sender] = (sent_at - now, now)

    def now(self) -> float:
        """Return seconds since 1970; of two clocks the one that is behind."""
        now = self._clock.monotonic()
        if now - self._offset_at > CACHE_SECONDS:
            self._offset = self._median_offset(now)
            self._offset_at = now
        return now + self._offset

    def _median_offset(self, now: float) -> float:
        self._samples = {
            sender: sample
            for sender, sample in self._samples.items()
            if now - sample[1] <= SAMPLE_SECONDS
        }
        self._own_samples.append((self._unix_seconds() - now, now))
        while now - self._own_samples[0][1] > OWN_SAMPLE_SECONDS:
            self._own_samples.popleft()
        offsets = [offset for offset, _ in self._samples.values()]
        offsets.append(min(offset for offset, _ in self._own_samples))
        return sorted(offsets)[(len(offsets) - 1) // 2]
