"""Byte budget of the links between regions."""

from attrs import define

# The links carry about 12 Mbit/s for all traffic of nine entry nodes.
DEFAULT_BYTES_PER_SECOND = 12_000_000 // 8
BURST_SECONDS = 2.0


@define(kw_only=True)
class RegionBudget:
    """Leaky bucket that limits the bytes of requests sent to other regions.

    Examples
    --------
    >>> budget = RegionBudget(bytes_per_second=100)
    >>> budget.charge(250, now=0.0)
    >>> budget.allows(1, now=0.0), budget.allows(1, now=1.0)
    (False, True)

    """

    bytes_per_second: float = DEFAULT_BYTES_PER_SECOND
    _used_bytes: float = 0.0
    _updated_at: float = 0.0

    def allows(self, count: int, now: float) -> bool:
        """Return whether a request of `count` bytes may be sent to another region.

        A request larger than the burst is allowed if the bucket is empty.
        """
        self._refill(now)
        burst = self.bytes_per_second * BURST_SECONDS
        return self._used_bytes == 0 or self._used_bytes + count <= burst

    def charge(self, count: int, now: float) -> None:
        """Record `count` bytes of a request sent to another region."""
        self._refill(now)
        self._used_bytes += count

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._used_bytes = max(0.0, self._used_bytes - elapsed * self.bytes_per_second)
