"""The dispatcher task: owns queues, headroom views and retry budgets.

Every other task sends it typed messages. It decides where work goes and is
the only task that ends a request with an error.
"""

import queue
import threading
from random import Random

import structlog
from attrs import define, field, frozen

from eelgrassdale.catalog import Configuration, ServiceKind
from eelgrassdale.clock import Clock
from eelgrassdale.membership.members import MembersView
from eelgrassdale.results import Ran, ResultCode, ResultError, verdict_of
from eelgrassdale.routing.choice import Need, Place, choose
from eelgrassdale.routing.fairqueue import FairQueue, Queued
from eelgrassdale.routing.frames import AnswerReader
from eelgrassdale.routing.outcomes import final_code, keyed_code
from eelgrassdale.routing.regions import RegionBudget
from eelgrassdale.routing.retry import RetryBudget, may_send_again
from eelgrassdale.spread.replica import Replica
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale_entry.agents import AgentState, AgentTable
from eelgrassdale_entry.keys import KeyWatch, keys_on_offer
from eelgrassdale_entry.messages import (
    AgentReport,
    AgentSilent,
    Attempt,
    AttemptAccepted,
    AttemptEnded,
    CallerGone,
    CallerRequest,
    NewRequest,
    TopologyChanged,
)

TICK_SECONDS = 0.05
# Time that an agent gets to end a request whose deadline passed.
DEADLINE_GRACE_SECONDS = 1.0
MAX_ATTEMPTS = 4
MESSAGES_PER_TURN = 256

log = structlog.get_logger(__name__)


@define(kw_only=True, eq=False)
class Flight:
    """One request that the dispatcher holds, queued or sent."""

    request: CallerRequest
    queued: Queued
    reader: AnswerReader
    attempts: int = 0
    current: Attempt | None = None
    refused_by: frozenset[str] = frozenset()
    last_error: ResultError | None = None
    may_have_run: bool = False
    model_version: str = ""
    incarnation: int = 0


@define(kw_only=True)
class ServiceState:
    """Queue and budget of one service."""

    queue: FairQueue
    budget: RetryBudget = field(factory=RetryBudget)


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
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="dispatcher", daemon=True
        )
        self._handlers = {
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
        return len(self._flights)

    def offers(self, service: str) -> list[tuple[str, int]]:
        """Return agents that accept work now and their incarnations."""
        return self._offers.get(service, [])

    def _run(self) -> None:
        self._on_topology(TopologyChanged())
        next_tick = self._now() + TICK_SECONDS
        while not self._stopping:
            self._turn()
            if self._now() >= next_tick:
                self._tick()
                next_tick = self._now() + TICK_SECONDS

    def _turn(self) -> None:
        try:
            message = self._inbox.get(timeout=TICK_SECONDS)
            for _ in range(MESSAGES_PER_TURN):
                self._handle(message)
                message = self._inbox.get_nowait()
        except queue.Empty:
            pass
        self._send_queued()

    def _handle(self, message: object) -> None:
        try:
            self._handlers[type(message)](message)
        except Exception:
            # One faulty message must not end the task that serves everyone.
            self._context.metrics.count("dispatcher_errors")
            log.exception("message failed", message=type(message).__name__)

    def _on_new_request(self, message: NewRequest) -> None:
        req = message.request
        flight = Flight(
            request=req,
            queued=Queued(
                request_id=req.request_id,
                account=req.account,
                weight=req.weight,
                priority=req.priority,
            ),
            reader=AnswerReader(
                request_id=req.request_id,
                attempt=0,
                incarnation=0,
                keep_text=req.kind is ServiceKind.MODEL and req.idempotent,
            ),
        )
        self._flights[req.request_id] = flight
        if req.key is not None:
            self._send_keyed(flight)
            return
        state = self._service(req.service)
        state.budget.add_request()
        victim = state.queue.push(flight.queued)
        if victim is not None:
            self._refuse(victim.request_id, ResultCode.QUEUE_FULL)

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
            self._send_queued_of(service, state, cfg)

    def _send_queued_of(
        self, service: str, state: ServiceState, cfg: Configuration
    ) -> None:
        while len(state.queue):
            queued = state.queue.pop()
            flight = self._flights[queued.request_id]
            view = choose(
                views=self._agents.views(cfg, service),
                place=self._context.place,
                need=self._need(flight),
                rng=self._rng,
            )
            if view is None:
                state.queue.push_front(queued)
                return
            agent = self._agents.get(view.name)
            self._context.monitor.check(
                cfg.is_in_service(agent.member.data_centre),
                "no_new_work_to_data_centre_out",
                agent=view.name,
                generation=cfg.generation,
            )
            self._charge_region(flight, agent)
            self._send(flight, agent)

    def _need(self, flight: Flight) -> Need:
        req = flight.request
        return Need(
            memory_bytes=req.memory_bytes,
            model_version=flight.model_version if flight.reader.offset else "",
            affinity=req.affinity,
            excluded=flight.refused_by,
            allow_suspect=req.idempotent,
            allow_other_region=self._regions.allows(_wire_bytes(req), self._now()),
        )

    def _charge_region(self, flight: Flight, agent: AgentState) -> None:
        if agent.member.region != self._context.place.region:
            self._regions.charge(_wire_bytes(flight.request), self._now())

    def _send(self, flight: Flight, agent: AgentState) -> None:
        flight.attempts += 1
        flight.reader = flight.reader.continued(
            attempt=flight.attempts, incarnation=agent.incarnation
        )
        text = flight.reader.text() or b""
        flight.current = Attempt(
            request=flight.request,
            number=flight.attempts,
            agent=agent.member.name,
            reader=flight.reader,
            model_version=flight.model_version if flight.reader.offset else "",
            resume_text=text.decode("utf-8", "replace"),
        )
        self._agents.note_sent(
            agent, flight.request.request_id, flight.request.memory_bytes
        )
        if not agent.link.submit(flight.current):
            self._on_ended(self._not_queued(flight))

    def _not_queued(self, flight: Flight) -> AttemptEnded:
        return AttemptEnded(
            request_id=flight.request.request_id,
            attempt=flight.attempts,
            agent=flight.current.agent,
            code=ResultCode.SERVER_BUSY,
            message="too many calls wait for this agent",
            by_agent=False,
        )

    def _on_accepted(self, message: AttemptAccepted) -> None:
        flight = self._flights.get(message.request_id)
        agent = self._agents.get(message.agent)
        if agent is not None and flight is not None:
            self._agents.note_answer(
                agent, message.request_id, flight.request.service, message.headroom
            )
        if flight is not None and flight.attempts == message.attempt:
            flight.model_version = message.model_version
            flight.incarnation = message.incarnation

    def _on_ended(self, message: AttemptEnded) -> None:
        agent = self._agents.get(message.agent)
        flight = self._flights.get(message.request_id)
        if flight is None or flight.attempts != message.attempt:
            return
        if agent is not None:
            agent.flights -= 1
            self._agents.note_answer(
                agent, message.request_id, flight.request.service, message.headroom
            )
        flight.current = None
        if message.code == ResultCode.OK:
            del self._flights[message.request_id]
            return
        self._after_failure(flight, message)

    def _after_failure(self, flight: Flight, message: AttemptEnded) -> None:
        req = flight.request
        code = message.code
        if req.key is not None and not message.by_agent:
            code = keyed_code(code)
        flight.last_error = ResultError(code=_known(code), message=message.message)
        flight.may_have_run |= verdict_of(code).ran is not Ran.NOT_RUN
        again = may_send_again(
            code=code, idempotent=req.idempotent, keyed=req.key is not None
        )
        if again and self._can_continue(flight) and self._take_retry(flight):
            flight.refused_by |= {message.agent}
            self._service(req.service).queue.push_front(flight.queued)
            return
        self._fail(flight, code, message.message)

    def _can_continue(self, flight: Flight) -> bool:
        if flight.attempts >= MAX_ATTEMPTS:
            return False
        return not flight.reader.offset or flight.reader.text() is not None

    def _take_retry(self, flight: Flight) -> bool:
        if not self._service(flight.request.service).budget.take():
            self._context.metrics.count("retries_over_budget")
            return False
        self._context.metrics.count("retries")
        return True

    def _on_caller_gone(self, message: CallerGone) -> None:
        flight = self._flights.get(message.request_id)
        if flight is None:
            return
        self._context.metrics.count("callers_gone")
        self._cancel(flight)
        self._fail(flight, message.code, "")

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

    def _on_silent(self, message: AgentSilent) -> None:
        agent = self._agents.get(message.agent)
        if agent is not None:
            self._agents.note_silent(agent)
            self._context.members.report(message.agent, False)

    def _on_topology(self, _message: TopologyChanged) -> None:
        cfg = self._context.replica.current()
        self._agents.update(cfg, self._context.members.current())
        for name, service in cfg.services.items():
            self._service(name).queue.limit = service.queue_limit

    def _tick(self) -> None:
        now = self._now()
        for flight in list(self._flights.values()):
            if flight.current is None:
                if now >= flight.request.deadline:
                    self._expire(flight)
            elif now >= flight.request.deadline + DEADLINE_GRACE_SECONDS:
                self._cancel(flight)
                self._fail(flight, ResultCode.DEADLINE_EXCEEDED, "")
        cfg = self._context.replica.current()
        self._offers = {
            name: keys_on_offer(self._agents, cfg, name) for name in cfg.services
        }
        for name, state in self._services.items():
            if len(state.queue):
                self._agents.nudge(name)

    def _expire(self, flight: Flight) -> None:
        self._service(flight.request.service).queue.remove(flight.request.request_id)
        if flight.last_error is None:
            self._fail(flight, ResultCode.DEADLINE_PASSED, "")
        else:
            self._fail(flight, flight.last_error.code, flight.last_error.message)

    def _refuse(self, request_id: str, code: ResultCode) -> None:
        self._fail(self._flights[request_id], code, "")

    def _fail(self, flight: Flight, code: int, message: str) -> None:
        self._flights.pop(flight.request.request_id, None)
        code = final_code(
            code, delivered=flight.reader.offset, may_have_run=flight.may_have_run
        )
        error = ResultError(code=_known(code), message=message)
        refused = verdict_of(code).ran is Ran.NOT_RUN
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


def _wire_bytes(req: CallerRequest) -> int:
    return len(req.body) + 8 * req.max_tokens


def _known(code: int) -> ResultCode:
    try:
        return ResultCode(code)
    except ValueError:
        return ResultCode.OUTCOME_UNKNOWN
