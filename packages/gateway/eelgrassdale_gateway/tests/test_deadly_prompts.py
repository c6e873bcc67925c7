"""Tests of prompts that end each backend server that begins to answer them."""

import asyncio

import pytest

from eelgrassdale_gateway.quarantine.evidence import MIN_CRASHES
from eelgrassdale_gateway.quarantine.state import FIRST_TRIAL_SECONDS
from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    chunk,
    event,
    run_scenario,
    stream_head,
)

DEADLY_PART = "bad"
# Backend servers that may end, and requests that may follow, by the platform's rule.
TOLERATED_CRASHES = 5
TOLERATED_SENDS = 3


async def crash_on_deadly_part(req, writer):
    """End the connection at the first event of a deadly request; answer the others."""
    writer.write(stream_head(req))
    await writer.drain()
    if DEADLY_PART in req.get("t-parts", ""):
        await asyncio.sleep(0.01)
        writer.close()
        return
    writer.write(chunk(event(1)) + chunk(b""))


async def send(harness, number, *parts, path="/stream/"):
    listed = ",".join([*(f"{part}:40" for part in parts), f"own-{number}:500"])
    head, _ = await harness.send_request(
        path, t_parts=listed, t_model="m", t_request=f"r-{number}", seconds=5.0
    )
    return head


def deadly_arrivals(backends):
    return sum(
        DEADLY_PART in req.get("t-parts", "")
        for backend in backends
        for req in backend.received
    )


@pytest.mark.parametrize("path", ["/stream/", "/once/"])
def test_prompt_part_that_ends_servers_stops_reaching_them(path):
    """Guards against requests of one kind that end one server after the other."""

    async def scenario(harness):
        backends = [ScriptedBackend(reply=crash_on_deadly_part) for _ in range(12)]
        await harness.start("engine", *backends)
        sound_statuses = []
        for number in range(12):
            await send(harness, 2 * number, "first", DEADLY_PART, path=path)
            sound_statuses.append((await send(harness, 2 * number + 1, "first")).status)
        return deadly_arrivals(backends), sound_statuses

    arrivals, sound_statuses = run_scenario(scenario)
    assert arrivals <= TOLERATED_CRASHES + TOLERATED_SENDS
    assert sound_statuses == [200] * 12


def test_quarantined_prompt_is_refused_at_once_while_all_servers_are_full():
    """Guards against a wait for a server that would be refused in the end."""

    async def scenario(harness):
        await harness.start("engine")
        for number in range(MIN_CRASHES):
            parts = frozenset({f"m/{DEADLY_PART}", f"m/other-{number}"})
            harness.dispatcher.quarantine.record_crash(f"s-{number}", parts)
        started_at = asyncio.get_running_loop().time()
        head = await send(harness, 1, DEADLY_PART)
        return head, asyncio.get_running_loop().time() - started_at

    head, seconds = run_scenario(scenario)
    assert head.status == 503
    assert float(head.header("retry-after")) > FIRST_TRIAL_SECONDS - 5
    assert seconds < 0.2


def test_waiting_request_is_refused_once_its_prompt_is_quarantined():
    async def scenario(harness):
        await harness.start("engine")
        waiting = asyncio.ensure_future(send(harness, 1, DEADLY_PART))
        await asyncio.sleep(0.1)
        for number in range(MIN_CRASHES):
            parts = frozenset({f"m/{DEADLY_PART}", f"m/other-{number}"})
            harness.dispatcher.quarantine.record_crash(f"s-{number}", parts)
        async with asyncio.timeout(0.2):
            return (await waiting).status

    assert run_scenario(scenario) == 503


def test_request_under_which_a_server_ended_is_not_sent_to_another():
    """Guards against a second lost server for each deadly request."""

    async def scenario(harness):
        backends = [ScriptedBackend(reply=crash_on_deadly_part) for _ in range(3)]
        await harness.start("engine", *backends)
        head = await send(harness, 1, DEADLY_PART)
        return head.status, deadly_arrivals(backends)

    assert run_scenario(scenario) == (502, 1)


def test_common_prompt_is_retried_after_a_server_ended_under_it():
    """Guards against sound requests that are given up where servers fail anyway."""
    is_down = []

    async def crash_once(req, writer):
        writer.write(stream_head(req))
        if len(is_down) == 1:
            is_down.append(True)
            await writer.drain()
            writer.close()
            return
        is_down.append(True)
        writer.write(chunk(event(1)) + chunk(b""))

    async def scenario(harness):
        backends = [ScriptedBackend(reply=crash_once) for _ in range(3)]
        await harness.start("engine", *backends)
        return [(await send(harness, number, "first")).status for number in range(2)]

    assert run_scenario(scenario) == [200, 200]
