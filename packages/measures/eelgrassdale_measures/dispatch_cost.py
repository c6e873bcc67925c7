"""Processor time of one event at the dispatcher of a gateway, in calm and overload.

An event is the start of a response, after which the gateway looks for a place for
its waiting requests. All backend servers are full, as under overload, and all peers
have reported their loads. The sizes show how the cost grows with the fleet.
"""

import asyncio
import itertools
import time
from collections.abc import Iterable

from attrs import frozen

from eelgrassdale.clock import ManualClock
from eelgrassdale_gateway.advisories import Advisory
from eelgrassdale_gateway.dispatcher import Dispatcher
from eelgrassdale_gateway.loads import Load
from eelgrassdale_gateway.model import (
    BackendServer,
    EngineProfile,
    Route,
    RouteTable,
    Service,
    TrafficSplit,
)
from eelgrassdale_gateway.queueing import Waiter
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.shares import GatewayGroup

SLOTS = 8
# Servers in one report: a peer has requests in flight at few of them.
SERVERS_PER_REPORT = 10
EVENT_COUNT = 20
# Requests a second that each server names, where all are limited.
LIMIT = 3.0
ENGINE = EngineProfile(
    slots=SLOTS,
    prefill_tokens_per_second=13_800.0,
    decode_step_seconds=0.0139,
    steps_per_event=5,
)


@frozen(kw_only=True)
class FleetSize:
    """Numbers of gateways, backend servers and waiting requests."""

    gateways: int
    servers: int
    waiting: int


SIZES = (
    FleetSize(gateways=30, servers=90, waiting=50),
    FleetSize(gateways=100, servers=300, waiting=170),
    FleetSize(gateways=300, servers=900, waiting=500),
)


def run() -> Iterable[dict[str, object]]:
    """Yield lines for each fleet size: in calm, and without and with limits."""
    for size in SIZES:
        yield {
            "is_calm": True,
            "gateways": size.gateways,
            "servers": size.servers,
            "waiting": 0,
            "event_ms": round(1000 * asyncio.run(_seconds_per_calm_event(size)), 3),
        }
    for size, is_limited in itertools.product(SIZES, (False, True)):
        seconds = asyncio.run(_seconds_per_event(size, is_limited=is_limited))
        yield {
            "is_limited": is_limited,
            "gateways": size.gateways,
            "servers": size.servers,
            "waiting": size.waiting,
            "event_ms": round(1000 * seconds, 3),
        }


async def _seconds_per_event(size: FleetSize, *, is_limited: bool) -> float:
    clock = ManualClock()
    dispatcher = _full_fleet(size, clock)
    if is_limited:
        for number in range(size.servers):
            dispatcher.advisories.record(
                (f"s-{number}", 0), Advisory(rate_limit=LIMIT), sent_at=0.0, now=0.0
            )
    place_all = [
        asyncio.ensure_future(dispatcher.place(_waiter(clock)))
        for _ in range(size.waiting)
    ]
    await asyncio.sleep(0)
    # From here on, no server counts as newly available.
    clock.advance(seconds=1.0)
    in_flight = dispatcher.loads.record_send("s-0", tokens=0, now=clock.monotonic())
    started_at = time.process_time()
    for _ in range(EVENT_COUNT):
        dispatcher.record_response_start(in_flight)
    seconds = (time.process_time() - started_at) / EVENT_COUNT
    for task in place_all:
        task.cancel()
    await asyncio.gather(*place_all, return_exceptions=True)
    return seconds


async def _seconds_per_calm_event(size: FleetSize) -> float:
    """Return the cost of placing a request while half of the slots are free."""
    clock = ManualClock()
    dispatcher = _full_fleet(size, clock, requests=1)
    first = asyncio.ensure_future(dispatcher.place(_waiter(clock)))
    await asyncio.sleep(0)
    # From here on, no server counts as newly available.
    clock.advance(seconds=1.0)
    dispatcher.dispatch_waiting()
    await first
    started_at = time.process_time()
    for _ in range(EVENT_COUNT):
        _, in_flight = await dispatcher.place(_waiter(clock))
        dispatcher.loads.record_end(in_flight)
    return (time.process_time() - started_at) / EVENT_COUNT


def _route(priority: int) -> Route:
    return Route(
        name=str(priority),
        host="h",
        prefix=f"/{priority}/",
        splits=(TrafficSplit(service="m"),),
        priority=priority,
    )


def _full_fleet(
    size: FleetSize, clock: ManualClock, *, requests: int = 2 * SLOTS
) -> Dispatcher:
    """Return the dispatcher of a gateway that knows the loads of all servers."""
    routing_state = RoutingState(version_grace_seconds=7.0, start_grace=1.0)
    group = GatewayGroup(
        own_name="g-0", members=frozenset(f"g-{n}" for n in range(size.gateways))
    )
    dispatcher = Dispatcher(
        clock=clock,
        routing_state=routing_state,
        data_centre="a",
        live_gateway_count=lambda: size.gateways,
        gateway_group=lambda: group,
        seed=1,
    )
    routing_state.apply_table(
        RouteTable(
            version=1,
            routes=tuple(_route(priority) for priority in (0, 1)),
            services={"m": Service(name="m", engine=ENGINE)},
        )
    )
    routing_state.set_servers(
        {
            f"s-{number}": BackendServer(
                id=f"s-{number}",
                service="m",
                address=("h", number + 1),
                data_centre="a",
                region="n",
                slots=SLOTS,
                versions={"x": 1},
            )
            for number in range(size.servers)
        }
    )
    for peer in range(1, size.gateways):
        loads = {
            f"s-{(peer * SERVERS_PER_REPORT + n) % size.servers}": Load(
                requests=requests, tokens=0
            )
            for n in range(SERVERS_PER_REPORT)
        }
        dispatcher.loads.record_report(f"g-{peer}", loads, now=clock.monotonic())
    return dispatcher


def _waiter(clock: ManualClock) -> Waiter:
    now = clock.monotonic()
    return Waiter(
        service="m",
        model="x",
        tokens=900,
        arrived_at=now,
        objective_at=now + 5.0,
        expires_at=now + 10.0,
    )
