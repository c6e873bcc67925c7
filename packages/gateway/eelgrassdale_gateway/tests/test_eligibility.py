"""Tests of which backend servers may get a request, and of when they take the next."""

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale_gateway.advisories import Advisory
from eelgrassdale_gateway.eligibility import EligibleServers, Moment
from eelgrassdale_gateway.model import BackendServer, Service
from eelgrassdale_gateway.queueing import Waiter
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.shares import single_gateway_group

RATE = 2.0


def server(number, version):
    return BackendServer(
        id=f"s-{number}",
        service="p",
        address=("h", number + 1),
        data_centre="a",
        region="n",
        slots=4,
        versions={"m": version},
    )


def next_starts(*, versions, limited, count):
    """Return the earliest starts of waiting requests after the servers' limits."""
    routing_state = RoutingState(version_grace_seconds=5.0, start_grace=1.0)
    servers = {f"s-{n}": server(n, version) for n, version in enumerate(versions)}
    routing_state.set_servers(servers)
    eligible = EligibleServers(
        clock=ManualClock(),
        routing_state=routing_state,
        data_centre="a",
        gateway_group=single_gateway_group,
    )
    for number in limited:
        incarnation = servers[f"s-{number}"].incarnation
        advisory = Advisory(rate_limit=RATE)
        eligible.advisories.record(incarnation, advisory, sent_at=0.0, now=0.0)
    waiter = Waiter(
        service="p", model="m", arrived_at=0.0, objective_at=1.0, expires_at=9.0
    )
    moment = Moment(now=0.0, peer_count=0)
    group = eligible.group(waiter, Service(name="p"), moment)
    starts = []
    for _ in range(count):
        starts.append(group.earliest_start())
        group.take_start()
    return starts


def test_waiting_requests_share_the_starts_that_limits_leave():
    starts = next_starts(versions=[1, 1], limited=[0, 1], count=4)
    assert starts == pytest.approx([0.5, 0.5, 1.0, 1.0])


def test_starts_are_not_divided_while_another_server_may_soon_take_requests():
    """Guards against refusals while a server loads its weights."""
    starts = next_starts(versions=[1, 0], limited=[0], count=3)
    assert starts == pytest.approx([0.5, 0.5, 0.5])


def test_start_is_unknown_while_a_server_has_no_limit():
    starts = next_starts(versions=[1, 1], limited=[0], count=2)
    assert starts == [float("-inf")] * 2
