"""Tests of gateways whose backend servers say in responses that they leave."""

import asyncio
import time

import pytest

from eelgrassdale_gateway.advisories import Leaving
from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    chunk,
    event,
    reply_with,
    run_scenario,
    signed_response,
    stream_head,
)

REQUESTS = 30
LEAVING = "T-Leaving: 1"


def leaving_response(req):
    return signed_response(req, b"ok", "200 OK", LEAVING)


def leaving_refusal(req):
    return signed_response(req, b"", "503 Service Unavailable", "T-Not-Run: 1", LEAVING)


def leaving_error(req):
    return signed_response(req, b"", "500 Internal Server Error", LEAVING)


async def send_requests(harness):
    for _ in range(REQUESTS):
        await harness.send_request("/safe/", method="GET")


def arrivals(first_reply):
    """Return how many requests reach a server with this reply, and one without."""

    async def scenario(harness):
        first = ScriptedBackend(reply=first_reply)
        second = ScriptedBackend(reply=reply_with(signed_response))
        await harness.start("plain", first, second)
        await send_requests(harness)
        return len(first.received), len(second.received)

    return run_scenario(scenario)


def test_server_that_says_it_leaves_gets_no_further_requests():
    assert arrivals(reply_with(leaving_response)) == (1, REQUESTS - 1)


@pytest.mark.parametrize("reply", [leaving_refusal, leaving_error])
def test_failed_responses_say_that_a_server_leaves(reply):
    """Guards against reading the header of successes only."""
    assert arrivals(reply_with(reply)) == (1, REQUESTS)


@pytest.mark.parametrize(
    "reply",
    [
        lambda req: signed_response(req, b"", "421 Misdirected Request", LEAVING),
        lambda req: leaving_response(req | {"t-request": "r-other"}),
        lambda req: signed_response(req, b"ok", "200 OK", "T-Leaving: 0"),
        lambda req: signed_response(req, b"ok", "200 OK", "T-Leaving: soon"),
    ],
)
def test_other_servers_and_invalid_values_do_not_take_a_server_out(reply):
    async def scenario(harness):
        backend = ScriptedBackend(reply=reply_with(reply))
        await harness.start("plain", backend)
        await harness.send_request("/unsafe/")
        return harness.dispatcher.advisories.is_leaving(("s-0", 0))

    assert not run_scenario(scenario)


def test_stream_under_way_goes_on_at_a_server_that_leaves():
    async def scenario(harness):
        async def reply(req, writer):
            head = stream_head(req).replace(b"\r\n\r\n", b"\r\nT-Leaving: 1\r\n\r\n")
            writer.write(head)
            for number in (1, 2, 3):
                writer.write(chunk(event(number)))
                await asyncio.sleep(0.05)
            writer.write(chunk(b""))

        leaving, staying = ScriptedBackend(reply=reply), ScriptedBackend(reply=reply)
        await harness.start("engine", leaving, staying)
        _, body = await harness.send_request("/stream/", seconds=6.0, t_model="m")
        return body, len(leaving.received) + len(staying.received)

    assert run_scenario(scenario) == (event(1) + event(2) + event(3), 1)


def test_waiting_request_is_refused_when_its_last_server_leaves():
    """Guards against requests that wait for a server that will not take them."""

    async def scenario(harness):
        leaving = ScriptedBackend(reply=reply_with(leaving_response))
        await harness.start("plain", leaving)
        first, _ = await harness.send_request("/unsafe/")
        second, _ = await harness.send_request("/unsafe/")
        return first.status, second.status, len(leaving.received)

    assert run_scenario(scenario) == (200, 503, 1)


@pytest.mark.parametrize("changes", [{"started_at_ms": 2}, {"name": "s-1"}])
def test_successor_of_a_server_that_left_gets_requests(changes):
    """Guards against avoiding a restarted server for its predecessor's word."""

    async def scenario(harness):
        leaving = ScriptedBackend(reply=reply_with(leaving_response))
        await harness.start("plain", leaving, started_at_ms=1)
        await harness.send_request("/unsafe/")
        options = {"name": "s-0", "started_at_ms": 1} | changes
        harness.routing_state.set_servers({})
        successor = ScriptedBackend(reply=reply_with(signed_response))
        await harness.add_backend("plain", options.pop("name"), successor, **options)
        head, _ = await harness.send_request("/unsafe/")
        return head.status, len(successor.received)

    assert run_scenario(scenario) == (200, 1)


def test_entry_that_expired_and_returned_still_leaves():
    """Guards against forgetting a server while the store has lost its entry."""

    async def scenario(harness):
        leaving = ScriptedBackend(reply=reply_with(leaving_response))
        await harness.start("plain", leaving)
        await harness.send_request("/unsafe/")
        listed = harness.routing_state.servers
        harness.routing_state.set_servers({})
        harness.routing_state.set_servers(listed)
        head, _ = await harness.send_request("/unsafe/")
        return head.status, len(leaving.received)

    assert run_scenario(scenario) == (503, 1)


def test_waiting_requests_avoid_a_server_that_another_gateway_heard_leaves():
    """Guards against a placement on what was known when the requests arrived."""

    async def scenario(harness):
        is_released = asyncio.Event()

        async def late_reply(req, writer):
            await is_released.wait()
            writer.write(signed_response(req))

        leaving, staying = (ScriptedBackend(reply=late_reply) for _ in range(2))
        await harness.start("plain", leaving, staying, slots=1)
        sending = [
            asyncio.ensure_future(harness.send_request("/safe/", method="GET"))
            for _ in range(REQUESTS)
        ]
        dispatcher = harness.dispatcher
        placed = dispatcher.loads.own_requests
        while dispatcher.waiting_count() + placed("s-0") + placed("s-1") < REQUESTS:
            await asyncio.sleep(0.01)
        assert dispatcher.waiting_count()
        placed_before = placed("s-0")
        told_by_peer = Leaving(incarnation=("s-0", 0), heard_at=0.0)
        dispatcher.advisories.merge(told_by_peer, now=0.0)
        is_released.set()
        await asyncio.gather(*sending)
        return placed_before, len(leaving.received), len(staying.received)

    placed_before, leaving, staying = run_scenario(scenario)
    assert placed_before > 0
    assert (leaving, staying) == (placed_before, REQUESTS - placed_before)


def test_request_that_waited_through_a_pause_of_the_process_avoids_the_server():
    """Guards against a placement on what was known before the process was frozen."""

    async def scenario(harness):
        leaving = ScriptedBackend(reply=reply_with(leaving_response))
        staying = ScriptedBackend(reply=reply_with(signed_response))
        await harness.start("plain", leaving, staying, slots=1)
        advisories = harness.dispatcher.advisories
        told_by_peer = Leaving(incarnation=("s-0", 0), heard_at=0.0)
        sending = [
            asyncio.ensure_future(harness.send_request("/safe/", method="GET"))
            for _ in range(4)
        ]
        advisories.merge(told_by_peer, now=0.0)
        # The process stands still, and the waiting requests are placed after it.
        time.sleep(0.3)
        await asyncio.gather(*sending)
        return len(leaving.received)

    assert run_scenario(scenario) == 0
