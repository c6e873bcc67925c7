"""Byte budget of the links between regions."""

from attrs import define

# The links carry about 12 Mbit/s for all traffic of nine entry nodes.
DEFAULT_BYTES_PER_SECOND = 12_000_000 // 8
BURST_SECONDS = 2.0


@define(kw_only=True)
class RegionBudget:
    """Token bucket of the bytes that work for other regions may take.

    Examples
    --------
    >>> budget = RegionBudget(bytes_per_second=100)
    >>> budget.charge(250, now=0.0)
    >>> budget.allows(1, now=0.0), budget.allows(1, now=1.0)
    (False, True)

    """

    bytes_per_second: float = DEFAULT_BYTES_PER_SECOND
    _used: float = 0.0
    _at: float = 0.0

    def allows(self, count: int, now: float) -> bool:
        """Return whether work of `count` bytes may cross regions now.

        Work larger than the whole burst is allowed when nothing is used.
        """
        self._refill(now)
        burst = self.bytes_per_second * BURST_SECONDS
        return self._used == 0 or self._used + count <= burst

    def charge(self, count: int, now: float) -> None:
        """Count work that crosses regions."""
        self._refill(now)
        self._used += count

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._used = max(0.0, self._used - passed * self.bytes_per_second)
