"""One attempt: sends a request to a backend server and reads the answer."""

from collections.abc import Callable

import structlog
from attrs import define

from eelgrassdale.clock import Clock
from eelgrassdale.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    Exchange,
    ExchangeBroken,
    Head,
    Request,
)
from eelgrassdale.http1.messages import end_to_end
from eelgrassdale_gateway.admission import Admitted
from eelgrassdale_gateway.eventstream import EventSplitter, EventTooLong, event_id
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.outcomes import Answered, Lost, NotRun, Outcome, Relayed
from eelgrassdale_gateway.wirenames import WireNames

# Answers that are held whole before they are passed on.
MAX_ANSWER_BYTES = 8_388_608
# Silence after which an idempotent stream is continued elsewhere. Callers
# leave after two seconds without an event.
STREAM_SILENCE_SECONDS = 1.5
# Share of the remaining time that one backend server gets for an idempotent
# request, so that another can still answer.
FIRST_ANSWER_SHARE = 0.45
MISDIRECTED = 421

log = structlog.get_logger(__name__)


@define(kw_only=True, eq=False)
class Call:
    """One request of a caller on its way, over all its attempts."""

    admitted: Admitted
    exchange: Exchange
    may_have_run: bool = False
    runs: int = 0
    sends: int = 0
    last_event: int | None = None
    events: int = 0
    last_event_at: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.admitted.route.is_idempotent


class Attempts:
    """Makes attempts over pooled connections."""

    def __init__(self, *, clock: Clock, pool: ConnectionPool, names: WireNames) -> None:
        self._clock = clock
        self._pool = pool
        self._names = names

    async def make(
        self, call: Call, server: BackendServer, on_first: Callable[[], None]
    ) -> Outcome:
        """Send the request to a backend server.

        `on_first` is called when the answer begins. A cancelled attempt closes
        its connection, which ends the work at the backend server.
        """
        try:
            conn = await self._pool.acquire(
                server.address, fresh=not call.is_idempotent
            )
        except ConnectFailed as exc:
            return NotRun(reason=f"connect: {exc}", was_sent=False)
        is_done = False
        try:
            call.sends += 1
            outcome, is_done = await self._exchange(call, server, conn, on_first)
        except ExchangeBroken as exc:
            outcome = Lost(reason=str(exc))
        except TimeoutError:
            outcome = Lost(reason="silent")
        finally:
            if is_done:
                self._pool.release(conn)
            else:
                conn.close()
        return outcome

    async def _exchange(
        self,
        call: Call,
        server: BackendServer,
        conn: ClientConnection,
        on_first: Callable[[], None],
    ) -> tuple[Outcome, bool]:
        """Return the outcome and whether the connection may be used again."""
        before = call.may_have_run
        call.may_have_run = True
        await conn.send(self._request(call, server))
        head = await conn.head(timeout=self._silence(call))
        if head.header(self._names.request_id) != call.admitted.request_id:
            return Lost(reason="answer to another request"), False
        if head.status == MISDIRECTED or head.header(self._names.not_run):
            call.may_have_run = before
            await conn.body(limit=MAX_ANSWER_BYTES, timeout=self._silence(call))
            return NotRun(reason=f"refused with {head.status}", was_sent=True), True
        on_first()
        if call.admitted.route.is_stream and head.status == 200:
            return await self._relay(call, conn, head)
        body = await conn.body(limit=MAX_ANSWER_BYTES, timeout=self._silence(call))
        if head.status < 300 and not head.header(self._names.answer_signature):
            return Lost(reason="success without a signature"), False
        return Answered(head=head, body=body), True

    async def _relay(
        self, call: Call, conn: ClientConnection, head: Head
    ) -> tuple[Outcome, bool]:
        """Pass whole events on as they come."""
        if not head.header(self._names.answer_signature):
            return Lost(reason="success without a signature"), False
        splitter = EventSplitter()
        while True:
            data = await conn.chunk(timeout=self._silence(call))
            if data is None:
                break
            try:
                events = splitter.feed(data)
            except EventTooLong as exc:
                return Lost(reason=str(exc)), False
            if not await self._pass_on(call, head, events):
                return Lost(reason="events are missing"), False
        await self._start(call, head)
        if splitter.has_rest():
            await call.exchange.write(splitter.take_rest())
        await call.exchange.finish()
        return Relayed(), True

    async def _pass_on(self, call: Call, head: Head, events: list[bytes]) -> bool:
        new = []
        for event in events:
            number = event_id(event)
            if number is not None:
                last = call.last_event
                if last is not None and number <= last:
                    continue
                if last is not None and number != last + 1:
                    return False
                call.last_event = number
            new.append(event)
        if new:
            call.events += len(new)
            call.last_event_at = self._clock.monotonic()
            await self._start(call, head)
            await call.exchange.write(b"".join(new))
        return True

    async def _start(self, call: Call, head: Head) -> None:
        if not call.exchange.is_started:
            await call.exchange.start(head.status, answer_headers(head))

    def _silence(self, call: Call) -> float | None:
        """Return after which silence a backend server is given up."""
        is_last = call.runs + 1 >= call.admitted.route.max_attempts
        if is_last or not call.is_idempotent:
            return None
        if call.admitted.route.is_stream:
            return STREAM_SILENCE_SECONDS
        left = call.admitted.end_at - self._clock.monotonic()
        return max(0.05, FIRST_ANSWER_SHARE * left)

    def _request(self, call: Call, server: BackendServer) -> Request:
        """Return the request as the backend server gets it."""
        names = self._names
        admitted = call.admitted
        req = admitted.request
        own = {names.api_key, names.account, names.expected_server, names.time_left}
        drop = own | {"content-length"}
        if call.last_event is not None:
            drop |= {names.last_event}
        left = admitted.end_at - self._clock.monotonic()
        headers = [
            *end_to_end(req.headers, drop=drop),
            (names.time_left, str(max(1, int(left * 1000)))),
            (names.expected_server, server.id),
        ]
        if admitted.account is not None:
            headers.append((names.account, admitted.account.name))
        if call.last_event is not None:
            headers.append((names.last_event, str(call.last_event)))
        return Request(
            method=req.method,
            target=req.target,
            headers=tuple(headers),
            body=req.body,
        )


def answer_headers(head: Head) -> tuple[tuple[str, str], ...]:
    """Return the headers of a backend server's answer that callers get."""
    return end_to_end(head.headers, drop={"content-length"})
