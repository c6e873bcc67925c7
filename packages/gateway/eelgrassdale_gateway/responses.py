"""Reads the response of a backend server, and relays a stream to the caller.

An attempt ends when its response makes no progress. Progress is a further event of a
stream, or a certain number of bytes of another response, and not any byte.
"""

import asyncio
from collections.abc import Callable

from eelgrassdale.clock import Clock
from eelgrassdale.http1 import (
    ClientConnection,
    ExchangeFailed,
    Reservation,
    ResponseHead,
)
from eelgrassdale.http1.messages import end_to_end_headers
from eelgrassdale_gateway.calls import AttemptProgress, Call
from eelgrassdale_gateway.eventstream import (
    EventSplitter,
    InvalidEventStream,
    StreamEvent,
)
from eelgrassdale_gateway.outcomes import Lost, Outcome, Relayed
from eelgrassdale_gateway.stalls import StallWatch

# Limit of responses that are buffered whole before they are sent to the caller.
MAX_RESPONSE_BYTES = 8_388_608
# A refusal has no body of use to the caller. One that does not end within these
# limits costs only its connection.
MAX_REFUSAL_BYTES = 16_384
REFUSAL_BODY_SECONDS = 0.2
# Bytes of a body that count as progress: a server that sends a byte now and then is
# stalled.
MIN_PROGRESS_BYTES = 1024
# Bytes of a stream that are split into events before other tasks run. They hold a few
# hundred events at most.
FEED_BYTES = 1024
# Bytes of a partial event that need no room in the memory for responses. Otherwise
# large responses to slow callers could end the streams of others.
FREE_EVENT_BYTES = 4096


def response_headers(head: ResponseHead) -> tuple[tuple[str, str], ...]:
    """Return the headers of a backend server's response that are sent to callers."""
    return end_to_end_headers(head.headers, drop={"content-length"})


async def skip_body(conn: ClientConnection) -> bool:
    """Read and drop a short body; return whether it ended."""
    try:
        async with asyncio.timeout(REFUSAL_BODY_SECONDS):
            await conn.body(limit=MAX_REFUSAL_BYTES)
    except (ExchangeFailed, TimeoutError):
        return False
    return True


async def read_body(call: Call, conn: ClientConnection, *, watch: StallWatch) -> bytes:
    """Return the whole body of a response that is not streamed.

    Raises
    ------
    ExchangeFailed
        If the connection failed or the body is too long.
    MemoryExhausted
        If the memory for the responses of all requests has no room for it.
    TimeoutError
        If the body made no progress in time and the request has another place.
    """
    parts: list[bytes] = []
    size = size_at_progress = 0
    while (part := await watch.read(conn.chunk)) is not None:
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise ExchangeFailed(f"response exceeds {MAX_RESPONSE_BYTES} bytes")
        call.response_memory.resize(size)
        parts.append(part)
        if size - size_at_progress >= MIN_PROGRESS_BYTES:
            size_at_progress = size
            watch.timer.record_progress()
    return b"".join(parts)


async def relay_stream(
    call: Call,
    conn: ClientConnection,
    head: ResponseHead,
    *,
    watch: StallWatch,
    progress: AttemptProgress,
    clock: Clock,
    on_first_event: Callable[[], None],
) -> tuple[Outcome, bool]:
    """Relay each event to the caller once it has arrived completely.

    Return the outcome and whether the connection can be reused. Raises as `read_body`
    does, and `ResponseSuperseded`.
    """
    splitter = EventSplitter()
    memory = call.response_memory.budget.reservation()
    has_event = False
    lacked_event = call.lacks_event
    try:
        while (data := await watch.read(conn.chunk)) is not None:
            event_count = call.event_count
            await _relay_data(
                call, head, splitter, data, watch=watch, memory=memory, clock=clock
            )
            if call.event_count > event_count:
                progress.event_count += call.event_count - event_count
                watch.timer.record_progress()
                if not has_event:
                    has_event = True
                    on_first_event()
            if watch.is_sole_reader():
                # A continuation that ends must know of the partial event already.
                call.lacks_event = splitter.has_partial_event() or (
                    lacked_event and not has_event
                )
        if splitter.has_partial_event():
            return Lost(reason="stream ended within an event"), False
        if conn.is_disconnected and watch.is_contested():
            # Without a length, the end of a failed server's connection looks like this.
            return Lost(reason="stream ended without an event"), False
        if call.lacks_event or not call.event_count:
            # Without a length, the end of a failed server's connection looks like this.
            return Lost(reason="stream ended without an event"), False
        await watch.claim()
    except InvalidEventStream as exc:
        return Lost(reason=str(exc)), False
    finally:
        memory.release()
        if splitter.has_partial_event() and watch.is_sole_reader():
            # Part of an event shows that there is one more.
            call.lacks_event = True
    await _start_response(call, head)
    await call.exchange.finish()
    return Relayed(), True


async def _relay_data(
    call: Call,
    head: ResponseHead,
    splitter: EventSplitter,
    data: bytes,
    *,
    watch: StallWatch,
    memory: Reservation,
    clock: Clock,
) -> None:
    """Relay the events that `data` completes; raises `InvalidEventStream`."""
    for start in range(0, len(data), FEED_BYTES):
        if start:
            # Other tasks run while many events that arrived together are relayed.
            await asyncio.sleep(0)
        events = splitter.feed(data[start : start + FEED_BYTES])
        memory.resize(max(0, splitter.buffered_bytes - FREE_EVENT_BYTES))
        new_event = next((event for event in events if _is_new(call, event)), None)
        if new_event is not None:
            _require_no_gap(call, new_event)
            await watch.claim()
        elif watch.is_contested():
            # Comments are no progress.
            continue
        await _relay_events(call, head, events, now=clock.monotonic())


def _require_no_gap(call: Call, event: StreamEvent) -> None:
    """Raise `InvalidEventStream` before a claim by an event that is not the next."""
    last_event_id = call.last_event_id
    if event.number is None or last_event_id is None:
        return
    if event.number != last_event_id + 1:
        raise InvalidEventStream("gap in the event ids")


def _is_new(call: Call, event: StreamEvent) -> bool:
    """Return whether the caller lacks an event; comments are none."""
    if event.number is None:
        return event.has_content
    if call.last_event_id is None:
        return True
    return event.number > call.last_event_id


async def _relay_events(
    call: Call, head: ResponseHead, events: list[StreamEvent], *, now: float
) -> None:
    """Send the events that the caller lacks.

    Raises `InvalidEventStream` if one is missing between them.
    """
    new_events = []
    has_gap = False
    for event in events:
        if event.number is not None:
            last_event_id = call.last_event_id
            if not _is_new(call, event):
                continue
            has_gap = last_event_id is not None and event.number != last_event_id + 1
            if has_gap:
                break
            call.last_event_id = event.number
        new_events.append(event)
    if new_events:
        await _send_events(call, head, new_events, now=now)
    if has_gap:
        raise InvalidEventStream("gap in the event ids")


async def _send_events(
    call: Call, head: ResponseHead, events: list[StreamEvent], *, now: float
) -> None:
    event_count = sum(event.has_content for event in events)
    if event_count:
        call.lacks_event = False
        call.event_count += event_count
        call.last_event_at = now
    await _start_response(call, head)
    await call.exchange.write(b"".join(event.data for event in events))


async def _start_response(call: Call, head: ResponseHead) -> None:
    if not call.exchange.is_started:
        await call.exchange.start(head.status, response_headers(head))
