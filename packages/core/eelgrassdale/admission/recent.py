"""The attempts seen lately, so that a duplicate submit gets the same outcome."""

from collections import OrderedDict

from eelgrassdale.admission.events import Outcome

Attempt = tuple[str, int]


class RecentAttempts:
    """Outcomes by request id and attempt, for a set time.

    Parameters
    ----------
    max_attempts : int
        Above this number the oldest refusals are forgotten first.
    seconds : float
        How long an outcome is remembered.

    Examples
    --------
    >>> recent = RecentAttempts(max_attempts=2, seconds=60.0)
    >>> recent.add(("r", 1), Outcome(ticket=5, run=True), now=0.0)
    >>> recent.find(("r", 1), now=59.0).ticket
    5
    >>> recent.find(("r", 1), now=61.0) is None
    True

    """

    def __init__(self, *, max_attempts: int, seconds: float) -> None:
        self._max_attempts = max_attempts
        self._seconds = seconds
        self._seen: OrderedDict[Attempt, tuple[float, Outcome]] = OrderedDict()

    def find(self, attempt: Attempt, *, now: float) -> Outcome | None:
        """Return the outcome of an attempt, or None for a new one."""
        self._forget(now)
        found = self._seen.get(attempt)
        return found[1] if found else None

    def add(self, attempt: Attempt, outcome: Outcome, *, now: float) -> None:
        """Remember the outcome of a new attempt."""
        self._seen[attempt] = (now, outcome)
        if len(self._seen) > self._max_attempts:
            self._seen.popitem(last=False)

    def _forget(self, now: float) -> None:
        while self._seen:
            attempt = next(iter(self._seen))
            if now - self._seen[attempt][0] <= self._seconds:
                return
            del self._seen[attempt]
