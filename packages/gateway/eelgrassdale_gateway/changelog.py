"""A copy of one kind of objects with its recent changes, for followers."""

import asyncio
import itertools
from collections import deque
from collections.abc import Iterable, Mapping

from eelgrassdale_gateway.eras import START, Position
from eelgrassdale_gateway.objects import Change, StoredObject

# Changes kept; followers that need older ones read the whole kind.
MAX_CHANGES = 2048
# For this time after an outage of the store, followers are told of it. Entries that
# lapsed meanwhile are reported as removed within it.
OUTAGE_NEWS_SECONDS = 1.0


class ChangeLog:
    """A copy of all objects of a kind, and its most recent changes.

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
        self._changes: deque[tuple[Position, Change]] = deque()
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
            self._changes.append((position, change))
        self.objects = objects
        self.position = position
        while len(self._changes) > MAX_CHANGES:
            self._history_start = self._changes.popleft()[0]
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
        newest = {
            change.object.name: change
            for changed_at, change in self._changes
            if changed_at > position
        }
        return tuple(newest.values())

    def revisions_after(self, revision: int) -> set[int]:
        """Return the revisions of the known changes after a revision of this era.

        Changes that later ones replaced may be left out, and deletions whose entry has
        no revision of its own.

        Examples
        --------
        >>> log = ChangeLog()
        >>> log.replace({"a": StoredObject(name="a", revision=3)}, Position(0, 5))
        >>> log.add([Change(object=StoredObject(name="b", revision=6))], Position(0, 7))
        >>> log.revisions_after(2), log.revisions_after(5)
        ({3, 6}, {6})

        """
        changes = (change.object for _, change in self._changes)
        items = itertools.chain(changes, self.objects.values())
        return {item.revision for item in items if item.revision > revision}

    async def wait(self) -> None:
        """Wait until the copy changes or becomes unavailable."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
