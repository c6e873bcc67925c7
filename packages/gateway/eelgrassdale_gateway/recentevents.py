"""Events of the last moments, by backend server."""

from collections import OrderedDict, deque
from collections.abc import Collection, Sequence
from typing import Generic, TypeVar

T = TypeVar("T")


class RecentEvents(Generic[T]):
    """Values with times, by server, of which those older than a window are dropped.

    They are dropped as further ones are added, also those of other servers, so that
    what is kept does not depend on whether anyone reads it.

    Parameters
    ----------
    window_seconds : float
        Age after which an event is dropped.

    Examples
    --------
    >>> events = RecentEvents(window_seconds=1.0)
    >>> events.add("s-1", 7, now=0.0)
    >>> events.add("s-2", 8, now=0.5)
    >>> events.values("s-1", now=0.9), events.values("s-1", now=1.1)
    ([7], [])
    >>> events.add("s-2", 9, now=1.2)
    >>> len(events)
    2

    """

    def __init__(self, *, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        # The server with the newest event last.
        self._events: OrderedDict[str, deque[tuple[float, T]]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of events that are kept."""
        return sum(len(events) for events in self._events.values())

    def __contains__(self, server: str) -> bool:
        """Return whether events of a server are kept, which may be old."""
        return server in self._events

    def add(self, server: str, value: T, *, now: float) -> None:
        """Add an event of a server."""
        self._events.setdefault(server, deque()).append((now, value))
        self._events.move_to_end(server)
        self._recent(server, now)
        while (oldest := next(iter(self._events))) != server:
            if not self._is_old(self._events[oldest][-1], now):
                return
            del self._events[oldest]

    def values(self, server: str, *, now: float) -> Sequence[T]:
        """Return the values of a server within the window, oldest first."""
        return [value for _, value in self._recent(server, now)]

    def count(self, server: str, *, now: float) -> int:
        """Return the number of events of a server within the window."""
        return len(self._recent(server, now))

    def take_oldest(self, server: str) -> None:
        """Drop the oldest event of a server; it must have one."""
        events = self._events[server]
        events.popleft()
        if not events:
            del self._events[server]

    def retain(self, known_servers: Collection[str]) -> None:
        """Drop the events of all servers but the known ones."""
        for server in self._events.keys() - known_servers:
            del self._events[server]

    def _recent(self, server: str, now: float) -> Collection[tuple[float, T]]:
        events = self._events.get(server)
        if events is None:
            return ()
        while events and self._is_old(events[0], now):
            events.popleft()
        if not events:
            del self._events[server]
        return events

    def _is_old(self, event: tuple[float, T], now: float) -> bool:
        return now - event[0] > self._window_seconds
