"""What one gateway knows of backend servers from their own responses.

It is kept by incarnation of a server. That it leaves is valid until its end. A pause is
valid until the time that the server named, and only for the gateway that it told. A
limit is valid until a response names none, or for `RATE_LIMIT_LIFETIME_SECONDS` after
the last one that did.

A restart forgets all of it. Other gateways, and the next response of each server, tell
it again, except for pauses.
"""

from collections.abc import Callable, Collection

from attrs import define, field

from eelgrassdale_gateway.advisories.reading import Advisory
from eelgrassdale_gateway.advisories.statements import (
    Leaving,
    RateLimit,
    Statement,
    log_news_of_others,
)
from eelgrassdale_gateway.model import Incarnation

# Backend servers that are not listed any more are forgotten after this time. Until
# then their entries may return, if they only expired in an outage of the store.
UNLISTED_RETENTION_SECONDS = 120.0
# Bound of what is remembered of unlisted backend servers.
MAX_UNLISTED = 1024
# A limit that no gateway heard of for this time has ended, as some gateway always sends
# requests to a limited server while there are any.
RATE_LIMIT_LIFETIME_SECONDS = 60.0
# Other gateways are told at once of a limit that changed by more than this share.
NOTABLE_CHANGE_SHARE = 0.2


@define(kw_only=True, eq=False)
class _Known:
    """What is known of one incarnation, last listed or heard at `seen_at`."""

    seen_at: float
    leaving: Leaving | None = None
    paused_until: float = float("-inf")
    rate_limit: RateLimit | None = None
    # The limit that other gateways were last told, or told this one.
    announced_limit: float | None = None

    def restricts(self, now: float) -> bool:
        """Return whether a pause or a limit is in force."""
        return self.paused_until > now or self.limit(now) is not None

    def limit(self, now: float) -> float | None:
        """Return the limit that is in force, None if there is none."""
        limit = self.rate_limit
        if limit is None or now - limit.heard_at > RATE_LIMIT_LIFETIME_SECONDS:
            return None
        return limit.per_second


@define(kw_only=True, eq=False)
class AdvisoryRegistry:
    """The advisories of backend servers that are in force, by incarnation.

    The successor of an incarnation, at the same address or under the same id, is
    another incarnation. Not thread-safe.

    Parameters
    ----------
    on_change : callable
        Called when a backend server is found to leave.

    Examples
    --------
    >>> registry = AdvisoryRegistry()
    >>> _ = registry.record(("s-1", 1), Advisory(is_leaving=True), sent_at=0.0, now=0.1)
    >>> registry.is_leaving(("s-1", 1)), registry.is_leaving(("s-1", 2))
    (True, False)
    >>> _ = registry.record(("s-2", 1), Advisory(rate_limit=4.0), sent_at=0.0, now=0.1)
    >>> registry.rate_limit(("s-2", 1), now=1.0)
    4.0

    """

    _on_change: Callable[[], None] = field(default=lambda: None)
    _subscribers: list[Callable[[Statement], None]] = field(factory=list, init=False)
    _servers: dict[Incarnation, _Known] = field(factory=dict, init=False)
    # Whether any server may have a pause or a limit; mostly none has.
    has_restrictions: bool = field(default=False, init=False)

    def subscribe(self, on_news: Callable[[Statement], None]) -> None:
        """Call a function with all that is new to this gateway from a response."""
        self._subscribers.append(on_news)

    def record(
        self,
        incarnation: Incarnation,
        advisory: Advisory,
        *,
        sent_at: float,
        now: float,
    ) -> list[Statement]:
        """Record what a response says of the incarnation that sent it; return the news.

        `sent_at` is when the request was sent. A response ends a limit only if its
        request was sent after the limit was heard of: responses may overtake each
        other.
        """
        if advisory.pause_seconds:
            known = self._known(incarnation, now)
            paused_until = now + advisory.pause_seconds
            known.paused_until = max(known.paused_until, paused_until)
            self.has_restrictions = True
        statements: list[Statement] = []
        if advisory.is_leaving:
            statements.append(Leaving(incarnation=incarnation, heard_at=now))
        if advisory.rate_limit is not None or self._ends_limit(
            incarnation, advisory, sent_at
        ):
            statements.append(
                RateLimit(
                    incarnation=incarnation,
                    per_second=advisory.rate_limit,
                    heard_at=now,
                )
            )
        news = [statement for statement in statements if self._apply(statement, now)]
        for statement in news:
            for on_news in self._subscribers:
                on_news(statement)
        return news

    def merge(self, statement: Statement, *, now: float) -> None:
        """Apply what another gateway heard."""
        if self._apply(statement, now):
            log_news_of_others(statement)

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether a backend server said that it leaves."""
        known = self._servers.get(incarnation)
        return known is not None and known.leaving is not None

    def paused_until(self, incarnation: Incarnation) -> float:
        """Return until when a backend server wants no requests from this gateway."""
        known = self._servers.get(incarnation)
        return known.paused_until if known is not None else float("-inf")

    def rate_limit(self, incarnation: Incarnation, *, now: float) -> float | None:
        """Return the requests a second that a backend server takes, None if any."""
        known = self._servers.get(incarnation)
        return known.limit(now) if known is not None else None

    def leaving_count(self) -> int:
        """Return the number of backend servers that said that they leave."""
        return sum(known.leaving is not None for known in self._servers.values())

    def limited_count(self, *, now: float) -> int:
        """Return the number of backend servers with a limit."""
        return sum(known.limit(now) is not None for known in self._servers.values())

    def all(self, *, now: float) -> list[Statement]:
        """Return all that other gateways should know."""
        statements: list[Statement] = []
        for known in self._servers.values():
            if known.leaving is not None:
                statements.append(known.leaving)
            limit = known.rate_limit
            if limit and now - limit.heard_at <= RATE_LIMIT_LIFETIME_SECONDS:
                statements.append(limit)
        return statements

    def retain(self, listed: Collection[Incarnation], *, now: float) -> None:
        """Forget backend servers that have not been listed for a long time."""
        for incarnation in self._servers.keys() & listed:
            self._servers[incarnation].seen_at = now
        unlisted = sorted(
            (known.seen_at, incarnation)
            for incarnation, known in self._servers.items()
            if incarnation not in listed
        )
        excess = len(unlisted) - MAX_UNLISTED
        for position, (seen_at, incarnation) in enumerate(unlisted):
            if position < excess or now - seen_at > UNLISTED_RETENTION_SECONDS:
                del self._servers[incarnation]
        self.has_restrictions = any(
            known.restricts(now) for known in self._servers.values()
        )

    def _ends_limit(
        self, incarnation: Incarnation, advisory: Advisory, sent_at: float
    ) -> bool:
        known = self._servers.get(incarnation)
        limit = known.rate_limit if known is not None else None
        return (
            limit is not None
            and limit.per_second is not None
            and not advisory.is_refusal
            and sent_at > limit.heard_at
        )

    def _apply(self, statement: Statement, now: float) -> bool:
        """Store a statement; return whether it is news."""
        known = self._known(statement.incarnation, now)
        match statement:
            case Leaving():
                is_news = known.leaving is None
                known.leaving = known.leaving or statement
                if is_news:
                    self._on_change()
                return is_news
            case RateLimit():
                self.has_restrictions = True
                return _apply_limit(known, statement)

    def _known(self, incarnation: Incarnation, now: float) -> _Known:
        known = self._servers.get(incarnation)
        if known is None:
            known = self._servers[incarnation] = _Known(seen_at=now)
        return known


def _apply_limit(known: _Known, limit: RateLimit) -> bool:
    """Store a limit that is newer than the known one; return whether it is news."""
    before = known.rate_limit
    if before is not None and before.heard_at >= limit.heard_at:
        return False
    known.rate_limit = limit
    is_news = _is_notable_change(known.announced_limit, limit.per_second)
    if is_news:
        known.announced_limit = limit.per_second
    return is_news


def _is_notable_change(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before != after
    return abs(after - before) > NOTABLE_CHANGE_SHARE * before
