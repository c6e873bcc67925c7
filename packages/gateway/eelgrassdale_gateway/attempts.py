"""Runs one attempt: sends a request to a backend server and reads the response."""

import asyncio
from collections.abc import Callable

import structlog
from attrs import define

from eelgrassdale.clock import Clock
from eelgrassdale.http1 import (
    ByteBudget,
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    Exchange,
    ExchangeFailed,
    MemoryExhausted,
    Request,
    Reservation,
    ResponseHead,
)
from eelgrassdale.http1.messages import end_to_end_headers
from eelgrassdale_gateway.admission import AdmittedRequest
from eelgrassdale_gateway.eventstream import (
    EventSplitter,
    EventTooLong,
    event_id,
    is_comment,
)
from eelgrassdale_gateway.headernames import HeaderNames
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.outcomes import (
    Answered,
    Lost,
    NotRun,
    Outcome,
    Relayed,
    Withdrawn,
)
from eelgrassdale_gateway.progress import ProgressTimer

# Limit of responses that are buffered whole before they are sent to the caller.
MAX_RESPONSE_BYTES = 8_388_608
# Memory for the buffered parts of all responses together.
DEFAULT_RESPONSE_MEMORY_BYTES = 33_554_432
# A refusal has no body of use to the caller. One that does not end within these
# limits costs only its connection.
MAX_REFUSAL_BYTES = 16_384
REFUSAL_BODY_SECONDS = 0.2
# An idempotent stream without a new event for this time is continued on another
# backend server. Callers disconnect after two seconds without an event.
STREAM_SILENCE_SECONDS = 1.5
# The same as a multiple of the longest pause with which a stream is still on time.
STREAM_SILENCE_GAPS = 2.5
# Fraction of the remaining time that one attempt of an idempotent request may go on
# without progress, so that another backend server can still respond.
ATTEMPT_TIME_SHARE = 0.45
# Bytes of a body that count as progress: a server that sends a byte now and then is
# stalled.
MIN_PROGRESS_BYTES = 1024
MISDIRECTED_REQUEST_STATUS = 421

log = structlog.get_logger(__name__)


@define(kw_only=True, eq=False)
class Call:
    """State of one caller's request across all of its attempts.

    `send_count` counts the times it was written to a connection, `run_count`
    the attempts that may have run it. `event_count` and `last_event_id` describe
    the stream events already relayed to the caller. `response_memory` counts the
    bytes of a response that are held.
    """

    admitted: AdmittedRequest
    exchange: Exchange
    response_memory: Reservation
    may_have_run: bool = False
    run_count: int = 0
    send_count: int = 0
    last_event_id: int | None = None
    event_count: int = 0
    last_event_at: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.admitted.route.is_idempotent


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
        on_response_start: Callable[[], None],
        *,
        latest_start: float = float("inf"),
    ) -> Outcome:
        """Send the request to a backend server.

        `on_response_start` is called when the head of a response that is not a
        refusal has arrived. If that has not happened by the monotonic time
        `latest_start`, the attempt is withdrawn. Cancelling or withdrawing an attempt
        closes its connection, which ends the work at the backend server.
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
        try:
            call.send_count += 1
            outcome, is_reusable = await self._send_and_receive(
                call, server, conn, on_response_start, latest_start
            )
        except ExchangeFailed as exc:
            outcome = Lost(reason=str(exc))
        except MemoryExhausted as exc:
            outcome = Withdrawn(reason=f"memory for responses: {exc}")
        except TimeoutError:
            outcome = Lost(reason="no progress within the time limit")
        finally:
            if is_reusable:
                self._pool.release(conn)
            else:
                conn.close()
        return outcome

    async def _send_and_receive(
        self,
        call: Call,
        server: BackendServer,
        conn: ClientConnection,
        on_response_start: Callable[[], None],
        latest_start: float,
    ) -> tuple[Outcome, bool]:
        """Return the outcome and whether the connection can be reused."""
        may_have_run_before = call.may_have_run
        call.may_have_run = True
        try:
            async with asyncio.timeout_at(self._loop_time(latest_start)) as start_limit:
                await conn.send(self._build_request(call, server))
                head = await conn.head(timeout=self._silence_timeout(call))
        except TimeoutError:
            if not start_limit.expired():
                raise
            return Withdrawn(reason="not begun while its version could serve"), False
        if head.header(self._header_names.request_id) != call.admitted.request_id:
            return Lost(reason="response to another request"), False
        if head.status == MISDIRECTED_REQUEST_STATUS or head.header(
            self._header_names.not_run
        ):
            call.may_have_run = may_have_run_before
            refusal = NotRun(reason=f"refused with status {head.status}", was_sent=True)
            return refusal, await _skip_body(conn)
        on_response_start()
        if call.admitted.route.is_stream and head.status == 200:
            return await self._relay_stream(call, conn, head)
        body = await self._read_body(call, conn)
        if head.status < 300 and not head.header(self._header_names.response_signature):
            return Lost(reason="success without a signature"), False
        return Answered(head=head, body=body), True

    async def _relay_stream(
        self, call: Call, conn: ClientConnection, head: ResponseHead
    ) -> tuple[Outcome, bool]:
        """Relay each event to the caller once it has arrived completely."""
        if not head.header(self._header_names.response_signature):
            return Lost(reason="success without a signature"), False
        splitter = EventSplitter()
        timer = self._progress_timer(call)
        while True:
            data = await conn.chunk(timeout=timer.remaining_seconds())
            if data is None:
                break
            try:
                events = splitter.feed(data)
            except EventTooLong as exc:
                return Lost(reason=str(exc)), False
            call.response_memory.resize(splitter.buffered_bytes)
            event_count = call.event_count
            if not await self._relay_events(call, head, events):
                return Lost(reason="gap in the event ids"), False
            if call.event_count > event_count:
                timer.record_progress()
        await self._start_response(call, head)
        if splitter.has_partial_event():
            await call.exchange.write(splitter.take_partial_event())
        await call.exchange.finish()
        return Relayed(), True

    async def _relay_events(
        self, call: Call, head: ResponseHead, events: list[bytes]
    ) -> bool:
        new_events = []
        for event in events:
            event_number = event_id(event)
            if event_number is not None:
                last_event_id = call.last_event_id
                if last_event_id is not None and event_number <= last_event_id:
                    continue
                if last_event_id is not None and event_number != last_event_id + 1:
                    return False
                call.last_event_id = event_number
            new_events.append(event)
        if new_events:
            event_count = sum(not is_comment(event) for event in new_events)
            if event_count:
                call.event_count += event_count
                call.last_event_at = self._clock.monotonic()
            await self._start_response(call, head)
            await call.exchange.write(b"".join(new_events))
        return True

    async def _start_response(self, call: Call, head: ResponseHead) -> None:
        if not call.exchange.is_started:
            await call.exchange.start(head.status, response_headers(head))

    def _loop_time(self, at: float) -> float | None:
        """Return a monotonic time of the clock as time of the event loop."""
        if at == float("inf"):
            return None
        return asyncio.get_running_loop().time() + at - self._clock.monotonic()

    async def _read_body(self, call: Call, conn: ClientConnection) -> bytes:
        """Return the whole body of a response that is not streamed."""
        timer = self._progress_timer(call)
        parts: list[bytes] = []
        size = size_at_progress = 0
        while (part := await conn.chunk(timeout=timer.remaining_seconds())) is not None:
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                raise ExchangeFailed(f"response exceeds {MAX_RESPONSE_BYTES} bytes")
            call.response_memory.resize(size)
            parts.append(part)
            if size - size_at_progress >= MIN_PROGRESS_BYTES:
                size_at_progress = size
                timer.record_progress()
        return b"".join(parts)

    def _progress_timer(self, call: Call) -> ProgressTimer:
        return ProgressTimer(
            clock=self._clock, limit_seconds=self._silence_timeout(call)
        )

    def _silence_timeout(self, call: Call) -> float | None:
        """Return the seconds without progress after which an attempt is lost.

        None disables the timeout: no other attempt could follow.
        """
        is_last_run = call.run_count + 1 >= call.admitted.route.max_attempts
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


async def _skip_body(conn: ClientConnection) -> bool:
    """Read and drop a short body; return whether it ended."""
    try:
        async with asyncio.timeout(REFUSAL_BODY_SECONDS):
            await conn.body(limit=MAX_REFUSAL_BYTES)
    except (ExchangeFailed, TimeoutError):
        return False
    return True


def response_headers(head: ResponseHead) -> tuple[tuple[str, str], ...]:
    """Return the headers of a backend server's response that are sent to callers."""
    return end_to_end_headers(head.headers, drop={"content-length"})
