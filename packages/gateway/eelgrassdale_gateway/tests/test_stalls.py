"""Tests of sound servers that fall silent for a while and go on."""

import asyncio

import pytest
from attrs import evolve

from eelgrassdale_gateway.attempts import STREAM_SILENCE_GAPS
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

WHOLE = event(1) + event(2)
# Until another place is sought for a stream of the harness.
SILENCE_SECONDS = STREAM_SILENCE_GAPS * ROUTES[2].max_event_gap_seconds


def pausing_stream(seconds):
    """Return a reply that falls silent between its two events."""

    async def reply(req, writer):
        first = int(req.get("t-last-event", 0)) + 1
        writer.write(stream_head(req) + chunk(event(first)))
        await writer.drain()
        if first == 1:
            await asyncio.sleep(seconds)
            writer.write(chunk(event(2)))
        writer.write(chunk(b""))

    return reply


async def no_change(_harness):
    pass


async def drop_service(harness):
    """Put a configuration in force without the service of the stream."""
    services = {name: s for name, s in TABLE.services.items() if name != "engine"}
    harness.routing_state.apply_table(evolve(TABLE, version=2, services=services))


async def use_up_retries(harness):
    while harness.forwarder._retry_budgets.take("engine"):
        pass


async def take_out_data_centre(harness):
    harness.routing_state.set_data_centres_out(frozenset({"n1"}))


@pytest.mark.parametrize(
    ("server_count", "change"),
    [
        (1, no_change),
        (2, drop_service),
        (2, use_up_retries),
        (2, take_out_data_centre),
    ],
)
def test_stream_of_a_silent_server_goes_on_where_no_other_can_take_it(
    server_count, change
):
    """Guards against an answer that is cut although its server goes on.

    It was cut beside changes of the configuration, for which no retry had a place.
    """
    reply = pausing_stream(SILENCE_SECONDS + 0.8)

    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply) for _ in range(server_count)]
        await harness.start("engine", *backends)
        request = asyncio.ensure_future(harness.send_request("/stream/", seconds=6.0))
        await asyncio.sleep(0.3)
        await change(harness)
        head, body = await request
        return head.status, body

    assert run_scenario(scenario) == (200, WHOLE)


def test_stream_of_a_silent_server_is_continued_where_another_can_take_it():
    """Guards against a wait for a server that has fallen silent for good."""

    async def scenario(harness):
        backends = [ScriptedBackend(reply=pausing_stream(20.0)) for _ in range(2)]
        await harness.start("engine", *backends)
        started_at = asyncio.get_running_loop().time()
        _, body = await harness.send_request("/stream/", seconds=6.0)
        return body, asyncio.get_running_loop().time() - started_at

    body, seconds = run_scenario(scenario)
    assert body == WHOLE
    assert seconds < SILENCE_SECONDS + 1.0


def test_place_that_is_not_needed_is_given_back():
    """Guards against loads and retries that leak where a silent server goes on."""

    async def scenario(harness):
        backend = ScriptedBackend(reply=pausing_stream(SILENCE_SECONDS + 0.3))
        await harness.start("engine", backend)
        budgets = harness.forwarder._retry_budgets
        budgets.add_request("engine")
        before = budgets._budgets["engine"].tokens
        request = asyncio.ensure_future(harness.send_request("/stream/", seconds=6.0))
        await asyncio.sleep(0.3)
        await take_out_data_centre(harness)
        await request
        after = budgets._budgets["engine"].tokens
        return after >= before, harness.dispatcher.waiting_count()

    assert run_scenario(scenario) == (True, 0)


def test_whole_response_of_a_pausing_server_is_awaited_where_no_other_can_give_it():
    """Guards against a failure well before the deadline, as a sound server pauses."""

    async def pause_within_the_body(req, writer):
        response = signed_response(req)
        writer.write(response[:-1])
        await asyncio.sleep(1.2)
        writer.write(response[-1:])

    async def scenario(harness):
        await harness.start("plain", ScriptedBackend(reply=pause_within_the_body))
        head, body = await harness.send_request("/safe/x", method="GET")
        return head.status, body

    assert run_scenario(scenario) == (200, b"ok")
