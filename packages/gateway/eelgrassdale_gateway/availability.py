"""Tracks which backend servers became available a moment ago.

Prevents overload of an engine that has just loaded its weights while requests wait
at all gateways: each gateway would see it empty and send at once, so that together
they would send more requests than it has slots.
"""

from collections.abc import Collection

# Time until peers' reports include what they sent to a server that became available.
NEWLY_AVAILABLE_SECONDS = 0.5


class AvailabilityTracker:
    """Records since when each backend server accepts new requests.

    Examples
    --------
    >>> tracker = AvailabilityTracker()
    >>> tracker.update(listed=["s"], usable=["s"], now=1.0)
    >>> (
    ...     tracker.is_newly_available("s", now=1.2),
    ...     tracker.is_newly_available("s", now=2.0),
    ... )
    (True, False)
    >>> tracker.update(listed=["s"], usable=[], now=3.0)
    >>> tracker.update(listed=["s"], usable=["s"], now=4.0)
    >>> tracker.is_newly_available("s", now=4.2)
    True

    """

    def __init__(self) -> None:
        self._available_since: dict[str, float] = {}

    def update(
        self, *, listed: Collection[str], usable: Collection[str], now: float
    ) -> None:
        """Record which of the listed backend servers accept new requests now."""
        for server in listed:
            if server not in usable:
                self._available_since.pop(server, None)
        for server in usable:
            self._available_since.setdefault(server, now)

    def retain(self, known_servers: Collection[str]) -> None:
        """Drop the records of all backend servers but the known ones."""
        for server in self._available_since.keys() - known_servers:
            del self._available_since[server]

    def is_newly_available(self, server: str, *, now: float) -> bool:
        """Return whether a server became available within `NEWLY_AVAILABLE_SECONDS`."""
        return now - self._available_since.get(server, now) < NEWLY_AVAILABLE_SECONDS
