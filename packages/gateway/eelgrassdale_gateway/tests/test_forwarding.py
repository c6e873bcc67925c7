"""Tests of forwarding to backend servers that fail in various ways."""

import asyncio
import time

import pytest

from eelgrassdale.clock import SystemClock
from eelgrassdale.http1 import ExchangeFailed, Request, connect
from eelgrassdale_gateway.stopschedule import StopSchedule
from eelgrassdale_gateway.tests.harness import (
    TIMEOUT_SECONDS,
    ScriptedBackend,
    chunk,
    event,
    reply_with,
    run_scenario,
    signed_response,
    stream_head,
)


def refusal(req):
    return signed_response(req, b"", "503 Service Unavailable", "T-Not-Run: 1")


def test_request_reaches_the_backend_server_unchanged_except_for_gateway_headers():
    async def scenario(harness):
        backend = ScriptedBackend(reply=reply_with(signed_response))
        await harness.start("plain", backend)
        head, body = await harness.send_request(
            "/unsafe/x?y=%20z", t_account="forged", x_own="1"
        )
        return head, body, backend.received[0]

    head, body, req = run_scenario(scenario)
    assert (head.status, body, head.header("t-signature")) == (200, b"ok", "seal")
    assert req["line"] == "POST /unsafe/x?y=%20z HTTP/1.1"
    assert (req["body"], req["x-own"], req["t-server"]) == (b"body", "1", "s-0")
    assert req["t-account"] == "acme"
    assert "t-key" not in req
    assert 1000 < int(req["t-time-left"]) <= 2000


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/", "key-1", 404), ("/safe/", "wrong", 401), ("/safe/", "", 401)],
)
def test_invalid_requests_are_refused_by_the_gateway(path, key, status):
    async def scenario(harness):
        backend = ScriptedBackend(reply=reply_with(signed_response))
        await harness.start("plain", backend)
        head, _ = await harness.send_request(path, t_key=key)
        return head.status, backend.received

    assert run_scenario(scenario) == (status, [])


def test_gateway_without_a_configuration_responds_not_ready():
    """A new process must not respond 401 or 404 to a request that may be valid."""

    async def scenario(harness):
        harness.address = await harness.server.start("127.0.0.1", 0)
        head, _ = await harness.send_request("/safe/")
        return head.status

    assert run_scenario(scenario) == 503


async def close_connection(_req, writer):
    writer.close()


async def truncated(req, writer):
    writer.write(signed_response(req)[:-1])
    writer.close()


async def mismatched_request_id(req, writer):
    writer.write(signed_response(req | {"t-request": "r-other"}))


async def unsigned(req, writer):
    writer.write(signed_response(req).replace(b"T-Signature: seal\r\n", b""))


async def garbage(_req, writer):
    writer.write(b"\x00\x01 no answer\r\n\r\n")


async def unmarked_503(req, writer):
    writer.write(signed_response(req, b"", "503 Service Unavailable"))


LOST_REPLIES = [
    close_connection,
    truncated,
    mismatched_request_id,
    unsigned,
    garbage,
    unmarked_503,
]


@pytest.mark.parametrize("reply", LOST_REPLIES)
def test_request_that_may_have_run_is_not_retried_nor_reported_as_refused(reply):
    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply), ScriptedBackend(reply=reply)]
        await harness.start("plain", *backends)
        head, _ = await harness.send_request("/unsafe/")
        return head, sum(len(backend.received) for backend in backends)

    head, arrivals = run_scenario(scenario)
    assert head.status == 502
    assert head.header("t-signature") == ""
    assert arrivals == 1


@pytest.mark.parametrize("reply", LOST_REPLIES)
def test_idempotent_request_is_retried_on_another_backend_server(reply):
    async def scenario(harness):
        bad, good = (
            ScriptedBackend(reply=reply),
            ScriptedBackend(reply=reply_with(signed_response)),
        )
        await harness.start("plain", bad, good)
        results = [await harness.send_request("/safe/", method="GET") for _ in range(6)]
        return [head.status for head, _ in results], len(bad.received)

    statuses, failures = run_scenario(scenario)
    assert statuses == [200] * 6
    assert failures >= 1


def test_refused_request_goes_to_another_backend_server():
    async def scenario(harness):
        full, free = (
            ScriptedBackend(reply=reply_with(refusal)),
            ScriptedBackend(reply=reply_with(signed_response)),
        )
        await harness.start("plain", full, free)
        heads = [(await harness.send_request("/unsafe/"))[0].status for _ in range(6)]
        return heads, len(full.received), len(free.received)

    heads, refused, ran = run_scenario(scenario)
    assert heads == [200] * 6
    assert refused >= 1
    assert ran == 6


def test_refusal_by_all_backend_servers_gives_503_with_retry_after():
    async def scenario(harness):
        backends = [ScriptedBackend(reply=reply_with(refusal)) for _ in range(2)]
        await harness.start("plain", *backends)
        return (await harness.send_request("/unsafe/"))[0]

    head = run_scenario(scenario)
    assert head.status == 503
    assert 0 < float(head.header("retry-after")) <= 2 / 3


def test_response_to_an_earlier_request_does_not_reach_the_next_caller():
    """A late duplicate arrives where the response to the next request is expected."""

    async def reply(req, writer):
        writer.write(signed_response(req, b"first"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(signed_response(req, b"late"))

    async def scenario(harness):
        backend = ScriptedBackend(reply=reply)
        await harness.start("plain", backend)
        bodies = []
        for number in range(3):
            _, body = await harness.send_request(
                "/safe/", method="GET", t_request=f"r-{number}"
            )
            bodies.append(body)
            await asyncio.sleep(0.02)
        return bodies

    assert run_scenario(scenario) == [b"first"] * 3


def test_failure_of_the_backend_server_keeps_status_and_signature():
    async def scenario(harness):
        failed = reply_with(
            lambda req: signed_response(req, b"why", "500 Internal Server Error")
        )
        backend = ScriptedBackend(reply=failed)
        await harness.start("plain", backend)
        return await harness.send_request("/unsafe/")

    head, body = run_scenario(scenario)
    assert (head.status, head.header("t-signature"), body) == (500, "seal", b"why")


def test_silent_backend_server_gives_504_at_the_time_limit_of_the_caller():
    async def no_reply(_req, _writer):
        await asyncio.sleep(5)

    async def scenario(harness):
        backend = ScriptedBackend(reply=no_reply)
        await harness.start("plain", backend)
        head, _ = await harness.send_request("/unsafe/", seconds=0.3)
        return head.status, len(backend.received)

    assert run_scenario(scenario) == (504, 1)


def test_caller_that_disconnects_ends_its_request_at_the_backend_server():
    async def no_reply(_req, _writer):
        await asyncio.sleep(0)

    async def scenario(harness):
        backend = ScriptedBackend(reply=no_reply)
        await harness.start("plain", backend)
        conn = await connect(harness.address, timeout=1)
        headers = (("host", "h"), ("t-request", "r"), ("t-key", "key-1"))
        await conn.send(Request(method="POST", target="/unsafe/", headers=headers))
        while not backend.received:
            await asyncio.sleep(0.01)
        conn.close()
        await backend.closed.wait()
        return harness.dispatcher.loads.own_loads()

    assert run_scenario(scenario) == {}


def stream_reply(first, last, *, is_truncated=False):
    async def reply(req, writer):
        first_number = int(req.get("t-last-event", first - 1)) + 1
        writer.write(stream_head(req))
        for number in range(first_number, last + 1):
            writer.write(chunk(event(number)))
        if is_truncated:
            writer.write(chunk(b"id: 99\nda"))
            await writer.drain()
            writer.close()
        else:
            writer.write(chunk(b""))

    return reply


def test_broken_stream_is_continued_after_its_last_complete_event():
    async def scenario(harness):
        bad = ScriptedBackend(reply=stream_reply(0, 2, is_truncated=True))
        good = ScriptedBackend(reply=stream_reply(0, 5))
        await harness.start("engine", bad, good)
        bodies = [
            (
                await harness.send_request(
                    "/stream/", seconds=6, t_model="m", t_tokens="100,9"
                )
            )[1]
            for _ in range(5)
        ]
        return bodies, len(bad.received)

    bodies, failures = run_scenario(scenario)
    assert bodies == [b"".join(event(number) for number in range(6))] * 5
    assert failures >= 1


def test_broken_stream_is_continued_before_its_pause_is_too_long():
    """Guards against a retry that waits behind other requests as already late.

    The due time of a broken stream must count from its last event, not its arrival.
    """

    async def breaking(req, writer):
        writer.write(stream_head(req) + chunk(event(0)))
        await writer.drain()
        await asyncio.sleep(0.7)
        writer.close()

    async def busy(req, writer):
        if "t-last-event" in req:
            await stream_reply(0, 3)(req, writer)
            return
        writer.write(stream_head(req) + chunk(event(0)))
        await asyncio.sleep(TIMEOUT_SECONDS)

    async def scenario(harness):
        good = ScriptedBackend(reply=busy)
        bad = ScriptedBackend(reply=breaking)
        await harness.start("engine", bad)
        pending = asyncio.ensure_future(
            harness.send_request("/stream/", seconds=6, t_model="m")
        )
        while not bad.received:
            await asyncio.sleep(0.01)
        await harness.add_backend("engine", "s-9", good)
        # With 4 of 4 slots used, only requests that are not late are still placed.
        for _ in range(4):
            harness.dispatcher.loads.record_send("s-9", tokens=0, now=0.0)
        started_at = asyncio.get_running_loop().time()
        _, body = await pending
        return body, asyncio.get_running_loop().time() - started_at

    body, seconds = run_scenario(scenario)
    assert body == b"".join(event(number) for number in range(4))
    assert seconds < 2.0


def test_continued_stream_with_a_gap_is_aborted():
    async def gap(req, writer):
        writer.write(stream_head(req) + chunk(event(4)) + chunk(b""))

    async def scenario(harness):
        bad = ScriptedBackend(reply=stream_reply(0, 2, is_truncated=True))
        await harness.start("engine", bad, ScriptedBackend(reply=gap))
        pending = [
            harness.send_request("/stream/", seconds=6, t_model="m") for _ in range(6)
        ]
        return await asyncio.gather(*pending, return_exceptions=True)

    results = run_scenario(scenario)
    broken = [result for result in results if isinstance(result, ExchangeFailed)]
    whole = [result for result in results if result not in broken]
    assert broken
    assert all(body == event(4) for _, body in whole)


def test_stream_that_is_not_resumable_is_aborted_visibly():
    async def scenario(harness):
        backends = [
            ScriptedBackend(reply=stream_reply(0, 2, is_truncated=True))
            for _ in range(2)
        ]
        await harness.start("engine", *backends)
        with pytest.raises(ExchangeFailed):
            await harness.send_request("/once/", seconds=6, t_model="m")
        return sum(len(backend.received) for backend in backends)

    assert run_scenario(scenario) == 1


def test_request_waits_for_a_version_and_is_refused_without_one():
    async def scenario(harness):
        backend = ScriptedBackend(reply=stream_reply(0, 1))
        await harness.start("engine", backend, versions={})
        head, _ = await harness.send_request("/stream/", seconds=6, t_model="m")
        return head.status, backend.received

    assert run_scenario(scenario) == (503, [])


def test_stop_that_begins_as_the_time_of_a_request_is_up_goes_on():
    """Guards against a stop that fails on a request which is being ended already."""

    async def scenario(harness):
        async def no_reply(_req, _writer):
            await asyncio.sleep(TIMEOUT_SECONDS)

        backend = ScriptedBackend(reply=no_reply)
        await harness.start("plain", backend)
        errors = []

        def begin_stop():
            now = SystemClock().monotonic()
            schedule = StopSchedule(started_at=now, ends_at=now + 1.0)
            try:
                harness.forwarder.start_stopping(schedule)
            except RuntimeError as exc:
                errors.append(exc)

        loop = asyncio.get_running_loop()
        request = asyncio.ensure_future(harness.send_request("/unsafe/", seconds=1.0))
        while not backend.received:
            await asyncio.sleep(0.01)
        loop.call_later(1.1, begin_stop)
        # Both timers are due in the same turn of the loop.
        time.sleep(1.3)
        head, _ = await request
        return head.status, errors

    assert run_scenario(scenario) == (504, [])


@pytest.mark.parametrize(
    "headers",
    [
        {"t_tokens": f"{2**40},{2**40}"},
        {"t_tokens": "-5,-5"},
        {"t_length": "9" * 5000, "t_tokens": "1,1"},
        {"t_time_left": "nan"},
        {"t_time_left": "inf"},
    ],
)
def test_odd_numbers_of_a_caller_end_no_more_than_its_request(headers):
    """Guards against a number that a heartbeat or a timer cannot hold."""

    async def scenario(harness):
        backend = ScriptedBackend(reply=reply_with(signed_response))
        await harness.start("plain", backend)
        head, _ = await harness.send_request("/safe/", **headers)
        loads = harness.dispatcher.loads.own_loads()
        return head.status, all(load.tokens >= 0 for load in loads.values())

    assert run_scenario(scenario) == (200, True)
