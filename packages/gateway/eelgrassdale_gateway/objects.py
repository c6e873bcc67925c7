"""Objects of the platform's store, and what a gateway needs of their source."""

from typing import Any, Protocol

from attrs import frozen


class StoreUnavailable(Exception):
    """A source refused a call or did not answer it.

    `of_store` is false if only other gateways failed, and the store may be well.
    """

    def __init__(self, reason: str, *, of_store: bool = True) -> None:
        super().__init__(reason)
        self.of_store = of_store


class HistoryGone(Exception):
    """The store no longer knows what changed since the revision."""


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
    """All objects of a kind at a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


@frozen(kw_only=True)
class Changes:
    """Changes of a kind up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: int


class ObjectSource(Protocol):
    """Reads objects; raises `StoreUnavailable`."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        ...

    async def watch(self, kind: str, *, revision: int, wait: float) -> Changes:
        """Return what changed after a revision, at the latest after `wait` seconds.

        Raises `HistoryGone` if the store dropped that part of its history.
        """
        ...
