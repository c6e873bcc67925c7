"""Tests of gateways whose backend servers want no requests for a while."""

import asyncio
import time

from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    reply_with,
    run_scenario,
    signed_response,
)

REQUESTS = 30
# Time of a test in which a server that is only avoided for its refusal is tried again.
TEST_SECONDS = 0.9


def refusal(seconds, status="503 Service Unavailable"):
    """Return a reply that turns a request away for some seconds."""
    return reply_with(
        lambda req: signed_response(
            req, b"", status, "T-Not-Run: 1", f"Retry-After: {seconds}"
        )
    )


def arrivals(reply):
    """Return how many of `REQUESTS` over `TEST_SECONDS` reach a refusing server."""

    async def scenario(harness):
        refusing = ScriptedBackend(reply=reply)
        serving = ScriptedBackend(reply=reply_with(signed_response))
        await harness.start("plain", refusing, serving)
        for _ in range(REQUESTS):
            head, _ = await harness.send_request("/unsafe/")
            assert head.status == 200
            await asyncio.sleep(TEST_SECONDS / REQUESTS)
        return len(refusing.received)

    return run_scenario(scenario)


def test_server_gets_no_requests_for_the_time_that_it_names():
    assert arrivals(refusal("5.0")) == 1


def test_server_gets_requests_again_after_the_time_that_it_named():
    assert arrivals(refusal("0.3")) > 1


def test_only_a_503_pauses_a_server():
    assert arrivals(refusal("5.0", "429 Too Many Requests")) > 1


def test_invalid_times_are_ignored():
    assert arrivals(refusal("soon")) > 1


def test_request_that_cannot_be_served_is_refused_at_once():
    """Guards against requests that wait until their deadline for a paused server."""

    async def scenario(harness):
        refusing = ScriptedBackend(reply=refusal("5.0"))
        await harness.start("plain", refusing)
        started_at = time.monotonic()
        first, _ = await harness.send_request("/unsafe/")
        second, _ = await harness.send_request("/unsafe/")
        seconds = time.monotonic() - started_at
        return first, second, seconds, len(refusing.received)

    first, second, seconds, count = run_scenario(scenario)
    assert (first.status, second.status, count) == (503, 503, 1)
    assert seconds < 0.5
    assert 4.0 < float(second.header("retry-after")) <= 5.0


def test_request_waits_for_a_server_that_is_back_in_time():
    async def scenario(harness):
        async def reply(req, writer):
            if len(backend.received) == 1:
                await refusal("0.4")(req, writer)
            else:
                writer.write(signed_response(req))

        backend = ScriptedBackend(reply=reply)
        await harness.start("plain", backend)
        started_at = time.monotonic()
        head, _ = await harness.send_request("/unsafe/")
        return head.status, time.monotonic() - started_at

    status, seconds = run_scenario(scenario)
    assert status == 200
    assert seconds >= 0.4
