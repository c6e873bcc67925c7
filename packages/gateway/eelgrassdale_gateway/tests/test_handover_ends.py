"""Tests of how two attempts at one stream affect each other as one of them ends."""

import asyncio

import pytest
from attrs import evolve

from eelgrassdale_gateway.tests.harness import (
    ROUTES,
    TABLE,
    ScriptedBackend,
    chunk,
    event,
    run_scenario,
    signed_response,
    stream_head,
)
from eelgrassdale_gateway.tests.test_handovers import (
    PAUSE_SECONDS,
    SILENCE_SECONDS,
    WHOLE,
    continue_stream,
    is_resumed,
)


def allow_attempts(harness, count):
    routes = tuple(evolve(route, max_attempts=count) for route in ROUTES)
    harness.routing_state.apply_table(evolve(TABLE, version=2, routes=routes))


def test_empty_continuation_does_not_complete_a_stream_that_lacks_an_event():
    """Guards against a stream that ends as complete although part of an event came."""

    async def reply(req, writer):
        if is_resumed(req):
            writer.write(stream_head(req) + chunk(b""))
            return
        writer.write(stream_head(req) + chunk(event(1) + event(2)[:-2]))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(chunk(event(2)[-2:]) + chunk(b""))

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(2)]
        await harness.start("engine", *backends)
        _, body = await harness.send_request("/stream/", seconds=6.0)
        return body

    assert run_scenario(scenario) == WHOLE


def test_partial_event_of_a_superseded_response_does_not_cut_the_stream():
    """Guards against `lacks_event` that is set after the event was relayed."""

    async def reply(req, writer):
        if is_resumed(req):
            writer.write(stream_head(req) + chunk(event(2)))
            await writer.drain()
            await asyncio.sleep(0.2)
            writer.write(chunk(b""))
            return
        writer.write(stream_head(req) + chunk(event(1) + event(2)[:-2]))
        await writer.drain()
        await asyncio.sleep(20.0)

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(2)]
        await harness.start("engine", *backends)
        _, body = await harness.send_request("/stream/", seconds=6.0)
        return body

    assert run_scenario(scenario) == WHOLE


def fail(req):
    return signed_response(req, b"failed", "500 Internal Server Error")


def begin(req):
    return stream_head(req)


def end_without_event(req):
    return stream_head(req) + chunk(b"")


@pytest.mark.parametrize("respond", [fail, begin, end_without_event])
def test_late_head_of_a_retry_does_not_end_its_continuation(respond):
    """Guards against a continuation that ends although no event claimed the stream."""
    resumptions = []

    async def reply(req, writer):
        if not is_resumed(req):
            writer.write(stream_head(req) + chunk(event(1) + event(2)[:-2]))
            writer.close()
            return
        resumptions.append(req)
        if len(resumptions) == 1:
            await asyncio.sleep(SILENCE_SECONDS + 0.3)
            writer.write(respond(req))
            await writer.drain()
            await asyncio.sleep(20.0)
        await asyncio.sleep(0.8)
        continue_stream(req, writer)

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(4)]
        await harness.start("engine", *backends)
        allow_attempts(harness, 3)
        _, body = await harness.send_request("/stream/", seconds=6.0)
        return body

    assert run_scenario(scenario) == WHOLE


def test_connection_of_a_failed_response_closes_before_its_continuation_ends():
    """Guards against a server that works on for a response that is given up."""

    async def reply(req, writer):
        if is_resumed(req):
            await asyncio.sleep(1.5)
            continue_stream(req, writer)
            return
        writer.write(stream_head(req) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(SILENCE_SECONDS + 0.3)
        writer.write(chunk(event(3)))

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(2)]
        await harness.start("engine", *backends)
        request = asyncio.ensure_future(harness.send_request("/stream/", seconds=6.0))
        await asyncio.sleep(SILENCE_SECONDS + 0.8)
        is_closed = [
            backend.closed.is_set()
            for backend in backends
            if not any(map(is_resumed, backend.received))
        ]
        _, body = await request
        return body, is_closed

    assert run_scenario(scenario) == (WHOLE, [True])


def test_continuation_that_was_not_sent_leaves_its_attempt_to_another():
    """Guards against a run and a retry spent on a server that was never reached."""

    async def reply(req, writer):
        if is_resumed(req):
            continue_stream(req, writer)
            return
        writer.write(stream_head(req) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(SILENCE_SECONDS + 0.25)
        writer.write(chunk(event(2)))
        await writer.drain()
        await asyncio.sleep(20.0)

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(3)]
        await harness.start("engine", *backends)
        pool = harness.forwarder._attempt_runner._pool
        acquire = pool.acquire
        calls = []
        run = harness.forwarder._attempt_runner.run

        async def acquire_slowly(address, *, fresh=False):
            if fresh:
                await asyncio.sleep(5.0)
            return await acquire(address, fresh=fresh)

        async def run_and_note(call, *args, **kwargs):
            calls.append(call)
            return await run(call, *args, **kwargs)

        pool.acquire = acquire_slowly
        harness.forwarder._attempt_runner.run = run_and_note
        request = asyncio.ensure_future(harness.send_request("/stream/", seconds=6.0))
        await asyncio.sleep(SILENCE_SECONDS + 0.7)
        counts = len(calls), calls[0].send_count, calls[0].run_count
        request.cancel()
        return counts

    assert run_scenario(scenario) == (2, 1, 1)


def test_search_that_finds_no_other_server_counts_no_request():
    """Guards against rate limits of a server used up by requests never sent to it."""

    async def reply(req, writer):
        writer.write(stream_head(req) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(SILENCE_SECONDS + 1.3)
        writer.write(chunk(event(2)) + chunk(b""))

    async def scenario(harness):
        backend = ScriptedBackend(reply=reply)
        await harness.start("engine", backend)
        eligible = harness.dispatcher.eligible
        record_send = eligible.record_send
        recorded = []

        def record_and_count(server, *, now):
            recorded.append(server.id)
            record_send(server, now=now)

        eligible.record_send = record_and_count
        _, body = await harness.send_request("/stream/", seconds=6.0)
        return body, len(recorded), len(backend.received)

    assert run_scenario(scenario) == (WHOLE, 1, 1)


def test_time_limit_does_not_cut_a_response_that_a_continuation_has_completed():
    """Guards against an abort between the end of a response and its record."""

    async def scenario(harness):
        await harness.start("engine")
        aborted = []

        async def run_attempt(call, place):
            await call.exchange.respond(200, (), b"whole")
            abort = call.exchange.abort
            call.exchange.abort = lambda: (aborted.append(True), abort())
            # As if the time limit expired before the handler's next step.
            raise TimeoutError

        harness.forwarder._run_attempt = run_attempt
        await harness.send_request("/stream/", seconds=6.0)
        await asyncio.sleep(0.1)
        return aborted

    assert run_scenario(scenario) == []
