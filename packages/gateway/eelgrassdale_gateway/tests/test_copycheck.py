"""Tests that changes are found which no watch of the store reports."""

import asyncio

import pytest
from attrs import define, field

from eelgrassdale.clock import SystemClock
from eelgrassdale_gateway import copycheck
from eelgrassdale_gateway.copycheck import FAILURES_OF_OUTAGE, CopyCheck
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.objects import (
    Change,
    Changes,
    HistoryGone,
    Listing,
    StoredObject,
    StoreUnavailable,
)

KINDS = ("large", "small")


@define
class Store:
    """A store whose watches are only answered while `reports_changes` is true.

    Calls that return at once are answered unless `is_silent` or `is_failing`.
    """

    revision: int = 1
    era: int = 0
    restored_by_call: str = ""
    reports_changes: bool = True
    is_silent: bool = False
    is_failing: bool = False
    has_history: bool = True
    calls: list[str] = field(factory=list)
    history: list[tuple[str, Change]] = field(factory=list)
    objects: dict[str, dict[str, StoredObject]] = field(
        factory=lambda: {kind: {} for kind in KINDS}
    )
    changed: asyncio.Event = field(factory=asyncio.Event)

    def write(self, kind, name, *, is_deleted=False, step=1):
        self.revision += step
        item = StoredObject(name=name, revision=self.revision, spec=self.revision)
        if is_deleted:
            del self.objects[kind][name]
        else:
            self.objects[kind][name] = item
        self.history.append((kind, Change(object=item, is_deleted=is_deleted)))
        self.changed.set()
        self.changed = asyncio.Event()

    async def list(self, kind):
        await self._answer("list", kind)
        return Listing(
            objects=tuple(self.objects[kind].values()),
            revision=self.revision,
            era=self.era,
        )

    async def watch(self, kind, *, position, wait_seconds):
        if wait_seconds == 0:
            await self._answer("read", kind)
            if not self.has_history:
                raise HistoryGone(kind)
        while not (changes := self._changes(kind, position.revision)) and wait_seconds:
            await self.changed.wait()
        if wait_seconds and not self.reports_changes:
            await asyncio.Event().wait()
        return Changes(changes=changes, revision=self.revision, era=self.era)

    async def _answer(self, call, kind):
        self.calls.append(f"{call} {kind}")
        if self.calls[-1] == self.restored_by_call:
            self.era += 1
        if self.is_failing:
            raise StoreUnavailable("refused by the store")
        if self.is_silent:
            await asyncio.Event().wait()

    def _changes(self, kind, revision):
        return tuple(
            change
            for changed_kind, change in self.history
            if changed_kind == kind and change.object.revision > revision
        )


@define(kw_only=True)
class Gateway:
    """Mirrors of all kinds with their check, and the outages that these reported."""

    store: Store
    mirrors: dict[str, Mirror]
    check: CopyCheck
    outages: list[float]
    sources: dict[str, bool]

    def names(self, kind):
        return set(self.mirrors[kind].change_log.objects)


def run_scenario(scenario):
    """Run a scenario with a gateway that has read all kinds of the store."""

    async def run():
        store = Store()
        store.write("large", "a")
        store.write("large", "b")
        outages = []
        sources = dict.fromkeys(KINDS, True)
        mirrors = {
            kind: Mirror(
                kind=kind,
                source=store,
                clock=SystemClock(),
                on_change=lambda objects: None,
                on_recovery=outages.append,
            )
            for kind in KINDS
        }
        check = CopyCheck(
            store=store,
            mirrors=list(mirrors.values()),
            reads_from_store=sources.get,
            clock=SystemClock(),
            interval_seconds=0.05,
        )
        gateway = Gateway(
            store=store, mirrors=mirrors, check=check, outages=outages, sources=sources
        )
        tasks = [asyncio.ensure_future(mirror.run()) for mirror in mirrors.values()]
        await wait_until(lambda: gateway.names("large") == {"a", "b"})
        await asyncio.sleep(0.01)
        store.calls.clear()
        try:
            async with asyncio.timeout(10):
                await scenario(gateway)
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(run())


async def wait_until(is_true):
    while not is_true():
        await asyncio.sleep(0.005)


@pytest.fixture
def short_timeouts(monkeypatch):
    """Shorten the time after which a call counts as unanswered."""
    monkeypatch.setattr(copycheck, "CALL_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(copycheck, "RETRY_SECONDS", 0.05)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("is_deleted", [False, True])
def test_change_that_no_watch_reports_is_read(kind, is_deleted):
    async def scenario(gateway):
        gateway.store.write(kind, "c")
        await wait_until(lambda: "c" in gateway.names(kind))
        gateway.store.reports_changes = False
        gateway.store.write(kind, "c" if is_deleted else "d", is_deleted=is_deleted)
        left = set(gateway.store.objects[kind])
        assert gateway.names(kind) != left
        assert await gateway.check.check()
        await wait_until(lambda: gateway.names(kind) == left)

    run_scenario(scenario)


@pytest.mark.parametrize("revision", [1, 90])
def test_copies_of_an_earlier_era_are_listed_again(revision):
    """Guards against copies that keep what a restored store has lost.

    No watch reports the restoration, and revisions may be beyond those of before.
    """

    async def scenario(gateway):
        store = gateway.store
        store.reports_changes = False
        store.era, store.revision = 1, revision
        del store.objects["large"]["b"]
        assert await gateway.check.check()
        await wait_until(lambda: gateway.names("large") == {"a"})
        await wait_until(lambda: gateway.mirrors["small"].position == (1, revision))
        # Changes since a revision of the earlier era say nothing.
        assert not [call for call in store.calls if call.startswith("read")]

    run_scenario(scenario)


def test_listing_of_an_earlier_era_confirms_nothing():
    """Guards against a delayed answer by which a copy counts as complete."""

    async def scenario(gateway):
        store = gateway.store
        store.era = 1
        await gateway.check.check()
        await wait_until(lambda: all(m.position for m in gateway.mirrors.values()))
        await wait_until(lambda: gateway.mirrors["small"].change_log.era == 1)
        await wait_until(lambda: gateway.mirrors["large"].change_log.era == 1)
        before = [mirror.position for mirror in gateway.mirrors.values()]
        store.reports_changes = False
        store.era, store.revision = 0, 90
        store.calls.clear()
        await gateway.check.check()
        assert [mirror.position for mirror in gateway.mirrors.values()] == before
        assert store.calls == ["list small"]

    run_scenario(scenario)


def test_restoration_between_the_calls_of_a_check_is_noticed():
    """Guards against a copy of before that counts as complete for a whole interval."""

    async def scenario(gateway):
        store = gateway.store
        store.reports_changes = False
        store.write("small", "c", step=5)
        store.restored_by_call = "read large"
        await gateway.check.check()
        await wait_until(lambda: gateway.mirrors["large"].change_log.era == 1)

    run_scenario(scenario)


def test_change_of_another_kind_does_not_hide_a_missed_one():
    """Guards against a revision that counts as known as a later change was seen."""

    async def scenario(gateway):
        gateway.store.reports_changes = False
        gateway.store.write("large", "missed")
        await asyncio.sleep(0.01)
        gateway.store.reports_changes = True
        gateway.store.write("small", "seen")
        await wait_until(lambda: "seen" in gateway.names("small"))
        await gateway.check.check()
        await wait_until(lambda: "missed" in gateway.names("large"))

    run_scenario(scenario)


def test_checks_cost_one_call_while_all_changes_are_reported():
    """Guards against calls of the store for kinds that are known to be complete."""

    async def scenario(gateway):
        for number in range(3):
            gateway.store.write("large", f"n-{number}")
            await wait_until(lambda: gateway.store.revision in revisions(gateway))
            await gateway.check.check()
        assert gateway.store.calls == ["list small"] * 3

    def revisions(gateway):
        return [mirror.position.revision for mirror in gateway.mirrors.values()]

    run_scenario(scenario)


def test_steps_of_kinds_without_a_mirror_cost_one_reading():
    """Guards against checks that read a kind again although nothing has changed."""

    async def scenario(gateway):
        gateway.store.write("large", "c", step=5)
        await wait_until(lambda: "c" in gateway.names("large"))
        await gateway.check.check()
        assert gateway.store.calls == ["list small", "read small"]
        await gateway.check.check()
        assert gateway.store.calls[2:] == ["list small"]

    run_scenario(scenario)


def test_check_behind_the_history_reads_the_whole_kind():
    """Guards against a change that stays unknown as the store has dropped it."""

    async def scenario(gateway):
        gateway.store.reports_changes = gateway.store.has_history = False
        gateway.store.write("large", "c")
        await gateway.check.check()
        await wait_until(lambda: "c" in gateway.names("large"))

    run_scenario(scenario)


def test_copy_from_another_gateway_is_not_compared():
    """Guards against a call of the store by each follower."""

    async def scenario(gateway):
        gateway.sources.update(dict.fromkeys(KINDS, False))
        assert await gateway.check.check()
        assert gateway.store.calls == []

    run_scenario(scenario)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("fault", ["is_silent", "is_failing"])
def test_silence_without_a_broken_watch_counts_as_an_outage(fault):
    """Guards against servers dropped as their entries lapsed while the store was away.

    The outage has to be known before the change is applied that a watch reports.
    """

    async def scenario(gateway):
        setattr(gateway.store, fault, True)
        for _ in range(FAILURES_OF_OUTAGE):
            assert not await gateway.check.check()
        assert gateway.outages == []
        gateway.store.write("large", "a", is_deleted=True)
        await wait_until(lambda: "a" not in gateway.names("large"))
        assert len(gateway.outages) == 1
        setattr(gateway.store, fault, False)
        assert await gateway.check.check()
        assert len(gateway.outages) == len(KINDS)

    run_scenario(scenario)


@pytest.mark.usefixtures("short_timeouts")
def test_one_call_without_an_answer_is_no_outage():
    """Guards against lapsed entries kept as a single connection fell silent."""

    async def scenario(gateway):
        gateway.store.is_silent = True
        assert not await gateway.check.check()
        gateway.store.is_silent = False
        assert await gateway.check.check()
        assert gateway.outages == []

    run_scenario(scenario)


@pytest.mark.usefixtures("short_timeouts")
def test_changes_are_found_after_the_store_was_silent():
    """Guards against checks that end, or wait for long, as the store is silent."""

    async def scenario(gateway):
        task = asyncio.ensure_future(gateway.check.run())
        gateway.store.is_silent = True
        gateway.store.reports_changes = False
        await asyncio.sleep(0.3)
        gateway.store.write("small", "c")
        gateway.store.is_silent = False
        await wait_until(lambda: "c" in gateway.names("small"))
        task.cancel()

    run_scenario(scenario)
