"""The dispatcher task, which owns queues, headroom views and retry budgets.

The other tasks send it typed messages. It chooses the agent of each request and is
the only task that ends an admitted request with an error.
"""

import queue
import threading
from collections.abc import Callable
from random import Random

import structlog

from eelgrassdale.catalog import Configuration
from eelgrassdale.results import ExecutionState, ResultCode, info_of
from eelgrassdale.routing.choice import candidates, choose_server
from eelgrassdale.routing.fairqueue import FairQueue
from eelgrassdale.routing.outcomes import keyed_code
from eelgrassdale.routing.regions import RegionBudget
from eelgrassdale.routing.retry import may_send_again
from eelgrassdale_entry.agents import AgentState, AgentTable
from eelgrassdale_entry.dispatchercontext import DispatcherContext
from eelgrassdale_entry.keyagents import KeyAgentMonitor, agents_for_new_keys
from eelgrassdale_entry.messages import (
    AgentReport,
    AgentUnresponsive,
    AttemptAccepted,
    AttemptEnded,
    CallerGone,
    NewRequest,
    TopologyChanged,
)
from eelgrassdale_entry.trackedrequests import (
    ServiceState,
    TrackedRequest,
    attempt_requirements,
    begin_attempt,
    can_continue,
    estimated_wire_bytes,
    expiry_code,
    final_error,
    new_tracked_request,
    record_failure,
)

TICK_INTERVAL_SECONDS = 0.05
# Interval at which the lists of agents for which keys are issued are refreshed, also
# when no agent reported a change of what it accepts.
KEY_AGENTS_REFRESH_SECONDS = 0.25
MESSAGES_PER_TURN = 256
# Queued requests per service that are skipped in one turn because no backend server
# can accept them now.
MAX_SKIPPED_REQUESTS = 8

log = structlog.get_logger(__name__)


class Dispatcher:
    """Routes requests to agents; public methods may be called from any thread."""

    def __init__(
        self,
        *,
        context: DispatcherContext,
        agents: AgentTable,
        region_budget: RegionBudget,
        seed: int | None = None,
    ) -> None:
        self._context = context
        self._agents = agents
        self._region_budget = region_budget
        self._rng = Random(seed)
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._services: dict[str, ServiceState] = {}
        self._tracked: dict[str, TrackedRequest] = {}
        self._key_agent_monitor = KeyAgentMonitor(monitor=context.monitor)
        self._key_agents: dict[str, list[tuple[str, int]]] = {}
        self._next_key_agents_at = float("-inf")
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
            AgentUnresponsive: self._on_silent,
            TopologyChanged: self._on_topology,
        }

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close all links."""
        self._stopping = True
        self.post(TopologyChanged())
        self._thread.join()
        for link in self._agents.links():
            link.close()

    def post(self, message: object) -> None:
        """Enqueue a message; never blocks."""
        self._inbox.put(message)

    def open_requests(self) -> int:
        """Return the number of queued or sent requests plus unread messages."""
        return len(self._tracked) + self._inbox.qsize()

    def key_agents(self, service: str) -> list[tuple[str, int]]:
        """Return the agents for which keys may be issued, with their incarnations."""
        return self._key_agents.get(service, [])

    def _run(self) -> None:
        next_tick = self._now()
        while not self._stopping:
            self._run_guarded(self._take_messages)
            self._run_guarded(self._send_queued)
            if self._now() >= next_tick:
                self._run_guarded(self._tick)
                next_tick = self._now() + TICK_INTERVAL_SECONDS

    def _run_guarded(self, step: Callable[..., None], *args: object) -> None:
        try:
            step(*args)
        except Exception:
            # An error in one message must not end the task that serves all requests.
            self._context.metrics.count("dispatcher_errors")
            log.exception("dispatcher step failed", step=step.__name__)

    def _take_messages(self) -> None:
        try:
            message = self._inbox.get(timeout=TICK_INTERVAL_SECONDS)
            for _ in range(MESSAGES_PER_TURN):
                self._run_guarded(self._handlers[type(message)], message)
                message = self._inbox.get_nowait()
        except queue.Empty:
            return
        self._run_guarded(self._handlers[type(message)], message)

    def _on_new_request(self, message: NewRequest) -> None:
        tracked = new_tracked_request(message.request)
        req = tracked.request
        self._tracked[req.request_id] = tracked
        if req.key is not None:
            self._send_keyed(tracked)
            return
        state = self._service_state(req.service)
        state.budget.record_request()
        evicted = state.queue.push(tracked.queued)
        if evicted is not None:
            code = (
                ResultCode.ACCOUNT_LIMIT
                if evicted.exceeds_share
                else ResultCode.QUEUE_FULL
            )
            self._fail(self._tracked[evicted.queued.request_id], code)

    def _send_keyed(self, tracked: TrackedRequest) -> None:
        key = tracked.request.key
        member = self._context.members.current().by_name.get(key.agent)
        if member is None:
            self._fail(
                tracked,
                ResultCode.KEY_UNREACHABLE,
                "the agent of the key is not a known member",
            )
            return
        self._key_agent_monitor.record_sent(tracked.request.key_text, member.name)
        self._send(tracked, self._agents.ensure_link(member))

    def _send_queued(self) -> None:
        cfg = self._context.replica.current()
        for service, state in self._services.items():
            if len(state.queue) and self._agents.has_free_slot(service):
                self._send_queued_for_service(service, state, cfg)

    def _send_queued_for_service(
        self, service: str, state: ServiceState, cfg: Configuration
    ) -> None:
        views = {view.name: view for view in self._agents.views(cfg, service)}
        skipped = []
        while len(state.queue) and len(skipped) < MAX_SKIPPED_REQUESTS:
            if not any(view.free_slots > 0 for view in views.values()):
                break
            queued = state.queue.pop()
            tracked = self._tracked[queued.request_id]
            chosen = self._choose_agent(tracked, list(views.values()))
            if chosen is not None:
                self._send_new_work(tracked, chosen, cfg)
                views[chosen] = self._agents.view(chosen, service)
            elif queued.request_id in self._tracked:
                skipped.append(queued)
        for queued in reversed(skipped):
            state.queue.push_front(queued)

    def _choose_agent(self, tracked: TrackedRequest, views: list) -> str | None:
        requirements = attempt_requirements(
            tracked,
            allow_other_region=self._region_budget.allows(
                estimated_wire_bytes(tracked.request), self._now()
            ),
        )
        view = choose_server(
            views=views,
            location=self._context.location,
            requirements=requirements,
            rng=self._rng,
        )
        if (
            view is None
            and requirements.model_version
            and not candidates(views, requirements)
        ):
            self._fail(
                tracked,
                ResultCode.ANSWER_TRUNCATED,
                "no other backend server has the model version",
            )
        return None if view is None else view.name

    def _send_new_work(
        self, tracked: TrackedRequest, name: str, cfg: Configuration
    ) -> None:
        agent = self._agents.get(name)
        self._context.monitor.check(
            cfg.is_in_service(agent.member.data_centre),
            "no_new_work_to_data_centre_out",
            agent=name,
            generation=cfg.generation,
        )
        if agent.member.region != self._context.location.region:
            self._region_budget.charge(
                estimated_wire_bytes(tracked.request), self._now()
            )
        self._send(tracked, agent)

    def _send(self, tracked: TrackedRequest, agent: AgentState) -> None:
        req = tracked.request
        attempt = begin_attempt(
            tracked, agent=agent.member.name, incarnation=agent.incarnation
        )
        self._agents.record_sent(agent, req.request_id, req.memory_bytes)
        if agent.link.submit(attempt):
            return
        self._on_ended(
            AttemptEnded(
                request_id=req.request_id,
                attempt=attempt.number,
                agent=attempt.agent,
                code=ResultCode.SERVER_BUSY,
                message="the queue of calls to the agent is full",
                by_agent=False,
            )
        )

    def _on_accepted(self, message: AttemptAccepted) -> None:
        tracked = self._tracked.get(message.request_id)
        if tracked is None or tracked.attempts != message.attempt:
            return
        agent = self._agents.get(message.agent)
        if agent is not None:
            self._agents.record_submit_answer(
                agent, message.request_id, tracked.request.service, message.headroom
            )
        tracked.model_version = message.model_version

    def _on_ended(self, message: AttemptEnded) -> None:
        tracked = self._tracked.get(message.request_id)
        if tracked is None or tracked.attempts != message.attempt:
            return
        agent = self._agents.get(message.agent)
        if agent is not None:
            agent.in_flight.discard(message.request_id)
            self._agents.record_submit_answer(
                agent, message.request_id, tracked.request.service, message.headroom
            )
        tracked.current = None
        if message.code == ResultCode.OK:
            del self._tracked[message.request_id]
        else:
            self._retry_or_fail(tracked, message)

    def _retry_or_fail(self, tracked: TrackedRequest, message: AttemptEnded) -> None:
        req = tracked.request
        keyed = req.key is not None
        code = message.code
        if keyed and not message.by_agent:
            code = keyed_code(code)
        record_failure(tracked, code=code, message=message.message, agent=message.agent)
        may_retry = may_send_again(code=code, idempotent=req.idempotent, keyed=keyed)
        if may_retry and can_continue(tracked) and self._spend_retry(req.service):
            self._service_state(req.service).queue.push_front(tracked.queued)
        else:
            self._fail(tracked, code, message.message)

    def _spend_retry(self, service: str) -> bool:
        is_within_budget = self._service_state(service).budget.try_acquire()
        self._context.metrics.count(
            "retries" if is_within_budget else "retries_over_budget"
        )
        return is_within_budget

    def _on_caller_gone(self, message: CallerGone) -> None:
        tracked = self._tracked.get(message.request_id)
        if tracked is None:
            return
        self._context.metrics.count("callers_gone")
        self._cancel(tracked)
        self._fail(tracked, message.code)

    def _cancel(self, tracked: TrackedRequest) -> None:
        self._service_state(tracked.request.service).queue.remove(
            tracked.request.request_id
        )
        attempt, tracked.current = tracked.current, None
        if attempt is None:
            return
        agent = self._agents.get(attempt.agent)
        if agent is not None:
            agent.in_flight.discard(tracked.request.request_id)
            agent.pending.pop(tracked.request.request_id, None)
            agent.link.cancel(attempt)

    def _on_report(self, message: AgentReport) -> None:
        agent = self._agents.get(message.agent)
        if agent is None:
            return
        accepted_work_before = agent.accepted_work
        self._agents.record_report(agent, message.incarnation, message.headroom)
        if agent.accepted_work != accepted_work_before:
            self._refresh_key_agents()
        if message.from_poll and agent.should_report_contact(True, self._now()):
            # Counts as a successful probe, so that the runtime need not send one.
            self._context.members.report_reachability(message.agent, True)

    def _on_silent(self, message: AgentUnresponsive) -> None:
        agent = self._agents.get(message.agent)
        if agent is None:
            return
        self._agents.mark_unresponsive(agent)
        if agent.should_report_contact(False, self._now()):
            self._context.members.report_reachability(message.agent, False)

    def _on_topology(self, _message: TopologyChanged) -> None:
        cfg = self._context.replica.current()
        self._agents.update(cfg, self._context.members.current())
        for name, service in cfg.services.items():
            self._service_state(name).queue.limit = service.queue_limit

    def _tick(self) -> None:
        now = self._now()
        for tracked in list(self._tracked.values()):
            self._check_deadlines(tracked, now)
        if now >= self._next_key_agents_at:
            self._refresh_key_agents()
        for name, state in self._services.items():
            if len(state.queue):
                self._agents.request_headroom(name)
        self._agents.close_unused()

    def _refresh_key_agents(self) -> None:
        self._next_key_agents_at = self._now() + KEY_AGENTS_REFRESH_SECONDS
        cfg = self._context.replica.current()
        self._key_agents = {
            name: agents_for_new_keys(self._agents, cfg, name) for name in cfg.services
        }

    def _check_deadlines(self, tracked: TrackedRequest, now: float) -> None:
        code = expiry_code(
            tracked,
            now=now,
            has_agents=lambda: bool(self._agents.subset(tracked.request.service)),
        )
        if code is not None:
            self._cancel(tracked)
            self._fail(tracked, code)

    def _fail(self, tracked: TrackedRequest, code: int, message: str = "") -> None:
        self._tracked.pop(tracked.request.request_id, None)
        error = final_error(tracked, code, message)
        refused = info_of(error.code).ran is ExecutionState.NOT_RUN
        self._context.metrics.count(
            "requests_refused" if refused else "requests_failed"
        )
        tracked.request.sink.fail(error, model_version=tracked.model_version)

    def _service_state(self, name: str) -> ServiceState:
        state = self._services.get(name)
        if state is None:
            state = ServiceState(queue=FairQueue(limit=1))
            self._services[name] = state
        return state

    def _now(self) -> float:
        return self._context.clock.monotonic()
