"""Tracks which backend servers fail, from the requests sent to them."""

from attrs import define, field

from eelgrassdale_gateway.outcomes import (
    Answered,
    Lost,
    NotRun,
    Outcome,
    Superseded,
    Withdrawn,
)

# Weight of a new result in the moving average of failures.
RESULT_WEIGHT = 0.25
# Above this failure rate a backend server gets no new requests for a while.
AVOID_FAILURE_RATE = 0.45
# A 5xx response may be an ordinary result of the service, so it counts less than
# a lost response.
ERROR_RESPONSE_WEIGHT = 0.3
INITIAL_AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 6.0
# A full backend server has capacity again after about one response.
REFUSAL_AVOID_SECONDS = 0.25


@define
class _Health:
    failure_rate: float = 0.0
    avoid_until: float = 0.0
    next_avoid_seconds: float = INITIAL_AVOID_SECONDS


@define
class HealthTracker:
    """Failure rate of each backend server, and until when it is avoided.

    While the rate stays high, each failure after such a period starts another one
    of twice the length, up to `MAX_AVOID_SECONDS`. A success that brings the rate
    below half of `AVOID_FAILURE_RATE` ends the period and resets its length.

    Examples
    --------
    >>> tracker = HealthTracker()
    >>> tracker.record_unreachable("s-1", now=0.0)
    >>> tracker.is_avoided("s-1", now=0.5), tracker.is_avoided("s-1", now=1.5)
    (True, False)

    """

    _servers: dict[str, _Health] = field(factory=dict)

    def record_outcome(self, server: str, outcome: Outcome, *, now: float) -> bool:
        """Record the outcome of an attempt; return whether the attempt failed."""
        match outcome:
            case NotRun(was_sent=False):
                self.record_unreachable(server, now=now)
            case NotRun():
                self.record_refusal(server, now=now)
            case Lost() | Superseded():
                self.record_failure(server, now=now)
            case Withdrawn():
                # Says nothing about the health of the backend server.
                pass
            case Answered(head=head) if head.status >= 500:
                self.record_failure(server, now=now, has_response=True)
            case _:
                self.record_success(server)
                return False
        return True

    def record_success(self, server: str) -> None:
        """Record a successful response."""
        health = self._servers.get(server)
        if health is None:
            return
        health.failure_rate *= 1 - RESULT_WEIGHT
        if health.failure_rate < AVOID_FAILURE_RATE / 2:
            health.next_avoid_seconds = INITIAL_AVOID_SECONDS
            health.avoid_until = 0.0

    def record_failure(
        self, server: str, *, now: float, has_response: bool = False
    ) -> None:
        """Record a failed request; `has_response` if the service sent an error."""
        health = self._servers.setdefault(server, _Health())
        weight = ERROR_RESPONSE_WEIGHT if has_response else 1.0
        health.failure_rate += RESULT_WEIGHT * (weight - health.failure_rate)
        if health.failure_rate > AVOID_FAILURE_RATE:
            self._avoid(health, now)

    def record_unreachable(self, server: str, *, now: float) -> None:
        """Record that no connection could be made, and avoid the server at once."""
        health = self._servers.setdefault(server, _Health())
        health.failure_rate = max(health.failure_rate, AVOID_FAILURE_RATE)
        self._avoid(health, now)

    def record_refusal(self, server: str, *, now: float) -> None:
        """Record a refusal by a server that is full or about to load weights."""
        health = self._servers.setdefault(server, _Health())
        health.avoid_until = max(health.avoid_until, now + REFUSAL_AVOID_SECONDS)

    def is_avoided(self, server: str, *, now: float) -> bool:
        """Return whether new requests should go to other servers."""
        health = self._servers.get(server)
        return health is not None and now < health.avoid_until

    def retain(self, servers: set[str]) -> None:
        """Drop the records of all other backend servers."""
        for server in self._servers.keys() - servers:
            del self._servers[server]

    def _avoid(self, health: _Health, now: float) -> None:
        if now < health.avoid_until:
            return
        health.avoid_until = now + health.next_avoid_seconds
        health.next_avoid_seconds = min(
            MAX_AVOID_SECONDS, 2 * health.next_avoid_seconds
        )
