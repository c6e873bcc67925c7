"""Detects that a process stood still, while the world went on.

A VM can be suspended and a process frozen for seconds. What a process hears
right afterwards may have happened at any moment of its pause.
"""

from eelgrassdale.clock import Clock

# A process that beats five times a second and misses a whole second was
# stopped; shorter gaps are delays of a busy process.
BEAT_SECONDS = 0.2
LEAST_PAUSE_SECONDS = 1.0
# News of the time of a pause come within about this time after it.
NEWS_SECONDS = 2.5


class PauseDetector:
    """Knows the last pause of a process that calls `beat` regularly.

    Not safe for several threads.

    Examples
    --------
    >>> from eelgrassdale.clock import ManualClock
    >>> clock = ManualClock()
    >>> pauses = PauseDetector(clock=clock)
    >>> clock.advance(seconds=4.0)
    >>> pauses.beat(), pauses.beat()
    (4.0, 0.0)
    >>> pauses.unaware_seconds()
    4.0

    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._beat_at = clock.monotonic()
        self._begun_at = float("-inf")
        self._ended_at = float("-inf")

    def beat(self) -> float:
        """Note that the process runs; return the seconds of a pause that ended."""
        seconds = self.look()
        self._beat_at = self._clock.monotonic()
        return seconds

    def look(self) -> float:
        """Return as `beat` does, and count as a beat only after a pause.

        For callers that do not come regularly, as when a request arrives.
        """
        now = self._clock.monotonic()
        seconds = now - self._beat_at
        if seconds < LEAST_PAUSE_SECONDS:
            return 0.0
        self._begun_at = self._beat_at
        self._ended_at = now
        self._beat_at = now
        return seconds

    def unaware_seconds(self) -> float:
        """Return how long ago a pause began of which news may come now, else 0."""
        # News may be handled before the first beat after a pause.
        self.look()
        now = self._clock.monotonic()
        return now - self._begun_at if now - self._ended_at <= NEWS_SECONDS else 0.0
