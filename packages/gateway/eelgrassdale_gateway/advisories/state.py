"""What one gateway knows of backend servers from their own responses.

A restart forgets all of it; the next response of each server tells it again.
"""

from collections.abc import Callable, Collection

from attrs import define, field

from eelgrassdale_gateway.advisories.reading import Advisory
from eelgrassdale_gateway.model import Incarnation

# Backend servers that are not listed any more are forgotten after this time. Until
# then their entries may return, if they only expired in an outage of the store.
UNLISTED_RETENTION_SECONDS = 120.0
# Bound of what is remembered of unlisted backend servers.
MAX_UNLISTED = 1024


@define(kw_only=True, eq=False)
class AdvisoryRegistry:
    """The advisories of backend servers that are in force, by incarnation.

    An incarnation that leaves does so until its end. Its successor at the same address
    or under the same id is another incarnation. Not thread-safe.

    Parameters
    ----------
    on_change : callable
        Called when a backend server may no longer get requests.

    Examples
    --------
    >>> registry = AdvisoryRegistry()
    >>> registry.record(("s-1", 1), Advisory(is_leaving=True), now=0.0)
    >>> registry.is_leaving(("s-1", 1)), registry.is_leaving(("s-1", 2))
    (True, False)

    """

    _on_change: Callable[[], None] = field(default=lambda: None)
    # When each incarnation that leaves was last listed or heard.
    _leaving: dict[Incarnation, float] = field(factory=dict)

    def record(
        self, incarnation: Incarnation, advisory: Advisory, *, now: float
    ) -> None:
        """Record what a response says of the incarnation that sent it."""
        if advisory.is_leaving:
            self._record_leaving(incarnation, now)

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether a backend server said that it leaves."""
        return incarnation in self._leaving

    def retain(self, listed: Collection[Incarnation], *, now: float) -> None:
        """Forget backend servers that have not been listed for a long time."""
        for incarnation in self._leaving.keys() & listed:
            self._leaving[incarnation] = now
        unlisted = sorted(
            (seen_at, incarnation)
            for incarnation, seen_at in self._leaving.items()
            if incarnation not in listed
        )
        excess = len(unlisted) - MAX_UNLISTED
        for position, (seen_at, incarnation) in enumerate(unlisted):
            if position < excess or now - seen_at > UNLISTED_RETENTION_SECONDS:
                del self._leaving[incarnation]

    def _record_leaving(self, incarnation: Incarnation, now: float) -> None:
        is_new = incarnation not in self._leaving
        self._leaving[incarnation] = now
        if is_new:
            self._on_change()
