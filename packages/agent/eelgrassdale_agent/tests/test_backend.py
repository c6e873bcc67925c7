"""Tests of responses of a backend server that are cut."""

import contextlib
import itertools
import socket
import threading
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.clock import SystemClock
from eelgrassdale.results import ResultCode
from eelgrassdale.tests.invalidheads import INVALID_HEADS, server_that_sends
from eelgrassdale_agent.backend import BackendError
from eelgrassdale_agent.engine import EngineClient, EngineStream
from eelgrassdale_agent.orders import EngineWeightsClient
from eelgrassdale_agent.plainclient import PlainClient, PlainRequest

REQUEST = PlainRequest(request_id="r-1", method="GET", path="/x", headers={}, body=b"")
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n"
TIMEOUT_SECONDS = 5


def call(data):
    """Return status and body of the response to a request."""
    with server_that_sends(data) as url:
        client = PlainClient(url=url)
        exchange = client.exchange(timeout_seconds=TIMEOUT_SECONDS)
        try:
            response = client.call(REQUEST, exchange=exchange, traceparent="")
            return response.status, b"".join(response.pieces())
        finally:
            exchange.close()


@pytest.mark.parametrize("length", range(1, len(HEAD)))
def test_response_cut_within_its_head_is_no_response(length):
    """Guards against a 200 with an empty body, framed as whole."""
    with pytest.raises(BackendError) as caught:
        call(HEAD[:length])
    assert caught.value.code is ResultCode.BACKEND_FAILED
    assert caught.value.is_connection_lost


@pytest.mark.parametrize("body", [b"", b"whol"])
def test_response_cut_within_its_body_is_no_response(body):
    with pytest.raises(BackendError):
        call(HEAD + body)


def test_whole_responses_are_passed_on():
    assert call(HEAD + b"whole") == (200, b"whole")
    assert call(b"HTTP/1.1 200 OK\r\n\r\nuntil the end") == (200, b"until the end")
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    assert call(interim + HEAD + b"whole") == (200, b"whole")


@pytest.mark.parametrize("head", INVALID_HEADS)
def test_response_without_a_valid_head_is_no_response(head):
    """Guards against passing it on, as whole, to the caller of a plain service."""
    data = head + b"\r\nContent-Length: 5\r\n\r\nwhole"
    with pytest.raises(BackendError) as caught:
        call(data)
    assert caught.value.code is ResultCode.BACKEND_FAILED
    with server_that_sends(data) as url, pytest.raises(BackendError):
        EngineClient(url=url).load_report(now=0.0)
    with server_that_sends(data) as url:
        client = EngineWeightsClient(backend_url=url, clock=SystemClock())
        assert client.stage_chunk("m", 0, b"data").is_error()


def test_interim_responses_are_skipped():
    """Guards against 103, with an empty body, as the response."""
    interim = 16 * b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    assert call(interim + HEAD + b"whole") == (200, b"whole")


# Above the longest answer that is kept, with the buffers of both ends.
MAX_SENT_BYTES = 24_000_000


@contextlib.contextmanager
def server_without_end():
    """Run a server that answers with bytes without end; yield its URL and a count."""
    sent = []
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            conn, _ = listener.accept()
            with conn, contextlib.suppress(OSError):
                conn.recv(65_536)
                conn.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
                while sum(sent) < 2 * MAX_SENT_BYTES:
                    conn.sendall(65_536 * b"[")
                    sent.append(65_536)

        thread = threading.Thread(target=serve)
        thread.start()
        yield f"http://127.0.0.1:{listener.getsockname()[1]}", sent
        thread.join(TIMEOUT_SECONDS)


def read_load_report(url):
    with pytest.raises(BackendError):
        EngineClient(url=url).load_report(now=0.0)


def cancel(url):
    assert not EngineClient(url=url).cancel("r-1")


def read_state(url):
    client = EngineWeightsClient(backend_url=url, clock=SystemClock())
    assert client.state().is_error()


def list_staged(url):
    client = EngineWeightsClient(backend_url=url, clock=SystemClock())
    assert client.staged_indices("m").is_error()


@pytest.mark.parametrize("use", [read_load_report, cancel, read_state, list_staged])
def test_control_answers_without_end_are_not_kept(use):
    """Guards against an agent that runs out of memory with its other requests."""
    with server_without_end() as (url, sent):
        use(url)
    assert sum(sent) < MAX_SENT_BYTES


LINES = st.sampled_from(
    [
        *(b'{"i": 0, "t": "a"}', b'{"i": 1, "t": 7}', b'{"i": "x", "t": "a"}', b"7"),
        *(b'{"end": true, "tokens": 1}', b'{"end": true, "tokens": 1e999}', b"{}"),
        *(b'{"end": true, "tokens": null}', b"[" * 100_000, b"[]", b"null", b"\xff"),
        *(b'{"i": 0, "t": "\\ud800"}', b'{"end": true, "tokens": -1}', b""),
    ]
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(LINES | st.binary(max_size=6), max_size=5).map(b"\n".join))
def test_token_lines_of_any_content_are_tokens_or_a_failed_stream(body):
    """Guards against exceptions of other types in the thread of a job."""
    response = SimpleNamespace(headers={}, stream=lambda _size: [body + b"\n"])
    stream = EngineStream(exchange=None, response=response)
    batches = []
    # A stream without an end line is a failed one, whatever came before.
    with pytest.raises(BackendError):
        batches.extend(stream.token_batches())
    for token in itertools.chain.from_iterable(batches):
        assert token.index >= 0
        assert isinstance(token.text.encode(), bytes)


@pytest.mark.parametrize(
    "body", [b"[" * 100_000, b'{"chunks": [1e999]}', b"7", b'{"chunks": 7}', b"\xff"]
)
def test_control_answers_of_any_content_raise_nothing_else(body):
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    with server_that_sends(data) as url:
        client = EngineWeightsClient(backend_url=url, clock=SystemClock())
        assert client.staged_indices("m").ok is None
        assert (
            client.state().map(lambda state: state.model_version).default_value("")
            == ""
        )
        with pytest.raises(BackendError):
            EngineClient(url=url).load_report(now=0.0)
