"""Tests of prompts that end each backend server that begins to answer them."""

import asyncio
import contextlib

import pytest

from eelgrassdale.clock import SystemClock
from eelgrassdale.http1 import ExchangeFailed
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


# Parts of a prompt before the deadly one.
MANY_PARTS = [f"part-{number}" for number in range(40)]


async def end_before_head(_req, _writer):
    pass


async def end_after_head(req, writer):
    writer.write(stream_head(req))


async def end_after_events(req, writer):
    writer.write(stream_head(req) + chunk(event(1)) + chunk(event(2)))


async def end_between_events_without_length(req, writer):
    head = stream_head(req).replace(b"Transfer-Encoding: chunked\r\n", b"")
    writer.write(head + event(1) + event(2))


END_STAGES = [
    end_before_head,
    end_after_head,
    end_after_events,
    end_between_events_without_length,
]


def crashing_backend(stage=end_after_head):
    """Return a backend server that ends under a deadly request; answers the others."""

    async def reply(req, writer):
        if DEADLY_PART not in req.get("t-parts", "").split(":40,"):
            writer.write(stream_head(req) + chunk(event(1)) + chunk(b""))
            return
        await stage(req, writer)
        await writer.drain()
        await asyncio.sleep(0.06)
        backend.end()

    backend = ScriptedBackend(reply=reply)
    return backend


async def send(harness, number, *parts, path="/stream/"):
    listed = ",".join([*(f"{part}:40" for part in parts), f"own-{number}:500"])
    head, _ = await harness.send_request(
        path, t_parts=listed, t_model="m", t_request=f"r-{number}", seconds=5.0
    )
    return head


async def send_deadly(harness, number, *parts, path):
    with contextlib.suppress(ExchangeFailed):
        await send(harness, number, *parts, path=path)


def deadly_arrivals(backends):
    return sum(
        DEADLY_PART in req.get("t-parts", "")
        for backend in backends
        for req in backend.received
    )


@pytest.mark.parametrize("parts_before", [["first"], MANY_PARTS], ids=["2nd", "41st"])
@pytest.mark.parametrize("stage", END_STAGES)
@pytest.mark.parametrize("path", ["/stream/", "/once/"])
def test_prompt_part_that_ends_servers_stops_reaching_them(path, stage, parts_before):
    """Guards against requests of one kind that end one server after the other.

    Those that ended it before the head, after an event or with a part behind the 16th
    were not seen.
    """

    async def scenario(harness):
        backends = [crashing_backend(stage) for _ in range(20)]
        await harness.start("engine", *backends)
        sound_statuses = []
        for number in range(12):
            await send_deadly(
                harness, 2 * number, *parts_before, DEADLY_PART, path=path
            )
            head = await send(harness, 2 * number + 1, *parts_before)
            sound_statuses.append(head.status)
        return deadly_arrivals(backends), sound_statuses

    arrivals, sound_statuses = run_scenario(scenario)
    assert arrivals <= TOLERATED_CRASHES + TOLERATED_SENDS
    assert sound_statuses == [200] * 12


@pytest.mark.parametrize("stage", END_STAGES[:3])
def test_connections_that_sound_servers_close_hold_no_prompt_back(stage):
    """Guards against sound prompts that are refused where connections are reset."""

    async def close_connection(req, writer):
        await stage(req, writer)
        await writer.drain()
        writer.close()

    async def scenario(harness):
        backends = [ScriptedBackend(reply=close_connection) for _ in range(3)]
        await harness.start("engine", *backends)
        for number in range(12):
            await send_deadly(harness, number, "first", path="/once/")
        return harness.dispatcher.quarantine.states()

    assert run_scenario(scenario) == []


def test_quarantined_prompt_is_refused_at_once_while_all_servers_are_full():
    """Guards against a wait for a server that would be refused in the end."""

    async def scenario(harness):
        await harness.start("engine")
        for number in range(MIN_CRASHES):
            parts = frozenset({f"m/{DEADLY_PART}", f"m/other-{number}"})
            at = SystemClock().monotonic() - number
            harness.dispatcher.quarantine.record_crash(f"s-{number}", parts, at=at)
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
            at = SystemClock().monotonic() - number
            harness.dispatcher.quarantine.record_crash(f"s-{number}", parts, at=at)
        async with asyncio.timeout(0.2):
            return (await waiting).status

    assert run_scenario(scenario) == 503


def test_request_under_which_a_server_ended_is_not_sent_to_another():
    """Guards against a second lost server for each deadly request."""

    async def scenario(harness):
        backends = [crashing_backend() for _ in range(3)]
        await harness.start("engine", *backends)
        head = await send(harness, 1, DEADLY_PART)
        return head.status, deadly_arrivals(backends)

    assert run_scenario(scenario) == (502, 1)


@pytest.mark.parametrize("stage", END_STAGES[:3])
def test_common_prompt_is_retried_after_a_server_ended_under_it(stage):
    """Guards against sound requests that are given up where servers fail anyway."""
    arrivals = []

    def backend_that_ends_once():
        async def reply(req, writer):
            arrivals.append(req)
            if len(arrivals) == 2:
                await stage(req, writer)
                await writer.drain()
                backend.end()
                return
            first = int(req.get("t-last-event", 0)) + 1
            writer.write(stream_head(req) + chunk(event(first)) + chunk(b""))

        backend = ScriptedBackend(reply=reply)
        return backend

    async def scenario(harness):
        backends = [backend_that_ends_once() for _ in range(3)]
        await harness.start("engine", *backends)
        return [(await send(harness, number, "first")).status for number in range(2)]

    assert run_scenario(scenario) == [200, 200]
    assert len(arrivals) == 3
