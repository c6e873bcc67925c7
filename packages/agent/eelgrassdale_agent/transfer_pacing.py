"""Rate limiter of a network link that is shared by weight transfers."""

import threading
from collections.abc import Callable

from eelgrassdale.clock import Clock
from eelgrassdale.weights.pacing import QueuedTransfer, TokenBucket, next_transfer

STOP_CHECK_INTERVAL_SECONDS = 1.0


class RateLimitedLink:
    """Blocks each transfer until the rate of the link allows it.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    bytes_per_second : float
        Rate of the link, sent plus received; 0 for no limit.
    share : callable
        Returns the share of the rate that weights may use now, 0 to 1.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        bytes_per_second: float,
        share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._clock = clock
        self._share = share
        self._cond = threading.Condition()
        self._bucket = TokenBucket(rate=bytes_per_second, updated_at=clock.monotonic())
        self._queued: dict[int, QueuedTransfer] = {}
        self._transferred_bytes: dict[str, int] = {}
        self._last_number = 0
        self._stopped = False

    def queued_bytes(self) -> int:
        """Return the number of bytes that wait for the link."""
        with self._cond:
            return sum(item.size for item in self._queued.values())

    def set_rate(self, bytes_per_second: float) -> None:
        """Change the rate of the link."""
        with self._cond:
            self._bucket = TokenBucket(
                rate=bytes_per_second,
                tokens=min(self._bucket.tokens, bytes_per_second),
                updated_at=self._bucket.updated_at,
            )

    def acquire(self, size: int, *, model: str, priority: int) -> bool:
        """Wait until `size` bytes may be transferred.

        Returns
        -------
        bool
            False if the agent is stopping.

        """
        if self._bucket.rate <= 0:
            return not self._stopped
        with self._cond:
            item = self._enqueue(size, model, priority)
            try:
                return self._wait_for_turn(item)
            finally:
                del self._queued[item.number]
                self._cond.notify_all()

    def stop(self) -> None:
        """Release all waiting transfers; `acquire` returns False from now on."""
        with self._cond:
            self._stopped = True
            self._cond.notify_all()

    def _enqueue(self, size: int, model: str, priority: int) -> QueuedTransfer:
        self._last_number += 1
        item = QueuedTransfer(
            number=self._last_number, model=model, priority=priority, size=size
        )
        self._queued[item.number] = item
        # A model that starts later is not compensated for earlier unused shares.
        floor = min(self._transferred_bytes.values(), default=0)
        self._transferred_bytes[model] = max(
            self._transferred_bytes.get(model, 0), floor
        )
        return item

    def _wait_for_turn(self, item: QueuedTransfer) -> bool:
        while not self._stopped:
            share = self._share()
            self._bucket = self._bucket.refilled(self._clock.monotonic(), share)
            if next_transfer(self._queued, self._transferred_bytes) is not item:
                self._cond.wait(STOP_CHECK_INTERVAL_SECONDS)
                continue
            delay = self._bucket.seconds_until_free(share)
            if delay <= 0:
                self._bucket = self._bucket.consumed(item.size)
                self._transferred_bytes[item.model] += item.size
                return True
            self._cond.wait(min(delay, STOP_CHECK_INTERVAL_SECONDS))
        return False
