"""Runs one attempt: sends a request to a backend server and reads the response."""

import asyncio
from collections.abc import Callable

from attrs import evolve, frozen

from eelgrassdale.clock import Clock
from eelgrassdale.http1 import (
    ByteBudget,
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ExchangeFailed,
    MemoryExhausted,
    Request,
)
from eelgrassdale.http1.messages import end_to_end_headers
from eelgrassdale_gateway.advisories import Advisory, read_advisory
from eelgrassdale_gateway.calls import AttemptProgress, Call
from eelgrassdale_gateway.headernames import HeaderNames
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.outcomes import (
    Answered,
    Lost,
    NotRun,
    Outcome,
    Relayed,
    Superseded,
    Withdrawn,
)
from eelgrassdale_gateway.progress import ProgressTimer
from eelgrassdale_gateway.responses import read_body, relay_stream, skip_body
from eelgrassdale_gateway.stalls import Alternatives, ResponseSuperseded, StallWatch

# Memory for the buffered parts of all responses together.
DEFAULT_RESPONSE_MEMORY_BYTES = 33_554_432
# Highest rank that a backend server knows; the lowest goes first.
MAX_RANK = 9
# An idempotent stream without a new event for this time is continued on another
# backend server. Callers disconnect after two seconds without an event.
STREAM_SILENCE_SECONDS = 1.5
# The same as a multiple of the longest pause with which a stream is still on time.
STREAM_SILENCE_GAPS = 2.5
# Fraction of the remaining time that one attempt of an idempotent request may go on
# without progress, so that another backend server can still respond.
ATTEMPT_TIME_SHARE = 0.45
MISDIRECTED_REQUEST_STATUS = 421


@frozen(kw_only=True)
class AttemptObserver:
    """Functions that an attempt calls as its response proceeds.

    `on_head` is called for the head of a response that is not a refusal,
    `on_plain_head` for one of them that begins no stream,
    `on_first_event` for the first event of a stream that is new to the caller,
    `on_advisory` for each head that the intended backend server sent. `progress` is
    updated as the response proceeds. `supersede_predecessor` is that of `StallWatch`.
    """

    on_advisory: Callable[[Advisory], None]
    on_head: Callable[[], None]
    on_first_event: Callable[[], None]
    alternatives: Alternatives
    progress: AttemptProgress
    on_plain_head: Callable[[], None] = lambda: None
    supersede_predecessor: Callable[[], None] | None = None


class AttemptRunner:
    """Runs attempts over pooled connections."""

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        header_names: HeaderNames,
        response_memory: ByteBudget | None = None,
    ) -> None:
        self.response_memory = response_memory or ByteBudget(
            limit=DEFAULT_RESPONSE_MEMORY_BYTES
        )
        self._clock = clock
        self._pool = pool
        self._header_names = header_names

    async def run(
        self,
        call: Call,
        server: BackendServer,
        observer: AttemptObserver,
        *,
        latest_start: float = float("inf"),
    ) -> Outcome:
        """Send the request to a backend server.

        If the head of a response has not arrived by the monotonic time `latest_start`,
        the attempt is withdrawn. Cancelling or withdrawing an attempt resets its
        connection, which ends the work at the backend server. The request is not
        delivered any more to a server that stands still.
        """
        call.response_memory.release()
        # A late second copy of an earlier response to the same request would pass for
        # the response to a retry on the same connection.
        is_retry = call.send_count > 0
        try:
            conn = await self._pool.acquire(
                server.address, fresh=is_retry or not call.is_idempotent
            )
        except ConnectFailed as exc:
            return NotRun(reason=f"connect: {exc}", was_sent=False)
        is_reusable = False
        watch = StallWatch(
            conn=conn,
            timer=ProgressTimer(
                clock=self._clock, limit_seconds=self._silence_timeout(call)
            ),
            alternatives=observer.alternatives,
            is_stream=call.admitted.route.is_stream,
            supersede_predecessor=observer.supersede_predecessor,
        )
        try:
            call.send_count += 1
            outcome, is_reusable = await self._exchange(
                call, server, conn, observer, watch, latest_start
            )
            if not isinstance(outcome, Relayed):
                if not is_reusable:
                    conn.close(reset=True)
                await watch.wait_for_continuation()
        except ResponseSuperseded:
            continuation = watch.take_continuation()
            call.continuations.append(continuation)
            outcome = Superseded(
                reason="no progress; continued at another backend server",
                continuation=continuation,
            )
        finally:
            if is_reusable:
                self._pool.release(conn)
            else:
                conn.close(reset=True)
            await watch.stop()
        if isinstance(outcome, Lost | Answered | Relayed):
            outcome = evolve(outcome, is_disconnected=conn.is_disconnected)
        return outcome

    async def _exchange(
        self,
        call: Call,
        server: BackendServer,
        conn: ClientConnection,
        observer: AttemptObserver,
        watch: StallWatch,
        latest_start: float,
    ) -> tuple[Outcome, bool]:
        """Do as `_send_and_receive`, with an outcome for each failure."""
        try:
            return await self._send_and_receive(
                call, server, conn, observer, watch, latest_start
            )
        except ExchangeFailed as exc:
            return Lost(reason=str(exc)), False
        except MemoryExhausted as exc:
            return Withdrawn(reason=f"memory for responses: {exc}"), False
        except TimeoutError:
            call.next_place, watch.place = watch.place, None
            return Lost(reason="no progress within the time limit"), False

    async def _send_and_receive(
        self,
        call: Call,
        server: BackendServer,
        conn: ClientConnection,
        observer: AttemptObserver,
        watch: StallWatch,
        latest_start: float,
    ) -> tuple[Outcome, bool]:
        """Return the outcome and whether the connection can be reused."""
        may_have_run_before = call.may_have_run
        call.may_have_run = True
        try:
            async with asyncio.timeout_at(self._loop_time(latest_start)) as start_limit:
                await conn.send(self._build_request(call, server))
                head = await watch.read(conn.head)
        except TimeoutError:
            if not start_limit.expired():
                raise
            return Withdrawn(reason="not begun while its version could serve"), False
        if head.header(self._header_names.request_id) != call.admitted.request_id:
            return Lost(reason="response to another request"), False
        if head.status != MISDIRECTED_REQUEST_STATUS:
            # That status may come from another server, which reused the address.
            observer.on_advisory(read_advisory(head, self._header_names))
        if head.status == MISDIRECTED_REQUEST_STATUS or head.header(
            self._header_names.not_run
        ):
            call.may_have_run = may_have_run_before
            refusal = NotRun(reason=f"refused with status {head.status}", was_sent=True)
            return refusal, await skip_body(conn)
        observer.progress.has_head = True
        watch.timer.record_progress()
        observer.on_head()
        if call.admitted.route.is_stream and head.status == 200:
            if not head.header(self._header_names.response_signature):
                return Lost(reason="success without a signature"), False
            return await relay_stream(
                call,
                conn,
                head,
                watch=watch,
                progress=observer.progress,
                clock=self._clock,
                on_first_event=observer.on_first_event,
            )
        observer.on_plain_head()
        body = await read_body(call, conn, watch=watch)
        if head.status < 300 and not head.header(self._header_names.response_signature):
            return Lost(reason="success without a signature"), False
        if head.status < 500 and not call.exchange.is_started:
            # It is final, so that nothing is to be expected of another attempt.
            await watch.claim()
        return Answered(head=head, body=body), True

    def _loop_time(self, at: float) -> float | None:
        """Return a monotonic time of the clock as time of the event loop."""
        if at == float("inf"):
            return None
        return asyncio.get_running_loop().time() + at - self._clock.monotonic()

    def _silence_timeout(self, call: Call) -> float | None:
        """Return the seconds without progress after which another place is sought.

        None disables the timeout: no other attempt could follow.
        """
        is_last_run = call.run_count >= call.admitted.route.max_attempts
        if is_last_run or not call.is_idempotent:
            return None
        route = call.admitted.route
        if route.is_stream:
            return max(
                STREAM_SILENCE_SECONDS,
                STREAM_SILENCE_GAPS * route.max_event_gap_seconds,
            )
        remaining_seconds = call.admitted.expires_at - self._clock.monotonic()
        return max(0.05, ATTEMPT_TIME_SHARE * remaining_seconds)

    def _build_request(self, call: Call, server: BackendServer) -> Request:
        """Return the request with the gateway's own headers for a backend server."""
        header_names = self._header_names
        admitted = call.admitted
        req = admitted.request
        gateway_headers = {
            header_names.api_key,
            header_names.account,
            header_names.expected_server,
            header_names.remaining_ms,
            header_names.priority,
        }
        dropped = gateway_headers | {"content-length"}
        if call.last_event_id is not None:
            dropped |= {header_names.last_event_id}
        remaining_seconds = admitted.expires_at - self._clock.monotonic()
        headers = [
            *end_to_end_headers(req.headers, drop=dropped),
            (header_names.remaining_ms, str(max(1, int(remaining_seconds * 1000)))),
            (header_names.expected_server, server.id),
        ]
        if header_names.priority:
            rank = min(max(admitted.priority, 0), MAX_RANK)
            headers.append((header_names.priority, str(rank)))
        if admitted.account is not None:
            headers.append((header_names.account, admitted.account.name))
        if call.last_event_id is not None:
            headers.append((header_names.last_event_id, str(call.last_event_id)))
        return Request(
            method=req.method,
            target=req.target,
            headers=tuple(headers),
            body=req.body,
        )
