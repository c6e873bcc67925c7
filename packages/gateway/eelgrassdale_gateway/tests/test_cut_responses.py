"""Tests of responses that are cut, repeated, or followed by an error of another server.

Each guards against a caller that takes such a response for a complete one of its own.
"""

import asyncio
import socket
import struct

import pytest

from eelgrassdale.http1 import ExchangeFailed, Request, connect
from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    chunk,
    event,
    run_scenario,
    signed_response,
    stream_head,
)

MAX_BODY_BYTES = 100_000


def refusal(req):
    return signed_response(req, b"", "503 Service Unavailable", "T-Not-Run: 1")


def unframed(response):
    """Return a response whose body has neither a length nor chunks."""
    lines = response.split(b"\r\n")
    framing = (b"content-length", b"transfer-encoding")
    return b"\r\n".join(line for line in lines if not line.lower().startswith(framing))


async def close(writer):
    await writer.drain()
    writer.close()


async def reset(writer):
    """End the connection with a reset instead of an orderly close."""
    await writer.drain()
    no_linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


@pytest.mark.parametrize("keeps_id", [True, False])
def test_repeated_refusal_is_not_the_response_to_the_next_request(keeps_id):
    """Guards against 'not run' for a request that the server is running."""
    refused = []

    async def reply(req, writer):
        if not refused:
            refused.append((req, writer))
            writer.write(refusal(req))
            return
        first_req, kept_writer = refused[0]
        if writer is not kept_writer:
            # Not kept, so that the next request uses the other connection.
            writer.write(signed_response(req, b"ok", "200 OK", "Connection: close"))
            return
        copy = refusal(first_req)
        writer.write(copy if keeps_id else copy.replace(b"T-Request: r-0\r\n", b""))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(signed_response(req))

    async def scenario(harness):
        backend = ScriptedBackend(reply=reply)
        await harness.start("plain", backend)
        statuses = []
        for number, path in enumerate(["/safe/", "/safe/", "/unsafe/"]):
            head, _ = await harness.send_request(path, t_request=f"r-{number}")
            statuses.append(head.status)
        sent = [req["t-request"] for req in backend.received]
        return statuses, [sent.count(f"r-{number}") for number in range(3)]

    # The second request is sent anew, since its first response is not its own.
    assert run_scenario(scenario) == ([200, 200, 200], [2, 2, 1])


def error(status, *headers):
    async def reply(req, writer):
        writer.write(signed_response(req, b"error text", status, *headers))

    return reply


def unframed_error(req, writer):
    writer.write(unframed(signed_response(req, b"error text", "500 Error")))
    return close(writer)


ERRORS = [
    error("500 Internal Server Error"),
    error("404 Not Found"),
    error("429 Too Many Requests"),
    error("503 Service Unavailable"),
    error("503 Service Unavailable", "T-Not-Run: 1"),
    error("204 No Content"),
    error("206 Partial Content"),
    unframed_error,
]


async def read_raw(harness, path):
    """Return all bytes of a response until its connection ends or it is complete."""
    conn = await connect(harness.address, timeout=1)
    headers = {
        "host": "h",
        "t-request": "r-1",
        "t-key": "key-1",
        "t-time-left": "3000",
        "t-model": "m",
    }
    req = Request(method="POST", target=path, headers=tuple(headers.items()))
    await conn.send(req)
    head = await conn.head(timeout=5)
    received = b""
    try:
        while (data := await conn.chunk(timeout=5)) is not None:
            received += data
    except ExchangeFailed:
        return head.status, received, False
    return head.status, received, True


@pytest.mark.parametrize("second", ERRORS)
def test_error_of_the_next_server_does_not_enter_a_stream_that_has_begun(second):
    """Guards against an error's text in a stream, and a stream that looks complete."""
    arrivals = []

    async def reply(req, writer):
        arrivals.append(req)
        if len(arrivals) == 1:
            writer.write(stream_head(req) + chunk(event(1)))
            await close(writer)
        else:
            await second(req, writer)

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(2)]
        await harness.start("engine", *backends)
        return await read_raw(harness, "/stream/")

    assert run_scenario(scenario) == (200, event(1), False)
    assert len(arrivals) >= 2


@pytest.mark.parametrize("path", ["/safe/", "/unsafe/", "/stream/", "/once/"])
@pytest.mark.parametrize("end", [close, reset])
def test_response_cut_within_its_head_is_no_response(path, end):
    """Guards against a 200 with an empty body, framed as whole."""
    is_engine = path in ("/stream/", "/once/")

    def whole(req):
        return stream_head(req) if is_engine else signed_response(req, b"")

    async def scenario(harness):
        size = len(whole({"t-request": "r-1"}).rstrip(b"\r\n"))
        lengths = [1, 8, 13, 15, 16, 17, 40, size - 1, size, size + 1, size + 2]
        statuses = set()
        for length in lengths:

            async def cut(req, writer, length=length):
                writer.write(whole(req)[:length])
                await end(writer)

            backend = ScriptedBackend(reply=cut)
            harness.routing_state.set_servers({})
            service = "engine" if is_engine else "plain"
            await harness.add_backend(service, f"s-{length}", backend)
            head, _ = await harness.send_request(path, t_model="m", seconds=3.0)
            statuses.add(head.status)
        return statuses

    async def with_server(harness):
        await harness.start("plain")
        return await scenario(harness)

    assert run_scenario(with_server) == {502}


def test_answer_that_ends_with_its_connection_is_passed_on_whole():
    async def reply(req, writer):
        writer.write(unframed(signed_response(req, b"whole")))
        await close(writer)

    async def scenario(harness):
        await harness.start("plain", ScriptedBackend(reply=reply))
        return [
            (await harness.send_request(path))[1] for path in ("/safe/", "/unsafe/")
        ]

    assert run_scenario(scenario) == [b"whole", b"whole"]


def test_answer_without_length_that_is_reset_is_not_whole():
    async def reply(req, writer):
        writer.write(unframed(signed_response(req, b"part")))
        await writer.drain()
        await asyncio.sleep(0.05)
        await reset(writer)

    async def scenario(harness):
        await harness.start("plain", ScriptedBackend(reply=reply))
        return (await harness.send_request("/unsafe/"))[0].status

    assert run_scenario(scenario) == 502


def unframed_stream(*parts, end=close):
    async def reply(req, writer):
        writer.write(unframed(stream_head(req)) + b"".join(parts))
        await writer.drain()
        await asyncio.sleep(0.02)
        await end(writer)

    return reply


@pytest.mark.parametrize("path", ["/stream/", "/once/"])
def test_stream_that_ends_with_its_connection_is_passed_on_whole(path):
    async def scenario(harness):
        backend = ScriptedBackend(reply=unframed_stream(event(1), event(2)))
        await harness.start("engine", backend)
        return await read_raw(harness, path)

    assert run_scenario(scenario) == (200, event(1) + event(2), True)


@pytest.mark.parametrize(
    "broken",
    [
        unframed_stream(event(1), event(2)[:-1]),
        unframed_stream(event(1), event(2)[:-4]),
        unframed_stream(event(1), end=reset),
        unframed_stream(),
        unframed_stream(b"id: 1"),
    ],
)
def test_stream_without_length_that_breaks_off_is_continued(broken):
    """Guards against a stream that looks complete before its last event."""
    arrivals = []

    async def rest(req, writer):
        first = int(req.get("t-last-event", 0)) + 1
        events = b"".join(chunk(event(number)) for number in range(first, 4))
        writer.write(stream_head(req) + events + chunk(b""))

    async def reply(req, writer):
        arrivals.append(req)
        await (broken if len(arrivals) == 1 else rest)(req, writer)

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(2)]
        await harness.start("engine", *backends)
        return await read_raw(harness, "/stream/")

    whole = event(1) + event(2) + event(3)
    assert run_scenario(scenario) == (200, whole, True)


def test_server_that_ends_as_it_begins_an_answer_without_length_counts_as_crashed():
    """Guards against deadly prompts that go unnoticed where answers are unframed."""

    async def begin_and_end(req, writer):
        await unframed_stream()(req, writer)
        backend.end()

    backend = ScriptedBackend(reply=begin_and_end)

    async def scenario(harness):
        await harness.start("engine", backend)
        await harness.send_request("/once/", t_model="m", t_parts="x:40,own:9")
        return harness.dispatcher.quarantine.is_suspect(
            frozenset({"m/x"}), has_answer_begun=True
        )

    assert run_scenario(scenario)


def test_events_before_a_gap_reach_the_caller_of_a_stream_that_is_resumed():
    """Guards against events that count as sent and are missing from the stream."""
    arrivals = []

    async def with_gap(req, writer):
        events = b"".join(event(number) for number in (1, 2, 4))
        writer.write(stream_head(req) + chunk(events) + chunk(b""))

    async def rest(req, writer):
        first = int(req.get("t-last-event", 0)) + 1
        events = b"".join(event(number) for number in range(first, 5))
        writer.write(stream_head(req) + chunk(events) + chunk(b""))

    async def reply(req, writer):
        arrivals.append(req)
        await (with_gap if len(arrivals) == 1 else rest)(req, writer)

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(2)]
        await harness.start("engine", *backends)
        return await read_raw(harness, "/stream/")

    whole = b"".join(event(number) for number in range(1, 5))
    assert run_scenario(scenario) == (200, whole, True)


@pytest.mark.parametrize("is_framed", [True, False])
def test_resumed_stream_without_an_event_is_cut_where_one_is_missing(is_framed):
    """Guards against a stream that passes for complete after part of an event."""
    arrivals = []

    async def cut_within_an_event(req, writer):
        writer.write(stream_head(req) + chunk(event(1)) + chunk(event(2)[:5]))

    async def end_at_once(req, writer):
        if is_framed:
            writer.write(stream_head(req) + chunk(b""))
        else:
            await unframed_stream()(req, writer)

    async def reply(req, writer):
        arrivals.append(req)
        await (cut_within_an_event if len(arrivals) == 1 else end_at_once)(req, writer)
        writer.close()

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(2)]
        await harness.start("engine", *backends)
        return await read_raw(harness, "/stream/")

    status, body, is_complete = run_scenario(scenario)
    assert (status, body, is_complete) == (200, event(1), False)


def test_resumed_stream_whose_last_event_had_come_is_complete():
    """Guards against a sound end that is taken for a cut."""
    arrivals = []

    async def cut_before_the_end(req, writer):
        writer.write(stream_head(req) + chunk(event(1)) + chunk(event(2)))

    async def end_at_once(req, writer):
        writer.write(stream_head(req) + chunk(b""))

    async def reply(req, writer):
        arrivals.append(req)
        await (cut_before_the_end if len(arrivals) == 1 else end_at_once)(req, writer)
        writer.close()

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(2)]
        await harness.start("engine", *backends)
        return await read_raw(harness, "/stream/")

    assert run_scenario(scenario) == (200, event(1) + event(2), True)
