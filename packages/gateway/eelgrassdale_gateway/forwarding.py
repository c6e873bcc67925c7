"""Takes one request of a caller through its attempts to its final answer."""

import asyncio
import json
from random import Random

from eelgrassdale.clock import Clock
from eelgrassdale.http1 import Exchange
from eelgrassdale.results import ResultCode, ResultError, verdict_of
from eelgrassdale_gateway.admission import admit
from eelgrassdale_gateway.attempts import Attempts, Call, answer_headers
from eelgrassdale_gateway.dispatcher import Dispatcher, Refused
from eelgrassdale_gateway.events import RequestEvents
from eelgrassdale_gateway.fleet import Fleet
from eelgrassdale_gateway.loads import Work
from eelgrassdale_gateway.model import BackendServer, EngineProfile
from eelgrassdale_gateway.outcomes import Answered, Lost, NotRun, Outcome, Relayed
from eelgrassdale_gateway.repeats import RepeatBudgets
from eelgrassdale_gateway.waiting import Waiter, is_late, return_seconds
from eelgrassdale_gateway.wirenames import WireNames

# Backend servers asked for one request when each refuses it.
MAX_SENDS = 4
# Statuses that tell a caller that a request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Forwarder:
    """Handles the exchanges of a gateway's callers."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet: Fleet,
        dispatcher: Dispatcher,
        attempts: Attempts,
        budgets: RepeatBudgets,
        names: WireNames,
        events: RequestEvents,
        seed: int | None = None,
    ) -> None:
        self._events = events
        self._clock = clock
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._attempts = attempts
        self._budgets = budgets
        self._names = names
        self._rng = Random(seed)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if not self._fleet.is_ready():
            await self._fail(exchange, ResultCode.NOT_READY)
            return
        admitted = admit(
            exchange.request,
            table=self._fleet.table,
            names=self._names,
            now=self._clock.monotonic(),
            rng=self._rng,
        )
        if admitted.is_error():
            await self._fail(exchange, admitted.error)
            return
        call = Call(admitted=admitted.ok, exchange=exchange)
        self._budgets.add_request(call.admitted.service)
        try:
            async with asyncio.timeout(call.admitted.end_at - self._clock.monotonic()):
                await self._run(call)
        except TimeoutError:
            await self._out_of_time(call)
        except (asyncio.CancelledError, ConnectionError):
            self._log_end(call, ResultCode.CALLER_CANCELLED)
            raise

    async def refuse_leaving(self, exchange: Exchange) -> None:
        """Refuse a request because this node stops."""
        await self._fail(exchange, ResultCode.LEAVING)

    async def _run(self, call: Call) -> None:
        excluded: frozenset[str] = frozenset()
        answer: Answered | None = None
        while True:
            try:
                outcome, server = await self._attempt(call, excluded)
            except Refused as exc:
                await self._give_up(call, exc.code, answer)
                return
            if isinstance(outcome, Relayed):
                self._log_end(call, ResultCode.OK)
                return
            if isinstance(outcome, Answered):
                answer = outcome
                if not self._is_worth_repeating(call, outcome):
                    await self._pass_on(call, outcome)
                    return
            if not self._may_repeat(call, outcome):
                await self._give_up(call, _code_of(outcome), answer)
                return
            excluded |= {server.id}

    async def _attempt(
        self, call: Call, excluded: frozenset[str]
    ) -> tuple[Outcome, BackendServer]:
        service = self._fleet.table.services.get(call.admitted.service)
        waiter = _waiter(call, excluded, service.engine if service else None)
        placement, work = await self._dispatcher.place(waiter)
        server = placement.server
        admitted = call.admitted
        now = self._clock.monotonic()
        self._events.placed(
            request=admitted.request_id,
            service=admitted.service,
            server=server,
            expected=placement.expected,
            waited=now - admitted.arrived_at,
            late=is_late(waiter, now),
            table_version=self._fleet.table.version,
        )
        try:
            outcome = await self._attempts.make(
                call, server, lambda: self._began(call, work)
            )
        finally:
            self._dispatcher.ended(work)
        if not isinstance(outcome, NotRun):
            call.runs += 1
        self._judge(call, server, outcome)
        return outcome, server

    def _began(self, call: Call, work: Work) -> None:
        self._dispatcher.started(work)
        self._events.began(
            service=call.admitted.service,
            seconds=self._clock.monotonic() - call.admitted.arrived_at,
        )

    def _judge(self, call: Call, server: BackendServer, outcome: Outcome) -> None:
        """Note what an outcome tells of the backend server."""
        health = self._dispatcher.health
        now = self._clock.monotonic()
        is_failure = True
        match outcome:
            case NotRun(was_sent=False):
                health.unreachable(server.id, now=now)
            case NotRun():
                health.refused(server.id, now=now)
            case Lost():
                health.failed(server.id, now=now)
            case Answered(head=head) if head.status >= 500:
                health.failed(server.id, now=now, is_answer=True)
            case _:
                health.succeeded(server.id)
                is_failure = False
        self._events.attempt_ended(
            request=call.admitted.request_id,
            service=call.admitted.service,
            server=server,
            outcome=outcome,
            number=call.sends,
            is_failure=is_failure,
        )

    def _is_worth_repeating(self, call: Call, answer: Answered) -> bool:
        return answer.head.status >= 500 and call.is_idempotent

    def _may_repeat(self, call: Call, outcome: Outcome) -> bool:
        if isinstance(outcome, NotRun) and not outcome.was_sent:
            return True
        reason = _reason_against(call, outcome)
        if not reason and not self._budgets.take(call.admitted.service):
            reason = "budget of repeats used up"
        if reason:
            self._events.repeat_refused(request=call.admitted.request_id, reason=reason)
        return not reason

    async def _pass_on(self, call: Call, answer: Answered) -> None:
        status = answer.head.status
        if status in NOT_RUN_STATUSES and not call.is_idempotent:
            # Without the mark of a refusal the request may have run.
            await self._fail(call.exchange, ResultCode.BACKEND_FAILED, call)
            return
        if call.exchange.is_started:
            self._log_end(call, ResultCode.ANSWER_TRUNCATED)
            call.exchange.abort()
            return
        self._log_end(call, ResultCode.OK, status=status)
        await call.exchange.respond(status, answer_headers(answer.head), answer.body)

    async def _give_up(
        self, call: Call, code: ResultCode, answer: Answered | None
    ) -> None:
        """End a request that gets no further attempt."""
        if call.exchange.is_started:
            self._log_end(call, ResultCode.ANSWER_TRUNCATED, reason=code.name)
            call.exchange.abort()
        elif answer is not None:
            await self._pass_on(call, answer)
        elif call.may_have_run and not call.is_idempotent:
            await self._fail(call.exchange, ResultCode.BACKEND_FAILED, call)
        else:
            await self._fail(call.exchange, code, call)

    async def _out_of_time(self, call: Call) -> None:
        if call.exchange.is_started:
            self._log_end(call, ResultCode.DEADLINE_EXCEEDED)
            call.exchange.abort()
        elif call.may_have_run:
            await self._fail(call.exchange, ResultCode.DEADLINE_EXCEEDED, call)
        else:
            await self._fail(call.exchange, ResultCode.SERVER_BUSY, call)

    async def _fail(
        self, exchange: Exchange, code: ResultCode, call: Call | None = None
    ) -> None:
        """Answer with an error of this node."""
        if call is None:
            self._events.ended(
                request=exchange.request.header(self._names.request_id),
                service="",
                code=code,
            )
        else:
            self._log_end(call, code)
        status = verdict_of(code).http_status
        headers = [("content-type", "application/json")]
        request_id = exchange.request.header(self._names.request_id)
        if request_id:
            headers.append((self._names.request_id, request_id))
        if status in (429, 503):
            headers.append(("retry-after", f"{self._return_seconds(call):.3f}"))
        body = json.dumps(ResultError(code=code).as_json()).encode()
        await exchange.respond(status, tuple(headers), body)

    def _return_seconds(self, call: Call | None) -> float:
        now = self._clock.monotonic()
        end_at = call.admitted.end_at if call else now
        return return_seconds(now=now, end_at=end_at)

    def _log_end(self, call: Call, code: ResultCode, **fields: object) -> None:
        admitted = call.admitted
        seconds = self._clock.monotonic() - admitted.arrived_at
        self._events.ended(
            request=admitted.request_id,
            service=admitted.service,
            code=code,
            route=admitted.route.name,
            seconds=round(seconds, 3),
            allowed=round(admitted.end_at - admitted.arrived_at, 3),
            sends=call.sends,
            events=call.last_event,
            **fields,
        )


def _waiter(
    call: Call, excluded: frozenset[str], engine: EngineProfile | None
) -> Waiter:
    """Return a request as it waits, at first or to be continued.

    A broken stream is due before its longest pause ends. The next engine reads
    what was written so far behind the prompt.
    """
    admitted = call.admitted
    regions = admitted.regions
    waits_since = admitted.arrived_at
    objective_at = waits_since + admitted.route.objective
    written = 0
    if call.events:
        waits_since = call.last_event_at
        objective_at = waits_since + admitted.route.longest_pause
        written = call.events * (engine.stride if engine else 1)
    return Waiter(
        service=admitted.service if regions is not None else "",
        model=admitted.model,
        tokens=admitted.prompt_tokens + written,
        output_tokens=max(0, admitted.output_tokens - written),
        priority=admitted.priority,
        regions=regions or frozenset(),
        excluded=excluded,
        arrived_at=waits_since,
        objective_at=objective_at,
        end_at=admitted.end_at,
    )


def _reason_against(call: Call, outcome: Outcome) -> str:
    """Return why a failed attempt may not be followed by another, or nothing."""
    if isinstance(outcome, NotRun):
        return "" if call.sends < MAX_SENDS else "refused too often"
    if not call.is_idempotent:
        return "may have run"
    if call.runs >= call.admitted.route.max_attempts:
        return "ran as often as its route allows"
    if call.exchange.is_started and not call.admitted.route.is_resumable:
        return "answer has begun"
    return ""


def _code_of(outcome: Outcome) -> ResultCode:
    if isinstance(outcome, NotRun):
        return ResultCode.SERVER_BUSY
    return ResultCode.BACKEND_FAILED
