"""Tests of which of two attempts at one stream may end the other one."""

import asyncio
import time

import pytest

from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    chunk,
    event,
    run_scenario,
    stream_head,
)
from eelgrassdale_gateway.tests.test_handovers import (
    PAUSE_SECONDS,
    SILENCE_SECONDS,
    WHOLE,
    answer_nothing,
    continue_stream,
    is_resumed,
    pausing_until_resumed,
    refuse,
    run_stream,
)


def skip_an_event(req, writer):
    writer.write(stream_head(req) + chunk(event(3)) + chunk(b""))


def end_within_event(req, writer):
    writer.write(stream_head(req) + chunk(event(2)[:-2]) + chunk(b""))


def end_with_connection_at_once(req, writer):
    writer.write(stream_head(req).replace(b"Transfer-Encoding: chunked\r\n", b""))
    writer.close()


def begin_comment(req, writer):
    writer.write(stream_head(req) + chunk(b": pi"))


@pytest.mark.parametrize(
    "respond", [skip_an_event, end_within_event, end_with_connection_at_once]
)
def test_invalid_continuation_does_not_end_the_first_response(respond):
    """Guards against a claim by an attempt whose response is not valid."""

    assert run_stream(pausing_until_resumed(respond)) == (200, WHOLE)


def test_partial_comment_of_continuation_does_not_cut_a_complete_stream():
    """Guards against `lacks_event` that an attempt sets which is not relayed."""

    async def reply(req, writer):
        if is_resumed(req):
            begin_comment(req, writer)
            return
        writer.write(stream_head(req) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(chunk(b""))

    assert run_stream(reply) == (200, event(1))


@pytest.mark.parametrize(
    "rest",
    [chunk(event(3)), chunk(b"garbage\n\n"), chunk(event(2)[:-2]) + chunk(b"")],
    ids=["gap", "garbage", "ends within event"],
)
def test_invalid_first_response_does_not_end_the_continuation(rest):
    """Guards against a continuation that ends as the silent server fails."""

    async def reply(req, writer):
        if is_resumed(req):
            await asyncio.sleep(0.6)
            continue_stream(req, writer)
            return
        writer.write(stream_head(req) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(SILENCE_SECONDS + 0.3)
        writer.write(rest)
        await writer.drain()
        await asyncio.sleep(20.0)

    assert run_stream(reply) == (200, WHOLE)


def test_refused_continuation_is_tried_elsewhere_at_once():
    """Guards against a hung stream that waits longer as one server refuses it."""
    resumptions = []

    async def reply(req, writer):
        if not is_resumed(req):
            writer.write(stream_head(req) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(20.0)
            return
        resumptions.append(time.monotonic())
        (refuse if len(resumptions) == 1 else continue_stream)(req, writer)

    assert run_stream(reply, server_count=3) == (200, WHOLE)
    assert resumptions[1] - resumptions[0] < 0.3


def test_exception_of_continuation_does_not_end_the_first_response():
    """Guards against a fault of the second attempt that cuts a sound response."""

    async def scenario(harness):
        backends = [
            ScriptedBackend(reply=pausing_until_resumed(answer_nothing))
            for _ in range(2)
        ]
        await harness.start("engine", *backends)
        runner = harness.forwarder._attempt_runner
        run = runner.run

        async def run_or_fail(call, *args, **kwargs):
            if call.event_count:
                raise RuntimeError("fault")
            return await run(call, *args, **kwargs)

        runner.run = run_or_fail
        _, body = await harness.send_request("/stream/", seconds=6.0)
        return body

    assert run_scenario(scenario) == WHOLE


def test_late_first_response_is_not_given_up_without_another_server():
    """Guards against an error for a sound server whose response begins late."""

    async def reply(req, writer):
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(stream_head(req) + chunk(event(1)) + chunk(b""))

    assert run_stream(reply, server_count=1)[0] == 200


def test_late_first_response_is_not_given_up_for_a_server_that_refuses():
    """Guards against an error for a sound server whose response begins late."""
    received = []

    async def reply(req, writer):
        received.append(req)
        if len(received) > 1:
            refuse(req, writer)
            return
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(stream_head(req) + chunk(event(1)) + chunk(b""))

    assert run_stream(reply)[0] == 200


def test_caller_that_leaves_ends_each_attempt_that_continues_its_stream():
    """Guards against an attempt that nobody awaits or cancels."""

    async def scenario(harness):
        await harness.start("engine")
        last = asyncio.ensure_future(asyncio.sleep(20.0))

        async def run_attempt(call, place):
            call.continuations.append(last)
            await asyncio.sleep(20.0)

        harness.forwarder._run_attempt = run_attempt
        request = asyncio.ensure_future(harness.send_request("/stream/", seconds=6.0))
        await asyncio.sleep(0.2)
        request.cancel()
        await asyncio.sleep(0.2)
        return last.cancelled()

    assert run_scenario(scenario)


def test_silent_server_that_is_alone_gets_no_second_run_of_the_same_stream():
    """Guards against work that a server does twice side by side as it pauses."""

    async def scenario(harness):
        backend = ScriptedBackend(reply=pausing_until_resumed(answer_nothing))
        await harness.start("engine", backend)
        _, body = await harness.send_request("/stream/", seconds=6.0)
        return body, len(backend.received)

    assert run_scenario(scenario) == (WHOLE, 1)


def test_retry_of_an_unreachable_continuation_is_given_back():
    """Guards against a retry budget that shrinks although no request was sent."""

    async def scenario(harness):
        backends = [
            ScriptedBackend(reply=pausing_until_resumed(answer_nothing, seconds=4.0))
            for _ in range(4)
        ]
        await harness.start("engine", *backends)
        budgets = harness.forwarder._retry_budgets
        request = asyncio.ensure_future(harness.send_request("/stream/", seconds=6.0))
        await asyncio.sleep(0.3)
        before = budgets._budgets["engine"].tokens
        for backend in backends:
            if not backend.received:
                backend.end()
        _, body = await request
        sent = sum(is_resumed(req) for backend in backends for req in backend.received)
        return body, budgets._budgets["engine"].tokens >= before - sent

    assert run_scenario(scenario) == (WHOLE, True)


def test_end_that_arrives_with_a_comment_is_noticed_beside_a_continuation():
    """Guards against a complete stream that waits for another server until cut."""

    async def reply(req, writer):
        if is_resumed(req):
            return
        writer.write(stream_head(req) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(chunk(b": end\n\n") + chunk(b""))

    assert run_stream(reply)[1].startswith(event(1))
