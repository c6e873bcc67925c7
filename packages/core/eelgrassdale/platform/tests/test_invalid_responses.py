"""Tests of the platform's clients against responses that are none."""

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale.platform import ObjectStore, VmListClient
from eelgrassdale.platform.weightsource import WeightSourceClient
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics
from eelgrassdale.tests.invalidheads import INVALID_HEADS, server_that_sends

BODY = b'{"version": 3, "vms": []}'
REST = b'\r\nETag: "3"\r\nContent-Length: %d\r\n\r\n%b' % (len(BODY), BODY)
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


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
    for head in INVALID_HEADS:
        with server_that_sends(head + REST) as url:
            error = CALLS[name](url).error
        assert error.code in (
            ResultCode.STORE_UNAVAILABLE,
            ResultCode.SOURCE_UNAVAILABLE,
        ), head


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
