"""Tests of the platform's clients against responses that are none."""

import contextlib
import socket
import threading

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale.platform import ObjectStore, VmListClient
from eelgrassdale.platform.weightsource import WeightSourceClient
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics

BODY = b'{"version": 3, "vms": []}'
REST = b'\r\nETag: "3"\r\nContent-Length: %d\r\n\r\n%b' % (len(BODY), BODY)
INVALID = [
    *(b"HTTP/1.1 %b X" % status for status in (b"000", b"099", b"600", b"999")),
    *(b"HTTP/1.1 %b X" % status for status in (b"abc", b"+200", b"")),
    b"HTTP/1.1",
    b"HTTP/9.9 200 OK",
    b"garbage",
    b"HTTP/1.1 200 OK\r\nno colon",
]
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


@contextlib.contextmanager
def server_that_sends(data):
    """Run a server that answers each request on one connection with these bytes."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            with contextlib.suppress(OSError):
                while True:
                    conn, _ = listener.accept()
                    with conn:
                        conn.settimeout(5)
                        conn.recv(65_536)
                        conn.sendall(data)

        threading.Thread(target=serve, daemon=True).start()
        try:
            yield f"http://127.0.0.1:{listener.getsockname()[1]}"
        finally:
            listener.shutdown(socket.SHUT_RDWR)


def store(url):
    return ObjectStore(url=url, metrics=Metrics(), clock=ManualClock())


CALLS = {
    "get": lambda url: store(url).get("n"),
    "put": lambda url: store(url).put("n", b"{}", expected_version=2),
    "list": lambda url: store(url).list("n"),
    "vms": lambda url: VmListClient(url=url).read(),
    "manifest": lambda url: WeightSourceClient(url=url).manifest("v"),
}


@pytest.mark.parametrize("name", CALLS)
def test_invalid_response_is_a_failed_call(name):
    """Guards against an exception that ends the caller, and against a false success."""
    for line in INVALID:
        with server_that_sends(line + REST) as url:
            error = CALLS[name](url).error
        assert error.code in (
            ResultCode.STORE_UNAVAILABLE,
            ResultCode.SOURCE_UNAVAILABLE,
        ), line


@pytest.mark.parametrize("name", ["get", "put", "vms", "manifest"])
def test_interim_response_is_not_the_response(name):
    """Guards against the response that stays behind and answers the next request."""
    with server_that_sends(EARLY_HINTS + b"HTTP/1.1 200 OK" + REST) as url:
        assert CALLS[name](url).is_ok()


@pytest.mark.parametrize("body", [b"7", b'{"objects": 7}', b'{"objects": [{}, 7]}'])
def test_list_of_something_else_is_a_failed_call(body):
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    with server_that_sends(data) as url:
        assert store(url).list("n").error.code is ResultCode.STORE_UNAVAILABLE


def test_version_of_many_digits_is_unknown():
    """Guards against an error of the conversion, which ends the caller."""
    tag = b'HTTP/1.1 200 OK\r\nETag: "%b"\r\nContent-Length: 0\r\n\r\n' % (b"9" * 5000)
    with server_that_sends(tag) as url:
        assert store(url).get("n").ok.version == 0
