"""Limit of the server threads that may wait for one service."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager


class Bulkheads:
    """Counts waiting server threads by service.

    When a service is at its limit, no further thread waits for it. Connections of
    its other callers are handed to the writer task, which serves all of them from
    one thread.

    Examples
    --------
    >>> bulkheads = Bulkheads(limit=1)
    >>> with bulkheads.thread_slot("a") as first, bulkheads.thread_slot("a") as second:
    ...     first, second
    (True, False)

    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._waiting: dict[str, int] = {}

    @contextmanager
    def thread_slot(self, service: str) -> Iterator[bool]:
        """Yield whether a thread may wait for a service; count it meanwhile."""
        with self._lock:
            waiting = self._waiting.get(service, 0)
            is_free = waiting < self._limit
            if is_free:
                self._waiting[service] = waiting + 1
        try:
            yield is_free
        finally:
            if is_free:
                with self._lock:
                    self._waiting[service] -= 1
