"""Tests of membership by heartbeats, over an in-memory network."""

from collections import Counter

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale_gateway.eras import MAX_ERA, Position
from eelgrassdale_gateway.loads import LoadTracker
from eelgrassdale_gateway.messages import Heartbeat, ServerNotice, decode, encode
from eelgrassdale_gateway.notices import NoticeRegistry
from eelgrassdale_gateway.peers import DIRECT_INTERVAL_HEARTBEATS, Peers
from eelgrassdale_gateway.peertable import (
    ASSUMED_GATEWAYS,
    PEER_RETENTION_SECONDS,
    PEER_TIMEOUT_SECONDS,
    REMOTE_PEER_TIMEOUT_SECONDS,
    NodeInfo,
)
from eelgrassdale_gateway.scaling import Subject, WaitingRequests


class FakeNetwork:
    """Carries datagrams between nodes that are not cut off."""

    def __init__(self):
        self.clock = ManualClock()
        self.nodes = {}
        self.cut_off = set()

    def add(self, name, incarnation=1, region="n"):
        address = (name, 1)
        loads = LoadTracker()
        waiting_here = {}
        waiting = WaitingRequests(
            data_centre=f"{region}1", read_own=lambda: waiting_here
        )
        node = Peers(
            clock=self.clock,
            me=NodeInfo(
                name=name,
                incarnation=incarnation,
                caller_address=(name, 80),
                data_centre=f"{region}1",
                region=region,
            ),
            address=address,
            loads=loads,
            notices=NoticeRegistry(),
            on_notice=lambda: None,
            waiting=waiting,
            seed=len(self.nodes),
        )
        node.loads = loads
        node.waiting_here, node.waiting = waiting_here, waiting
        node.transport = FakeTransport(self, address)
        node.connection_made(node.transport)
        self.nodes[address] = node
        return node

    def run(self, rounds=3):
        for _ in range(rounds):
            for node in list(self.nodes.values()):
                node.send_heartbeats()
            self.clock.advance(seconds=0.2)


class FakeTransport:
    def __init__(self, wire, address):
        self.wire = wire
        self.address = address
        self.sent = {}
        self.counts = Counter()

    def count_to(self, prefix):
        """Return the number of datagrams sent to nodes with a name prefix."""
        return sum(n for name, n in self.counts.items() if name.startswith(prefix))

    def sendto(self, data, target):
        self.sent[target] = self.sent.get(target, 0) + len(data)
        self.counts[target[0]] += 1
        endpoints = {self.address[0], target[0]}
        if target in self.wire.nodes and not endpoints & self.wire.cut_off:
            self.wire.nodes[target].datagram_received(data, self.address)


def names(node):
    return sorted(peer.info.name for peer in node.table.live())


def test_nodes_that_know_one_seed_find_each_other():
    wire = FakeNetwork()
    nodes = [wire.add(name) for name in "abcde"]
    for node in nodes[1:]:
        node.table.add(("a", 1))
    wire.run(rounds=8)
    assert [len(node.table.live()) for node in nodes] == [4] * 5


@pytest.mark.parametrize("era", [0, 3, MAX_ERA])
def test_heartbeats_carry_positions(era):
    """Guards against revisions of a restored store that look older than they are.

    In a store without eras, heartbeats are as they were before.
    """
    wire = FakeNetwork()
    a, b = wire.add("a"), wire.add("b")
    a._positions = lambda: {"k": Position(era, 7)}
    a.table.add(("b", 1))
    wire.run()
    assert b.newest_positions() == {"k": Position(era, 7)}
    entry = a._heartbeat({}, with_loads=True, waiting={}).revisions[0]
    assert entry.era == (era or None)


def test_newest_position_is_ordered_by_era_first():
    """Guards against a copy that counts as newer by a revision of an earlier era."""
    wire = FakeNetwork()
    a, b, c, d = (wire.add(name) for name in "abcd")
    for node, position in ((b, (0, 90)), (c, (2, 5)), (d, (MAX_ERA + 1, 7))):
        node._positions = lambda position=position: {"k": Position(*position)}
        node.table.add(("a", 1))
    wire.run()
    assert a.newest_positions() == {"k": Position(2, 5)}


def test_silent_node_is_not_live_and_returns_by_itself():
    wire = FakeNetwork()
    a, b = wire.add("a"), wire.add("b")
    a.table.add(("b", 1))
    wire.run()
    wire.cut_off.add("b")
    wire.run(rounds=int(PEER_TIMEOUT_SECONDS / 0.2) + 2)
    assert names(a) == []
    wire.cut_off.clear()
    wire.run(rounds=12)
    assert (names(a), names(b)) == (["b"], ["a"])


def test_nodes_that_are_cut_off_from_all_others_keep_their_small_shares():
    # Guards against several cut-off nodes that each claim a whole limit.
    wire = FakeNetwork()
    nodes = [wire.add(name) for name in "abcd"]
    for node in nodes[1:]:
        node.table.add(("a", 1))
    wire.run(rounds=8)
    wire.cut_off.update("abcd")
    wire.run(rounds=int(PEER_TIMEOUT_SECONDS / 0.2) + 50)
    assert [1 + len(node.table.live()) for node in nodes] == [1] * 4
    assert [node.table.gateway_group().count for node in nodes] == [4] * 4


def test_node_without_peers_does_not_claim_a_whole_limit():
    wire = FakeNetwork()
    node = wire.add("a")
    assert node.table.gateway_group().count == ASSUMED_GATEWAYS
    wire.clock.advance(seconds=PEER_RETENTION_SECONDS)
    assert node.table.gateway_group().count == 1


def test_leaving_and_forgotten_nodes_leave_their_shares_to_others():
    wire = FakeNetwork()
    a, b, c = wire.add("a"), wire.add("b"), wire.add("c")
    for node in (b, c):
        node.table.add(("a", 1))
    wire.run(rounds=8)
    b.leave()
    assert a.table.gateway_group().count == 2
    del wire.nodes[("c", 1)]
    wire.run(rounds=int(PEER_RETENTION_SECONDS / 0.2) + 2)
    assert a.table.gateway_group().count == 1


def test_leaving_node_is_dropped_at_once():
    wire = FakeNetwork()
    a, b = wire.add("a"), wire.add("b")
    a.table.add(("b", 1))
    wire.run()
    b.leave()
    assert names(a) == []


def two_regions(count):
    """Return nodes of two regions that know each other and have open requests."""
    wire = FakeNetwork()
    north = [wire.add(f"n-{number}") for number in range(count)]
    south = [wire.add(f"s-{number}", region="s") for number in range(count)]
    for node in north + south:
        node.table.add(("n-0", 1))
        for number in range(20):
            node.loads.record_send(f"server-{number}", tokens=100, now=0.0)
    wire.run(rounds=30)
    return wire, north, south


def test_region_gets_the_loads_of_another_one_once():
    """Guards against loads counted several times.

    Each node used to send its loads to each node of every other region.
    """
    wire, north, south = two_regions(6)
    now = wire.clock.monotonic()
    for node in north + south:
        assert node.loads.server_load("server-3", now=now).requests == 12


def test_bytes_between_regions_are_a_fraction_of_those_within():
    wire, north, south = two_regions(6)
    for node in north + south:
        node.transport.sent.clear()
    wire.run(rounds=80)
    bytes_within = bytes_between = 0
    for node in north:
        for (name, _), size in node.transport.sent.items():
            if name.startswith("n-"):
                bytes_within += size
            else:
                bytes_between += size
    assert 0 < bytes_between < bytes_within / 10


def test_silent_node_of_another_region_is_not_live_for_ever():
    wire, north, _ = two_regions(2)
    wire.cut_off.add("s-0")
    wire.run(rounds=int(REMOTE_PEER_TIMEOUT_SECONDS / 0.2) + 2)
    assert names(north[0]) == ["n-1", "s-1"]


@pytest.mark.parametrize("silent_reporters", [0, 1])
def test_gateways_of_another_region_stay_live_by_reports(silent_reporters):
    """Guards against a data centre that seems gone when one reporter is cut off."""
    wire, north, south = two_regions(6)
    reporters = [
        node for node in south if node._remote_interval() < DIRECT_INTERVAL_HEARTBEATS
    ]
    assert len(reporters) == 2
    silent = {node.me.name for node in reporters[:silent_reporters]}
    wire.cut_off.update(silent)
    wire.run(rounds=60)
    expected = {f"s-{number}" for number in range(6)} - silent
    for node in north:
        assert {name for name in names(node) if name.startswith("s-")} == expected


def test_datagrams_between_regions_grow_with_the_gateways_and_not_their_square():
    """Guards against signs of life from each gateway to each one of other regions.

    They were most of the datagrams between regions, and a large part of the bytes.
    """
    datagrams = {}
    for count in (6, 24):
        wire, north, _ = two_regions(count)
        before = sum(node.transport.count_to("s-") for node in north)
        wire.run(rounds=DIRECT_INTERVAL_HEARTBEATS)
        after = sum(node.transport.count_to("s-") for node in north)
        datagrams[count] = after - before
    # Four times as many receivers of two reporters; the rest is sent rarely.
    assert datagrams[24] <= 2 * 4 * datagrams[6]


def test_delayed_heartbeat_of_an_earlier_start_changes_nothing():
    wire = FakeNetwork()
    a = wire.add("a")
    old = encode(
        Heartbeat(
            name="b", incarnation=1, sequence=9, is_leaving=True, loads=[], known=[]
        )
    )
    new = encode(
        Heartbeat(
            name="b", incarnation=2, sequence=1, is_leaving=False, loads=[], known=[]
        )
    )
    a.datagram_received(new, ("b", 1))
    a.datagram_received(old, ("b", 1))
    assert names(a) == ["b"]


@pytest.mark.parametrize("data", [b"", b"\x00", b"\x0c\x00\x01garbage", b"\xff" * 50])
def test_damaged_datagrams_are_dropped(data):
    assert decode(data) is None


def test_older_notice_does_not_open_a_closed_engine():
    registry = NoticeRegistry()

    def notice(sequence, is_open):
        return ServerNotice(
            host="h", port=1, incarnation=1, sequence=sequence, is_open=is_open
        )

    assert registry.record(notice(2, False), now=0.0)
    assert not registry.record(notice(1, True), now=0.0)
    assert registry.is_closed(("h", 1), now=0.5)
    assert not registry.is_closed(("h", 1), now=5.0)


def test_each_gateway_knows_the_waiting_requests_of_all_data_centres():
    """Guards against a count that is missing, or sent both directly and in a report."""
    wire = FakeNetwork()
    nodes = [wire.add(f"{region}{i}", region=region) for region in "ns" for i in "123"]
    for node in nodes[1:]:
        node.table.add(nodes[0].table._address)
    wire.run(rounds=40)
    quiet_bytes = nodes[0].transport.sent[("n2", 1)]
    wire.run(rounds=4)
    quiet_bytes = nodes[0].transport.sent[("n2", 1)] - quiet_bytes
    for node in nodes:
        node.waiting_here["m"] = 2
    wire.run(rounds=9)
    expected = {Subject(service="m", data_centre=f"{region}1"): 6 for region in "ns"}
    for node in nodes:
        assert node.waiting.combined(now=wire.clock.monotonic()) == expected
        node.waiting_here.clear()
    wire.run(rounds=12)
    sent = nodes[0].transport.sent[("n2", 1)]
    wire.run(rounds=4)
    # Nothing is sent where nothing waits, which includes services without autoscaling.
    assert nodes[0].transport.sent[("n2", 1)] - sent == quiet_bytes
    assert nodes[0].waiting.combined(now=wire.clock.monotonic()) == {}
