"""A copy of one kind of objects with its recent changes, for followers."""

import asyncio
import itertools
from collections import deque
from collections.abc import Iterable, Mapping

from eelgrassdale_gateway.objects import Change, StoredObject

# Changes kept; followers that need older ones read the whole kind.
MAX_CHANGES = 2048
# For this time after an outage of the store, followers are told of it. Entries that
# lapsed meanwhile are reported as removed within it.
OUTAGE_NEWS_SECONDS = 1.0


class ChangeLog:
    """A copy of all objects of a kind, and its most recent changes.

    `revision` is the store's revision of the copy, or None while the source is
    unavailable. `last_change_revision` is the revision of the newest change; copies of
    several nodes are compared by it.

    Examples
    --------
    >>> log = ChangeLog()
    >>> log.replace({"a": StoredObject(name="a", revision=3)}, 5)
    >>> log.add([Change(object=StoredObject(name="b", revision=6))], 7)
    >>> [change.object.name for change in log.since(5)], log.since(4)
    (['b'], None)

    """

    def __init__(self) -> None:
        self.objects: Mapping[str, StoredObject] = {}
        self.revision: int | None = None
        self.last_change_revision = 0
        self._changes: deque[tuple[int, Change]] = deque()
        self._history_start = 0
        self._outage_seconds = 0.0
        self._outage_ended_at = float("-inf")
        self._changed = asyncio.Event()

    def replace(self, objects: Mapping[str, StoredObject], revision: int) -> None:
        """Replace the copy by a complete listing."""
        self.objects = dict(objects)
        self.revision = revision
        newest = max((item.revision for item in objects.values()), default=0)
        self.last_change_revision = max(self.last_change_revision, newest)
        self._changes.clear()
        self._history_start = revision
        self._notify()

    def add(self, changes: Iterable[Change], revision: int) -> None:
        """Apply changes up to a revision.

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
                    changed_at = revision
            else:
                objects[item.name] = item
            self.last_change_revision = max(self.last_change_revision, changed_at)
            self._changes.append((revision, change))
        self.objects = objects
        self.revision = revision
        while len(self._changes) > MAX_CHANGES:
            self._history_start = self._changes.popleft()[0]
        self._notify()

    def mark_unavailable(self) -> None:
        """Set `revision` to None, as the source does not answer any more."""
        self.revision = None
        self._notify()

    def record_outage(self, seconds: float, *, now: float) -> None:
        """Record the length of an outage of the store that ends now."""
        self._outage_seconds = seconds
        self._outage_ended_at = now

    def recent_outage_seconds(self, *, now: float) -> float:
        """Return the length of an outage that has just ended, or 0."""
        is_recent = now - self._outage_ended_at <= OUTAGE_NEWS_SECONDS
        return self._outage_seconds if is_recent else 0.0

    def since(self, revision: int) -> tuple[Change, ...] | None:
        """Return the last change of each object after a revision.

        None if some changes after it are no longer kept.
        """
        if revision < self._history_start:
            return None
        newest = {
            change.object.name: change
            for change_revision, change in self._changes
            if change_revision > revision
        }
        return tuple(newest.values())

    def revisions_after(self, revision: int) -> set[int]:
        """Return the revisions of the known changes after a revision.

        Changes that later ones replaced may be left out, and deletions whose entry has
        no revision of its own.

        Examples
        --------
        >>> log = ChangeLog()
        >>> log.replace({"a": StoredObject(name="a", revision=3)}, 5)
        >>> log.add([Change(object=StoredObject(name="b", revision=6))], 7)
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
