"""Tests of backend servers that send bytes without end, too slowly or twice."""

import asyncio
import contextlib

import pytest

from eelgrassdale.http1 import ExchangeFailed
from eelgrassdale_gateway.attempts import STREAM_SILENCE_SECONDS
from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    chunk,
    event,
    reply_with,
    run_scenario,
    signed_response,
    stream_head,
)

# Longer than any attempt; a server that pauses this long sends nothing more.
FOREVER_SECONDS = 20
# The platform asks for an answer at most half a second after a route's timeout.
SOUND_ANSWER_SECONDS = 0.5
BLOCK = b"x" * 16_384


def first_reply_then(first, others):
    """Return a reply function that uses `first` once, at whichever server it is."""
    arrivals = []

    async def reply(req, writer):
        arrivals.append(req)
        await (first if len(arrivals) == 1 else others)(req, writer)

    return reply


def refusal_head(req):
    head = signed_response(req, b"", "503 Service Unavailable", "T-Not-Run: 1")
    return head.replace(b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n")


async def write_forever(writer, data, pause_seconds=0.0):
    """Write until the peer closes the connection."""
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(pause_seconds)


async def silent_garbage(_req, writer):
    writer.write(b"\x00\x01")
    await asyncio.sleep(FOREVER_SECONDS)


async def endless_interim_responses(_req, writer):
    await write_forever(writer, b"HTTP/1.1 102 Processing\r\n\r\n", 0.001)


async def endless_head(_req, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n")
    await write_forever(writer, b"x-more: " + BLOCK)


async def trickling_head(_req, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nx-more: ")
    await write_forever(writer, b"x", 0.05)


async def endless_body(req, writer):
    head = signed_response(req).partition(b"Content-Length")[0]
    writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
    await write_forever(writer, chunk(BLOCK))


async def trickling_body(req, writer):
    writer.write(signed_response(req, b"x" * 9000).partition(b"xx")[0])
    await write_forever(writer, b"x", 0.05)


async def endless_refusal(req, writer):
    writer.write(refusal_head(req))
    await write_forever(writer, chunk(BLOCK))


WITHOUT_END = [
    silent_garbage,
    endless_interim_responses,
    endless_head,
    trickling_head,
    endless_body,
    trickling_body,
    endless_refusal,
]


@pytest.mark.parametrize("reply", WITHOUT_END)
def test_bytes_without_end_cost_one_attempt_of_an_idempotent_request(reply):
    """Guards against an attempt that waits for the end as long as bytes arrive."""

    reply_in_turn = first_reply_then(reply, reply_with(signed_response))

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply_in_turn) for _ in range(2)]
        await harness.start("plain", *backends)
        head, body = await harness.send_request("/safe/")
        memory = harness.forwarder._attempt_runner.response_memory
        return head.status, body, memory.used

    assert run_scenario(scenario) == (200, b"ok", 0)


@pytest.mark.parametrize("reply", [silent_garbage, endless_head, endless_body])
def test_bytes_without_end_end_a_request_that_may_run_once_before_its_deadline(reply):
    async def scenario(harness):
        await harness.start("plain", ScriptedBackend(reply=reply))
        started_at = asyncio.get_running_loop().time()
        head, _ = await harness.send_request("/unsafe/")
        return head.status, asyncio.get_running_loop().time() - started_at

    status, seconds = run_scenario(scenario)
    assert status == 502
    assert seconds < 1.5


def test_refusal_with_an_endless_body_is_still_a_refusal():
    """Guards against a request that did not run, reported as one that may have run."""

    async def scenario(harness):
        await harness.start("plain", ScriptedBackend(reply=endless_refusal))
        head, _ = await harness.send_request("/unsafe/", seconds=1.0)
        return head.status

    assert run_scenario(scenario) == 503


def test_responses_of_many_servers_share_a_bounded_memory():
    """Guards against memory that grows with the number of servers in trouble.

    Each response alone was bounded, at 8 MiB.
    """
    server_count = 40

    async def scenario(harness):
        peak = 0
        memory = harness.forwarder._attempt_runner.response_memory
        memory.limit = 1_000_000
        backends = [ScriptedBackend(reply=endless_body) for _ in range(server_count)]
        await harness.start("plain", *backends)
        requests = [
            asyncio.ensure_future(harness.send_request("/unsafe/", t_request=f"r-{n}"))
            for n in range(server_count)
        ]
        while not all(request.done() for request in requests):
            peak = max(peak, memory.used)
            await asyncio.sleep(0.001)
        return {request.result()[0].status for request in requests}, peak, memory.used

    statuses, peak, used = run_scenario(scenario)
    assert statuses == {502}
    assert peak <= 1_000_000
    assert used == 0


def stalled_stream(filler):
    async def reply(req, writer):
        writer.write(stream_head(req) + chunk(event(1)))
        await write_forever(writer, chunk(filler), 0.2)

    return reply


@pytest.mark.parametrize("filler", [b": ping\n\n", b"x"])
def test_stalled_stream_that_sends_a_byte_now_and_then_is_continued_elsewhere(filler):
    """Guards against a stream without events that never ends."""
    reply_in_turn = first_reply_then(stalled_stream(filler), continue_stream)

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply_in_turn) for _ in range(2)]
        await harness.start("engine", *backends)
        _, body = await harness.send_request("/stream/", seconds=6.0)
        return body.replace(b": ping\n\n", b"")

    assert run_scenario(scenario) == event(1) + event(2)


async def stream_cut_within_an_event(req, writer):
    """Write a stream with a valid end after a part of its second event."""
    part = event(2)[:-4]
    writer.write(stream_head(req) + chunk(event(1)) + chunk(part) + chunk(b""))


async def continue_stream(req, writer):
    first = int(req.get("t-last-event", 0)) + 1
    writer.write(stream_head(req) + chunk(event(first)) + chunk(b""))


def test_stream_that_ends_within_an_event_is_continued_elsewhere():
    """Guards against a cut stream that reaches its caller as a complete one."""
    reply_in_turn = first_reply_then(stream_cut_within_an_event, continue_stream)

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply_in_turn) for _ in range(2)]
        await harness.start("engine", *backends)
        return (await harness.send_request("/stream/"))[1]

    assert run_scenario(scenario) == event(1) + event(2)


def test_stream_that_ends_within_an_event_and_may_run_once_looks_incomplete():
    async def scenario(harness):
        await harness.start("engine", ScriptedBackend(reply=stream_cut_within_an_event))
        with pytest.raises(ExchangeFailed):
            await harness.send_request("/once/")

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/stream/", "/once/"])
def test_slow_but_sound_stream_is_not_cut(path):
    async def slow(req, writer):
        writer.write(stream_head(req))
        for number in range(1, 5):
            await asyncio.sleep(0.8 * STREAM_SILENCE_SECONDS)
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(chunk(b""))

    async def scenario(harness):
        backends = [ScriptedBackend(reply=slow), ScriptedBackend(reply=slow)]
        await harness.start("engine", *backends)
        _, body = await harness.send_request(path, seconds=6.0)
        return body, sum(len(backend.received) for backend in backends)

    body, arrivals = run_scenario(scenario)
    assert body == b"".join(map(event, range(1, 5)))
    assert arrivals == 1


def endless_stream(line):
    async def reply(req, writer):
        writer.write(stream_head(req))
        await write_forever(writer, chunk(line * (65_536 // len(line))))

    return reply


@pytest.mark.parametrize("line", [b"error\n\n", b"\n", b"data\n\n", b": ping\n\n"])
def test_streams_without_end_do_not_delay_requests_to_other_services(line):
    """Guards against a gateway that stands still over the lines of one server.

    Requests to sound servers were not answered for up to 8 s.
    """

    async def scenario(harness):
        troubled = [ScriptedBackend(reply=endless_stream(line)) for _ in range(2)]
        await harness.start("engine", *troubled)
        sound = ScriptedBackend(reply=reply_with(signed_response))
        await harness.add_backend("plain", "sound", sound)
        streams = [
            asyncio.ensure_future(
                harness.send_request("/stream/", t_request=f"r-{number}", seconds=4.0)
            )
            for number in range(4)
        ]
        await asyncio.sleep(0.1)
        statuses = []
        for _ in range(10):
            async with asyncio.timeout(SOUND_ANSWER_SECONDS):
                statuses.append((await harness.send_request("/safe/"))[0].status)
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
        return statuses

    assert run_scenario(scenario) == [200] * 10


def test_late_second_copy_of_a_response_is_not_the_response_to_a_retry():
    """Guards against a copy with the same request id on a connection in use again."""
    connections = []

    async def answer_twice(req, writer):
        failure = signed_response(req, b"failed", "500 Internal Server Error")
        connections.append(writer)
        if len(connections) == 1:
            writer.write(failure)
            return
        if writer is connections[0]:
            writer.write(failure)
        writer.write(signed_response(req))

    async def scenario(harness):
        await harness.start("plain", ScriptedBackend(reply=answer_twice))
        head, body = await harness.send_request("/safe/")
        return head.status, body

    assert run_scenario(scenario) == (200, b"ok")


def test_stream_is_not_cut_where_other_responses_fill_the_memory():
    """Guards against a stream that ends for a part of an event, at a sound server."""

    async def reply(req, writer):
        second = event(2)
        parts = (stream_head(req) + chunk(event(1)), chunk(second[:5]))
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.1)
        writer.write(chunk(second[5:]) + chunk(b""))

    async def scenario(harness):
        memory = harness.forwarder._attempt_runner.response_memory
        memory.reservation().resize(memory.limit)
        await harness.start("engine", ScriptedBackend(reply=reply))
        return await harness.send_request("/once/")

    head, body = run_scenario(scenario)
    assert head.status == 200
    assert body == event(1) + event(2)
