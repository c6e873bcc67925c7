"""Runs the attempts of a caller's request and sends the final response."""

import asyncio
import json
from collections.abc import Callable
from functools import partial
from random import Random

from eelgrassdale.clock import Clock
from eelgrassdale.http1 import Exchange
from eelgrassdale.results import ResultCode, ResultError, info_of
from eelgrassdale_gateway.admission import admit
from eelgrassdale_gateway.advisories import Advisory
from eelgrassdale_gateway.attempts import AttemptObserver, AttemptRunner
from eelgrassdale_gateway.calls import AttemptProgress, Call
from eelgrassdale_gateway.dispatcher import Dispatcher, PlacementRefused
from eelgrassdale_gateway.headernames import HeaderNames
from eelgrassdale_gateway.loads import InFlightRequest
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Relayed,
    Superseded,
)
from eelgrassdale_gateway.promptoutcomes import PromptOutcomes
from eelgrassdale_gateway.queueing import is_late, retry_after_seconds
from eelgrassdale_gateway.responses import response_headers
from eelgrassdale_gateway.retrybudgets import RetryBudgets
from eelgrassdale_gateway.retryplaces import RetryPlaces
from eelgrassdale_gateway.retryrules import (
    NOT_RUN_STATUSES,
    is_retryable_response,
    result_code,
    retry_refusal_reason,
)
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.serverends import ServerEndDetector
from eelgrassdale_gateway.stalls import Alternatives, Place
from eelgrassdale_gateway.stopschedule import StopSchedule
from eelgrassdale_gateway.telemetry import RequestTelemetry


class Forwarder:
    """Handles the requests of a gateway's callers."""

    def __init__(
        self,
        *,
        clock: Clock,
        routing_state: RoutingState,
        dispatcher: Dispatcher,
        attempt_runner: AttemptRunner,
        retry_budgets: RetryBudgets,
        header_names: HeaderNames,
        telemetry: RequestTelemetry,
        server_ends: ServerEndDetector | None = None,
        seed: int | None = None,
    ) -> None:
        # Called with the account of each attempt that begins to run, if it is set.
        self.on_run: Callable[[str], None] | None = None
        self._telemetry = telemetry
        self._clock = clock
        self._routing_state = routing_state
        self._dispatcher = dispatcher
        self._quarantine = dispatcher.quarantine
        self._prompt_outcomes = PromptOutcomes(
            clock=clock,
            quarantine=dispatcher.quarantine,
            server_ends=server_ends or ServerEndDetector(),
        )
        self._attempt_runner = attempt_runner
        self._retry_budgets = retry_budgets
        self._retry_places = RetryPlaces(
            dispatcher=dispatcher,
            retry_budgets=retry_budgets,
            routing_state=routing_state,
        )
        self._header_names = header_names
        self._rng = Random(seed)
        self._stop_schedule: StopSchedule | None = None
        # Calls whose attempts have a time limit.
        self._limited_calls: set[Call] = set()

    def start_stopping(self, schedule: StopSchedule) -> None:
        """Take requests as the schedule says, and end the present ones with it."""
        self._stop_schedule = schedule
        remaining_seconds = schedule.ends_at - self._clock.monotonic()
        ends_at = asyncio.get_running_loop().time() + remaining_seconds
        for call in self._limited_calls:
            limit = call.time_limit
            if limit is not None and not limit.expired():
                limit.reschedule(min(ends_at, limit.when()))

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request until its response has been sent."""
        if not self._routing_state.is_ready():
            await self._send_error(exchange, ResultCode.NOT_READY)
            return
        admitted = admit(
            exchange.request,
            table=self._routing_state.table,
            header_names=self._header_names,
            now=self._clock.monotonic(),
            rng=self._rng,
        )
        if admitted.is_error():
            await self._send_error(exchange, admitted.error)
            return
        schedule = self._stop_schedule
        now = self._clock.monotonic()
        if schedule and not schedule.admits(now=now, expires_at=admitted.ok.expires_at):
            await self._send_error(exchange, ResultCode.LEAVING)
            return
        call = Call(
            admitted=admitted.ok,
            exchange=exchange,
            response_memory=self._attempt_runner.response_memory.reservation(),
        )
        self._retry_budgets.add_request(call.admitted.service)
        try:
            await self._run_within_time_limit(call)
        except TimeoutError:
            await self._on_timeout(call)
        except (asyncio.CancelledError, ConnectionError):
            self._record_end(call, ResultCode.CALLER_CANCELLED)
            raise
        finally:
            call.response_memory.release()
            if (place := call.take_next_place()) is not None:
                self._retry_places.release(call, place)
            for continuation in call.continuations:
                continuation.cancel()

    async def _run_within_time_limit(self, call: Call) -> None:
        """Run the attempts; raises `TimeoutError` when the time of the call is up."""
        ends_at = call.admitted.expires_at
        if self._stop_schedule is not None:
            ends_at = min(ends_at, self._stop_schedule.ends_at)
        async with asyncio.timeout(ends_at - self._clock.monotonic()) as limit:
            call.time_limit = limit
            self._limited_calls.add(call)
            try:
                await self._run_attempts(call)
            finally:
                self._limited_calls.discard(call)

    async def _run_attempts(self, call: Call) -> None:
        response: Answered | None = None
        while True:
            try:
                outcome = await self._run_attempt(call, call.take_next_place())
                while isinstance(outcome, Superseded):
                    outcome = await outcome.continuation
            except PlacementRefused as exc:
                self._telemetry.record_refusal(admitted=call.admitted, code=exc.code)
                call.retry_at = exc.retry_at
                call.retry_seconds = exc.retry_seconds
                await self._end_without_retry(call, exc.code, response)
                return
            if isinstance(outcome, Relayed):
                self._record_end(call, ResultCode.OK)
                return
            if isinstance(outcome, Answered):
                response = outcome
                if not is_retryable_response(call, outcome):
                    await self._send_response(call, outcome)
                    return
            if not self._may_retry(call, outcome):
                await self._end_without_retry(call, result_code(outcome), response)
                return

    async def _run_attempt(
        self,
        call: Call,
        place: Place | None,
        supersede_predecessor: Callable[[], None] | None = None,
    ) -> Outcome:
        waiter = self._retry_places.make_waiter(call)
        placement, in_flight = place or await self._dispatcher.place(waiter)
        server = placement.server
        admitted = call.admitted
        progress = call.attempt = AttemptProgress()
        call.tried_servers |= {server.id}
        call.run_count += 1
        send_count = call.send_count
        now = self._clock.monotonic()
        self._telemetry.record_placement(
            admitted=admitted,
            server=server,
            first_event_seconds=placement.first_event_seconds,
            waited_seconds=now - admitted.arrived_at,
            is_late=is_late(waiter, now),
            table_version=self._routing_state.table.version,
        )
        try:
            outcome = await self._attempt_runner.run(
                call,
                server,
                AttemptObserver(
                    on_advisory=partial(self._on_advisory, call, server, now),
                    on_head=partial(self._on_response_start, call, in_flight),
                    on_first_event=partial(self._on_first_event, call),
                    on_plain_head=partial(self._count_run, call),
                    alternatives=Alternatives(
                        seek_place=partial(self._retry_places.seek, call),
                        release_place=partial(self._retry_places.release, call),
                        continue_at=partial(self._continue_at, call),
                    ),
                    progress=progress,
                    supersede_predecessor=supersede_predecessor,
                ),
                latest_start=self._dispatcher.latest_start(server, admitted.model),
            )
        finally:
            self._dispatcher.record_end(in_flight)
            if call.send_count == send_count:
                call.run_count -= 1
        if isinstance(outcome, NotRun) and outcome.was_sent:
            call.run_count -= 1
        self._record_outcome(call, server, outcome, progress)
        await self._prompt_outcomes.record(call, server, outcome)
        return outcome

    async def _continue_at(
        self, call: Call, place: Place, on_claim: Callable[[], None]
    ) -> Outcome:
        """Run an attempt while the one before it is still awaited."""
        earlier_progress = call.attempt
        send_count = call.send_count
        is_claimed = False

        def claim() -> None:
            nonlocal is_claimed
            is_claimed = True
            on_claim()

        try:
            return await self._run_attempt(call, place, claim)
        except asyncio.CancelledError:
            self._telemetry.record_cancelled_continuation(
                request_id=call.admitted.request_id,
                server=place[0].server.id,
                is_claimed=is_claimed,
            )
            raise
        finally:
            if call.send_count == send_count:
                self._retry_places.give_back_retry(call)
            if not is_claimed:
                call.attempt = earlier_progress

    def _on_advisory(
        self,
        call: Call,
        server: BackendServer,
        sent_at: float,
        advisory: Advisory,
    ) -> None:
        news = self._dispatcher.advisories.record(
            server.incarnation, advisory, sent_at=sent_at, now=self._clock.monotonic()
        )
        for statement in news:
            self._telemetry.record_advisory(
                request_id=call.admitted.request_id, server=server, statement=statement
            )

    def _on_first_event(self, call: Call) -> None:
        self._quarantine.record_start(call.admitted.quarantine_parts)
        self._count_run(call)

    def _count_run(self, call: Call) -> None:
        if self.on_run is not None and call.admitted.account is not None:
            self.on_run(call.admitted.account.name)

    def _on_response_start(self, call: Call, in_flight: InFlightRequest) -> None:
        self._dispatcher.record_response_start(in_flight)
        self._telemetry.record_response_start(
            service=call.admitted.service,
            seconds=self._clock.monotonic() - call.admitted.arrived_at,
        )

    def _record_outcome(
        self,
        call: Call,
        server: BackendServer,
        outcome: Outcome,
        progress: AttemptProgress,
    ) -> None:
        """Update the backend server's health from an outcome and report the attempt."""
        is_failure = self._dispatcher.health.record_outcome(
            server.id, outcome, now=self._clock.monotonic()
        )
        self._telemetry.record_attempt_end(
            server=server,
            outcome=outcome,
            call=call,
            progress=progress,
            is_failure=is_failure,
        )

    def _may_retry(self, call: Call, outcome: Outcome) -> bool:
        if isinstance(outcome, NotRun) and not outcome.was_sent:
            return True
        if call.next_place is not None:
            # The retry was taken together with the place.
            return True
        reason = retry_refusal_reason(call, outcome)
        if self._prompt_outcomes.is_suspect(call, outcome):
            reason = "may have ended its backend server"
        if not reason and not self._retry_budgets.take(call.admitted.service):
            reason = "retry budget of the service exhausted"
        if reason:
            self._telemetry.record_retry_refusal(
                request_id=call.admitted.request_id, reason=reason
            )
        return not reason

    async def _send_response(self, call: Call, response: Answered) -> None:
        status = response.head.status
        if status in NOT_RUN_STATUSES and not call.is_idempotent:
            # Without the header of a refusal the request may have run.
            await self._send_error(call.exchange, ResultCode.BACKEND_FAILED, call)
            return
        if call.exchange.is_started:
            self._record_end(call, ResultCode.ANSWER_TRUNCATED)
            call.exchange.abort()
            return
        self._record_end(call, ResultCode.OK, status=status)
        # Only its reader may be slow now, for whom the server has a limit of its own.
        call.lift_time_limit()
        await call.exchange.respond(
            status, response_headers(response.head), response.body
        )

    async def _end_without_retry(
        self, call: Call, code: ResultCode, response: Answered | None
    ) -> None:
        """End a request that gets no further attempt; `response` is the last one."""
        if call.exchange.is_started:
            self._record_end(call, ResultCode.ANSWER_TRUNCATED, reason=code.name)
            call.exchange.abort()
        elif response is not None:
            await self._send_response(call, response)
        elif call.may_have_run and not call.is_idempotent:
            await self._send_error(call.exchange, ResultCode.BACKEND_FAILED, call)
        else:
            await self._send_error(call.exchange, code, call)

    async def _on_timeout(self, call: Call) -> None:
        is_cut_by_stop = (
            self._stop_schedule is not None
            and self._clock.monotonic() < call.admitted.expires_at
        )
        if call.exchange.is_finished:
            # A continuation has ended the response just before.
            self._record_end(call, ResultCode.OK)
        elif call.exchange.is_started:
            self._record_end(
                call, ResultCode.DEADLINE_EXCEEDED, is_cut_by_stop=is_cut_by_stop
            )
            call.exchange.abort()
        elif call.may_have_run:
            await self._send_error(call.exchange, ResultCode.DEADLINE_EXCEEDED, call)
        elif is_cut_by_stop:
            await self._send_error(call.exchange, ResultCode.LEAVING, call)
        else:
            await self._send_error(call.exchange, ResultCode.SERVER_BUSY, call)

    async def _send_error(
        self, exchange: Exchange, code: ResultCode, call: Call | None = None
    ) -> None:
        """Respond with an error that this gateway itself reports."""
        if call is None:
            self._telemetry.record_end(
                request_id=exchange.request.header(self._header_names.request_id),
                service="",
                code=code,
            )
        else:
            self._record_end(call, code)
        status = info_of(code).http_status
        headers = [("content-type", "application/json")]
        request_id = exchange.request.header(self._header_names.request_id)
        if request_id:
            headers.append((self._header_names.request_id, request_id))
        if status in (429, 503):
            seconds = self._retry_after_seconds(call, code)
            headers.append(("retry-after", f"{seconds:.3f}"))
        body = json.dumps(ResultError(code=code).as_json()).encode()
        await exchange.respond(status, tuple(headers), body)

    def _retry_after_seconds(self, call: Call | None, code: ResultCode) -> float:
        if call is not None and code is ResultCode.PROMPT_QUARANTINED:
            return self._quarantine.seconds_until_trial(call.admitted.quarantine_parts)
        if call is not None and call.retry_seconds is not None:
            return call.retry_seconds
        now = self._clock.monotonic()
        expires_at = call.admitted.expires_at if call else now
        retry_at = call.retry_at if call else None
        return retry_after_seconds(now=now, expires_at=expires_at, retry_at=retry_at)

    def _record_end(self, call: Call, code: ResultCode, **fields: object) -> None:
        admitted = call.admitted
        seconds = self._clock.monotonic() - admitted.arrived_at
        self._telemetry.record_end(
            request_id=admitted.request_id,
            service=admitted.service,
            code=code,
            route=admitted.route.name,
            seconds=round(seconds, 3),
            allowed=round(admitted.expires_at - admitted.arrived_at, 3),
            sends=call.send_count,
            events=call.last_event_id,
            **fields,
        )
