"""The recent changes of one kind of objects, for others that follow it."""

import asyncio
from collections import deque
from collections.abc import Iterable, Mapping

from eelgrassdale_gateway.objects import Change, StoredObject

# Followers that are further behind read the whole kind.
MAX_CHANGES = 2048


class ChangeLog:
    """A copy of a kind with its last changes; `revision` None while it is lost.

    `changed_at` is the revision of the newest change, by which two copies can
    be compared.

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
        self.changed_at = 0
        self._changes: deque[tuple[int, Change]] = deque()
        self._complete_from = 0
        self._changed = asyncio.Event()

    def replace(self, objects: Mapping[str, StoredObject], revision: int) -> None:
        """Take a whole list that was read."""
        self.objects = dict(objects)
        self.revision = revision
        newest = max((item.revision for item in objects.values()), default=0)
        self.changed_at = max(self.changed_at, newest)
        self._changes.clear()
        self._complete_from = revision
        self._notify()

    def add(self, changes: Iterable[Change], revision: int) -> None:
        """Take changes up to a revision."""
        objects = dict(self.objects)
        for change in changes:
            item = change.object
            changed_at = item.revision
            if change.is_deleted:
                before = objects.pop(item.name, None)
                if before is None or before.revision >= item.revision:
                    # The entry tells its last change before the deletion.
                    changed_at = revision
            else:
                objects[item.name] = item
            self.changed_at = max(self.changed_at, changed_at)
            self._changes.append((revision, change))
        self.objects = objects
        self.revision = revision
        while len(self._changes) > MAX_CHANGES:
            self._complete_from = self._changes.popleft()[0]
        self._notify()

    def lose(self) -> None:
        """Note that the source does not answer any more."""
        self.revision = None
        self._notify()

    def since(self, revision: int) -> tuple[Change, ...] | None:
        """Return the last change of each object after a revision.

        None if some changes since then are forgotten.
        """
        if revision < self._complete_from:
            return None
        newest = {
            change.object.name: change for at, change in self._changes if at > revision
        }
        return tuple(newest.values())

    async def wait(self) -> None:
        """Return after the next change or loss."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
