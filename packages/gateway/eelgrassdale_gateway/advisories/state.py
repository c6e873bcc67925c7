"""What one gateway knows of backend servers from their own responses.

A restart forgets all of it. Other gateways, and the next response of each server, tell
it again.
"""

from collections.abc import Callable, Collection

import structlog
from attrs import define, field, frozen

from eelgrassdale_gateway.advisories.reading import Advisory
from eelgrassdale_gateway.model import Incarnation

# Backend servers that are not listed any more are forgotten after this time. Until
# then their entries may return, if they only expired in an outage of the store.
UNLISTED_RETENTION_SECONDS = 120.0
# Bound of what is remembered of unlisted backend servers.
MAX_UNLISTED = 1024

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class Leaving:
    """A backend server said that it leaves, in a response at the time `heard_at`.

    Times are in seconds of the monotonic clock.
    """

    incarnation: Incarnation
    heard_at: float


@define(kw_only=True, eq=False)
class AdvisoryRegistry:
    """The advisories of backend servers that are in force, by incarnation.

    An incarnation that leaves does so until its end. Its successor at the same address
    or under the same id is another incarnation. A pause holds for this gateway only.
    Not thread-safe.

    Parameters
    ----------
    on_change : callable
        Called when a backend server is found to leave.

    Examples
    --------
    >>> registry = AdvisoryRegistry()
    >>> registry.record(("s-1", 1), Advisory(is_leaving=True), now=0.0)
    >>> registry.is_leaving(("s-1", 1)), registry.is_leaving(("s-1", 2))
    (True, False)

    """

    _on_change: Callable[[], None] = field(default=lambda: None)
    _subscribers: list[Callable[[Leaving], None]] = field(factory=list, init=False)
    _leaving: dict[Incarnation, Leaving] = field(factory=dict, init=False)
    _paused_until: dict[Incarnation, float] = field(factory=dict, init=False)
    # When each incarnation was last listed or heard.
    _seen_at: dict[Incarnation, float] = field(factory=dict, init=False)

    def subscribe(self, on_news: Callable[[Leaving], None]) -> None:
        """Call a function with all that is new to this gateway from a response."""
        self._subscribers.append(on_news)

    def record(
        self, incarnation: Incarnation, advisory: Advisory, *, now: float
    ) -> None:
        """Record what a response says of the incarnation that sent it."""
        if advisory.pause_seconds:
            self._seen_at[incarnation] = now
            self._paused_until[incarnation] = max(
                self.paused_until(incarnation), now + advisory.pause_seconds
            )
        if advisory.is_leaving:
            self._seen_at[incarnation] = now
            self._record_leaving(Leaving(incarnation=incarnation, heard_at=now))

    def merge(self, leaving: Leaving, *, now: float) -> None:
        """Apply what another gateway heard."""
        self._seen_at.setdefault(leaving.incarnation, now)
        if self._store(leaving):
            server, born = leaving.incarnation
            log.info(
                "another gateway says that a backend server leaves",
                server=server,
                born=born,
            )

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether a backend server said that it leaves."""
        return incarnation in self._leaving

    def paused_until(self, incarnation: Incarnation) -> float:
        """Return until when a backend server wants no requests from this gateway."""
        return self._paused_until.get(incarnation, float("-inf"))

    def all(self) -> list[Leaving]:
        """Return all that other gateways should know."""
        return list(self._leaving.values())

    def retain(self, listed: Collection[Incarnation], *, now: float) -> None:
        """Forget backend servers that have not been listed for a long time."""
        for incarnation in self._seen_at.keys() & listed:
            self._seen_at[incarnation] = now
        unlisted = sorted(
            (seen_at, incarnation)
            for incarnation, seen_at in self._seen_at.items()
            if incarnation not in listed
        )
        excess = len(unlisted) - MAX_UNLISTED
        for position, (seen_at, incarnation) in enumerate(unlisted):
            if position < excess or now - seen_at > UNLISTED_RETENTION_SECONDS:
                del self._seen_at[incarnation]
                self._leaving.pop(incarnation, None)
                self._paused_until.pop(incarnation, None)

    def _record_leaving(self, leaving: Leaving) -> None:
        if self._store(leaving):
            for on_news in self._subscribers:
                on_news(leaving)

    def _store(self, leaving: Leaving) -> bool:
        """Store a statement; return whether it is new."""
        if leaving.incarnation in self._leaving:
            return False
        self._leaving[leaving.incarnation] = leaving
        self._on_change()
        return True
