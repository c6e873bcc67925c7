"""Tests that few gateways watch the store and that no other one stays behind."""

import asyncio

from attrs import define, field

from eelgrassdale.clock import SystemClock
from eelgrassdale.http1 import HttpServer
from eelgrassdale_gateway.copies import Copies
from eelgrassdale_gateway.following import (
    PATIENCE_SECONDS,
    WATCHERS,
    SharedSource,
    Surroundings,
    sources_for,
    watchers_of,
)
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.objects import (
    Change,
    Changes,
    Listing,
    StoredObject,
    StoreUnavailable,
)
from eelgrassdale_gateway.objectserving import ObjectServer
from eelgrassdale_gateway.staging.relay import GatewayPlace

KIND = "k"


def place(name, data_centre="a", port=1):
    return GatewayPlace(
        name=name, data_centre=data_centre, region="n", address=("127.0.0.1", port)
    )


def here(name, *places, is_gateway=True):
    return Surroundings(
        name=name, data_centre="a", gateways=places, is_gateway=is_gateway
    )


def test_two_gateways_of_each_data_centre_watch_and_the_others_follow_them():
    names = [f"n-{number}" for number in range(15)]
    watchers = set(watchers_of("a", names))
    assert len(watchers) == WATCHERS
    for name in names:
        others = [place(other) for other in names if other != name]
        sources = sources_for(here(name, *others))
        if name in watchers:
            assert sources[0] is None
            assert {source.name for source in sources[1:]} == watchers - {name}
        else:
            assert {source.name for source in sources[:WATCHERS]} == watchers
            assert sources[WATCHERS] is None


def test_agent_may_follow_every_gateway_near_it_before_the_store():
    near = [place(f"n-{number}") for number in range(4)]
    far = [place("f-1", "b"), place("f-2", "b"), place("f-3", "b")]
    sources = sources_for(here("agent", *near, *far, is_gateway=False))
    assert {source.name for source in sources[:4]} == {"n-0", "n-1", "n-2", "n-3"}
    assert sources[4] is None
    assert len(sources) == 5 + WATCHERS


@define
class Store:
    """A store that some nodes cannot reach; counts the calls of each node."""

    value: int = 1
    revision: int = 5
    turned_away: set[str] = field(factory=set)
    silent: set[str] = field(factory=set)
    calls: dict[str, int] = field(factory=dict)
    changed: asyncio.Event = field(factory=asyncio.Event)

    def write(self, value):
        self.value = value
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self):
        return StoredObject(name="o", revision=self.revision, spec=self.value)


@define(kw_only=True)
class Reach:
    """The store as one node reaches it."""

    store: Store
    name: str

    async def _call(self):
        self.store.calls[self.name] = self.store.calls.get(self.name, 0) + 1
        if self.name in self.store.turned_away:
            raise StoreUnavailable("turned away")

    async def list(self, kind):
        await self._call()
        return Listing(objects=(self.store.item(),), revision=self.store.revision)

    async def watch(self, kind, *, revision, wait):
        await self._call()
        while self.store.revision == revision or self.name in self.store.silent:
            await self.store.changed.wait()
        change = Change(object=self.store.item())
        return Changes(changes=(change,), revision=self.store.revision)


class Node:
    """One gateway with its copy, served to the others on loopback."""

    def __init__(self, name, store, nodes):
        self.name = name
        self.value = None
        self.nodes = nodes
        self.address = None
        self.task = None
        self.source = SharedSource(
            store=Reach(store=store, name=name),
            here=self.surroundings,
            known=lambda kind: self.mirror.log.changed_at,
            clock=SystemClock(),
        )
        self.mirror = Mirror(
            kind=KIND, source=self.source, clock=SystemClock(), on_change=self.take
        )
        self.copies = Copies(
            source=self.source, mirrors=[self.mirror], newest=self.newest
        )
        self.server = HttpServer(
            handler=ObjectServer(
                logs=self.copies.logs,
                is_direct=self.source.is_direct,
                gateways=lambda: [],
            ).handle
        )

    def take(self, objects):
        self.value = objects["o"].spec

    def newest(self):
        revisions = [node.copies.revisions()[KIND] for node in self.nodes]
        return {KIND: max(revisions)}

    def surroundings(self):
        others = [node for node in self.nodes if node is not self]
        places = [place(node.name, port=node.address[1]) for node in others]
        return here(self.name, *places)

    async def start(self):
        self.address = await self.server.start("127.0.0.1", 0)


def play(scene, count=5):
    """Run a scene with gateways of one data centre that all have the first value."""

    async def run():
        store = Store()
        nodes = []
        nodes += [Node(f"n-{number}", store, nodes) for number in range(count)]
        for node in nodes:
            await node.start()
        for node in nodes:
            node.task = asyncio.ensure_future(node.copies.run())
        try:
            async with asyncio.timeout(20):
                await until(nodes, 1)
                return await scene(store, nodes)
        finally:
            for node in nodes:
                node.task.cancel()
                node.server.stop_listening()
                node.server.abort_all()
            tasks = [node.task for node in nodes]
            await asyncio.gather(*tasks, return_exceptions=True)

    return asyncio.run(run())


async def until(nodes, value):
    while any(node.value != value for node in nodes):
        await asyncio.sleep(0.01)


def watching(nodes):
    names = watchers_of("a", [node.name for node in nodes])
    return [node for node in nodes if node.name in names]


def test_followers_hear_of_changes_without_calls_of_the_store():
    async def scene(store, nodes):
        watchers = {node.name for node in watching(nodes)}
        before = {name: store.calls.get(name, 0) for name in store.calls}
        for value in (2, 3):
            store.write(value)
            await until(nodes, value)
        called = {name for name in store.calls if store.calls[name] > before[name]}
        return called, watchers

    called, watchers = play(scene)
    assert called == watchers


def test_gateway_that_the_store_turns_away_gets_changes_from_others():
    async def scene(store, nodes):
        store.turned_away.add(watching(nodes)[0].name)
        store.write(2)
        await until(nodes, 2)
        store.write(3)
        await until(nodes, 3)

    play(scene)


def test_followers_of_a_watcher_that_hears_nothing_read_elsewhere():
    """A watch on a silent connection tells nothing, and fails only much later."""

    async def scene(store, nodes):
        store.silent.add(watching(nodes)[0].name)
        store.write(2)
        await until(nodes, 2)

    play(scene)


def test_followers_go_to_the_store_when_all_watchers_are_gone():
    async def scene(store, nodes):
        dead = watching(nodes)
        for node in dead:
            node.task.cancel()
            node.server.stop_listening()
            node.server.abort_all()
        await asyncio.sleep(PATIENCE_SECONDS)
        store.write(2)
        await until([node for node in nodes if node not in dead], 2)

    play(scene)


def test_no_gateway_serves_a_copy_while_the_store_is_away_from_all():
    """Two gateways that follow each other would both stay behind."""

    async def scene(store, nodes):
        store.turned_away.update(node.name for node in nodes)
        store.write(2)
        await asyncio.sleep(2 * PATIENCE_SECONDS)
        kept = [node.value for node in nodes]
        lost = [node.mirror.log.revision for node in nodes]
        store.turned_away.clear()
        await until(nodes, 2)
        return kept, lost

    kept, lost = play(scene)
    assert all(value in (1, 2) for value in kept)
    assert lost == [None] * 5
