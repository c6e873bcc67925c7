"""Tests of gateways whose backend servers say in responses that they leave."""

from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    reply_with,
    run_scenario,
    signed_response,
)

REQUESTS = 30


def leaving_response(req):
    return signed_response(req, b"ok", "200 OK", "T-Leaving: 1")


def test_server_that_says_it_leaves_gets_no_further_requests():
    async def scenario(harness):
        leaving = ScriptedBackend(reply=reply_with(leaving_response))
        staying = ScriptedBackend(reply=reply_with(signed_response))
        await harness.start("plain", leaving, staying)
        for _ in range(REQUESTS):
            await harness.send_request("/safe/", method="GET")
        return len(leaving.received), len(staying.received)

    assert run_scenario(scenario) == (1, REQUESTS - 1)
