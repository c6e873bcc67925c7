"""Tests of backend servers whose responses have no valid status or head."""

from functools import partial

import pytest

from eelgrassdale.results import ResultCode, info_of
from eelgrassdale.tests.invalidheads import INVALID_HEADS
from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    chunk,
    event,
    reply_with,
    run_scenario,
    signed_response,
    stream_head,
)


def with_head(head, req):
    """Return a response that is signed and complete but for its first head."""
    return signed_response(req).replace(b"HTTP/1.1 200 OK", head, 1)


def failing_once(head, make):
    """Return a reply function whose first response at any server begins with `head`."""
    arrivals = []

    def reply(req):
        arrivals.append(req)
        return with_head(head, req) if len(arrivals) == 1 else make(req)

    return reply_with(reply)


async def send_to_two(service, path, reply, harness):
    backends = [ScriptedBackend(reply=reply) for _ in range(2)]
    await harness.start(service, *backends)
    response, body = await harness.send_request(path)
    return response.status, body, sum(len(backend.received) for backend in backends)


@pytest.mark.parametrize("head", INVALID_HEADS)
def test_invalid_response_is_a_failed_attempt(head):
    """Guards against passing it on, and against repeating work that may have run."""

    def whole_stream(req):
        return stream_head(req) + chunk(event(1)) + chunk(b"")

    def run(service, path, make):
        reply = failing_once(head, make)
        return run_scenario(partial(send_to_two, service, path, reply))

    assert run("plain", "/safe/", signed_response) == (200, b"ok", 2)
    assert run("engine", "/stream/", whole_stream) == (200, event(1), 2)
    for service, path in (("plain", "/unsafe/"), ("engine", "/once/")):
        status, _, count = run(service, path, signed_response)
        assert (status, count) == (502, 1)


@pytest.mark.parametrize("head", [b"HTTP/1.1 600 X", b"HTTP/1.1 000 X"])
def test_invalid_response_of_each_attempt_is_not_passed_on(head):
    reply = reply_with(partial(with_head, head))
    status, _, count = run_scenario(partial(send_to_two, "plain", "/safe/", reply))
    assert (status, count) == (502, 2)


def test_status_of_each_result_code_is_one_of_a_final_response():
    statuses = {info_of(code).http_status for code in ResultCode}
    assert all(200 <= status <= 599 for status in statuses)
