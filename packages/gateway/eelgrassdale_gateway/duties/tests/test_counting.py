"""Tests of which attempts count as requests that began to run, and for whom."""

import pytest

from eelgrassdale_gateway.tests.harness import (
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


def misdirected(req):
    return signed_response(req, b"", "421 Misdirected Request")


def failure(req):
    return signed_response(req, b"", "500 Internal Server Error")


def stream(req):
    return stream_head(req) + chunk(event(1) + event(2)) + chunk(b"")


def stream_without_event(req):
    return stream_head(req) + chunk(b"")


@pytest.mark.parametrize(
    ("service", "path", "reply", "count"),
    [
        ("plain", "/unsafe/x", signed_response, 1),
        ("plain", "/unsafe/x", failure, 1),
        ("plain", "/unsafe/x", refusal, 0),
        ("plain", "/unsafe/x", misdirected, 0),
        ("engine", "/once/x", stream, 1),
        ("engine", "/once/x", stream_without_event, 0),
        ("engine", "/once/x", failure, 1),
    ],
)
def test_attempt_counts_once_it_began_to_run(service, path, reply, count):
    """Guards against usage of requests that servers refused, or counted twice."""
    runs = []

    async def scenario(harness):
        harness.forwarder.on_run = runs.append
        await harness.start(service, ScriptedBackend(reply=reply_with(reply)))
        await harness.send_request(path, seconds=0.5)

    run_scenario(scenario)
    assert runs == ["acme"] * count


def test_each_attempt_of_a_request_counts():
    runs = []

    async def scenario(harness):
        harness.forwarder.on_run = runs.append
        backends = [ScriptedBackend(reply=reply_with(failure)) for _ in range(2)]
        await harness.start("plain", *backends)
        await harness.send_request("/safe/x", seconds=1.0)

    run_scenario(scenario)
    assert runs == ["acme"] * 2
