"""Tests of the client of weight sources against a server on loopback."""

import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from eelgrassdale.platform.weightsource import WeightSourceClient
from eelgrassdale.results import ResultCode


class Handler(BaseHTTPRequestHandler):
    """Responds with the status set on the server."""

    def do_GET(self) -> None:
        """Record the headers and respond with three bytes."""
        self.server.seen.append(dict(self.headers))
        self.send_response(self.server.status)
        self.send_header("Content-Length", "3")
        self.end_headers()
        self.wfile.write(b"abc")

    def log_message(self, *_args) -> None:
        """Suppress the log."""


@pytest.fixture
def server():
    """Run a server whose `status` tests may change."""
    running = HTTPServer(("127.0.0.1", 0), Handler)
    running.status, running.seen = 206, []
    thread = threading.Thread(target=running.serve_forever, args=(0.02,), daemon=True)
    thread.start()
    yield running
    running.shutdown()
    running.server_close()
    thread.join()


def read(server):
    """Read bytes 4 to 6 from the server."""
    client = WeightSourceClient(url=f"http://127.0.0.1:{server.server_address[1]}")
    return client.read(version="m", manifest="d1", start=4, end=7, timeout_seconds=2.0)


def test_read_sends_range_and_manifest_digest(server):
    assert read(server).ok == b"abc"
    headers = server.seen[0]
    assert (headers["Range"], headers["If-Match"]) == ("bytes=4-6", '"d1"')


@pytest.mark.parametrize(
    ("status", "code"),
    [
        (412, ResultCode.VERSION_CHANGED),
        (200, ResultCode.SOURCE_UNAVAILABLE),
        (429, ResultCode.SOURCE_UNAVAILABLE),
        (503, ResultCode.SOURCE_UNAVAILABLE),
    ],
)
def test_other_statuses_are_errors(server, status, code):
    server.status = status
    assert read(server).error.code is code


def test_refused_connection_is_an_unavailable_source():
    client = WeightSourceClient(url="http://127.0.0.1:9")
    assert client.manifest("m").error.code is ResultCode.SOURCE_UNAVAILABLE
