"""Gives waiting requests to backend servers; owns queue, loads and health."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from random import Random

import structlog
from attrs import define

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.fleet import Fleet
from eelgrassdale_gateway.health import HealthBook
from eelgrassdale_gateway.loads import LoadBook, Work
from eelgrassdale_gateway.model import BackendServer, Service
from eelgrassdale_gateway.notices import NoticeBook
from eelgrassdale_gateway.openings import OpeningBook
from eelgrassdale_gateway.placing import (
    EXTRA_REQUESTS,
    Candidate,
    Placement,
    answer_seconds,
    least_seconds,
    place,
)
from eelgrassdale_gateway.shares import Sharers, share_of_count, share_of_rate
from eelgrassdale_gateway.waiting import Waiter, in_order, is_late, refusal_of

# Waiting requests are looked at again this often without another cause.
TICK_SECONDS = 0.02
COLD_WINDOW_SECONDS = 1.0

log = structlog.get_logger(__name__)


class Refused(Exception):
    """No backend server takes the request; `code` says why."""

    def __init__(self, code: ResultCode) -> None:
        super().__init__(code.name)
        self.code = code


@define(kw_only=True, eq=False)
class _Queued:
    waiter: Waiter
    fut: "asyncio.Future[tuple[Placement, Work]]"


class Dispatcher:
    """Places requests; used from the event loop's thread only.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    fleet : Fleet
        Configuration and backend servers.
    data_centre : str
        Where this node is.
    live_nodes : callable
        Returns the number of live gateways, this one included.
    sharers : callable
        Returns the gateways that share bounds.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        data_centre: str,
        live_nodes: Callable[[], int],
        sharers: Callable[[], Sharers],
        seed: int | None = None,
    ) -> None:
        self.loads = LoadBook()
        self.health = HealthBook()
        self.notices = NoticeBook()
        self._clock = clock
        self._fleet = fleet
        self._data_centre = data_centre
        self._live_nodes = live_nodes
        self._sharers = sharers
        self._rng = Random(seed)
        self._queues: dict[str, list[_Queued]] = defaultdict(list)
        self._cold_sends: dict[str, deque[float]] = defaultdict(deque)
        self._ticker: asyncio.TimerHandle | None = None
        self._openings = OpeningBook()
        fleet.subscribe(self._take_fleet)

    async def place(self, waiter: Waiter) -> tuple[Placement, Work]:
        """Return where a request goes, and its entry in the loads.

        The caller passes the entry to `ended` when the work is over.

        Raises
        ------
        Refused
            If no backend server takes it in time.
        """
        queued = _Queued(waiter=waiter, fut=asyncio.get_running_loop().create_future())
        self._estimate(waiter)
        self._queues[waiter.service].append(queued)
        self._pump_service(waiter.service)
        try:
            return await queued.fut
        except asyncio.CancelledError:
            self._give_back(queued)
            raise

    def started(self, work: Work) -> None:
        """Note the first event of a request."""
        self.loads.started(work)
        self.pump()

    def ended(self, work: Work) -> None:
        """Note the end of a request."""
        self.loads.ended(work)
        self.pump()

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def pump(self) -> None:
        """Place or refuse what can be placed or must be refused now."""
        for service in list(self._queues):
            self._pump_service(service)

    def _take_fleet(self) -> None:
        self._openings.forget_others(self._fleet.servers.keys())
        self.pump()

    def _give_back(self, queued: _Queued) -> None:
        queue = self._queues[queued.waiter.service]
        if queued in queue:
            queue.remove(queued)
            return
        fut = queued.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.ended(fut.result()[1])

    def _pump_service(self, name: str) -> None:
        queue = self._queues[name]
        if not queue:
            return
        now = self._clock.monotonic()
        by_waiter = {queued.waiter: queued for queued in queue}
        for waiter in in_order(by_waiter, now):
            self._try_one(by_waiter[waiter], queue, now)
        if queue and self._ticker is None:
            loop = asyncio.get_running_loop()
            self._ticker = loop.call_later(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._ticker = None
        self.pump()

    def _try_one(self, queued: _Queued, queue: list[_Queued], now: float) -> None:
        waiter = queued.waiter
        if queued.fut.done():
            # Its caller left; the task that waits for it has not run yet.
            queue.remove(queued)
            return
        found = self._find(waiter, now)
        if found is not None:
            queue.remove(queued)
            work = self.loads.sent(found.server.id, tokens=waiter.tokens, now=now)
            if now < found.server.cold_until:
                self._cold_sends[found.server.id].append(now)
            queued.fut.set_result((found, work))
            return
        code = refusal_of(waiter, now)
        if code is not None:
            queue.remove(queued)
            queued.fut.set_exception(Refused(code))

    def _find(self, waiter: Waiter, now: float) -> Placement | None:
        table = self._fleet.table
        service = table.services.get(waiter.service) if table else None
        if service is None:
            return None
        in_service = self._in_service(waiter)
        if in_service:
            # They may be loading weights, and back soon.
            waiter.had_candidates_at = now
        servers = self._usable(in_service, waiter, now)
        return place(
            service=service,
            candidates=[
                self._candidate(server, now)
                for server in servers
                if self._bears_cold(server, service, now)
                and self._bears_opening(server, service, now)
            ],
            tokens=waiter.tokens,
            rng=self._rng,
            is_late=is_late(waiter, now),
        )

    def _estimate(self, waiter: Waiter) -> None:
        """Note how long the request takes at an engine without other work."""
        table = self._fleet.table
        service = table.services.get(waiter.service) if table else None
        if service is not None:
            waiter.expected = least_seconds(service, waiter.tokens)
            waiter.duration = answer_seconds(service, waiter.output_tokens)

    def _candidate(self, server: BackendServer, now: float) -> Candidate:
        return Candidate(
            server=server,
            load=self.loads.load_of(server.id, now=now, peers=self._live_nodes() - 1),
            is_avoided=self.health.is_avoided(server.id, now=now),
            is_near=server.data_centre == self._data_centre,
        )

    def _in_service(self, waiter: Waiter) -> list[BackendServer]:
        """Return the service's backend servers that operators did not take out."""
        out = self._fleet.data_centres_out
        return [
            server
            for server in self._fleet.servers.values()
            if server.service == waiter.service
            and not server.is_leaving
            and server.data_centre not in out
            and (not waiter.regions or server.region in waiter.regions)
        ]

    def _usable(
        self, servers: list[BackendServer], waiter: Waiter, now: float
    ) -> list[BackendServer]:
        """Return those that take new work and hold a version that may serve."""
        lowest = 0
        if waiter.model:
            lowest = max(1, self._fleet.required_version(waiter.model, now))
        usable = [
            server
            for server in servers
            if not self.notices.is_closed(server.address, now=now)
            and self._version_at(server, waiter.model, now) >= lowest
        ]
        self._openings.note(
            listed=[s.id for s in servers], usable={s.id for s in usable}, now=now
        )
        return [s for s in usable if s.id not in waiter.excluded] or usable

    def _version_at(self, server: BackendServer, model: str, now: float) -> int:
        """Return the version that a backend server holds; only ever too low."""
        if not model:
            return 0
        listed = server.versions.get(model, 0)
        return max(listed, self.notices.version_at(server.address, model, now=now))

    def _bears_opening(
        self, server: BackendServer, service: Service, now: float
    ) -> bool:
        """Return whether this node's part of an engine that just opened is free."""
        if service.engine is None or not self._openings.is_new(server.id, now=now):
            return True
        return self.loads.own_requests(server.id) < share_of_count(
            max(server.slots, 1) + EXTRA_REQUESTS,
            subject=server.id,
            sharers=self._sharers(),
        )

    def _bears_cold(self, server: BackendServer, service: Service, now: float) -> bool:
        """Return whether this node may send a cold server one more request now."""
        if now >= server.cold_until or not service.cold_rate:
            return True
        sends = self._cold_sends[server.id]
        while sends and now - sends[0] > COLD_WINDOW_SECONDS:
            sends.popleft()
        return len(sends) + 1 <= share_of_rate(
            service.cold_rate, subject=server.id, sharers=self._sharers()
        )
