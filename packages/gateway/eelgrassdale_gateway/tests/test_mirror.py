"""Tests of mirrors while the store fails in several ways."""

import asyncio

from eelgrassdale.clock import SystemClock
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.objects import (
    Change,
    Changes,
    HistoryGone,
    Listing,
    StoredObject,
    StoreUnavailable,
)


class Script:
    """A store that answers each call with the next of a list."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def list(self, kind):
        return await self._next("list")

    async def watch(self, kind, *, revision, wait):
        return await self._next(f"watch {revision}")

    async def _next(self, call):
        self.calls.append(call)
        if not self.answers:
            await asyncio.sleep(60)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        if answer == "silent":
            await asyncio.sleep(60)
        return answer


def item(name, value, revision=1):
    return StoredObject(name=name, revision=revision, spec=value)


def listing(revision, *items):
    return Listing(objects=items, revision=revision)


def changes(revision, *pairs):
    return Changes(
        changes=tuple(Change(object=i, is_deleted=gone) for i, gone in pairs),
        revision=revision,
    )


def follow(script, calls, *, refresh_at=None):
    """Run a mirror until `calls` calls were made; return what it told."""
    told, outages = [], []

    async def run():
        mirror = Mirror(
            kind="k",
            source=script,
            clock=SystemClock(),
            on_change=lambda objects: told.append(
                {name: found.spec for name, found in objects.items()}
            ),
            on_reached=outages.append,
        )
        task = asyncio.ensure_future(mirror.run())
        async with asyncio.timeout(5):
            while len(script.calls) < calls:
                if len(script.calls) == refresh_at:
                    mirror.refresh()
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    return told, outages


def test_changes_and_deletions_are_followed():
    script = Script(
        listing(5, item("a", 1), item("b", 1)),
        changes(7, (item("a", 2), False)),
        changes(9, (item("b", 1), True)),
    )
    told, _ = follow(script, calls=4)
    assert told == [{"a": 1, "b": 1}, {"a": 2, "b": 1}, {"a": 2}]
    assert script.calls == ["list", "watch 5", "watch 7", "watch 9"]


def test_dropped_history_is_read_anew():
    script = Script(
        listing(5, item("a", 1)), HistoryGone("k"), listing(9, item("a", 2))
    )
    told, _ = follow(script, calls=4)
    assert told[-1] == {"a": 2}
    assert script.calls == ["list", "watch 5", "list", "watch 9"]


def test_broken_watch_is_followed_by_a_whole_list():
    """A watch from the old revision heard nothing for five seconds."""
    script = Script(
        listing(5, item("a", 1)), StoreUnavailable("reset"), listing(9, item("a", 2))
    )
    told, outages = follow(script, calls=4)
    assert told[-1] == {"a": 2}
    assert script.calls == ["list", "watch 5", "list", "watch 9"]
    assert len(outages) == 1


def test_mirror_that_is_behind_reads_anew_while_its_watch_is_silent():
    script = Script(listing(5, item("a", 1)), "silent", listing(9, item("a", 2)))
    told, _ = follow(script, calls=4, refresh_at=2)
    assert told[-1] == {"a": 2}


def test_unchanged_watch_tells_nothing():
    script = Script(listing(5, item("a", 1)), changes(8))
    told, _ = follow(script, calls=3)
    assert told == [{"a": 1}]
    assert script.calls[-1] == "watch 8"
