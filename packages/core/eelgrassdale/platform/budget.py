"""Limits on how often the platform is called."""

import random
import threading

from eelgrassdale.clock import Clock

BACKOFF_START_SECONDS = 0.1
BACKOFF_LIMIT_SECONDS = 5.0


class CallBudget:
    """Token bucket that delays calls beyond `calls_per_second`.

    Examples
    --------
    >>> from eelgrassdale.clock import ManualClock
    >>> clock = ManualClock()
    >>> budget = CallBudget(calls_per_second=10, burst=1, clock=clock)
    >>> budget.spend(), budget.spend()
    (None, None)
    >>> round(clock.monotonic(), 3)
    0.1

    """

    def __init__(self, *, calls_per_second: float, burst: int, clock: Clock) -> None:
        self._rate = calls_per_second
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._filled_at = clock.monotonic()
        self._lock = threading.Lock()

    def spend(self) -> None:
        """Take one token; wait until its turn when none is left."""
        with self._lock:
            now = self._clock.monotonic()
            gained = (now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained) - 1
            self._filled_at = now
            wait = max(0.0, -self._tokens / self._rate)
        if wait:
            self._clock.sleep(wait)


def backoff_seconds(attempt: int, rng: random.Random) -> float:
    """Return the pause after failure number `attempt`, counted from 0.

    It doubles up to a limit; half of it is random, so that nodes which failed
    together do not return together.

    Examples
    --------
    >>> 0.05 <= backoff_seconds(0, random.Random(1)) <= 0.1
    True
    >>> 2.5 <= backoff_seconds(50, random.Random(1)) <= 5.0
    True

    """
    # The exponent is bounded so that a long outage cannot overflow a float.
    full = min(BACKOFF_LIMIT_SECONDS, BACKOFF_START_SECONDS * 2 ** min(attempt, 16))
    return full * rng.uniform(0.5, 1.0)
