"""Tests of quarantines that outlive a restart of all gateways."""

import asyncio

import pytest

from eelgrassdale.clock import SystemClock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale_gateway.eras import EraTracker
from eelgrassdale_gateway.objects import Listing, StoredObject, StoreUnavailable
from eelgrassdale_gateway.quarantine import (
    PromptQuarantine,
    QuarantineArchive,
    SoundAnswer,
    archive,
)
from eelgrassdale_gateway.quarantine.archive import MAX_AGE_SECONDS
from eelgrassdale_gateway.shares import GatewayGroup, single_gateway_group

DEADLY = frozenset({"x"})
UNIX_SECONDS = 2_000_000_000.0


class Store:
    """The platform's store, which refuses the next `failures` calls."""

    def __init__(self, *, failures=0):
        self.objects = {}
        self.failures = failures

    def _fail(self):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("away")

    async def list(self, kind):
        self._fail()
        objects = [
            StoredObject(name=name, revision=1, spec=spec)
            for name, spec in self.objects.items()
        ]
        return Listing(objects=tuple(objects), revision=1)

    async def put(self, kind, name, spec):
        self._fail()
        self.objects[name] = spec

    async def delete(self, kind, name):
        self._fail()
        self.objects.pop(name, None)


async def run_gateway(store, act=lambda quarantine: None, *, unix_seconds=UNIX_SECONDS):
    """Run a gateway's archive for a while and return what the gateway knows."""
    clock = SystemClock()
    quarantine = PromptQuarantine(clock=clock, gateway_group=single_gateway_group)
    archive = QuarantineArchive(
        store=store,
        kind="quarantines",
        quarantine=quarantine,
        clock=clock,
        unix_seconds=lambda: unix_seconds,
    )
    task = asyncio.ensure_future(archive.run())
    act(quarantine)
    await asyncio.sleep(0.05 + 0.6 * store.failures)
    if task.done():
        task.result()
    task.cancel()
    return quarantine


def find_deadly_part(quarantine):
    for number in range(3):
        at = SystemClock().monotonic() - number
        quarantine.record_crash(f"s-{number}", DEADLY | {f"other-{number}"}, at=at)


def test_new_gateway_refuses_what_was_quarantined_before_all_restarted():
    """Guards against three more lost servers after each restart of all gateways."""

    async def scenario():
        store = Store()
        await run_gateway(store, find_deadly_part)
        return (await run_gateway(store)).is_refused(DEADLY)

    assert asyncio.run(scenario())


def test_quarantine_is_written_once_the_store_is_back():
    async def scenario():
        store = Store(failures=3)
        await run_gateway(store, find_deadly_part)
        return (await run_gateway(store)).is_refused(DEADLY)

    assert asyncio.run(scenario())


def test_lifted_quarantine_is_deleted():
    async def scenario():
        store = Store()

        def lift(quarantine):
            find_deadly_part(quarantine)
            now = SystemClock().monotonic()
            quarantine.merge(SoundAnswer(part="x", at=now))

        await run_gateway(store, lift)
        return store.objects

    assert asyncio.run(scenario()) == {}


@pytest.mark.parametrize(("is_finder", "is_chosen"), [(1, 0), (0, 1), (0, 0)])
def test_active_quarantine_is_rewritten_after_a_restoration(
    monkeypatch, is_finder, is_chosen
):
    """Guards against quarantines lost with a restart after the store's restoration.

    The gateway that found it rewrites it, and one chosen among all, in case that one is
    gone; the others make no call.
    """
    monkeypatch.setattr(archive, "REWRITE_JITTER_SECONDS", 0.0)
    members = [f"n-{number}" for number in range(9)]
    order = rendezvous_order(key=archive.object_name(DEADLY), members=members)
    name = order[0] if is_chosen else order[1]

    async def scenario():
        store, eras = Store(), EraTracker()
        group = GatewayGroup(own_name=name, members=frozenset(members))
        quarantine = PromptQuarantine(
            clock=SystemClock(), gateway_group=single_gateway_group
        )
        gateway = QuarantineArchive(
            store=store,
            kind="quarantines",
            quarantine=quarantine,
            clock=SystemClock(),
            eras=eras,
            gateway_group=lambda: group,
        )
        find_deadly_part(quarantine)
        gateway._unwritten.clear()
        if not is_finder:
            gateway._own.clear()
        eras.observe(1)
        eras.observe(2)
        task = asyncio.ensure_future(gateway.run())
        await asyncio.sleep(0.05)
        while gateway._unwritten:
            await asyncio.sleep(0.01)
        task.cancel()
        return list(store.objects)

    rewritten = [archive.object_name(DEADLY)] if is_finder or is_chosen else []
    assert asyncio.run(scenario()) == rewritten


def test_old_and_invalid_entries_are_deleted():
    """Guards against a store that fills, and an entry that refuses all requests."""

    async def scenario():
        store = Store()
        await run_gateway(store, find_deadly_part)
        store.objects |= {"a": None, "b": {"parts": [], "written_at": UNIX_SECONDS}}
        later = UNIX_SECONDS + MAX_AGE_SECONDS + 1
        quarantine = await run_gateway(store, unix_seconds=later)
        return quarantine.states(), store.objects

    assert asyncio.run(scenario()) == ([], {})


VALID_ENTRY = {
    "parts": ["x"],
    "sequence": 1,
    "trial_count": 0,
    "written_at": UNIX_SECONDS,
}


@pytest.mark.parametrize("field", ["sequence", "trial_count", "written_at"])
@pytest.mark.parametrize("value", ["1", [1], None, -1, 2**31, 10**30, float("inf")])
def test_odd_entry_of_another_writer_is_deleted(field, value):
    """Guards against a gateway that ends, or tells others what they cannot read."""

    async def scenario():
        store = Store()
        store.objects["odd"] = VALID_ENTRY | {field: value}
        return (await run_gateway(store)).states(), store.objects

    assert asyncio.run(scenario()) == ([], {})
