"""When requests that wait for limited backend servers can start.

If all servers that may run a request named a limit or a pause, the requests before it
in the queue take the next starts. One that could only start too late is then refused
at once, and its caller has time for another try.
"""

import heapq
from collections.abc import Iterable

from attrs import frozen


@frozen(kw_only=True)
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
        # Next start and interval of each server; tuples, as they are compared often.
        self._heap = [(server.next_at, server.interval_seconds) for server in servers]
        heapq.heapify(self._heap)

    @property
    def next_at(self) -> float:
        """Earliest start that no request has taken, on the monotonic clock."""
        return self._heap[0][0]

    def take(self) -> float:
        """Return the next start, and count it as taken by a waiting request."""
        next_at, interval_seconds = self._heap[0]
        heapq.heapreplace(self._heap, (next_at + interval_seconds, interval_seconds))
        return next_at
