"""Tests of gateways whose backend servers name a limit of requests."""

import asyncio
import time

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
