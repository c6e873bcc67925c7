"""Detects that this process stood still, while the world went on.

A VM can be suspended and a process frozen for seconds. What a process hears
right afterwards may have happened at any moment of its pause.
"""

import asyncio

import structlog

from eelgrassdale.clock import Clock

BEAT_SECONDS = 0.2
# Longer gaps between two beats are no delay of a busy event loop.
LEAST_PAUSE_SECONDS = 1.0
# News of the time of a pause come within about this time after it.
NEWS_SECONDS = 2.5

log = structlog.get_logger(__name__)


class PauseDetector:
    """Notes the last pause; `run` looks at the clock regularly."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._beat_at = clock.monotonic()
        self._begun_at = float("-inf")
        self._ended_at = float("-inf")

    async def run(self) -> None:
        """Look at the clock until cancelled."""
        while True:
            self.beat()
            await asyncio.sleep(BEAT_SECONDS)

    def beat(self) -> None:
        """Note that the process runs."""
        now = self._clock.monotonic()
        if now - self._beat_at >= LEAST_PAUSE_SECONDS:
            log.warning("process stood still", seconds=round(now - self._beat_at, 3))
            self._begun_at = self._beat_at
            self._ended_at = now
        self._beat_at = now

    def unaware_seconds(self) -> float:
        """Return how long ago a pause began of which news may come now, else 0."""
        # News may be handled before the first beat after a pause.
        self.beat()
        now = self._clock.monotonic()
        return now - self._begun_at if now - self._ended_at <= NEWS_SECONDS else 0.0
