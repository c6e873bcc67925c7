"""When requests that wait for limited backend servers can start.

If all servers that may run a request named a limit or a pause, the requests before it
in the queue take the next starts. One that could only start too late is then refused
at once, and its caller has time for another try.
"""

import heapq
from collections.abc import Iterable

from attrs import evolve, frozen


@frozen(kw_only=True, order=True)
class StartTimes:
    """When a backend server takes requests of this gateway.

    It takes one at `next_at` and another every `interval_seconds`, any number of them
    from then on if that is 0.
    """

    next_at: float
    interval_seconds: float = 0.0


class StartForecast:
    """Earliest starts of waiting requests, in the order of the queue.

    Parameters
    ----------
    servers : iterable of StartTimes
        Those of the servers that may run the requests; at least one.

    Examples
    --------
    >>> forecast = StartForecast(
    ...     [
    ...         StartTimes(next_at=1.0, interval_seconds=0.5),
    ...         StartTimes(next_at=1.2, interval_seconds=2.0),
    ...     ]
    ... )
    >>> [forecast.take() for _ in range(4)]
    [1.0, 1.2, 1.5, 2.0]

    """

    def __init__(self, servers: Iterable[StartTimes]) -> None:
        self._servers = list(servers)
        heapq.heapify(self._servers)

    @property
    def next_at(self) -> float:
        """Earliest start that no request has taken, on the monotonic clock."""
        return self._servers[0].next_at

    def take(self) -> float:
        """Return the next start, and count it as taken by a waiting request."""
        first = self._servers[0]
        later = evolve(first, next_at=first.next_at + first.interval_seconds)
        heapq.heapreplace(self._servers, later)
        return first.next_at
