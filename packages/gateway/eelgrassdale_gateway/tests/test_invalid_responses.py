"""Tests of backend servers whose responses have no valid status or head."""

from functools import partial

import pytest

from eelgrassdale.results import ResultCode, info_of
from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    chunk,
    event,
    reply_with,
    run_scenario,
    signed_response,
    stream_head,
)

STATUS_LINES = [
    *(f"HTTP/1.1 {status} X" for status in ("000", "099", "600", "999", "abc")),
    *(f"HTTP/1.1 {status} X" for status in ("20", "2000", "+20", "-20", "2 0")),
    "HTTP/1.1 ",
    "HTTP/1.1",
    "HTTP/9.9 200 OK",
    "HTTP/1.x 200 OK",
    "http/1.1 200 OK",
    "\x00\x01\x02 garbage",
    "HTTP/1.1 200 OK\r\nno colon",
    "HTTP/1.1 200 OK\r\nContent-Length: -1",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 X",
    "HTTP/1.1 101 Switching Protocols",
]


def with_status_line(line, req):
    """Return a response that is signed and complete but for its first line."""
    return signed_response(req).replace(b"HTTP/1.1 200 OK", line.encode("latin-1"), 1)


def failing_once(line, make):
    """Return a reply function whose first response at any server begins with `line`."""
    arrivals = []

    def reply(req):
        arrivals.append(req)
        return with_status_line(line, req) if len(arrivals) == 1 else make(req)

    return reply_with(reply)


async def send_to_two(service, path, reply, harness):
    backends = [ScriptedBackend(reply=reply) for _ in range(2)]
    await harness.start(service, *backends)
    head, body = await harness.send_request(path)
    return head.status, body, sum(len(backend.received) for backend in backends)


@pytest.mark.parametrize("line", STATUS_LINES)
def test_invalid_response_is_a_failed_attempt(line):
    """Guards against passing it on, and against repeating work that may have run."""

    def whole_stream(req):
        return stream_head(req) + chunk(event(1)) + chunk(b"")

    def run(service, path, make):
        reply = failing_once(line, make)
        return run_scenario(partial(send_to_two, service, path, reply))

    assert run("plain", "/safe/", signed_response) == (200, b"ok", 2)
    assert run("engine", "/stream/", whole_stream) == (200, event(1), 2)
    for service, path in (("plain", "/unsafe/"), ("engine", "/once/")):
        status, _, count = run(service, path, signed_response)
        assert (status, count) == (502, 1)


@pytest.mark.parametrize("line", ["HTTP/1.1 600 X", "HTTP/1.1 000 X"])
def test_invalid_response_of_each_attempt_is_not_passed_on(line):
    reply = reply_with(partial(with_status_line, line))
    status, _, count = run_scenario(partial(send_to_two, "plain", "/safe/", reply))
    assert (status, count) == (502, 2)


def test_status_of_each_result_code_is_one_of_a_final_response():
    statuses = {info_of(code).http_status for code in ResultCode}
    assert all(200 <= status <= 599 for status in statuses)
