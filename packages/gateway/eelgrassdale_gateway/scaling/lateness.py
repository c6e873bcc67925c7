"""Share of recent requests that were placed too late for their objective."""

from collections import Counter

WINDOW_SECONDS = 5.0
# A share of fewer requests says nothing.
MIN_REQUESTS = 20


class LateShares:
    """Counts the requests of the present and of the last window, by service.

    Examples
    --------
    >>> shares = LateShares()
    >>> for number in range(40):
    ...     shares.record("m", is_late=number < 10, now=1.0)
    >>> shares.shares(now=2.0), shares.shares(now=20.0)
    ({'m': 0.25}, {})

    """

    def __init__(self) -> None:
        self._window = 0
        self._all: list[Counter[str]] = [Counter(), Counter()]
        self._late: list[Counter[str]] = [Counter(), Counter()]

    def record(self, service: str, *, is_late: bool, now: float) -> None:
        """Count a request that was placed."""
        self._advance(now)
        self._all[0][service] += 1
        self._late[0][service] += is_late

    def shares(self, *, now: float) -> dict[str, float]:
        """Return the share of late requests of each service with enough requests."""
        self._advance(now)
        placed = self._all[0] + self._all[1]
        late = self._late[0] + self._late[1]
        return {
            service: late[service] / count
            for service, count in placed.items()
            if count >= MIN_REQUESTS
        }

    def _advance(self, now: float) -> None:
        window = int(now / WINDOW_SECONDS)
        for counters in (self._all, self._late):
            if window == self._window + 1:
                counters[:] = [Counter(), counters[0]]
            elif window != self._window:
                counters[:] = [Counter(), Counter()]
        self._window = window
