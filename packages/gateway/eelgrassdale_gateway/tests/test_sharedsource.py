"""Tests that few gateways watch the store, and that followers do not stay behind."""

import asyncio

import pytest
from attrs import define, evolve, field

from eelgrassdale.clock import ManualClock, SystemClock
from eelgrassdale.http1 import HttpServer
from eelgrassdale.tests.ports import free_address
from eelgrassdale_gateway import copycheck
from eelgrassdale_gateway.copycheck import CopyCheck
from eelgrassdale_gateway.eras import START, EraTracker, Position
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.mirrorset import MirrorSet
from eelgrassdale_gateway.objecthttp import ObjectClient, ObjectQuery, ObjectServer
from eelgrassdale_gateway.objects import (
    Change,
    Changes,
    Listing,
    StoredObject,
    StoreUnavailable,
)
from eelgrassdale_gateway.sharedsource import (
    AVOIDED_STORE_TIMEOUT_SECONDS,
    STORE_COOLDOWN_SECONDS,
    STORE_FALLBACK_DELAY_SECONDS,
    WATCHERS_PER_DATA_CENTRE,
    LocalTopology,
    SharedSource,
    select_watchers,
    sources_for,
)
from eelgrassdale_gateway.staging.relay import GatewayEndpoint

KIND = "k"
# Rules with a time limit do not bind a node that was cut off within this time.
CONTACT_SECONDS = 3.0


def gateway(name, data_centre="a", port=1):
    return GatewayEndpoint(
        name=name, data_centre=data_centre, region="n", address=("127.0.0.1", port)
    )


def topology(name, *gateways, is_gateway=True):
    return LocalTopology(
        name=name, data_centre="a", gateways=gateways, is_gateway=is_gateway
    )


def test_two_gateways_of_each_data_centre_watch_and_the_others_follow_them():
    names = [f"n-{number}" for number in range(15)]
    watchers = set(select_watchers("a", names))
    assert len(watchers) == WATCHERS_PER_DATA_CENTRE
    for name in names:
        others = [gateway(other) for other in names if other != name]
        sources = sources_for(topology(name, *others))
        if name in watchers:
            assert sources[0] is None
            assert {source.name for source in sources[1:]} == watchers - {name}
        else:
            assert {
                source.name for source in sources[:WATCHERS_PER_DATA_CENTRE]
            } == watchers
            assert sources[WATCHERS_PER_DATA_CENTRE] is None


def test_agent_may_follow_every_gateway_near_it_before_the_store():
    local = [gateway(f"n-{number}") for number in range(4)]
    remote = [gateway("f-1", "b"), gateway("f-2", "b"), gateway("f-3", "b")]
    sources = sources_for(topology("agent", *local, *remote, is_gateway=False))
    assert {source.name for source in sources[:4]} == {"n-0", "n-1", "n-2", "n-3"}
    assert sources[4] is None
    assert len(sources) == 5 + WATCHERS_PER_DATA_CENTRE


@define
class FakeStore:
    """A store that refuses or does not notify some nodes; counts each node's calls.

    Calls that arrive while `is_silent`, or of `unanswered_nodes`, are never answered.
    """

    value: int = 1
    revision: int = 5
    era: int = 0
    is_silent: bool = False
    refused_nodes: set[str] = field(factory=set)
    silenced_nodes: set[str] = field(factory=set)
    unanswered_nodes: set[str] = field(factory=set)
    calls: dict[str, int] = field(factory=dict)
    write_event: asyncio.Event = field(factory=asyncio.Event)

    def restore(self, value, *, revision):
        """Go back to an older value, in a new era."""
        self.era += 1
        self.revision = revision - 1
        self.write(value)

    def write(self, value):
        self.value = value
        self.revision += 1
        self.write_event.set()
        self.write_event = asyncio.Event()

    def item(self):
        return StoredObject(name="o", revision=self.revision, spec=self.value)


@define(kw_only=True)
class NodeStore:
    """The store as seen by one node."""

    store: FakeStore
    name: str

    async def _call(self):
        self.store.calls[self.name] = self.store.calls.get(self.name, 0) + 1
        if self.store.is_silent or self.name in self.store.unanswered_nodes:
            await asyncio.Event().wait()
        if self.name in self.store.refused_nodes:
            raise StoreUnavailable("refused by the store")
        await asyncio.sleep(0)

    async def list(self, kind):
        await self._call()
        return Listing(
            objects=(self.store.item(),),
            revision=self.store.revision,
            era=self.store.era,
        )

    async def watch(self, kind, *, position, wait_seconds):
        await self._call()
        while (
            self.store.revision == position.revision
            or self.name in self.store.silenced_nodes
        ):
            await self.store.write_event.wait()
        change = Change(object=self.store.item())
        return Changes(
            changes=(change,), revision=self.store.revision, era=self.store.era
        )


class Node:
    """One gateway, which serves its copy to the others over loopback."""

    def __init__(self, name, store, nodes):
        self.name = name
        self.value = None
        # What the node applied, outages and values in order.
        self.applied = []
        self.nodes = nodes
        self.address = None
        self.task = None
        node_store = NodeStore(store=store, name=name)
        self.eras = EraTracker()
        self.source = SharedSource(
            store=node_store,
            topology=self.build_topology,
            known_position=lambda kind: self.mirror.change_log.last_change,
            clock=SystemClock(),
            eras=self.eras,
        )
        self.mirror = Mirror(
            kind=KIND,
            source=self.source,
            clock=SystemClock(),
            on_change=self.apply,
            on_recovery=lambda _seconds: self.applied.append("outage"),
        )
        self.mirror_set = MirrorSet(
            source=self.source,
            mirrors=[self.mirror],
            peer_positions=self.newest,
            copy_check=CopyCheck(
                store=node_store,
                mirrors=[self.mirror],
                reads_from_store=self.source.reads_from_store,
                clock=SystemClock(),
                interval_seconds=CONTACT_SECONDS / 2,
            ),
            eras=self.eras,
        )
        self.server = HttpServer(
            handler=ObjectServer(
                change_logs=self.mirror_set.change_logs,
                reads_from_store=self.source.reads_from_store,
                gateways=lambda: [],
                clock=SystemClock(),
            ).handle
        )

    def apply(self, objects):
        self.value = objects["o"].spec
        self.applied.append(self.value)

    def newest(self):
        positions = [node.mirror_set.positions()[KIND] for node in self.nodes]
        return {KIND: max(positions)}

    def build_topology(self):
        others = [node for node in self.nodes if node is not self]
        gateways = [gateway(node.name, port=node.address[1]) for node in others]
        return topology(self.name, *gateways)

    async def start(self):
        self.address = await self.server.start("127.0.0.1", 0)


def run_scenario(scenario, count=5):
    """Run a scenario with gateways of one data centre that all have the first value."""

    async def run():
        store = FakeStore()
        nodes = []
        nodes += [Node(f"n-{number}", store, nodes) for number in range(count)]
        for node in nodes:
            await node.start()
        for node in nodes:
            node.task = asyncio.ensure_future(node.mirror_set.run())
        try:
            async with asyncio.timeout(20):
                await wait_for_value(nodes, 1)
                return await scenario(store, nodes)
        finally:
            for node in nodes:
                node.task.cancel()
                node.server.stop_listening()
                node.server.abort_all()
            tasks = [node.task for node in nodes]
            await asyncio.gather(*tasks, return_exceptions=True)

    return asyncio.run(run())


async def wait_until(is_true):
    while not is_true():
        await asyncio.sleep(0.01)


async def wait_for_value(nodes, value):
    await wait_until(lambda: all(node.value == value for node in nodes))


def watching_nodes(nodes):
    names = select_watchers("a", [node.name for node in nodes])
    return [node for node in nodes if node.name in names]


def test_followers_get_changes_without_calls_of_the_store():
    async def scenario(store, nodes):
        watchers = {node.name for node in watching_nodes(nodes)}
        before = {name: store.calls.get(name, 0) for name in store.calls}
        for value in (2, 3):
            store.write(value)
            await wait_for_value(nodes, value)
        called = {name for name in store.calls if store.calls[name] > before[name]}
        return called, watchers

    called, watchers = run_scenario(scenario)
    assert called == watchers


@pytest.mark.parametrize("revision", [2, 90])
def test_followers_learn_of_a_restoration_from_their_watchers(revision):
    """Guards against followers that keep what a restored store has lost."""

    async def scenario(store, nodes):
        store.write(2)
        await wait_for_value(nodes, 2)
        store.restore(1, revision=revision)
        await wait_for_value(nodes, 1)
        return {node.mirror.position for node in nodes}, [n.eras.era for n in nodes]

    assert run_scenario(scenario) == ({Position(1, revision)}, [1] * 5)


def test_era_that_others_report_has_all_kinds_listed_at_once():
    """Guards against a copy that waits for a watch to fail after a restoration."""

    async def scenario(store, nodes):
        cut_off = watching_nodes(nodes)[0]
        store.silenced_nodes.add(cut_off.name)
        cut_off.mirror_set.refresh_stale = lambda: None
        cut_off.mirror_set._copy_check._mirrors = []
        store.era = 1
        cut_off.eras.observe(1)
        await wait_until(lambda: cut_off.mirror.position == Position(1, 5))

    run_scenario(scenario)


def test_heartbeats_tell_of_a_new_era():
    """Guards against a gateway without calls of the store that stays in an old era.

    Nor may it avoid its source before it could list its kinds again.
    """

    async def scenario(store, nodes):
        node = nodes[0]
        node.newest = lambda: {KIND: Position(3, 2)}
        node.mirror_set._peer_positions = node.newest
        node.mirror_set.refresh_stale()
        return node.eras.era, node.mirror_set._previously_behind

    assert run_scenario(scenario) == (3, {})


def test_higher_revision_of_an_earlier_era_does_not_make_a_copy_stale():
    """Guards against avoiding the store because a gateway is still in an old era."""

    async def scenario(store, nodes):
        store.restore(3, revision=2)
        await wait_for_value(nodes, 3)
        mirror_set = nodes[0].mirror_set
        mirror_set._peer_positions = lambda: {KIND: Position(0, 90)}
        mirror_set.refresh_stale()
        return mirror_set._previously_behind

    assert run_scenario(scenario) == {}


def test_copy_of_an_earlier_era_is_not_taken_from_a_gateway():
    """Guards against a follower that goes back to a copy of before a restoration.

    Neither a gateway that knows that its copy is older answers, nor is the answer
    of one that ignores the follower's era accepted.
    """

    async def scenario(store, nodes):
        follower = next(n for n in nodes if n not in watching_nodes(nodes))
        address = watching_nodes(nodes)[0].address
        query = ObjectQuery(kind=KIND, direct_only=True, era=1)
        with pytest.raises(StoreUnavailable, match="503"):
            await ObjectClient().list(address, query)
        with pytest.raises(StoreUnavailable, match="503"):
            await ObjectClient().watch(address, evolve(query, since=5))
        follower.eras.observe(1)
        with pytest.raises(StoreUnavailable, match="earlier era"):
            follower.source._check_era(address, Position(0, 5))

    run_scenario(scenario)


def test_gateway_refused_by_the_store_gets_changes_from_others():
    async def scenario(store, nodes):
        store.refused_nodes.add(watching_nodes(nodes)[0].name)
        store.write(2)
        await wait_for_value(nodes, 2)
        store.write(3)
        await wait_for_value(nodes, 3)

    run_scenario(scenario)


def test_followers_of_a_watcher_without_changes_read_elsewhere():
    """A watch on a dead connection gets no changes, and fails only much later."""

    async def scenario(store, nodes):
        store.silenced_nodes.add(watching_nodes(nodes)[0].name)
        store.write(2)
        await wait_for_value(nodes, 2)

    run_scenario(scenario)


def test_followers_go_to_the_store_when_all_watchers_are_gone():
    async def scenario(store, nodes):
        dead = watching_nodes(nodes)
        for node in dead:
            node.task.cancel()
            node.server.stop_listening()
            node.server.abort_all()
        await asyncio.sleep(STORE_FALLBACK_DELAY_SECONDS)
        store.write(2)
        await wait_for_value([node for node in nodes if node not in dead], 2)

    run_scenario(scenario)


def test_no_gateway_serves_a_copy_while_the_store_is_away_from_all():
    """Guards against gateways that follow each other, and so both stay behind."""

    async def scenario(store, nodes):
        store.refused_nodes.update(node.name for node in nodes)
        store.write(2)
        await asyncio.sleep(2 * STORE_FALLBACK_DELAY_SECONDS)
        kept = [node.value for node in nodes]
        lost = [node.mirror.change_log.position for node in nodes]
        store.refused_nodes.clear()
        await wait_for_value(nodes, 2)
        return kept, lost

    kept, lost = run_scenario(scenario)
    assert all(value in (1, 2) for value in kept)
    assert lost == [None] * 5


def run_with_silent_peer(scenario):
    """Run a scenario with a watcher of the store whose only peer refuses connections.

    Its clock stands still, so that no cooldown ends.
    """
    port = int(free_address().rpartition(":")[2])
    store = FakeStore()
    source = SharedSource(
        store=NodeStore(store=store, name="n-1"),
        topology=lambda: topology("n-1", gateway("n-2", port=port)),
        known_position=lambda kind: START,
        clock=ManualClock(),
    )

    async def run():
        async with asyncio.timeout(20):
            return await scenario(store, source)

    return asyncio.run(run())


def test_store_with_a_stale_watch_is_listed_when_no_gateway_answers():
    # Guards against a gateway that gets no changes for the whole cooldown of the
    # store, and so sends requests to a server that drains for longer than it may.
    async def scenario(store, source):
        await source.list(KIND)
        source.avoid_current_source(KIND)
        store.write(2)
        listing = await source.list(KIND)
        store.write(3)
        changes = await source.watch(KIND, position=listing.position, wait_seconds=5)
        return listing.objects[0].spec, changes.changes[0].object.spec

    assert run_with_silent_peer(scenario) == (2, 3)


def test_store_that_fails_is_not_asked_again_as_a_stale_one():
    # Guards against calls without a cooldown, which have a price, during an outage.
    async def scenario(store, source):
        await source.list(KIND)
        source.avoid_current_source(KIND)
        store.refused_nodes.add("n-1")
        for _ in range(3):
            with pytest.raises(StoreUnavailable):
                await source.list(KIND)
        return store.calls["n-1"]

    assert run_with_silent_peer(scenario) == 2


def test_store_that_stays_silent_is_not_waited_for_without_a_limit():
    """Guards against a listing that waits although gateways have answers by then.

    A store that had not answered in time was asked first again, without a limit.
    """

    async def scenario(store, source):
        await source.list(KIND)
        source.avoid_current_source(KIND)
        store.unanswered_nodes.add("n-1")
        for _ in range(2):
            async with asyncio.timeout(2 * AVOIDED_STORE_TIMEOUT_SECONDS):
                with pytest.raises(StoreUnavailable):
                    await source.list(KIND)
            source._clock.advance(seconds=STORE_COOLDOWN_SECONDS)
            assert source._sources_to_list()[0] is not None

    run_with_silent_peer(scenario)


def test_change_after_a_silence_of_the_store_is_not_missed():
    """Guards against copies that stay behind watches without an answer."""

    async def scenario(store, nodes):
        store.write(2)
        store.is_silent = True
        await wait_for_value(nodes, 2)
        await asyncio.sleep(0.1)
        store.is_silent = False
        store.write(3)
        async with asyncio.timeout(CONTACT_SECONDS):
            await wait_for_value(nodes, 3)

    run_scenario(scenario)


def test_listing_without_an_answer_is_given_up_for_a_gateway_that_knows_more():
    """Guards against a gateway that waits for a store that has fallen silent to it."""

    async def scenario(store, nodes):
        store.refused_nodes.update(node.name for node in nodes)
        store.write(2)
        await asyncio.sleep(2 * STORE_FALLBACK_DELAY_SECONDS)
        store.unanswered_nodes.add(watching_nodes(nodes)[0].name)
        await asyncio.sleep(STORE_FALLBACK_DELAY_SECONDS)
        store.refused_nodes.clear()
        store.write(3)
        async with asyncio.timeout(CONTACT_SECONDS):
            await wait_for_value(nodes, 3)

    run_scenario(scenario)


def test_overlapping_listings_of_a_kind_both_end():
    """Guards against a process that ends as one listing forgets what another asks."""

    async def run():
        source = SharedSource(
            store=NodeStore(store=FakeStore(), name="n"),
            topology=lambda: topology("n"),
            known_position=lambda kind: START,
            clock=SystemClock(),
        )
        listings = await asyncio.gather(*(source.list(KIND) for _ in range(2)))
        return [listing.revision for listing in listings]

    assert asyncio.run(run()) == [5, 5]


def test_followers_know_of_an_outage_before_the_changes_that_it_caused(monkeypatch):
    """Guards against servers dropped by followers as their entries lapsed."""
    monkeypatch.setattr(copycheck, "CALL_TIMEOUT_SECONDS", 0.1)

    async def scenario(store, nodes):
        store.is_silent = True
        await asyncio.sleep(CONTACT_SECONDS / 2 + 1.0)
        store.is_silent = False
        store.write(2)
        await wait_for_value(nodes, 2)
        return [node.applied for node in nodes]

    for applied in run_scenario(scenario):
        assert "outage" in applied[: applied.index(2)]
