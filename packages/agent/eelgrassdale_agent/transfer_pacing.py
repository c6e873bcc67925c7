"""The link of the VM as shared by all weight transfers of the agent."""

import threading
from collections.abc import Callable

from eelgrassdale.clock import Clock
from eelgrassdale.weights.pacing import TokenBucket, Waiting, next_waiting

STOP_CHECK_SECONDS = 1.0


class PacedLink:
    """Blocks each transfer until the link has room for it.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
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
        self._waiting: dict[int, Waiting] = {}
        self._passed: dict[str, int] = {}
        self._count = 0
        self._stopped = False

    def queued_bytes(self) -> int:
        """Return the bytes that wait for the link."""
        with self._cond:
            return sum(item.size for item in self._waiting.values())

    def set_rate(self, bytes_per_second: float) -> None:
        """Change the rate of the link."""
        with self._cond:
            self._bucket = TokenBucket(
                rate=bytes_per_second,
                tokens=min(self._bucket.tokens, bytes_per_second),
                updated_at=self._bucket.updated_at,
            )

    def use(self, size: int, *, model: str, priority: int) -> bool:
        """Wait for the link, then take `size` bytes of it.

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
                del self._waiting[item.number]
                self._cond.notify_all()

    def stop(self) -> None:
        """Let all waiting transfers end."""
        with self._cond:
            self._stopped = True
            self._cond.notify_all()

    def _enqueue(self, size: int, model: str, priority: int) -> Waiting:
        self._count += 1
        item = Waiting(number=self._count, model=model, priority=priority, size=size)
        self._waiting[item.number] = item
        # A model that starts late does not get back the share it left unused.
        floor = min(self._passed.values(), default=0)
        self._passed[model] = max(self._passed.get(model, 0), floor)
        return item

    def _wait_for_turn(self, item: Waiting) -> bool:
        while not self._stopped:
            share = self._share()
            self._bucket = self._bucket.refilled(self._clock.monotonic(), share)
            if next_waiting(self._waiting, self._passed) is not item:
                self._cond.wait(STOP_CHECK_SECONDS)
                continue
            delay = self._bucket.seconds_until_free(share)
            if delay <= 0:
                self._bucket = self._bucket.taken(item.size)
                self._passed[item.model] += item.size
                return True
            self._cond.wait(min(delay, STOP_CHECK_SECONDS))
        return False
