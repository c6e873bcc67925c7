"""Tests of callers that read or send slowly, or disconnect."""

import json
import socket
import threading
import time

from eelgrassdale.wire.client import parse_address
from eelgrassdale_entry.tests.harness import (
    AgentScript,
    FakeAgent,
    entry_node,
    wait_until,
)

LONG_TEXT = b"lid " * 100_000
MEBIBYTE = 1024 * 1024


def connect(node) -> socket.socket:
    """Return a connection to the callers' interface on which nothing was sent."""
    address = parse_address(node.cfg.caller_address)
    return socket.create_connection((address.host, address.port), timeout=10)


def test_stopped_readers_stay_within_the_memory_bound_and_delay_no_one():
    agent = FakeAgent(name="a", data_centre="n1", service="lids")
    agent.slots = 200
    agent.script = lambda request: AgentScript(
        text=LONG_TEXT if request.body.find(b"long") > 0 else b"short"
    )
    with entry_node(
        [agent], reader_memory_bytes=2 * MEBIBYTE, slow_reader_seconds=1.0
    ) as node:
        stopped = [node.open_stream("long", receive_buffer=4096) for _ in range(60)]
        wait_until(lambda: len(agent.submitted) >= 60)
        assert node.generate("short")[0] == 200
        assert node.request("GET", "/v1/health")[0] == 200
        wait_until(lambda: node.counters().get("slow_readers_cut", 0) == 60)
        wait_until(lambda: len(agent.cancelled) == 60)
        node.node.memory.publish_gauges()
        counters = node.counters()
        for sock in stopped:
            sock.close()
    assert 0 < counters["reader_bytes_peak"] <= 2 * MEBIBYTE
    assert counters["reader_bytes"] == 0
    assert counters["violations"] == 0


def test_closed_connection_cancels_the_request_at_the_agent(node):
    agent = node.agent("lid-near")
    agent.script = lambda request: AgentScript(text=LONG_TEXT, stop_at=8)
    sock = node.open_stream()
    sock.recv(4096)
    sock.close()
    wait_until(lambda: agent.cancelled)
    assert agent.cancelled[0][0] == agent.submitted[0].request_id


def test_closed_connection_of_a_plain_call_cancels_it(node):
    agent = node.agent("portal-near")
    agent.script = lambda request: AgentScript(stop_at=0)
    sock = connect(node)
    sock.sendall(
        b"GET /v1/services/portal/call/x HTTP/1.1\r\nHost: e\r\n"
        b"X-Client-Account: acme\r\n\r\n"
    )
    wait_until(lambda: agent.submitted)
    sock.close()
    wait_until(lambda: agent.cancelled)


def test_slow_service_is_not_mistaken_for_a_disconnected_caller():
    """Guards against a socket timeout that is taken for a disconnected caller.

    The check whether the caller is connected waited for data until the timeout of
    the socket, and then treated the timeout as an error.
    """
    agent = FakeAgent(name="d", data_centre="n1", service="desk")
    script = AgentScript(stop_at=0)
    agent.script = lambda request: script
    release = threading.Timer(1.0, setattr, (script, "stop_at", None))
    with entry_node([agent], sender_seconds=0.4) as harness:
        release.start()
        status, _, body = harness.call()
    assert (status, body) == (200, script.text)
    assert not agent.cancelled


def test_connections_without_data_use_no_server_threads(node):
    """Guards against idle connections that occupy all server threads.

    Each connection occupied a thread from its start until its timeout.
    """
    without_data = [connect(node) for _ in range(40)]
    assert node.request("GET", "/v1/health")[0] == 200
    for sock in without_data:
        sock.close()


def test_sender_of_single_bytes_is_disconnected():
    with entry_node([], sender_seconds=0.6) as node:
        sock = connect(node)
        began = time.monotonic()
        while time.monotonic() - began < 10:
            try:
                sock.sendall(b"G")
                sock.settimeout(0.1)
                if sock.recv(100) == b"":
                    break
            except TimeoutError:
                continue
            except OSError:
                break
        else:
            raise AssertionError("the connection was not closed within 10 s")


def test_oversized_body_gets_a_clear_error(node):
    status, headers, body = node.request(
        "POST", "/v1/services/lids/generate", b"x" * (MEBIBYTE + 1)
    )
    assert (status, headers["X-Result-Code"]) == (413, "104")
    assert json.loads(body)["ran"] == "not run"


def test_oversized_headers_are_refused(node):
    status, _, _ = node.request("GET", "/v1/health", headers={"X-Long": "x" * 20_000})
    assert status == 413


def test_invalid_fields_are_reported_together(node):
    status, _, body = node.request(
        "POST", "/v1/services/lids/generate", b'{"prompt": 7, "max_tokens": 0}'
    )
    assert status == 400
    assert [p.split(":")[0] for p in json.loads(body)["problems"]] == [
        "prompt",
        "max_tokens",
    ]


def test_slow_service_does_not_exhaust_the_server_threads():
    agents = [
        FakeAgent(name="p", data_centre="n1", service="portal"),
        FakeAgent(name="d", data_centre="n1", service="desk"),
    ]
    agents[0].script = lambda request: AgentScript(stop_at=0)
    agents[0].slots = 100
    with entry_node(agents, service_threads=4) as node:
        waiting = [connect(node) for _ in range(30)]
        for sock in waiting:
            sock.sendall(
                b"GET /v1/services/portal/call/x HTTP/1.1\r\nHost: e\r\n"
                b"X-Client-Account: acme\r\n\r\n"
            )
        wait_until(lambda: len(agents[0].submitted) == 30)
        assert node.call("desk")[0] == 200
        assert node.request("GET", "/v1/health")[0] == 200
        for sock in waiting:
            sock.close()
