"""Tests of the object API client against a scripted HTTP server."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale.platform.objects import READ_ATTEMPTS, STORE_CALLS, ObjectStore
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics


class ScriptedServer:
    """Sends the given (status, etag, body) in turn and records the requests."""

    def __init__(self, *responses: tuple[int, str, bytes]) -> None:
        self.requests: list[tuple[str, str, dict]] = []
        script = list(responses)
        requests = self.requests

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                requests.append((self.command, self.path, dict(self.headers)))
                status, etag, body = script.pop(0)
                self.send_response(status)
                self.send_header("ETag", etag)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_PUT = do_GET

            def log_message(self, *_):
                return None

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()


@pytest.fixture
def connect():
    """Return a function that starts a scripted server and connects a store to it."""
    connections = []

    def connect_to_responses(*responses):
        server = ScriptedServer(*responses)
        metrics = Metrics()
        store = ObjectStore(url=server.url, metrics=metrics, clock=ManualClock())
        connections.append((server, store))
        return server, store, metrics

    yield connect_to_responses
    for server, store in connections:
        store.close()
        server.close()


def test_get_returns_body_and_version(connect):
    _, store, _ = connect((200, '"7"', b"{}"))
    value = store.get("head").ok
    assert (value.version, value.body) == (7, b"{}")


def test_missing_object_is_none(connect):
    _, store, _ = connect((404, "", b""))
    assert store.get("head").ok is None


def test_failed_read_is_retried_and_every_call_is_counted(connect):
    _, store, metrics = connect((503, "", b""), (429, "", b""), (200, '"1"', b"{}"))
    assert store.get("head").is_ok()
    assert metrics.totals()[STORE_CALLS] == 3


def test_read_fails_after_the_last_attempt(connect):
    _, store, _ = connect(*[(503, "", b"")] * READ_ATTEMPTS)
    assert store.get("head").error.code is ResultCode.STORE_UNAVAILABLE


def test_put_is_conditional(connect):
    server, store, _ = connect((200, '"1"', b""), (200, '"4"', b""))
    store.put("head", b"{}", expected_version=None)
    assert store.put("head", b"{}", expected_version=3).ok == 4
    first, second = (headers for _, _, headers in server.requests)
    assert first["If-None-Match"] == "*"
    assert second["If-Match"] == '"3"'


def test_put_with_an_old_version_is_a_conflict(connect):
    _, store, _ = connect((412, "", b""))
    result = store.put("head", b"{}", expected_version=3)
    assert result.error.code is ResultCode.CONFIGURATION_CONFLICT


def test_put_is_not_retried(connect):
    """A retry could report a conflict although the first attempt took effect."""
    server, store, _ = connect((503, "", b""), (200, '"1"', b""))
    result = store.put("head", b"{}", expected_version=None)
    assert result.error.code is ResultCode.STORE_UNAVAILABLE
    assert len(server.requests) == 1


def test_watch_without_change_is_none(connect):
    server, store, _ = connect((304, '"3"', b""))
    assert store.watch("head", version=3, timeout_seconds=0.5).ok is None
    assert server.requests[0][1] == "/objects/head?watch=3&timeout=0.5"


def test_unreachable_store_is_an_error():
    store = ObjectStore(
        url="http://127.0.0.1:1", metrics=Metrics(), clock=ManualClock()
    )
    assert store.get("head").error.code is ResultCode.STORE_UNAVAILABLE
