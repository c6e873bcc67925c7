"""Tests of `eelgrassdale serve`: settings, ports and graceful stop."""

import json
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import pytest

from eelgrassdale_entry.tests.harness import (
    AgentScript,
    FakeAgent,
    entry_node,
    free_address,
    wait_until,
)

PROGRAM = str(Path(sys.executable).with_name("eelgrassdale"))


def options(**changes) -> list[str]:
    """Return the options of an entry node whose platform is unreachable."""
    values = {
        "name": "e1",
        "data-centre": "n1",
        "region": "n",
        "node-address": free_address(),
        "caller-address": free_address(),
        "object-api-url": f"http://{free_address()}",
        "vm-list-url": f"http://{free_address()}",
        "keep-seconds": "1",
        "drain-seconds": "0",
        **changes,
    }
    return [text for key, value in values.items() for text in (f"--{key}", value)]


def serve(**changes) -> subprocess.Popen:
    """Start an entry node."""
    return subprocess.Popen(
        [PROGRAM, "serve", *options(**changes)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def health(address: str) -> dict | None:
    """Return the health of an entry node, None while it does not answer."""
    try:
        with urllib.request.urlopen(f"http://{address}/v1/health", timeout=5) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as exc:
        return json.load(exc)
    except OSError:
        return None


def test_all_problems_are_reported_before_any_socket_opens():
    process = serve(**{"node-address": "here", "keep-seconds": "0", "name": ""})
    _, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    named = [line.split()[2].rstrip(":") for line in errors.splitlines()]
    assert sorted(named) == ["keep_seconds", "name", "node_address"]


def test_port_conflict_is_a_clear_error():
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        process = serve(**{"caller-address": address})
        _, errors = process.communicate(timeout=30)
    assert process.returncode == 2
    assert "ADDRESS_UNAVAILABLE" in errors


def test_node_without_platform_is_not_ready_and_stops_gracefully():
    address = free_address()
    process = serve(**{"caller-address": address})
    try:
        wait_until(lambda: health(address) is not None, seconds=30)
        assert health(address)["state"] == "starting"
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 0


@pytest.mark.parametrize("text", [b"late", b"late" * 20_000])
def test_leaving_node_completes_open_requests(text):
    agent = FakeAgent(name="a", data_centre="n1", service="lids")
    script = AgentScript(text=text, stop_at=2)
    agent.script = lambda request: script
    with entry_node([agent], drain_seconds=0, finish_seconds=10) as harness:
        sock = harness.open_stream()
        wait_until(lambda: agent.submitted)
        harness.node.intake.refuse_new()
        status, _, body = harness.generate()
        script.stop_at = None
        harness.node.drain()
        received = b""
        while part := sock.recv(65536):
            received += part
        entries = harness.request("GET", "/v1/entries")[2]
    assert (status, json.loads(body)["name"]) == (503, "LEAVING")
    assert received.endswith(b"0\r\n\r\n")
    assert json.loads(entries)["entries"] == []


def test_leaving_node_serves_until_cached_entry_lists_have_expired():
    agent = FakeAgent(name="a", data_centre="n1", service="lids")
    with entry_node([agent], keep_seconds=1, drain_seconds=1.2) as harness:
        harness.node.runtime.announce_leaving()
        status = harness.generate()[0]
        began = time.monotonic()
        harness.node.drain()
        seconds = time.monotonic() - began
    assert status == 200
    assert seconds >= 1
