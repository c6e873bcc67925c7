"""The dispatcher task: owns queues, headroom views and retry budgets.

Every other task sends it typed messages. It decides where work goes and is
the only task that ends a request with an error.
"""

import queue
import threading
from collections.abc import Callable
from random import Random

import structlog
from attrs import frozen

from eelgrassdale.catalog import Configuration
from eelgrassdale.clock import Clock
from eelgrassdale.membership.members import MembersView
from eelgrassdale.results import Ran, ResultCode, verdict_of
from eelgrassdale.routing.choice import Place, candidates, choose
from eelgrassdale.routing.fairqueue import FairQueue
from eelgrassdale.routing.outcomes import keyed_code
from eelgrassdale.routing.regions import RegionBudget
from eelgrassdale.routing.retry import may_send_again
from eelgrassdale.spread.replica import Replica
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale_entry.agents import AgentState, AgentTable
from eelgrassdale_entry.flights import (
    Flight,
    ServiceState,
    begin_attempt,
    can_continue,
    error_of,
    need_of,
    new_flight,
    note_failure,
    wire_bytes,
)
from eelgrassdale_entry.keys import KeyWatch, keys_on_offer
from eelgrassdale_entry.messages import (
    AgentReport,
    AgentSilent,
    AttemptAccepted,
    AttemptEnded,
    CallerGone,
    NewRequest,
    TopologyChanged,
)

TICK_SECONDS = 0.05
# Time that an agent gets to end a request whose deadline passed.
DEADLINE_GRACE_SECONDS = 1.0
# Time for a member to appear, such as after the start of this node.
NO_SERVER_SECONDS = 1.0
# Age of the list of agents for which keys are issued.
OFFER_SECONDS = 0.25
MESSAGES_PER_TURN = 256
# Queued requests looked at past one that no backend server can take now.
LOOK_PAST = 8

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class DispatcherContext:
    """What the dispatcher needs of the process."""

    clock: Clock
    metrics: Metrics
    monitor: InvariantMonitor
    replica: Replica
    members: MembersView
    place: Place


class Dispatcher:
    """Routes requests; every public method may be called from any thread."""

    def __init__(
        self,
        *,
        context: DispatcherContext,
        agents: AgentTable,
        regions: RegionBudget,
        seed: int | None = None,
    ) -> None:
        self._context = context
        self._agents = agents
        self._regions = regions
        self._rng = Random(seed)
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._services: dict[str, ServiceState] = {}
        self._flights: dict[str, Flight] = {}
        self._keys = KeyWatch(monitor=context.monitor)
        self._offers: dict[str, list[tuple[str, int]]] = {}
        self._next_offers_at = float("-inf")
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="dispatcher", daemon=True
        )
        self._handlers: dict[type, Callable] = {
            NewRequest: self._on_new_request,
            CallerGone: self._on_caller_gone,
            AttemptAccepted: self._on_accepted,
            AttemptEnded: self._on_ended,
            AgentReport: self._on_report,
            AgentSilent: self._on_silent,
            TopologyChanged: self._on_topology,
        }

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and close all links."""
        self._stopping = True
        self.post(TopologyChanged())
        self._thread.join()
        for link in self._agents.links():
            link.close()

    def post(self, message: object) -> None:
        """Add a message; never blocks."""
        self._inbox.put(message)

    def held(self) -> int:
        """Return the number of requests that are queued or sent."""
        return len(self._flights) + self._inbox.qsize()

    def offers(self, service: str) -> list[tuple[str, int]]:
        """Return agents that accept work now and their incarnations."""
        return self._offers.get(service, [])

    def _run(self) -> None:
        next_tick = self._now()
        while not self._stopping:
            self._guarded(self._take_messages)
            self._guarded(self._send_queued)
            if self._now() >= next_tick:
                self._guarded(self._tick)
                next_tick = self._now() + TICK_SECONDS

    def _guarded(self, step: Callable[..., None], *args: object) -> None:
        try:
            step(*args)
        except Exception:
            # One faulty message must not end the task that serves everyone.
            self._context.metrics.count("dispatcher_errors")
            log.exception("dispatcher step failed", step=step.__name__)

    def _take_messages(self) -> None:
        try:
            message = self._inbox.get(timeout=TICK_SECONDS)
            for _ in range(MESSAGES_PER_TURN):
                self._guarded(self._handlers[type(message)], message)
                message = self._inbox.get_nowait()
        except queue.Empty:
            return
        self._guarded(self._handlers[type(message)], message)

    def _on_new_request(self, message: NewRequest) -> None:
        flight = new_flight(message.request)
        req = flight.request
        self._flights[req.request_id] = flight
        if req.key is not None:
            self._send_keyed(flight)
            return
        state = self._service(req.service)
        state.budget.add_request()
        displaced = state.queue.push(flight.queued)
        if displaced is not None:
            code = (
                ResultCode.ACCOUNT_LIMIT
                if displaced.over_share
                else ResultCode.QUEUE_FULL
            )
            self._fail(self._flights[displaced.queued.request_id], code)

    def _send_keyed(self, flight: Flight) -> None:
        key = flight.request.key
        member = self._context.members.current().by_name.get(key.agent)
        if member is None:
            self._fail(flight, ResultCode.KEY_UNREACHABLE, "the agent is unknown")
            return
        self._keys.sent(flight.request.key_text, member.name)
        self._send(flight, self._agents.open(member))

    def _send_queued(self) -> None:
        cfg = self._context.replica.current()
        for service, state in self._services.items():
            if len(state.queue) and self._agents.has_free_slot(service):
                self._send_queued_of(service, state, cfg)

    def _send_queued_of(
        self, service: str, state: ServiceState, cfg: Configuration
    ) -> None:
        views = {view.name: view for view in self._agents.views(cfg, service)}
        skipped = []
        while len(state.queue) and len(skipped) < LOOK_PAST:
            if not any(view.free_slots > 0 for view in views.values()):
                break
            queued = state.queue.pop()
            flight = self._flights[queued.request_id]
            chosen = self._choose(flight, list(views.values()))
            if chosen is not None:
                self._send_new_work(flight, chosen, cfg)
                views[chosen] = self._agents.view(chosen, service)
            elif queued.request_id in self._flights:
                skipped.append(queued)
        for queued in reversed(skipped):
            state.queue.push_front(queued)

    def _choose(self, flight: Flight, views: list) -> str | None:
        need = need_of(
            flight,
            allow_other_region=self._regions.allows(
                wire_bytes(flight.request), self._now()
            ),
        )
        view = choose(views=views, place=self._context.place, need=need, rng=self._rng)
        if view is None and need.model_version and not candidates(views, need):
            self._fail(
                flight, ResultCode.ANSWER_TRUNCATED, "no other server has the version"
            )
        return None if view is None else view.name

    def _send_new_work(self, flight: Flight, name: str, cfg: Configuration) -> None:
        agent = self._agents.get(name)
        self._context.monitor.check(
            cfg.is_in_service(agent.member.data_centre),
            "no_new_work_to_data_centre_out",
            agent=name,
            generation=cfg.generation,
        )
        if agent.member.region != self._context.place.region:
            self._regions.charge(wire_bytes(flight.request), self._now())
        self._send(flight, agent)

    def _send(self, flight: Flight, agent: AgentState) -> None:
        req = flight.request
        attempt = begin_attempt(
            flight, agent=agent.member.name, incarnation=agent.incarnation
        )
        self._agents.note_sent(agent, req.request_id, req.memory_bytes)
        if agent.link.submit(attempt):
            return
        self._on_ended(
            AttemptEnded(
                request_id=req.request_id,
                attempt=attempt.number,
                agent=attempt.agent,
                code=ResultCode.SERVER_BUSY,
                message="too many calls wait for this agent",
                by_agent=False,
            )
        )

    def _on_accepted(self, message: AttemptAccepted) -> None:
        flight = self._flights.get(message.request_id)
        if flight is None or flight.attempts != message.attempt:
            return
        agent = self._agents.get(message.agent)
        if agent is not None:
            self._agents.note_answer(
                agent, message.request_id, flight.request.service, message.headroom
            )
        flight.model_version = message.model_version

    def _on_ended(self, message: AttemptEnded) -> None:
        flight = self._flights.get(message.request_id)
        if flight is None or flight.attempts != message.attempt:
            return
        agent = self._agents.get(message.agent)
        if agent is not None:
            agent.flights -= 1
            self._agents.note_answer(
                agent, message.request_id, flight.request.service, message.headroom
            )
        flight.current = None
        if message.code == ResultCode.OK:
            del self._flights[message.request_id]
        else:
            self._after_failure(flight, message)

    def _after_failure(self, flight: Flight, message: AttemptEnded) -> None:
        req = flight.request
        keyed = req.key is not None
        code = message.code
        if keyed and not message.by_agent:
            code = keyed_code(code)
        note_failure(flight, code=code, message=message.message, agent=message.agent)
        again = may_send_again(code=code, idempotent=req.idempotent, keyed=keyed)
        if again and can_continue(flight) and self._take_retry(req.service):
            self._service(req.service).queue.push_front(flight.queued)
        else:
            self._fail(flight, code, message.message)

    def _take_retry(self, service: str) -> bool:
        is_within = self._service(service).budget.take()
        self._context.metrics.count("retries" if is_within else "retries_over_budget")
        return is_within

    def _on_caller_gone(self, message: CallerGone) -> None:
        flight = self._flights.get(message.request_id)
        if flight is None:
            return
        self._context.metrics.count("callers_gone")
        self._cancel(flight)
        self._fail(flight, message.code)

    def _cancel(self, flight: Flight) -> None:
        self._service(flight.request.service).queue.remove(flight.request.request_id)
        attempt, flight.current = flight.current, None
        if attempt is None:
            return
        agent = self._agents.get(attempt.agent)
        if agent is not None:
            agent.flights -= 1
            agent.pending.pop(flight.request.request_id, None)
            agent.link.cancel(attempt)

    def _on_report(self, message: AgentReport) -> None:
        agent = self._agents.get(message.agent)
        if agent is None:
            return
        self._agents.note_report(agent, message.incarnation, message.headroom)
        if message.is_poll and agent.is_news(True, self._now()):
            # Stands for a probe, which the runtime then saves.
            self._context.members.report(message.agent, True)

    def _on_silent(self, message: AgentSilent) -> None:
        agent = self._agents.get(message.agent)
        if agent is None:
            return
        self._agents.note_silent(agent)
        if agent.is_news(False, self._now()):
            self._context.members.report(message.agent, False)

    def _on_topology(self, _message: TopologyChanged) -> None:
        cfg = self._context.replica.current()
        self._agents.update(cfg, self._context.members.current())
        for name, service in cfg.services.items():
            self._service(name).queue.limit = service.queue_limit

    def _tick(self) -> None:
        now = self._now()
        for flight in list(self._flights.values()):
            self._check_time(flight, now)
        if now >= self._next_offers_at:
            self._next_offers_at = now + OFFER_SECONDS
            cfg = self._context.replica.current()
            self._offers = {
                name: keys_on_offer(self._agents, cfg, name) for name in cfg.services
            }
        for name, state in self._services.items():
            if len(state.queue):
                self._agents.nudge(name)
        self._agents.close_unused()

    def _check_time(self, flight: Flight, now: float) -> None:
        req = flight.request
        if flight.current is not None:
            if now >= req.deadline + DEADLINE_GRACE_SECONDS:
                self._cancel(flight)
                self._fail(flight, ResultCode.DEADLINE_EXCEEDED)
        elif now >= req.deadline:
            self._service(req.service).queue.remove(req.request_id)
            self._fail(flight, ResultCode.DEADLINE_PASSED)
        elif now >= req.arrived_at + NO_SERVER_SECONDS and not self._agents.subset(
            req.service
        ):
            self._service(req.service).queue.remove(req.request_id)
            self._fail(flight, ResultCode.NO_BACKEND_SERVER)

    def _fail(self, flight: Flight, code: int, message: str = "") -> None:
        self._flights.pop(flight.request.request_id, None)
        error = error_of(flight, code, message)
        refused = verdict_of(error.code).ran is Ran.NOT_RUN
        self._context.metrics.count(
            "requests_refused" if refused else "requests_failed"
        )
        flight.request.sink.fail(error, model_version=flight.model_version)

    def _service(self, name: str) -> ServiceState:
        state = self._services.get(name)
        if state is None:
            state = ServiceState(queue=FairQueue(limit=1))
            self._services[name] = state
        return state

    def _now(self) -> float:
        return self._context.clock.monotonic()
