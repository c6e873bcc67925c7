"""Assigns waiting requests to backend servers; owns queues, loads and health."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from random import Random

import structlog
from attrs import define, field

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.advisories import AdvisoryRegistry
from eelgrassdale_gateway.availability import AvailabilityTracker
from eelgrassdale_gateway.candidates import CandidateGroup
from eelgrassdale_gateway.health import HealthTracker
from eelgrassdale_gateway.loads import InFlightRequest, LoadTracker
from eelgrassdale_gateway.model import BackendServer, Service
from eelgrassdale_gateway.notices import NoticeRegistry
from eelgrassdale_gateway.placement import (
    EXTRA_ENGINE_REQUESTS,
    Candidate,
    Placement,
    min_first_event_seconds,
    place,
    streaming_seconds,
)
from eelgrassdale_gateway.quarantine import PromptQuarantine
from eelgrassdale_gateway.queueing import Waiter, is_late, placement_order, refusal_code
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.shares import GatewayGroup, share_of_count, share_of_rate

# Interval at which queues are processed again when nothing else triggers it.
TICK_SECONDS = 0.02
COLD_WINDOW_SECONDS = 1.0

log = structlog.get_logger(__name__)


class PlacementRefused(Exception):
    """No backend server accepted the request in time; `code` is the reason."""

    def __init__(self, code: ResultCode) -> None:
        super().__init__(code.name)
        self.code = code


@define(kw_only=True, eq=False)
class _QueuedRequest:
    waiter: Waiter
    fut: "asyncio.Future[tuple[Placement, InFlightRequest]]"


@define(kw_only=True)
class _DispatchPass:
    """Time and candidates of one pass over a queue."""

    now: float
    peer_count: int
    groups: dict[tuple[str, frozenset[str]], CandidateGroup] = field(factory=dict)


class Dispatcher:
    """Queues requests and places them on backend servers.

    Not thread-safe: all methods are called from the event loop's thread.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    routing_state : RoutingState
        Configuration and backend servers.
    data_centre : str
        Data centre of this gateway.
    live_gateway_count : callable
        Returns the number of live gateways, this one included.
    gateway_group : callable
        Returns the gateways among which limits are divided.
    seed : int, optional
        Seed of the random choice between backend servers.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        routing_state: RoutingState,
        data_centre: str,
        live_gateway_count: Callable[[], int],
        gateway_group: Callable[[], GatewayGroup],
        seed: int | None = None,
    ) -> None:
        self.loads = LoadTracker()
        self.health = HealthTracker()
        self.advisories = AdvisoryRegistry(on_change=self._on_advisory_change)
        self.notices = NoticeRegistry()
        self.quarantine = PromptQuarantine(clock=clock, gateway_group=gateway_group)
        self._clock = clock
        self._routing_state = routing_state
        self._data_centre = data_centre
        self._live_gateway_count = live_gateway_count
        self._gateway_group = gateway_group
        self._rng = Random(seed)
        self._queues: dict[str, list[_QueuedRequest]] = defaultdict(list)
        self._cold_send_times: dict[str, deque[float]] = defaultdict(deque)
        self._tick_timer: asyncio.TimerHandle | None = None
        self._availability = AvailabilityTracker()
        # Servers that leave are left out.
        self._servers_by_service: dict[str, list[BackendServer]] = {}
        routing_state.subscribe(self._on_routing_state_change)
        self._on_routing_state_change()

    async def place(self, waiter: Waiter) -> tuple[Placement, InFlightRequest]:
        """Wait for a backend server; return the placement and its load entry.

        The caller must pass the entry to `record_end` when the attempt is over.

        Raises
        ------
        PlacementRefused
            If no backend server can take the request in time.
        """
        queued = _QueuedRequest(
            waiter=waiter, fut=asyncio.get_running_loop().create_future()
        )
        self._estimate_durations(waiter)
        self._queues[waiter.service].append(queued)
        self._dispatch_queue(waiter.service)
        try:
            return await queued.fut
        except asyncio.CancelledError:
            self._withdraw(queued)
            raise

    def record_response_start(self, in_flight: InFlightRequest) -> None:
        """Record that the response has begun, so the prompt is no longer pending."""
        self.loads.record_response_start(in_flight)
        self._dispatch_for_server(in_flight.server)

    def record_end(self, in_flight: InFlightRequest) -> None:
        """Remove a request from the loads after its attempt."""
        self.loads.record_end(in_flight)
        self._dispatch_for_server(in_flight.server)

    def latest_start(self, server: BackendServer, model: str) -> float:
        """Return until when a request of a model may begin at a backend server."""
        version = self._loaded_version(server, model, self._clock.monotonic())
        return self._routing_state.latest_start(model, version)

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def dispatch_waiting(self) -> None:
        """Place the waiting requests that fit now; refuse those out of time."""
        for service in list(self._queues):
            self._dispatch_queue(service)

    def _dispatch_for_server(self, server_id: str) -> None:
        """Place waiting requests of the service of a server that has more capacity."""
        server = self._routing_state.servers.get(server_id)
        if server is not None:
            self._dispatch_queue(server.service)

    def _on_routing_state_change(self) -> None:
        servers = self._routing_state.servers
        self._availability.retain(servers.keys())
        self.loads.retain(servers.keys())
        self.notices.retain(
            {server.address for server in servers.values()},
            now=self._clock.monotonic(),
        )
        for server_id in self._cold_send_times.keys() - servers.keys():
            del self._cold_send_times[server_id]
        self.advisories.retain(
            {server.incarnation for server in servers.values()},
            now=self._clock.monotonic(),
        )
        self._group_staying_servers()
        self.dispatch_waiting()

    def _on_advisory_change(self) -> None:
        self._group_staying_servers()

    def _group_staying_servers(self) -> None:
        """Group the servers that are not leaving, by their entry or their own word."""
        by_service: dict[str, list[BackendServer]] = {}
        for server in self._routing_state.servers.values():
            if not server.is_leaving and not self.advisories.is_leaving(
                server.incarnation
            ):
                by_service.setdefault(server.service, []).append(server)
        self._servers_by_service = by_service

    def _withdraw(self, queued: _QueuedRequest) -> None:
        queue = self._queues[queued.waiter.service]
        if queued in queue:
            queue.remove(queued)
            return
        fut = queued.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.record_end(fut.result()[1])

    def _dispatch_queue(self, name: str) -> None:
        queue = self._queues[name]
        if not queue:
            return
        now = self._clock.monotonic()
        dispatch_pass = _DispatchPass(
            now=now, peer_count=self._live_gateway_count() - 1
        )
        by_waiter = {queued.waiter: queued for queued in queue}
        ended: set[_QueuedRequest] = set()
        for waiter in placement_order(by_waiter, now):
            queued = by_waiter[waiter]
            if self._dispatch_one(queued, dispatch_pass):
                ended.add(queued)
        if ended:
            # The rest stays in order of arrival, as the sort is stable.
            queue[:] = [queued for queued in queue if queued not in ended]
        if queue and self._tick_timer is None:
            loop = asyncio.get_running_loop()
            self._tick_timer = loop.call_later(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        self.dispatch_waiting()

    def _dispatch_one(
        self, queued: _QueuedRequest, dispatch_pass: _DispatchPass
    ) -> bool:
        """Place or refuse one request; return whether it leaves the queue."""
        waiter, now = queued.waiter, dispatch_pass.now
        if queued.fut.done():
            # Cancelled, but the task that waits in `place` has not run since.
            return True
        if self.quarantine.is_refused(waiter.prompt_parts):
            queued.fut.set_exception(PlacementRefused(ResultCode.PROMPT_QUARANTINED))
            return True
        placement = self._find_placement(waiter, dispatch_pass)
        if placement is not None:
            self.quarantine.record_send(waiter.prompt_parts)
            in_flight = self._record_placement(placement, waiter, dispatch_pass)
            queued.fut.set_result((placement, in_flight))
            return True
        code = refusal_code(waiter, now)
        if code is not None:
            queued.fut.set_exception(PlacementRefused(code))
            return True
        return False

    def _record_placement(
        self, placement: Placement, waiter: Waiter, dispatch_pass: _DispatchPass
    ) -> InFlightRequest:
        server, now = placement.server, dispatch_pass.now
        in_flight = self.loads.record_send(server.id, tokens=waiter.tokens, now=now)
        if now < server.cold_until:
            self._cold_send_times[server.id].append(now)
        for group in dispatch_pass.groups.values():
            group.replace(
                server.id, self._candidate(server, group.service, dispatch_pass)
            )
        return in_flight

    def _find_placement(
        self, waiter: Waiter, dispatch_pass: _DispatchPass
    ) -> Placement | None:
        group = self._group_for(waiter, dispatch_pass)
        if group is None:
            return None
        if group.has_servers:
            # They may be loading weights and become usable soon.
            waiter.last_candidate_at = dispatch_pass.now
        candidates = group.open_candidates(waiter.excluded)
        if not candidates:
            return None
        return place(
            service=group.service,
            candidates=candidates,
            tokens=waiter.tokens,
            rng=self._rng,
            is_late=is_late(waiter, dispatch_pass.now),
        )

    def _group_for(
        self, waiter: Waiter, dispatch_pass: _DispatchPass
    ) -> CandidateGroup | None:
        """Return the candidates for a request, looked up once in each pass."""
        table = self._routing_state.table
        service = table.services.get(waiter.service) if table else None
        if service is None:
            return None
        key = (waiter.model, waiter.regions)
        group = dispatch_pass.groups.get(key)
        if group is None:
            group = self._new_group(service, waiter, dispatch_pass)
            dispatch_pass.groups[key] = group
        return group

    def _new_group(
        self, service: Service, waiter: Waiter, dispatch_pass: _DispatchPass
    ) -> CandidateGroup:
        in_service = self._servers_in_service(waiter)
        usable = self._usable_servers(in_service, waiter.model, dispatch_pass.now)
        candidates = {
            server.id: candidate
            for server in usable
            if (candidate := self._candidate(server, service, dispatch_pass))
        }
        return CandidateGroup(
            service=service,
            has_servers=bool(in_service),
            usable=frozenset(server.id for server in usable),
            candidates=candidates,
        )

    def _estimate_durations(self, waiter: Waiter) -> None:
        """Set how long the request would take on an idle engine."""
        table = self._routing_state.table
        service = table.services.get(waiter.service) if table else None
        if service is not None:
            waiter.min_first_event_seconds = min_first_event_seconds(
                service, waiter.tokens
            )
            waiter.streaming_seconds = streaming_seconds(service, waiter.output_tokens)

    def _candidate(
        self, server: BackendServer, service: Service, dispatch_pass: _DispatchPass
    ) -> Candidate | None:
        """Return a server with its load, or None if it may get no request now."""
        now = dispatch_pass.now
        if not self._may_send_to_cold(server, service, now):
            return None
        if not self._may_send_to_newly_available(server, service, now):
            return None
        return Candidate(
            server=server,
            load=self.loads.server_load(
                server.id, now=now, peer_count=dispatch_pass.peer_count
            ),
            is_avoided=self.health.is_avoided(server.id, now=now),
            is_local=server.data_centre == self._data_centre,
        )

    def _servers_in_service(self, waiter: Waiter) -> list[BackendServer]:
        """Return the backend servers of the service that may run the request.

        Servers in a data centre taken out of service, or in a region that the request
        does not allow, are left out.
        """
        out_of_service = self._routing_state.data_centres_out
        return [
            server
            for server in self._servers_by_service.get(waiter.service, ())
            if server.data_centre not in out_of_service
            and (not waiter.regions or server.region in waiter.regions)
        ]

    def _usable_servers(
        self, servers: list[BackendServer], model: str, now: float
    ) -> list[BackendServer]:
        """Return the servers that accept requests and hold a version that may serve."""
        min_version = 0
        if model:
            min_version = max(1, self._routing_state.required_version(model, now))
        usable = [
            server
            for server in servers
            if not self.notices.is_closed(server.address, now=now)
            and self._loaded_version(server, model, now) >= min_version
        ]
        self._availability.update(
            listed=[s.id for s in servers], usable={s.id for s in usable}, now=now
        )
        return usable

    def _loaded_version(self, server: BackendServer, model: str, now: float) -> int:
        """Return the loaded version; it may be out of date, but never too high."""
        if not model:
            return 0
        listed = server.versions.get(model, 0)
        return max(listed, self.notices.loaded_version(server.address, model, now=now))

    def _may_send_to_newly_available(
        self, server: BackendServer, service: Service, now: float
    ) -> bool:
        """Return whether this gateway may send to an engine that became available.

        For a short time its slots are divided among all gateways.
        """
        if service.engine is None or not self._availability.is_newly_available(
            server.id, now=now
        ):
            return True
        return self.loads.own_requests(server.id) < share_of_count(
            max(server.slots, 1) + EXTRA_ENGINE_REQUESTS,
            resource=server.id,
            gateway_group=self._gateway_group(),
        )

    def _may_send_to_cold(
        self, server: BackendServer, service: Service, now: float
    ) -> bool:
        """Return whether this gateway may send a cold server one more request now."""
        if now >= server.cold_until or not service.cold_requests_per_second:
            return True
        sends = self._cold_send_times[server.id]
        while sends and now - sends[0] > COLD_WINDOW_SECONDS:
            sends.popleft()
        return len(sends) + 1 <= share_of_rate(
            service.cold_requests_per_second,
            resource=server.id,
            gateway_group=self._gateway_group(),
        )
