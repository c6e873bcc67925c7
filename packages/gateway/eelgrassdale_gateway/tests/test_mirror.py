"""Tests of `Mirror` under several failures of the store."""

import asyncio

import pytest

from eelgrassdale.clock import SystemClock
from eelgrassdale_gateway.eras import Position
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.objects import (
    Change,
    Changes,
    HistoryGone,
    Listing,
    StoredObject,
    StoreUnavailable,
)


class ScriptedSource:
    """A source that answers each call with the next item of a list."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def list(self, kind):
        return await self._next("list")

    async def watch(self, kind, *, position, wait_seconds):
        return await self._next(f"watch {position.revision}")

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


def listing(revision, *items, era=0):
    return Listing(objects=items, revision=revision, era=era)


def changes(revision, *pairs, era=0):
    return Changes(
        changes=tuple(
            Change(object=i, is_deleted=is_deleted) for i, is_deleted in pairs
        ),
        revision=revision,
        era=era,
    )


def run_mirror(source, calls, *, refresh_at=None):
    """Run a mirror until it has made `calls` calls.

    Return the objects passed to `on_change`, and the outages to `on_reached`.
    """
    snapshots, outages = [], []

    async def run():
        mirror = Mirror(
            kind="k",
            source=source,
            clock=SystemClock(),
            on_change=lambda objects: snapshots.append(
                {name: stored.spec for name, stored in objects.items()}
            ),
            on_recovery=outages.append,
        )
        task = asyncio.ensure_future(mirror.run())
        async with asyncio.timeout(5):
            while len(source.calls) < calls:
                if len(source.calls) == refresh_at:
                    mirror.refresh()
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    return snapshots, outages


def test_watch_of_a_newer_era_is_followed_by_a_whole_list():
    """Guards against a copy that mixes what the store lost with what it has now."""
    source = ScriptedSource(
        listing(5, item("lost", 1), item("a", 1)),
        changes(9, (item("b", 1, 9), False), era=1),
        listing(9, item("a", 1), item("b", 1, 9), era=1),
    )
    snapshots, _ = run_mirror(source, calls=4)
    assert snapshots == [{"lost": 1, "a": 1}, {"a": 1, "b": 1}]
    assert source.calls == ["list", "watch 5", "list", "watch 9"]


def test_listing_of_a_newer_era_replaces_one_with_higher_revisions():
    """Guards against watches from a revision that the restored store lacks."""
    source = ScriptedSource(
        listing(9, item("a", 2, 9)), HistoryGone("k"), listing(5, era=1)
    )
    snapshots, _ = run_mirror(source, calls=4)
    assert snapshots[-1] == {}
    assert source.calls[-1] == "watch 5"


@pytest.mark.parametrize(
    "delayed", [listing(9, item("a", 1)), changes(9, (item("a", 1, 9), False))]
)
def test_answer_of_an_earlier_era_is_dropped(delayed):
    """Guards against a delayed answer that rolls a copy back to before a restoration.

    It is an answer to a listing or a watch; the copy is listed again after it.
    """
    gone = [HistoryGone("k")] if isinstance(delayed, Listing) else []
    source = ScriptedSource(
        listing(5, item("a", 2), era=1), *gone, delayed, listing(5, era=1)
    )
    snapshots, _ = run_mirror(source, calls=4 + len(gone))
    assert snapshots == [{"a": 2}, {}]


def test_position_of_another_era_does_not_confirm_a_copy():
    """Guards against a copy of before a restoration that counts as complete after it.

    Its next watch would begin at a revision of the new era and miss the changes before.
    """
    source = ScriptedSource(listing(5, item("a", 1)))

    async def run():
        mirror = Mirror(
            kind="k", source=source, clock=SystemClock(), on_change=lambda _objects: 0
        )
        task = asyncio.ensure_future(mirror.run())
        while mirror.position is None:
            await asyncio.sleep(0)
        mirror.confirm(Position(1, 7))
        task.cancel()
        return mirror.position

    assert asyncio.run(run()) == Position(0, 5)


def test_changes_and_deletions_are_followed():
    source = ScriptedSource(
        listing(5, item("a", 1), item("b", 1)),
        changes(7, (item("a", 2), False)),
        changes(9, (item("b", 1), True)),
    )
    snapshots, _ = run_mirror(source, calls=4)
    assert snapshots == [{"a": 1, "b": 1}, {"a": 2, "b": 1}, {"a": 2}]
    assert source.calls == ["list", "watch 5", "watch 7", "watch 9"]


def test_dropped_history_is_followed_by_a_whole_list():
    source = ScriptedSource(
        listing(5, item("a", 1)), HistoryGone("k"), listing(9, item("a", 2))
    )
    snapshots, _ = run_mirror(source, calls=4)
    assert snapshots[-1] == {"a": 2}
    assert source.calls == ["list", "watch 5", "list", "watch 9"]


def test_broken_watch_is_followed_by_a_whole_list():
    """A new watch from the old revision got no changes for five seconds."""
    source = ScriptedSource(
        listing(5, item("a", 1)), StoreUnavailable("reset"), listing(9, item("a", 2))
    )
    snapshots, outages = run_mirror(source, calls=4)
    assert snapshots[-1] == {"a": 2}
    assert source.calls == ["list", "watch 5", "list", "watch 9"]
    assert len(outages) == 1


def test_stale_mirror_reads_again_while_its_watch_is_silent():
    source = ScriptedSource(
        listing(5, item("a", 1)), "silent", listing(9, item("a", 2))
    )
    snapshots, _ = run_mirror(source, calls=4, refresh_at=2)
    assert snapshots[-1] == {"a": 2}


def test_watch_without_changes_does_not_call_on_change():
    source = ScriptedSource(listing(5, item("a", 1)), changes(8))
    snapshots, _ = run_mirror(source, calls=3)
    assert snapshots == [{"a": 1}]
    assert source.calls[-1] == "watch 8"


def staleness_of(*answers, follows_gateway):
    """Return the staleness with which the last of the listings was applied."""
    seen = []
    source = ScriptedSource(*answers)

    async def run():
        mirror = Mirror(
            kind="k",
            source=source,
            clock=SystemClock(),
            on_change=lambda _objects: seen.append(mirror.staleness_seconds),
            follows_gateway=lambda: follows_gateway,
        )
        task = asyncio.ensure_future(mirror.run())
        async with asyncio.timeout(5):
            while len(seen) < 2:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    return seen[-1]


def unavailable(*, is_store_failure):
    return StoreUnavailable("scripted", is_store_failure=is_store_failure)


def test_changes_missed_by_a_silent_gateway_may_be_as_old_as_its_last_answer():
    """Guards against an old version that serves too long behind frozen watchers."""
    before, after = listing(1, item("a", 1)), listing(2, item("a", 2, revision=2))
    silent = [unavailable(is_store_failure=False) for _ in range(3)]
    assert staleness_of(before, *silent, after, follows_gateway=True) > 0.1
    assert staleness_of(before, *silent, after, follows_gateway=False) == 0.0
    outage = unavailable(is_store_failure=True)
    assert staleness_of(before, outage, after, follows_gateway=True) == 0.0
    change = changes(2, (item("a", 2, revision=2), False))
    assert staleness_of(before, change, follows_gateway=True) == 0.0


def test_change_that_cannot_be_applied_does_not_end_the_process():
    """Guards against a gateway that ends with all requests at an unexpected change."""
    applied = []

    def on_change(objects):
        if "odd" in objects:
            raise RecursionError
        applied.append(set(objects))

    async def run():
        source = ScriptedSource(
            listing(1, item("odd", {})),
            changes(2, (item("odd", {}, 2), True), (item("a", {}, 2), False)),
        )
        mirror = Mirror(
            kind="k", source=source, clock=SystemClock(), on_change=on_change
        )
        task = asyncio.ensure_future(mirror.run())
        await asyncio.wait((task,), timeout=0.1)
        is_running = not task.done()
        task.cancel()
        return is_running

    assert asyncio.run(run())
    assert applied == [{"a"}]


def test_refresh_requested_as_a_watch_ends_is_not_lost():
    # Guards against a gateway that goes on to watch a gateway that stands still,
    # although its copy was found stale and the store has a newer one.
    class RefreshingSource(ScriptedSource):
        async def watch(self, kind, *, position, wait_seconds):
            result = await super().watch(
                kind, position=position, wait_seconds=wait_seconds
            )
            mirror.refresh()
            return result

    async def run():
        async with asyncio.timeout(5):
            task = asyncio.ensure_future(mirror.run())
            while len(source.calls) < 3:
                await asyncio.sleep(0)
            task.cancel()

    source = RefreshingSource(
        listing(5, item("a", 1)), changes(5), listing(6, item("a", 2))
    )
    mirror = Mirror(
        kind="k", source=source, clock=SystemClock(), on_change=lambda objects: None
    )
    asyncio.run(run())
    assert source.calls == ["list", "watch 5", "list"]
