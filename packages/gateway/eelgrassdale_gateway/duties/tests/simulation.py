"""Simulated time, gateways, store and cloud API for tests of the duties."""

import asyncio
import contextlib
from datetime import UTC, datetime, timedelta
from random import Random

from eelgrassdale_gateway.duties import (
    Candidate,
    CloudCallFailed,
    Duties,
    DutyKinds,
    DutySettings,
)
from eelgrassdale_gateway.messages import decode
from eelgrassdale_gateway.objects import (
    Conflict,
    Listing,
    StoredObject,
    StoreUnavailable,
    Written,
)

CFG = DutySettings(reports_usage=True, orders_servers=False)
KINDS = DutyKinds(leases="leases", usage_records="usage")
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
SILENCE_SECONDS = 0.7


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time goes on to the next timer instead of waiting."""

    _now = 0.0

    def time(self):
        return self._now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


def simulate(main):
    """Run a coroutine on simulated time and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class World:
    """A store, a cloud API and the gateways; `faults` are chances of lost messages."""

    def __init__(self, *, seed=0, names=("g-1", "g-2", "g-3"), cfg=CFG):
        self.rng = Random(seed)
        self.cfg = cfg
        self.loss = 0.0
        self.latency = (0.001, 0.02)
        self.era = 0
        self.revision = 100
        self.objects = {}
        self.store_calls = 0
        self.cloud_answer = lambda: 200
        # (time, VM, token, window, counts, whether it is exempt) of each arrival.
        self.arrivals = []
        self.accepted = {}
        self.truth = {}
        self.nodes = {name: Node(self, name) for name in names}

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def copy_of_store(self):
        return self.revision, dict(self.objects)

    def restore(self, copy):
        self.revision, objects = copy
        self.objects = dict(objects)
        self.era += 1

    def holders(self):
        return [
            name
            for name, node in self.nodes.items()
            if node.duties and node.duties.current_permit()
        ]

    async def until(self, condition, seconds=30):
        """Wait until a condition holds; fail if it does not in this time."""
        ends_at = self.now + seconds
        while not condition():
            assert self.now < ends_at, "condition not met in time"
            await asyncio.sleep(0.01)

    async def start(self):
        for node in self.nodes.values():
            node.start()
        return await self.next_holder()

    async def next_holder(self, *others):
        """Return the node that holds the lease, once it is none of the others."""
        await self.until(lambda: set(self.holders()) - {node.name for node in others})
        [holder] = self.holders()
        return self.nodes[holder]

    def check_invariants(self):
        """Check what the cloud API observes, and return the counts by window."""
        lease = self.cfg.lease_seconds
        counts_by_window, vm_by_token, last_at, highest = {}, {}, {}, 0
        previous = None
        for at, vm, token, window, counts, is_exempt in self.arrivals:
            if window is not None:
                assert counts_by_window.setdefault(window, counts) == counts
            assert vm_by_token.setdefault(token, vm) == vm
            if is_exempt:
                continue
            assert token >= highest, f"token {token} after {highest}"
            highest = token
            if previous not in (None, vm):
                assert at - last_at.get(vm, float("-inf")) > lease, "A, B, A"
            last_at[vm], previous = at, vm
        return counts_by_window


class Node:
    """A gateway on one VM: its store client, cloud client, clock and processes."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.duties = None
        self.era = 0
        self.wall_offset = 0.0
        self.resumed_at = float("-inf")
        self.is_store_cut = self.is_peers_cut = self.is_cloud_cut = False
        self.lost_requests = self.lost_answers = 0
        self.freeze_before_arrival = 0.0
        self._incarnation = 0
        self._tasks = []
        self._running = asyncio.Event()
        self._running.set()

    def start(self):
        self._incarnation += 1
        self.era = 0
        self.duties = Duties(
            cfg=self.world.cfg,
            name=self.name,
            incarnation=self._incarnation,
            store=self,
            kinds=KINDS,
            make_cloud_calls=lambda current_permit: self,
            live_gateways=self._live_gateways,
            send=self._send,
            clock=self,
            era=lambda: self.era,
        )
        steps = (
            (self.duties.keeper.step, 0.01),
            (self.duties.reporter.step, 0.01),
            (self._send_pending, 1.0),
            (self._order, 0.2),
        )
        self._tasks = [asyncio.ensure_future(self._drive(*step)) for step in steps]

    def kill(self):
        for task in self._tasks:
            task.cancel()
        self.duties = None

    def freeze(self, seconds):
        """Suspend the VM; its clocks go on."""
        self._running.clear()
        asyncio.get_running_loop().call_later(seconds, self._resume)

    def count(self, account, number=1):
        if self.duties is None or not self._running.is_set():
            return
        window = int(self.now().timestamp() // self.world.cfg.window_seconds)
        for _ in range(number):
            self.duties.exchange.count(account)
        key = window, account
        self.world.truth[key] = self.world.truth.get(key, 0) + number

    # Clock.

    def monotonic(self):
        return self.world.now

    def now(self):
        return EPOCH + timedelta(seconds=self.world.now + self.wall_offset)

    # Store.

    async def list(self, kind):
        def read():
            found = [v for (k, _), v in self.world.objects.items() if k == kind]
            return Listing(objects=tuple(found), revision=self.world.revision)

        return await self._store_call(read)

    async def create(self, kind, name, spec, *, timeout_seconds):
        return await self._store_call(lambda: self._write(kind, name, spec, None))

    async def replace(self, kind, name, spec, *, revision, timeout_seconds):
        return await self._store_call(lambda: self._write(kind, name, spec, revision))

    async def delete(self, kind, name):
        await self._store_call(lambda: self.world.objects.pop((kind, name), None))

    def _write(self, kind, name, spec, revision):
        world = self.world
        current = world.objects.get((kind, name))
        if (current.revision if current else None) != revision:
            return Conflict(current=current)
        world.revision += 1
        world.objects[kind, name] = StoredObject(
            name=name, revision=world.revision, spec=spec
        )
        return Written(revision=world.revision)

    async def _store_call(self, run):
        world = self.world
        world.store_calls += 1
        await self._pass_time()
        if self.is_store_cut or self._is_lost("lost_requests"):
            await self._time_out()
        result, era = run(), world.era
        await self._pass_time()
        if self.is_store_cut or self._is_lost("lost_answers"):
            await self._time_out()
        if era < self.era:
            raise StoreUnavailable("answer of an earlier era")
        self.era = era
        return result

    # Cloud API.

    async def report_usage(self, permit, window, counts):
        await self._call_cloud(permit, window, dict(counts))

    async def order_servers(self, permit, service, data_centre, count):
        await self._call_cloud(permit, None, {})

    async def _order(self):
        """Call as often as the orders of servers may, which need no store."""
        permit = self.duties.current_permit()
        if permit is not None:
            with contextlib.suppress(CloudCallFailed):
                await self.duties.cloud_calls.order_servers(permit, "s", "d", 1)
        return 0.2

    async def _call_cloud(self, permit, window, counts):
        await self._pass_time()
        if self.duties is None or self.duties.current_permit() != permit:
            raise CloudCallFailed(None, False)
        if self.freeze_before_arrival:
            self.freeze(self.freeze_before_arrival)
            self.freeze_before_arrival = 0.0
            await self._running.wait()
        world = self.world
        if self.is_cloud_cut:
            await asyncio.sleep(1.0)
            raise CloudCallFailed(None, True)
        await asyncio.sleep(world.rng.uniform(*world.latency))
        is_exempt = world.now - self.resumed_at < world.cfg.thaw_seconds
        arrival = (world.now, self.name, permit.token, window, counts, is_exempt)
        world.arrivals.append(arrival)
        status = world.cloud_answer()
        if status == 200 and window is not None:
            world.accepted.setdefault(window, world.now)
        if status is None:
            await asyncio.sleep(1.0)
        await self._pass_time()
        if status != 200:
            raise CloudCallFailed(status, status != 429)

    # Messages to other gateways.

    def _live_gateways(self):
        return [
            Candidate(
                name=name,
                incarnation=node._incarnation,
                address=None if node is self else (name, 1),
            )
            for name, node in self.world.nodes.items()
            if node is self or (node.duties and not self.is_peers_cut)
        ]

    def _send(self, data, address):
        world, receiver = self.world, self.world.nodes[address[0]]
        copies = 0 if world.rng.random() < world.loss else world.rng.choice((1, 1, 2))
        for _ in range(0 if self.is_peers_cut or receiver.is_peers_cut else copies):
            delay = world.rng.uniform(0.0, 0.3 if world.loss else 0.01)
            asyncio.get_running_loop().call_later(delay, receiver._receive, data)

    def _receive(self, data):
        if self.duties is not None and self._running.is_set():
            self.duties.handle_notice(decode(data))

    async def _send_pending(self):
        self.duties.exchange.send_pending()
        return 1.0

    async def _drive(self, step, shortest):
        while True:
            await self._running.wait()
            await asyncio.sleep(max(shortest, await step()))

    async def _pass_time(self):
        await asyncio.sleep(self.world.rng.uniform(*self.world.latency))
        await self._running.wait()

    async def _time_out(self):
        await asyncio.sleep(SILENCE_SECONDS)
        await self._running.wait()
        raise StoreUnavailable("no answer")

    def _is_lost(self, field):
        if getattr(self, field):
            setattr(self, field, getattr(self, field) - 1)
            return True
        return self.world.rng.random() < self.world.loss / 4

    def _resume(self):
        self.resumed_at = self.world.now
        self._running.set()
