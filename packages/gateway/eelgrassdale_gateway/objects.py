"""Objects of the platform's store, and the interface of their sources."""

import math
from typing import Any, Protocol

from attrs import frozen


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
    """All objects of a kind at a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


@frozen(kw_only=True)
class Changes:
    """Changes of a kind up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: int


class ObjectSource(Protocol):
    """Source of objects; methods may raise `StoreUnavailable`."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        ...

    async def watch(self, kind: str, *, revision: int, wait_seconds: float) -> Changes:
        """Return what changed after a revision, at the latest after `wait_seconds`.

        Raises `HistoryGone` if the source has dropped that part of its history.
        """
        ...


def whole_number(value: Any, *, lowest: int = 0, highest: int) -> int:
    """Return a number of a decoded body as an integer within bounds.

    Raises
    ------
    ValueError
        If it is no number, not finite or out of bounds.

    Examples
    --------
    >>> whole_number(7.0, highest=10)
    7
    >>> whole_number(float("inf"), highest=10)
    Traceback (most recent call last):
    ...
    ValueError: no whole number from 0 to 10: inf

    """
    is_number = isinstance(value, int | float) and math.isfinite(value)
    if not is_number or not lowest <= value <= highest:
        shown = repr(value)[:100]
        raise ValueError(f"no whole number from {lowest} to {highest}: {shown}")
    return int(value)
