"""Queues requests and assigns them to backend servers."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable, Hashable
from random import Random

import structlog
from attrs import define, field

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.admissioncontrol import (
    MIN_TAKEN_SHARE,
    is_accepted,
    overload_refusal_code,
)
from eelgrassdale_gateway.candidates import CandidateGroup
from eelgrassdale_gateway.eligibility import EligibleServers, Moment
from eelgrassdale_gateway.estimates import (
    NEVER,
    SHORT_TAKEN_SHARE,
    ServiceDemand,
    Shortage,
)
from eelgrassdale_gateway.loads import REPORT_DELAY_SECONDS, InFlightRequest
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.ordering import (
    has_aged,
    has_queue_time,
    short_request_limit,
    shortage_order,
)
from eelgrassdale_gateway.overload import OverloadMonitor
from eelgrassdale_gateway.placement import (
    Placement,
    can_read_prompt,
    choose,
    min_first_event_seconds,
    place,
    streaming_seconds,
)
from eelgrassdale_gateway.quarantine import PromptQuarantine
from eelgrassdale_gateway.queueing import Waiter, is_late, placement_order, refusal_code
from eelgrassdale_gateway.retryafter import overload_retry_seconds
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.shares import GatewayGroup

# Interval at which queues are processed again when nothing else triggers it.
TICK_SECONDS = 0.02
# Not all gateways have requests waiting for the slots that they all see as free.
FOREIGN_SLOTS_FACTOR = 1.5
# Interval at which the ends of overloads are looked for, while there is one.
END_CHECK_SECONDS = 1.0

log = structlog.get_logger(__name__)


class PlacementRefused(Exception):
    """No backend server accepted the request in time; `code` is the reason.

    `retry_at` is the monotonic time at which one takes requests again, if that is
    known. `retry_seconds` is after how long the caller should retry where capacity is
    short.
    """

    def __init__(
        self,
        code: ResultCode,
        *,
        retry_at: float | None = None,
        retry_seconds: float | None = None,
    ) -> None:
        super().__init__(code.name)
        self.code = code
        self.retry_at = retry_at
        self.retry_seconds = retry_seconds


@define(kw_only=True, eq=False)
class _QueuedRequest:
    waiter: Waiter
    fut: "asyncio.Future[tuple[Placement, InFlightRequest]]"


@define(kw_only=True)
class _DispatchPass:
    """Time and candidates of one pass over a queue."""

    moment: Moment
    demand: ServiceDemand
    groups: dict[tuple[str, frozenset[str]], CandidateGroup] = field(factory=dict)
    gateway_count: int
    is_short: bool
    shortages: dict[int, Shortage] = field(factory=dict)
    waiting_counts: Counter[int] = field(factory=Counter)
    # Fewest prompt tokens for which no place was found, by group and limit.
    unplaced_tokens: dict[Hashable, int] = field(factory=dict)
    _taken_shares: dict[int, float] = field(factory=dict, init=False)

    def keeps(self, waiter: Waiter) -> bool:
        """Return whether a request that waited long is served and not refused."""
        return (
            self.is_short
            and is_accepted(waiter, self.moment.now)
            and waiter.earliest_start <= self.moment.now
        )

    def taken_share(self, group: CandidateGroup) -> float:
        """Return the share of taken slots of a group as of the start of the pass."""
        share = self._taken_shares.get(id(group))
        if share is None:
            share = self._taken_shares[id(group)] = group.taken_share
        return share


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
        self.eligible = EligibleServers(
            clock=clock,
            routing_state=routing_state,
            data_centre=data_centre,
            gateway_group=gateway_group,
        )
        self.loads = self.eligible.loads
        self.health = self.eligible.health
        self.advisories = self.eligible.advisories
        self.notices = self.eligible.notices
        self.quarantine = PromptQuarantine(clock=clock, gateway_group=gateway_group)
        self._clock = clock
        self._routing_state = routing_state
        self._live_gateway_count = live_gateway_count
        self._rng = Random(seed)
        self._queues: dict[str, list[_QueuedRequest]] = defaultdict(list)
        self._demands: dict[str, ServiceDemand] = defaultdict(ServiceDemand)
        self._tick_timer: asyncio.TimerHandle | None = None
        self.overloads = OverloadMonitor()
        self._overload_timer: asyncio.TimerHandle | None = None
        routing_state.subscribe(self._on_routing_state_change)

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
        if not waiter.has_begun:
            arrivals = self._demands[waiter.service].arrivals[waiter.priority]
            arrivals.add(1.0, now=self._clock.monotonic())
        self._dispatch_queue(waiter.service)
        try:
            return await queued.fut
        except asyncio.CancelledError:
            self._withdraw(queued)
            raise

    def record_response_start(self, in_flight: InFlightRequest) -> None:
        """Record that the response has begun, so the prompt is no longer pending."""
        self.loads.record_response_start(in_flight)
        now = self._clock.monotonic()
        demand = self._demands[in_flight.service]
        demand.record_outcome(
            in_flight.priority, is_in_time=now <= in_flight.objective_at, now=now
        )
        demand.record_first_event(
            now - in_flight.sent_at - in_flight.min_first_event_seconds
        )
        self._dispatch_for_server(in_flight.server)

    def record_end(self, in_flight: InFlightRequest) -> None:
        """Remove a request from the loads after its attempt."""
        self.loads.record_end(in_flight)
        now = self._clock.monotonic()
        self._demands[in_flight.service].record_end(
            in_flight.server, now - in_flight.sent_at, now=now
        )
        self._dispatch_for_server(in_flight.server)

    def latest_start(self, server: BackendServer, model: str) -> float:
        """Return until when a request of a model may begin at a backend server."""
        version = self.eligible.loaded_version(server, model, self._clock.monotonic())
        return self._routing_state.latest_start(model, version)

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def waiting_by_service(self) -> dict[str, int]:
        """Return the number of waiting requests of each service that has any."""
        return {name: len(queue) for name, queue in self._queues.items() if queue}

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
        self.eligible.update()
        self.dispatch_waiting()
        self._forget_removed_services()

    def _forget_removed_services(self) -> None:
        """Drop what is known of services that are not configured and not waited for."""
        table = self._routing_state.table
        configured = table.services.keys() if table else ()
        for name in self._queues.keys() - configured:
            if not self._queues[name]:
                del self._queues[name]
        for name in self._demands.keys() - configured - self._queues.keys():
            del self._demands[name]

    def _withdraw(self, queued: _QueuedRequest) -> None:
        queue = self._queues[queued.waiter.service]
        if queued in queue:
            queue.remove(queued)
            return
        fut = queued.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.record_end(fut.result()[1])

    def _dispatch_queue(self, name: str) -> None:
        queue = self._queues.get(name)
        if not queue:
            return
        now = self._clock.monotonic()
        demand = self._demands[name]
        table = self._routing_state.table
        demand.competes = table is not None and name in table.competing_services
        gateway_count = self._live_gateway_count()
        is_short = demand.is_short(now)
        # While capacity is short, the slots that the others' requests leave are divided
        # instead of estimating what the others sent.
        moment = Moment(now=now, peer_count=0 if is_short else gateway_count - 1)
        dispatch_pass = _DispatchPass(
            moment=moment,
            demand=demand,
            gateway_count=gateway_count,
            is_short=is_short,
        )
        by_waiter = {queued.waiter: queued for queued in queue}
        ended: set[_QueuedRequest] = set()
        order = shortage_order if is_short else placement_order
        for waiter in order(by_waiter, now):
            queued = by_waiter[waiter]
            if self._dispatch_or_refuse(queued, dispatch_pass):
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

    def _watch_overloads(self) -> None:
        """Notice the ends of overloads also if no request arrives."""
        if self._overload_timer is None and not self.overloads.is_idle():
            loop = asyncio.get_running_loop()
            self._overload_timer = loop.call_later(
                END_CHECK_SECONDS, self._end_overloads
            )

    def _end_overloads(self) -> None:
        self._overload_timer = None
        self.overloads.end_expired(now=self._clock.monotonic())
        self._watch_overloads()

    def _dispatch_or_refuse(
        self, queued: _QueuedRequest, dispatch_pass: _DispatchPass
    ) -> bool:
        """Do as `_dispatch_one`; refuse a request with which that fails."""
        try:
            return self._dispatch_one(queued, dispatch_pass)
        except Exception:
            # The error belongs neither to the other requests of the pass nor to the
            # one whose end or arrival started it.
            log.exception("request cannot be placed", service=queued.waiter.service)
            if not queued.fut.done():
                queued.fut.set_exception(PlacementRefused(ResultCode.SERVER_BUSY))
            return True

    def _dispatch_one(
        self, queued: _QueuedRequest, dispatch_pass: _DispatchPass
    ) -> bool:
        """Place or refuse one request; return whether it leaves the queue."""
        waiter, now = queued.waiter, dispatch_pass.moment.now
        if queued.fut.done():
            # Cancelled, but the task that waits in `place` has not run since.
            return True
        if self.quarantine.is_refused(waiter.prompt_parts):
            queued.fut.set_exception(PlacementRefused(ResultCode.PROMPT_QUARANTINED))
            return True
        group = self._group_for(waiter, dispatch_pass)
        placement = (
            self._find_placement(waiter, group, dispatch_pass) if group else None
        )
        if placement is not None:
            self.quarantine.record_send(waiter.prompt_parts)
            server_id = placement.server.id
            in_flight = self.loads.record_send(server_id, tokens=waiter.tokens, now=now)
            in_flight.service = waiter.service
            in_flight.priority = waiter.priority
            in_flight.objective_at = waiter.objective_at
            in_flight.min_first_event_seconds = waiter.min_first_event_seconds
            dispatch_pass.demand.starts.add(1.0, now=now)
            if dispatch_pass.is_short and is_late(waiter, now):
                self.overloads.record_late_start(
                    waiter.service, priority=waiter.priority, now=now
                )
                self._watch_overloads()
            queued.fut.set_result((placement, in_flight))
            self._update_candidates(placement.server, dispatch_pass)
            return True
        code = refusal_code(waiter, now)
        if code is ResultCode.QUEUE_FULL and dispatch_pass.keeps(waiter):
            code = None
        if code is None:
            code = self._overload_code(waiter, group, dispatch_pass)
        if code is not None:
            # Infinite if this gateway has no share of the servers' rates.
            is_known = now < waiter.earliest_start < float("inf")
            retry_at = waiter.earliest_start if is_known else None
            queued.fut.set_exception(
                PlacementRefused(
                    code,
                    retry_at=retry_at,
                    retry_seconds=self._retry_seconds(waiter, group, dispatch_pass),
                )
            )
            dispatch_pass.demand.record_outcome(
                waiter.priority, is_in_time=False, now=now
            )
            if dispatch_pass.is_short:
                self.overloads.record_refusal(
                    waiter.service, code=code, priority=waiter.priority, now=now
                )
                self._watch_overloads()
            return True
        if group is not None:
            group.take_start()
        return False

    def _update_candidates(
        self, server: BackendServer, dispatch_pass: _DispatchPass
    ) -> None:
        """Count a request that was just placed against the limits of its server."""
        self.eligible.record_send(server, now=dispatch_pass.moment.now)
        for group in dispatch_pass.groups.values():
            group.replace(
                server.id,
                self.eligible.candidate(server, group.service, dispatch_pass.moment),
            )

    def _overload_code(
        self,
        waiter: Waiter,
        group: CandidateGroup | None,
        dispatch_pass: _DispatchPass,
    ) -> ResultCode | None:
        """Return the code with which to refuse a request for lack of capacity."""
        if group is None or not group.candidates:
            return None
        now = dispatch_pass.moment.now
        demand = dispatch_pass.demand
        taken_share = dispatch_pass.taken_share(group)
        if taken_share >= MIN_TAKEN_SHARE:
            demand.short_at = now
        if not dispatch_pass.is_short:
            return None
        key = id(group)
        code = overload_refusal_code(
            waiter,
            self._shortage(group, dispatch_pass),
            ahead=dispatch_pass.waiting_counts[key],
            taken_share=taken_share,
            now=now,
        )
        if code is None:
            dispatch_pass.waiting_counts[key] += 1
        return code

    def _retry_seconds(
        self,
        waiter: Waiter,
        group: CandidateGroup | None,
        dispatch_pass: _DispatchPass,
    ) -> float | None:
        """Return after how long a refused caller should retry, None if not short."""
        if group is None or not group.candidates or not dispatch_pass.is_short:
            return None
        return overload_retry_seconds(
            waiter,
            self._shortage(group, dispatch_pass),
            now=dispatch_pass.moment.now,
            draw=self._rng.random(),
        )

    def _shortage(
        self, group: CandidateGroup, dispatch_pass: _DispatchPass
    ) -> Shortage:
        key = id(group)
        shortage = dispatch_pass.shortages.get(key)
        if shortage is None:
            moment = dispatch_pass.moment
            shortage = dispatch_pass.shortages[key] = dispatch_pass.demand.shortage(
                slots=group.slots,
                gateways=dispatch_pass.gateway_count,
                now=moment.now,
            )
        return shortage

    def _find_short_placement(
        self, waiter: Waiter, group: CandidateGroup, dispatch_pass: _DispatchPass
    ) -> Placement | None:
        """Place a request of a service that is short of capacity."""
        now, demand = dispatch_pass.moment.now, dispatch_pass.demand
        shortage = self._shortage(group, dispatch_pass)
        late = is_late(waiter, now)
        can_queue = has_queue_time(
            group.service, waiter, demand.duration_seconds, now=now
        )
        aged = late and has_aged(waiter, now)
        key = (waiter.priority, late, aged, can_queue)
        if waiter.tokens >= dispatch_pass.unplaced_tokens.get((id(group), key), NEVER):
            return None
        free = group.free_slots(
            lambda server: short_request_limit(
                group.service,
                server,
                shortage,
                priority=waiter.priority,
                is_late=late,
                is_aged=aged,
                can_queue=can_queue,
            ),
            key=key,
        )
        may_take_foreign = demand.foreign_slots(waiter.priority).is_available(
            rate=FOREIGN_SLOTS_FACTOR
            * free.count
            / (dispatch_pass.gateway_count * REPORT_DELAY_SECONDS),
            now=now,
        )
        available = [
            c
            for c in free.candidates
            if c.server.id not in waiter.excluded
            and can_read_prompt(group.service, c, waiter.tokens)
            and (may_take_foreign or demand.own_free_slots(c.server.id, now=now))
        ]
        if not available:
            if not waiter.excluded:
                dispatch_pass.unplaced_tokens[id(group), key] = waiter.tokens
            return None
        placement = choose(
            service=group.service,
            available=available,
            tokens=waiter.tokens,
            rng=self._rng,
        )
        if demand.own_free_slots(placement.server.id, now=now):
            demand.take_own_slot(placement.server.id)
        else:
            demand.foreign_slots(waiter.priority).take()
        return placement

    def _detect_shortage(
        self, group: CandidateGroup, dispatch_pass: _DispatchPass
    ) -> None:
        """Record a shortage if nearly all slots are taken, before requests wait.

        Requests then wait at the servers, out of sight of the gateways.
        """
        if dispatch_pass.taken_share(group) >= SHORT_TAKEN_SHARE:
            dispatch_pass.demand.short_at = dispatch_pass.moment.now

    def _find_placement(
        self, waiter: Waiter, group: CandidateGroup, dispatch_pass: _DispatchPass
    ) -> Placement | None:
        now = dispatch_pass.moment.now
        if group.has_servers:
            # They may be loading weights and become usable soon.
            waiter.last_candidate_at = now
        waiter.earliest_start = group.earliest_start()
        if dispatch_pass.demand.is_short(now) and not waiter.has_begun:
            return self._find_short_placement(waiter, group, dispatch_pass)
        candidates = group.open_candidates(
            waiter.excluded, is_strict=waiter.is_exclusion_strict
        )
        if not candidates:
            return None
        return place(
            service=group.service,
            candidates=candidates,
            tokens=waiter.tokens,
            rng=self._rng,
            is_late=is_late(waiter, now),
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
            group = self.eligible.group(waiter, service, dispatch_pass.moment)
            dispatch_pass.groups[key] = group
            self._detect_shortage(group, dispatch_pass)
        return group

    def _estimate_durations(self, waiter: Waiter) -> None:
        """Set how long the request would take on an idle engine."""
        table = self._routing_state.table
        service = table.services.get(waiter.service) if table else None
        if service is not None:
            waiter.min_first_event_seconds = min_first_event_seconds(
                service, waiter.tokens
            )
            waiter.streaming_seconds = streaming_seconds(service, waiter.output_tokens)
            demand = self._demands[waiter.service]
            if service.engine is not None and demand.is_short(self._clock.monotonic()):
                waiter.min_first_event_seconds += demand.first_event_excess
