"""Objects of the platform's store, and the interface of their sources."""

from typing import Any, Protocol

from attrs import frozen

from eelgrassdale_gateway.eras import Position


class StoreUnavailable(Exception):
    """A source refused a call or did not answer it.

    `is_store_failure` is false if only calls of other gateways failed, so that
    nothing is known about the store.
    """

    def __init__(self, reason: str, *, is_store_failure: bool = True) -> None:
        super().__init__(reason)
        self.is_store_failure = is_store_failure


class HistoryGone(Exception):
    """The source no longer has all changes since the given revision."""


@frozen(kw_only=True)
class StoredObject:
    """One object of a kind; `spec` and `status` are decoded bodies."""

    name: str
    revision: int
    spec: Any = None
    status: Any = None


@frozen(kw_only=True)
class Change:
    """One object that changed or was deleted."""

    object: StoredObject
    is_deleted: bool = False


@frozen(kw_only=True)
class Listing:
    """All objects of a kind at a revision of the store, in one of its eras.

    `outage_seconds` is the length of an outage of the store that has just ended, as
    another gateway tells it, or 0.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    outage_seconds: float = 0.0
    era: int = 0

    @property
    def position(self) -> Position:
        """Era and revision."""
        return Position(self.era, self.revision)


@frozen(kw_only=True)
class Changes:
    """Changes of a kind up to a revision of the store, in one of its eras.

    `outage_seconds` has the same meaning as that of `Listing`.
    """

    changes: tuple[Change, ...]
    revision: int
    outage_seconds: float = 0.0
    era: int = 0

    @property
    def position(self) -> Position:
        """Era and revision."""
        return Position(self.era, self.revision)


@frozen(kw_only=True)
class Written:
    """A conditional write was done; `revision` is the new one of the object."""

    revision: int


@frozen(kw_only=True)
class Conflict:
    """A conditional write was refused; `current` is the object, None if absent."""

    current: StoredObject | None


class ObjectSource(Protocol):
    """Source of objects; methods may raise `StoreUnavailable`."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        ...

    async def watch(
        self, kind: str, *, position: Position, wait_seconds: float
    ) -> Changes:
        """Return what changed after a position, at the latest after `wait_seconds`.

        The result may be of a newer era; then it does not follow on the position.
        Raises `HistoryGone` if the source does not have that part of its history.
        """
        ...
