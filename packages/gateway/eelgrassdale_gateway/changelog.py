"""A copy of one kind of objects with its recent changes, for followers."""

import asyncio
import itertools
from collections import deque
from collections.abc import Iterable, Mapping

from attrs import frozen

from eelgrassdale_gateway.eras import START, Position
from eelgrassdale_gateway.objects import Change, StoredObject

# Changed objects that are known; followers that need older changes read the whole kind.
# A name has at most 256 characters, so they take less than 1 MB in all.
MAX_CHANGES = 2048
# For this time after an outage of the store, followers are told of it. Entries that
# lapsed meanwhile are reported as removed within it.
OUTAGE_NEWS_SECONDS = 1.0


@frozen
class _LastChange:
    """The last change of an object, without its value."""

    position: Position
    revision: int
    is_deleted: bool


class ChangeLog:
    """A copy of all objects of a kind, and its most recent changes.

    Only the last change of each object is kept, and the values only in the copy, so
    that the memory does not grow with the number of changes.

    `position` is that of the copy in the store's history, or None while the source is
    unavailable. `last_change` is the position of the newest change; copies of several
    nodes are compared by it. All changes that are kept are of one era.

    Examples
    --------
    >>> log = ChangeLog()
    >>> log.replace({"a": StoredObject(name="a", revision=3)}, Position(1, 5))
    >>> log.add([Change(object=StoredObject(name="b", revision=6))], Position(1, 7))
    >>> [change.object.name for change in log.since(Position(1, 5))]
    ['b']
    >>> log.since(Position(1, 4)), log.since(Position(0, 9))
    (None, None)

    """

    def __init__(self) -> None:
        self.objects: Mapping[str, StoredObject] = {}
        self.position: Position | None = None
        self.last_change = START
        # By name of the object, oldest first.
        self._changes: dict[str, _LastChange] = {}
        # Of changes that are known, also of those that later ones replaced.
        self._revisions: deque[int] = deque(maxlen=MAX_CHANGES)
        self._history_start = START
        self._outage_seconds = 0.0
        self._outage_ended_at = float("-inf")
        self._changed = asyncio.Event()

    @property
    def era(self) -> int:
        """Era of the copy, also while the source is unavailable."""
        return self.last_change.era

    def replace(self, objects: Mapping[str, StoredObject], position: Position) -> None:
        """Replace the copy by a complete listing."""
        self.objects = dict(objects)
        self.position = position
        newest = max((item.revision for item in objects.values()), default=0)
        self.last_change = max(self.last_change, Position(position.era, newest))
        self._changes.clear()
        self._revisions.clear()
        self._history_start = position
        self._notify()

    def add(self, changes: Iterable[Change], position: Position) -> None:
        """Apply changes up to a position, which is of the copy's era.

        A change older than the known state of its object is skipped: a listing of
        several pages may contain it already.
        """
        objects = dict(self.objects)
        for change in changes:
            item = change.object
            known = objects.get(item.name)
            if known is not None and 0 < item.revision < known.revision:
                continue
            changed_at = item.revision
            if change.is_deleted:
                before = objects.pop(item.name, None)
                if before is None or before.revision >= item.revision:
                    # The entry of a deletion may carry only the revision of the
                    # object's last change, which is known already.
                    changed_at = position.revision
            else:
                objects[item.name] = item
            self.last_change = max(self.last_change, Position(position.era, changed_at))
            self._record_change(change, position)
        self.objects = objects
        self.position = position
        self._notify()

    def mark_unavailable(self) -> None:
        """Set `position` to None, as the source does not answer any more."""
        self.position = None
        self._notify()

    def record_outage(self, seconds: float, *, now: float) -> None:
        """Record the length of an outage of the store that ends now."""
        self._outage_seconds = seconds
        self._outage_ended_at = now

    def recent_outage_seconds(self, *, now: float) -> float:
        """Return the length of an outage that has just ended, or 0."""
        is_recent = now - self._outage_ended_at <= OUTAGE_NEWS_SECONDS
        return self._outage_seconds if is_recent else 0.0

    def since(self, position: Position) -> tuple[Change, ...] | None:
        """Return the last change of each object after a position.

        None if some changes after it are not kept, as for a position of an earlier era.
        """
        if position < self._history_start:
            return None
        return tuple(
            self._restore_change(name, last)
            for name, last in self._changes.items()
            if last.position > position
        )

    def revisions_after(self, revision: int) -> set[int]:
        """Return the revisions of the known changes after a revision of this era.

        Changes before the last `MAX_CHANGES` may be left out, and deletions whose entry
        has no revision of its own.

        Examples
        --------
        >>> log = ChangeLog()
        >>> log.replace({"a": StoredObject(name="a", revision=3)}, Position(0, 5))
        >>> log.add([Change(object=StoredObject(name="b", revision=6))], Position(0, 7))
        >>> log.revisions_after(2), log.revisions_after(5)
        ({3, 6}, {6})

        """
        present = (item.revision for item in self.objects.values())
        known = itertools.chain(self._revisions, present)
        return {number for number in known if number > revision}

    async def wait(self) -> None:
        """Wait until the copy changes or becomes unavailable."""
        await self._changed.wait()

    def _record_change(self, change: Change, position: Position) -> None:
        item = change.object
        self._revisions.append(item.revision)
        # The entry moves to the end.
        self._changes.pop(item.name, None)
        self._changes[item.name] = _LastChange(
            position, item.revision, change.is_deleted
        )
        while len(self._changes) > MAX_CHANGES:
            oldest = next(iter(self._changes))
            self._history_start = self._changes.pop(oldest).position

    def _restore_change(self, name: str, last: _LastChange) -> Change:
        if last.is_deleted:
            item = StoredObject(name=name, revision=last.revision)
            return Change(object=item, is_deleted=True)
        return Change(object=self.objects[name])

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
