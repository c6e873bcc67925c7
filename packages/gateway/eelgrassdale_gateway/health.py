"""Which backend servers fail, judged from the requests sent to them."""

from attrs import define, field

# Share of a new result in the failure rate.
RESULT_WEIGHT = 0.25
# A backend server whose failure rate is higher gets no new work for a while.
AVOID_RATE = 0.45
# Errors that a service answers itself are part of its work, and weigh less.
ANSWERED_ERROR_WEIGHT = 0.3
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 6.0
# A full backend server has room again after about one answer.
REFUSED_PAUSE_SECONDS = 0.25


@define
class _Health:
    rate: float = 0.0
    avoid_until: float = 0.0
    pause: float = FIRST_PAUSE_SECONDS


@define
class HealthBook:
    """Failure rate of each backend server and until when to avoid it.

    After a pause one more failure avoids it again for twice as long; a
    success restores it at once.

    Examples
    --------
    >>> book = HealthBook()
    >>> book.unreachable("s-1", now=0.0)
    >>> book.is_avoided("s-1", now=0.5), book.is_avoided("s-1", now=1.5)
    (True, False)

    """

    _servers: dict[str, _Health] = field(factory=dict)

    def succeeded(self, server: str) -> None:
        """Note a good answer."""
        health = self._servers.get(server)
        if health is None:
            return
        health.rate *= 1 - RESULT_WEIGHT
        if health.rate < AVOID_RATE / 2:
            health.pause = FIRST_PAUSE_SECONDS
            health.avoid_until = 0.0

    def failed(self, server: str, *, now: float, is_answer: bool = False) -> None:
        """Note a failed request; `is_answer` for an error that the service gave."""
        health = self._servers.setdefault(server, _Health())
        weight = ANSWERED_ERROR_WEIGHT if is_answer else 1.0
        health.rate += RESULT_WEIGHT * (weight - health.rate)
        if health.rate > AVOID_RATE:
            self._avoid(health, now)

    def unreachable(self, server: str, *, now: float) -> None:
        """Note that no connection could be made."""
        health = self._servers.setdefault(server, _Health())
        health.rate = max(health.rate, AVOID_RATE)
        self._avoid(health, now)

    def refused(self, server: str, *, now: float) -> None:
        """Note a refusal of a server that is full or about to load."""
        health = self._servers.setdefault(server, _Health())
        health.avoid_until = max(health.avoid_until, now + REFUSED_PAUSE_SECONDS)

    def is_avoided(self, server: str, *, now: float) -> bool:
        """Return whether new work should go elsewhere."""
        health = self._servers.get(server)
        return health is not None and now < health.avoid_until

    def keep(self, servers: set[str]) -> None:
        """Forget all other backend servers."""
        for server in self._servers.keys() - servers:
            del self._servers[server]

    def _avoid(self, health: _Health, now: float) -> None:
        if now < health.avoid_until:
            return
        health.avoid_until = now + health.pause
        health.pause = min(MAX_PAUSE_SECONDS, 2 * health.pause)
