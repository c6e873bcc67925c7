"""Rate limit and back-off for calls to the platform."""

import random
import threading

from eelgrassdale.clock import Clock

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0


class CallRateLimiter:
    """Token bucket that delays calls beyond `calls_per_second`.

    Examples
    --------
    >>> from eelgrassdale.clock import ManualClock
    >>> clock = ManualClock()
    >>> limiter = CallRateLimiter(calls_per_second=10, burst=1, clock=clock)
    >>> limiter.acquire(), limiter.acquire()
    (None, None)
    >>> round(clock.monotonic(), 3)
    0.1

    """

    def __init__(self, *, calls_per_second: float, burst: int, clock: Clock) -> None:
        self._rate = calls_per_second
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._refilled_at = clock.monotonic()
        self._lock = threading.Lock()

    def acquire(self) -> None:
        """Take one token; block until it is available."""
        with self._lock:
            now = self._clock.monotonic()
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + refill) - 1
            self._refilled_at = now
            wait = max(0.0, -self._tokens / self._rate)
        if wait:
            self._clock.sleep(wait)


def backoff_seconds(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait after failure number `attempt`, counted from 0.

    The wait doubles up to a limit. Half of it is random, so that nodes that
    failed at the same time do not retry at the same time.

    Examples
    --------
    >>> 0.05 <= backoff_seconds(0, random.Random(1)) <= 0.1
    True
    >>> 2.5 <= backoff_seconds(50, random.Random(1)) <= 5.0
    True

    """
    # The exponent is bounded, since many attempts would overflow a float.
    max_pause = min(
        MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** min(attempt, 16)
    )
    return max_pause * rng.uniform(0.5, 1.0)
