"""Tests of gateways whose backend servers name a limit of requests."""

import asyncio
import time

from eelgrassdale_gateway.shares import GatewayGroup, equal_share
from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    reply_with,
    run_scenario,
    signed_response,
)

LIMIT = 5.0
SECONDS = 2.0
REQUESTS = 100


def limited_response(req):
    return signed_response(req, b"ok", "200 OK", f"T-Limit: {LIMIT}")


def test_server_gets_no_more_requests_than_the_limit_that_it_names():
    async def scenario(harness):
        limited = ScriptedBackend(reply=reply_with(limited_response))
        other = ScriptedBackend(reply=reply_with(signed_response))
        await harness.start("plain", limited, other)
        started_at = time.monotonic()
        for _ in range(REQUESTS):
            await harness.send_request("/safe/", method="GET")
            await asyncio.sleep(SECONDS / REQUESTS)
        elapsed = time.monotonic() - started_at
        return len(limited.received), len(other.received), elapsed

    limited, other, elapsed = run_scenario(scenario)
    # One request before the first response and one saved up, beside the rate.
    assert limited <= LIMIT * elapsed + 2
    assert limited + other == REQUESTS


def test_request_that_the_limits_leave_no_start_is_refused_at_once():
    """Guards against callers that learn late that a limited server has no room."""

    async def scenario(harness):
        limited = ScriptedBackend(reply=reply_with(limited_response))
        await harness.start("plain", limited)
        await harness.send_request("/safe/", method="GET")

        async def timed_request():
            started_at = time.monotonic()
            head, _ = await harness.send_request("/unsafe/", seconds=SECONDS)
            return head.status, time.monotonic() - started_at

        return await asyncio.gather(*(timed_request() for _ in range(40)))

    results = run_scenario(scenario)
    refusal_times = [seconds for status, seconds in results if status == 503]
    # Three can start within the longest wait of a late request, 0.8 s here.
    assert sum(status == 200 for status, _ in results) >= 3
    assert len(refusal_times) >= 40 - LIMIT * SECONDS
    # A few may lose a start to another request, and learn it later.
    assert sorted(refusal_times)[len(refusal_times) // 2] < 0.3


def test_gateway_without_a_share_refuses_at_once_with_a_time_to_come_back():
    """Guards against a Retry-After that no caller can read."""
    members = frozenset(f"g-{number}" for number in range(50))

    def group_without_share():
        shares = {
            name: equal_share(
                0.2,
                resource="s-0",
                gateway_group=GatewayGroup(own_name=name, members=members),
                max_members=2,
            )
            for name in sorted(members)
        }
        own_name = next(name for name, share in shares.items() if not share)
        return GatewayGroup(own_name=own_name, members=members)

    async def scenario(harness):
        group = group_without_share()
        harness.dispatcher.eligible._rate_limiter._gateway_group = lambda: group
        limited = ScriptedBackend(
            reply=reply_with(
                lambda req: signed_response(req, b"ok", "200 OK", "T-Limit: 0.1")
            )
        )
        await harness.start("plain", limited)
        await harness.send_request("/unsafe/")
        started_at = time.monotonic()
        head, _ = await harness.send_request("/unsafe/")
        return head, time.monotonic() - started_at, len(limited.received)

    head, seconds, count = run_scenario(scenario)
    assert (head.status, count) == (503, 1)
    assert 0.1 <= float(head.header("retry-after")) < 2.0
    assert seconds < 0.5
