"""Detects that the process was paused, for instance with its VM.

A VM or a process can be suspended for seconds. Events that the process receives
right afterwards may have happened at any time during the pause.
"""

from eelgrassdale.clock import Clock

# A process that calls `record_tick` five times a second and misses a whole second was
# paused; shorter gaps are scheduling delays of a busy process.
PAUSE_CHECK_INTERVAL_SECONDS = 0.2
MIN_PAUSE_SECONDS = 1.0
# Events from the time of a pause arrive within about this time after its end.
STALE_EVENT_WINDOW_SECONDS = 2.5


class PauseDetector:
    """Detects pauses of a process that calls `record_tick` regularly.

    Not thread-safe.

    Examples
    --------
    >>> from eelgrassdale.clock import ManualClock
    >>> clock = ManualClock()
    >>> pauses = PauseDetector(clock=clock)
    >>> clock.advance(seconds=4.0)
    >>> pauses.record_tick(), pauses.record_tick()
    (4.0, 0.0)
    >>> pauses.stale_event_seconds()
    4.0

    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._last_tick_at = clock.monotonic()
        self._pause_began_at = float("-inf")
        self._pause_ended_at = float("-inf")

    def record_tick(self) -> float:
        """Record that the process runs.

        Returns the length in seconds of a pause that just ended, or 0.
        """
        seconds = self.detect_pause()
        self._last_tick_at = self._clock.monotonic()
        return seconds

    def detect_pause(self) -> float:
        """Return the length of a pause that just ended, or 0.

        Unlike `record_tick`, a call without a pause does not count as a tick. This is
        for calls at irregular times, for instance when a request arrives.
        """
        now = self._clock.monotonic()
        seconds = now - self._last_tick_at
        if seconds < MIN_PAUSE_SECONDS:
            return 0.0
        self._pause_began_at = self._last_tick_at
        self._pause_ended_at = now
        self._last_tick_at = now
        return seconds

    def stale_event_seconds(self) -> float:
        """Return for how many seconds received events may be out of date.

        This is the time since the last pause began, while events from that
        pause may still arrive, and 0 otherwise.
        """
        # An event may be handled before the first tick after a pause.
        self.detect_pause()
        now = self._clock.monotonic()
        return (
            now - self._pause_began_at
            if now - self._pause_ended_at <= STALE_EVENT_WINDOW_SECONDS
            else 0.0
        )
