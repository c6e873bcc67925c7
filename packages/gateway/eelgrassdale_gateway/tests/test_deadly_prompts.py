"""Tests of prompts that end each backend server that begins to answer them."""

import asyncio

import pytest

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
        path, t_parts=listed, t_model="m", t_request=f"r-{number}"
    )
    return head.status


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
            sound_statuses.append(await send(harness, 2 * number + 1, "first"))
        return deadly_arrivals(backends), sound_statuses

    arrivals, sound_statuses = run_scenario(scenario)
    assert arrivals <= TOLERATED_CRASHES + TOLERATED_SENDS
    assert sound_statuses == [200] * 12
