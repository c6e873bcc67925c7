"""Tests of what a holder knows: age of the reports, waiting requests, servers."""

from types import SimpleNamespace

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale_gateway.loads import REPORT_TTL_SECONDS, LoadTracker
from eelgrassdale_gateway.model import Autoscaling, BackendServer, RouteTable, Service
from eelgrassdale_gateway.peertable import Peer
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.scaling import (
    FleetReader,
    LateShares,
    Subject,
    WaitingRequests,
)

BOUNDS = Autoscaling(min_servers=1, max_servers=9, boot_seconds=5.0)
M_IN_A, M_IN_B = (Subject(service="m", data_centre=zone) for zone in "ab")


def new_reader(peers=()):
    clock = ManualClock()
    clock.advance(seconds=100.0)
    state = RoutingState(version_grace_seconds=5.0, start_grace=2.0)
    service = Service(name="m", autoscaling=BOUNDS)
    state.apply_table(RouteTable(version=1, services={"m": service}))
    return FleetReader(
        clock=clock,
        routing_state=state,
        loads=LoadTracker(),
        waiting=WaitingRequests(data_centre="a", read_own=lambda: {"m": 2}),
        late_shares=LateShares(),
        peers=lambda: peers,
        list_silence_seconds=lambda: 0.0,
    )


def server(name, data_centre, **changes):
    fields = {"service": "m", "address": ("", 0), "region": "n", "slots": 4}
    return BackendServer(id=name, data_centre=data_centre, **fields | changes)


def test_requests_and_servers_are_counted_by_data_centre():
    reader = new_reader()
    reader.routing_state.set_servers(
        {
            "s-1": server("s-1", "a"),
            "s-2": server("s-2", "a", is_leaving=True),
            "s-3": server("s-3", "b", slots=8),
        }
    )
    now = reader.clock.monotonic()
    reader.loads.record_send("s-1", tokens=0, now=now - 1.0)
    reader.waiting.record_report("peer", {M_IN_B: 3}, now=now)
    counts = reader.read(()).counts
    in_a, in_b = counts[M_IN_A], counts[M_IN_B]
    assert (in_a.ready_servers, in_a.draining_servers) == (1, 1)
    assert (in_a.running, in_a.waiting, in_b.waiting) == (1, 2, 3)
    assert in_b.slots_per_server == 8
    reader.clock.advance(seconds=REPORT_TTL_SECONDS + 0.1)
    reader.routing_state.set_data_centres_out(frozenset("a"))
    counts = reader.read(()).counts
    assert (counts[M_IN_A].waiting, counts[M_IN_B].waiting) == (0, 2)


@pytest.mark.parametrize(
    ("silences", "age"),
    [((), 0.0), ((0.1, 0.2, 9.0), 0.2), ((0.1, 9.0, 9.0), 9.0)],
)
def test_picture_is_old_if_most_gateways_are_silent(silences, age):
    """Guards against a gateway that is cut off and sees only its own requests."""
    peers = [Peer(address=("", 0), heard_at=100.0 - silence) for silence in silences]
    reader = new_reader(peers)
    reader.routing_state.set_servers({})
    assert reader.read(()).age_seconds == pytest.approx(age)


def test_gateway_that_forgot_all_others_is_cut_off():
    peers = [SimpleNamespace(is_leaving=False, silence_seconds=lambda _now: 0.1)]
    reader = new_reader(peers)
    reader.routing_state.set_servers({})
    assert reader.read(()).age_seconds == 0.1
    peers.clear()
    assert [reader.read(()).age_seconds for _ in range(2)] == [float("inf")] * 2
