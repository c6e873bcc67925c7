"""Tests of a whole gateway without its sockets: what it knows, and orders by that."""

import asyncio

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale_gateway.gatewaysettings import GatewaySettings
from eelgrassdale_gateway.loads import REPORT_TTL_SECONDS
from eelgrassdale_gateway.model import Autoscaling, BackendServer, RouteTable, Service
from eelgrassdale_gateway.peertable import Peer
from eelgrassdale_gateway.program import Gateway
from eelgrassdale_gateway.scaling import Subject
from eelgrassdale_gateway.scaling.fleet import reports_age_seconds
from eelgrassdale_gateway.tests.harness import HEADER_NAMES

BOUNDS = Autoscaling(min_servers=1, max_servers=9, boot_seconds=5.0)
M_IN_A, M_IN_B = (Subject(service="m", data_centre=zone) for zone in "ab")


def server(name, data_centre, **changes):
    fields = {"service": "m", "address": ("", 0), "region": "n", "slots": 10}
    return BackendServer(id=name, data_centre=data_centre, **fields | changes)


class ScalingGateway(Gateway):
    """A gateway that lists one server, with so many requests sent to it."""

    def __init__(self, *, bounds=BOUNDS, permit="permit", requests=9, listed=True):
        address = ("127.0.0.1", 0)
        super().__init__(
            cfg=GatewaySettings(
                name="g-1",
                incarnation=1,
                data_centre="a",
                region="n",
                caller_address=address,
                peer_address=address,
            ),
            header_names=HEADER_NAMES,
            make_origin=lambda address: None,
            clock=ManualClock(),
        )
        self.orders = []
        self.scale_services(current_permit=lambda: permit, order_servers=self._order)
        services = {"m": Service(name="m", autoscaling=bounds)}
        self.routing_state.apply_table(RouteTable(version=1, services=services))
        if listed:
            self.routing_state.set_servers({"s-1": server("s-1", "a")})
        for _ in range(requests):
            self.dispatcher.loads.record_send("s-1", tokens=0, now=0.0)

    async def _order(self, *order):
        self.orders.append(order)

    def fleet(self):
        return self._scaling._read_fleet(frozenset())


def test_gateway_orders_servers_for_its_load_while_permitted():
    def orders_of(**changes):
        gateway = ScalingGateway(**changes)
        asyncio.run(gateway._scaling.step())
        return gateway.orders

    assert orders_of() == [("permit", "m", "a", 2)]
    for change in ({"requests": 8}, {"permit": None}, {"bounds": None}):
        assert orders_of(**change) == []
    assert orders_of(listed=False) == []


def test_requests_and_servers_are_counted_by_data_centre():
    gateway = ScalingGateway(requests=1)
    leaving = server("s-2", "a", is_leaving=True)
    listed = {"s-1": server("s-1", "a"), "s-2": leaving, "s-3": server("s-3", "b")}
    gateway.routing_state.set_servers(listed)
    gateway._waiting.record_report("p", {M_IN_A: 2, M_IN_B: 3}, now=0.0)
    counts = gateway.fleet().counts
    in_a, in_b = counts[M_IN_A], counts[M_IN_B]
    assert (in_a.ready_servers, in_a.draining_servers, in_a.running) == (1, 1, 1)
    assert (in_a.waiting, in_b.waiting) == (2, 3)
    gateway.routing_state.set_data_centres_out(frozenset("a"))
    counts = gateway.fleet().counts
    assert (counts[M_IN_A].waiting, counts[M_IN_B].waiting) == (0, 5)
    gateway._clock.advance(seconds=REPORT_TTL_SECONDS + 0.1)
    assert gateway.fleet().counts[M_IN_B].waiting == 0


@pytest.mark.parametrize(
    ("silences", "age"),
    [((), 0.0), ((0.1, 0.2, 9.0), 0.2), ((0.1, 9.0, 9.0), 9.0)],
)
def test_picture_is_old_if_most_gateways_are_silent(silences, age):
    """Guards against a gateway that is cut off and sees only its own requests."""
    peers = [Peer(address=("", 0), heard_at=100.0 - silence) for silence in silences]
    assert reports_age_seconds(peers, now=100.0) == pytest.approx(age)


def test_gateway_that_forgot_all_others_is_cut_off():
    gateway = ScalingGateway()
    gateway.peers.table.add(("b", 1))
    assert gateway.fleet().age_seconds > 3.0
    gateway._clock.advance(seconds=60.0)
    gateway.peers.table.forget_expired()
    assert [gateway.fleet().age_seconds for _ in range(2)] == [float("inf")] * 2
