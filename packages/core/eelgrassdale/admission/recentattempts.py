"""Outcomes of recent attempts, so that a duplicate submit gets the same one."""

from eelgrassdale.admission.events import Outcome

AttemptId = tuple[str, int]


class RecentAttempts:
    """Outcomes by request id and attempt, kept for a limited time.

    An admitted attempt is never dropped early: when there are too many, the
    caller must refuse new ones. Of the refused attempts the oldest are dropped.

    Parameters
    ----------
    max_attempts : int
        Bound of the admitted attempts, and of the refused ones.
    retention_seconds : float
        How long an outcome is kept, in seconds.

    Examples
    --------
    >>> recent = RecentAttempts(max_attempts=1, retention_seconds=60.0)
    >>> recent.add(("r", 1), Outcome(ticket=5, run=True), now=0.0)
    >>> recent.find(("r", 1), now=59.0).ticket
    5
    >>> recent.is_full(now=59.0), recent.is_full(now=61.0)
    (True, False)

    """

    def __init__(self, *, max_attempts: int, retention_seconds: float) -> None:
        self._max_attempts = max_attempts
        self._retention_seconds = retention_seconds
        self._paused_seconds = 0.0
        self._admitted: dict[AttemptId, tuple[float, Outcome]] = {}
        self._refused: dict[AttemptId, tuple[float, Outcome]] = {}

    def find(self, attempt: AttemptId, *, now: float) -> Outcome | None:
        """Return the outcome of an attempt, or None for a new one."""
        self._drop_expired(now)
        found = self._admitted.get(attempt) or self._refused.get(attempt)
        return found[1] if found else None

    def is_full(self, *, now: float) -> bool:
        """Return whether no further attempt can be admitted."""
        self._drop_expired(now)
        return len(self._admitted) >= self._max_attempts

    def add(self, attempt: AttemptId, outcome: Outcome, *, now: float) -> None:
        """Record the outcome of a new attempt."""
        entry = (now - self._paused_seconds, outcome)
        if outcome.ticket:
            self._admitted[attempt] = entry
            return
        self._refused[attempt] = entry
        if len(self._refused) > self._max_attempts:
            del self._refused[next(iter(self._refused))]

    def extend(self, *, seconds: float) -> None:
        """Extend the retention of all outcomes by the length of a pause.

        A duplicate can have waited in a socket for as long as the process
        was paused.
        """
        self._paused_seconds += seconds

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._paused_seconds - self._retention_seconds
        for attempts in (self._admitted, self._refused):
            while attempts:
                attempt = next(iter(attempts))
                if attempts[attempt][0] >= oldest:
                    break
                del attempts[attempt]
