"""Tests that simulate load at several gateways and check the backend servers."""

import asyncio
import heapq
import itertools

import pytest
from structlog.testing import capture_logs

from eelgrassdale.clock import ManualClock
from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.dispatcher import Dispatcher, PlacementRefused
from eelgrassdale_gateway.loads import Load, LoadTracker
from eelgrassdale_gateway.model import (
    BackendServer,
    EngineProfile,
    RouteTable,
    Service,
)
from eelgrassdale_gateway.queueing import Waiter
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.shares import GatewayGroup

ENGINE = EngineProfile(
    slots=16,
    prefill_tokens_per_second=20_700.0,
    decode_step_seconds=0.00927,
    steps_per_event=5,
)


class Cluster:
    """Gateways with a manual clock that exchange load reports only on `exchange()`."""

    def __init__(self, gateways=9, servers=3, **service):
        self.clock = ManualClock()
        self.routing_state = RoutingState(version_grace_seconds=5.0, start_grace=1.0)
        services = {"m": Service(name="m", engine=ENGINE, **service)}
        self.routing_state.apply_table(RouteTable(version=1, services=services))
        self.list_servers(servers)
        members = frozenset(map(str, range(gateways)))
        self.nodes = [
            Dispatcher(
                clock=self.clock,
                routing_state=self.routing_state,
                data_centre="a",
                live_gateway_count=lambda: gateways,
                gateway_group=lambda me=str(seed): GatewayGroup(
                    own_name=me, members=members
                ),
                seed=seed,
            )
            for seed in range(gateways)
        ]

    def list_servers(self, count, **changes):
        self.routing_state.set_servers(
            {
                f"s-{number}": BackendServer(
                    id=f"s-{number}",
                    service="m",
                    address=("h", number + 1),
                    data_centre="a",
                    region="n",
                    slots=16,
                    versions={"x": 1},
                    **changes,
                )
                for number in range(count)
            }
        )

    def waiter(self, tokens=1000, objective=0.4, deadline=6.0, **fields):
        now = self.clock.monotonic()
        return Waiter(
            service="m",
            model="x",
            tokens=tokens,
            arrived_at=now,
            objective_at=now + objective,
            expires_at=now + deadline,
            **fields,
        )

    def exchange(self):
        now = self.clock.monotonic()
        for node, peer in itertools.permutations(self.nodes, 2):
            node.loads.record_report(str(id(peer)), peer.loads.own_loads(), now=now)

    def requests_by_server(self):
        """Return the requests in flight at each server, summed over all gateways."""
        totals = {}
        for node in self.nodes:
            for server, load in node.loads.own_loads().items():
                totals[server] = totals.get(server, 0) + load.requests
        return totals


@pytest.mark.parametrize("gateways", [9, 46, 330])
def test_newly_available_server_is_not_overloaded_by_all_gateways(gateways):
    """Without shared slots all gateways send to an engine that just became available.

    9 gateways sent 54 waiting requests to an engine of 16 slots. With 46 gateways one
    request from each was enough: 30 waited there for more than a second, beyond the
    time for which the model version that they had started on may serve.
    """

    async def scenario():
        cluster = Cluster(gateways=gateways, servers=0)
        waiting = {
            asyncio.ensure_future(node.place(cluster.waiter())): node
            for node in cluster.nodes
            for _ in range(6)
        }
        await asyncio.sleep(0)
        cluster.list_servers(1)
        await asyncio.sleep(0)
        requests = cluster.requests_by_server()
        for task, node in waiting.items():
            if task.done():
                node.record_end(task.result()[1])
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        return requests, cluster.requests_by_server()

    requests, remaining = asyncio.run(scenario())
    assert 0 < requests["s-0"] <= 18
    assert remaining == {}


def test_cancelled_request_does_not_end_the_process_when_a_server_becomes_available():
    """A cancelled request is still queued when the list of servers changes.

    Setting a placement on its cancelled future raises `InvalidStateError`.
    """

    async def scenario():
        cluster = Cluster(gateways=1, servers=0)
        node = cluster.nodes[0]
        cancelled = asyncio.ensure_future(node.place(cluster.waiter()))
        kept = asyncio.ensure_future(node.place(cluster.waiter()))
        await asyncio.sleep(0)
        cancelled.cancel()
        cluster.list_servers(1)
        await asyncio.gather(cancelled, return_exceptions=True)
        placement, _ = await kept
        return placement.server.id, node.waiting_count(), cluster.requests_by_server()

    assert asyncio.run(scenario()) == ("s-0", 0, {"s-0": 1})


@pytest.mark.parametrize(("gateways", "rate"), [(9, 36.0), (46, 17.0), (330, 17.0)])
def test_cold_server_gets_no_more_than_its_rate_from_all_gateways(gateways, rate):
    # Guards against rounding up: each of 46 gateways sent one request per second,
    # however small its share.
    async def scenario():
        cluster = Cluster(gateways=gateways, servers=0, cold_requests_per_second=rate)
        cluster.list_servers(1, cold_until=1e9)
        sent = 0
        for _ in range(20):
            tasks = [
                asyncio.ensure_future(node.place(cluster.waiter(tokens=1)))
                for node in cluster.nodes
            ]
            await asyncio.sleep(0)
            for node, task in zip(cluster.nodes, tasks, strict=True):
                if task.done():
                    sent += 1
                    node.record_end(task.result()[1])
                else:
                    task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            cluster.clock.advance(seconds=0.045)
        return sent

    assert asyncio.run(scenario()) <= rate * 1.5 + 5


def test_request_for_a_service_without_servers_is_refused_soon():
    async def scenario():
        cluster = Cluster(gateways=1, servers=0)
        task = asyncio.ensure_future(cluster.nodes[0].place(cluster.waiter()))
        await asyncio.sleep(0)
        cluster.clock.advance(seconds=0.5)
        with pytest.raises(PlacementRefused) as caught:
            await task
        return caught.value.code

    assert asyncio.run(scenario()) is ResultCode.NO_BACKEND_SERVER


def test_event_reads_the_load_of_each_server_once(monkeypatch):
    """Guards against work that grows with waiting requests times backend servers.

    Gateways of a large fleet spent most of their processor time on it under overload.
    """
    load_reads = 0
    server_load = LoadTracker.server_load

    def counted(*args, **kwargs):
        nonlocal load_reads
        load_reads += 1
        return server_load(*args, **kwargs)

    async def scenario():
        cluster = Cluster(gateways=1, servers=30)
        node = cluster.nodes[0]
        full = {f"s-{number}": Load(requests=99) for number in range(30)}
        node.loads.record_report("peer", full, now=cluster.clock.monotonic())
        tasks = [asyncio.ensure_future(node.place(cluster.waiter())) for _ in range(50)]
        await asyncio.sleep(0)
        in_flight = node.loads.record_send("s-0", tokens=0, now=0.0)
        monkeypatch.setattr(LoadTracker, "server_load", counted)
        node.record_response_start(in_flight)
        waiting_count = node.waiting_count()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return waiting_count

    assert asyncio.run(scenario()) == 50
    assert load_reads == 30


def test_overload_leaves_most_of_the_served_requests_on_time():
    """Sorting by due time alone places late requests first; nearly all come late."""
    on_time, served = run_overload(rate=1.3)
    assert on_time >= 0.7 * served


def run_overload(rate):
    """Simulate 20 s of requests at `rate` times the capacity of a gateway's engines.

    Returns the number of requests served on time and the number served.
    """

    async def scenario():
        cluster = Cluster(gateways=1, servers=2)
        node = cluster.nodes[0]
        # One engine serves about 9 requests per second of 1,000 prompt tokens and 100
        # output tokens.
        gap = 1 / (rate * 18)
        queue = [
            (number * gap, number, "arrive", None) for number in range(int(20 / gap))
        ]
        heapq.heapify(queue)
        order = itertools.count(10**6)
        on_time = served = 0
        placed = []

        async def place(waiter):
            try:
                placement, work = await node.place(waiter)
            except PlacementRefused:
                return
            placed.append((waiter, placement, work))

        prefill_end = {}
        tasks = []
        while queue:
            at, _, kind, item = heapq.heappop(queue)
            cluster.clock.advance(seconds=max(0.0, at - cluster.clock.monotonic()))
            if kind == "arrive":
                tasks.append(asyncio.ensure_future(place(cluster.waiter())))
            elif kind == "first":
                waiter, work = item
                node.record_response_start(work)
                served += 1
                on_time += at <= waiter.objective_at
            else:
                node.record_end(item)
            for _ in range(3):
                await asyncio.sleep(0)
            node.dispatch_waiting()
            await asyncio.sleep(0)
            while placed:
                waiter, placement, work = placed.pop()
                server = placement.server.id
                prefill_start = max(at, prefill_end.get(server, 0.0))
                prefill_end[server] = (
                    prefill_start + waiter.tokens / ENGINE.prefill_tokens_per_second
                )
                first = prefill_end[server] + 0.07
                heapq.heappush(queue, (first, next(order), "first", (waiter, work)))
                heapq.heappush(queue, (first + 1.75, next(order), "end", work))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return on_time, served

    return asyncio.run(scenario())


def test_request_that_fails_a_pass_does_not_stop_the_pass_for_others(monkeypatch):
    """Guards against waiting requests that one failing request keeps in the queue."""

    async def scenario():
        cluster = Cluster(gateways=1, servers=0)
        dispatcher = cluster.nodes[0]
        failing, other = cluster.waiter(), cluster.waiter()
        tasks = [
            asyncio.ensure_future(dispatcher.place(waiter))
            for waiter in (failing, other)
        ]
        await asyncio.sleep(0)
        find_placement = dispatcher._find_placement

        def find_or_fail(waiter, group, dispatch_pass):
            if waiter is failing:
                raise KeyError("x")
            return find_placement(waiter, group, dispatch_pass)

        monkeypatch.setattr(dispatcher, "_find_placement", find_or_fail)
        cluster.list_servers(1)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        return results, dispatcher.waiting_count()

    with capture_logs() as logs:
        (refused, placed), waiting_count = asyncio.run(scenario())
    assert isinstance(refused, PlacementRefused)
    assert placed[0].server.id == "s-0"
    assert waiting_count == 0
    assert [bool(line["exc_info"]) for line in logs if "exc_info" in line] == [True]
