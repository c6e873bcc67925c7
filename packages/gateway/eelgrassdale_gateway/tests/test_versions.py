"""Tests of requests that wait at an engine whose version becomes obsolete."""

import asyncio

import pytest

from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    chunk,
    event,
    run_scenario,
    stream_head,
)

GRACE_SECONDS = 2.0


def stream_of_two_events(req, writer):
    writer.write(stream_head(req) + chunk(event(1)) + chunk(event(2)) + chunk(b""))


def engine_that_begins_after(seconds):
    """Return a reply function of an engine at which requests wait before they begin."""

    async def reply(req, writer):
        await asyncio.sleep(seconds)
        stream_of_two_events(req, writer)

    return reply


async def play(harness, *, path, wait_seconds):
    """Send a request that waits at an engine of version 1, while 2 is the target.

    Older versions may serve for 0.3 s, and requests may begin on them for another
    0.2 s. Returns the status of the response, its body and the arrivals at the old and
    at the new engine.
    """
    old = ScriptedBackend(reply=engine_that_begins_after(wait_seconds))
    new = ScriptedBackend(reply=engine_that_begins_after(0.0))
    state = harness.routing_state
    state.version_grace_seconds, state.queue_seconds = GRACE_SECONDS, 0.2
    await harness.start("engine", old)
    set_at = asyncio.get_running_loop().time() + 0.3 - GRACE_SECONDS
    state.set_target_versions({"m": 1}, set_at)
    state.set_target_versions({"m": 2}, set_at)
    request = asyncio.ensure_future(
        harness.send_request(path, seconds=5.0, t_model="m", t_tokens="100,10")
    )
    while not old.received:
        await asyncio.sleep(0.01)
    await harness.add_backend("engine", "s-new", new, versions={"m": 2})
    head, body = await request
    return head.status, body, len(old.received), len(new.received)


def test_request_that_begins_too_late_on_an_old_version_is_sent_to_a_new_one():
    """Guards against a request that begins on a version that may no longer serve.

    A gateway that stops sending in time is not enough: a request waited 1.5 s at its
    engine and began 0.2 s after the limit.
    """

    async def scenario(harness):
        return await play(harness, path="/stream/", wait_seconds=1.2)

    status, body, old_arrivals, new_arrivals = run_scenario(scenario)
    assert (status, body) == (200, event(1) + event(2))
    assert (old_arrivals, new_arrivals) == (1, 1)


@pytest.mark.parametrize("path", ["/stream/", "/once/"])
def test_request_that_begins_in_time_on_an_old_version_is_answered(path):
    async def scenario(harness):
        return await play(harness, path=path, wait_seconds=0.2)

    status, body, old_arrivals, new_arrivals = run_scenario(scenario)
    assert (status, body) == (200, event(1) + event(2))
    assert (old_arrivals, new_arrivals) == (1, 0)


def test_withdrawn_request_that_may_run_once_fails_and_is_not_sent_again():
    async def scenario(harness):
        return await play(harness, path="/once/", wait_seconds=1.2)

    status, _, old_arrivals, new_arrivals = run_scenario(scenario)
    assert (status, old_arrivals, new_arrivals) == (502, 1, 0)
