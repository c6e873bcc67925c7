"""Tests of the connection and server between nodes."""

import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from eelgrassdale.tests.ports import free_address
from eelgrassdale.wire import (
    Envelope,
    NodeConnection,
    NodeServer,
    NodeService,
    NotDeliveredError,
    ProbeAnswer,
    UnknownDeliveryError,
)


class Handler:
    """Answers probes; an envelope without a sender makes it fail."""

    def probe(self, envelope: Envelope) -> ProbeAnswer:
        """Return a fixed answer."""
        if not envelope.sender:
            raise RuntimeError("no sender")
        return ProbeAnswer(incarnation=7, name="vm-1", headroom={})


@pytest.fixture
def address():
    """Run a server and return its address."""
    text = free_address()
    server = NodeServer(service=NodeService, handler=Handler(), address=text)
    server.start()
    yield text
    server.stop()


def test_call_returns_answer(address):
    conn = NodeConnection(address=address)
    answer = conn.call("probe", Envelope(sender="vm-2"), timeout_seconds=2)
    assert answer.incarnation == 7


def test_refused_connection_is_not_delivered():
    conn = NodeConnection(address=free_address())
    with pytest.raises(NotDeliveredError):
        conn.call("probe", Envelope(sender="vm-2"), timeout_seconds=2)


def test_failed_handler_is_unknown_delivery_and_reconnects(address):
    conn = NodeConnection(address=address)
    with pytest.raises(UnknownDeliveryError):
        conn.call("probe", Envelope(sender=""), timeout_seconds=2)
    answer = conn.call("probe", Envelope(sender="vm-2"), timeout_seconds=2)
    assert answer.name == "vm-1"


def test_restart_of_the_peer_does_not_fail_the_next_call():
    # Guards against reuse of a connection to the process before the restart:
    # the first request after it would be answered as `may have run`.
    text = free_address()
    conn = NodeConnection(address=text)
    for _ in range(2):
        server = NodeServer(service=NodeService, handler=Handler(), address=text)
        server.start()
        answer = conn.call("probe", Envelope(sender="vm-2"), timeout_seconds=2)
        assert answer.name == "vm-1"
        server.stop()


class BlockingHandler(Handler):
    """Answers probes once `may_answer` is set."""

    def __init__(self) -> None:
        self.called = threading.Event()
        self.may_answer = threading.Event()

    def probe(self, envelope: Envelope) -> ProbeAnswer:
        """Return a fixed answer when it may."""
        self.called.set()
        self.may_answer.wait(5)
        return super().probe(envelope)


def test_call_in_progress_is_answered_by_a_server_that_stops():
    # Guards against an answer that is cut by a planned stop: the caller could not
    # tell whether its request had run.
    handler = BlockingHandler()
    text = free_address()
    server = NodeServer(service=NodeService, handler=handler, address=text)
    server.start()
    conn = NodeConnection(address=text)
    with ThreadPoolExecutor() as pool:
        answer = pool.submit(
            conn.call, "probe", Envelope(sender="vm-2"), timeout_seconds=5
        )
        assert handler.called.wait(5)
        stopped = pool.submit(server.stop)
        with pytest.raises(TimeoutError):
            stopped.result(timeout=0.5)
        handler.may_answer.set()
        assert answer.result().name == "vm-1"
        stopped.result(timeout=5)


def test_calls_that_arrived_before_the_stop_are_answered(monkeypatch):
    # Guards against calls that a stop leaves unread, on a connection that was just
    # accepted or on one that was not accepted yet.
    text = free_address()
    server = NodeServer(service=NodeService, handler=Handler(), address=text)
    accepted, may_continue = threading.Event(), threading.Event()
    start_connection = server._start_connection

    def start_late(conn):
        accepted.set()
        may_continue.wait(5)
        start_connection(conn)

    monkeypatch.setattr(server, "_start_connection", start_late)
    server.start()
    conns = [NodeConnection(address=text) for _ in range(3)]
    with ThreadPoolExecutor() as pool:
        answers = [
            pool.submit(conn.call, "probe", Envelope(sender="vm-2"), timeout_seconds=5)
            for conn in conns
        ]
        assert accepted.wait(5)
        # Time for the other calls to arrive, none of which is answered yet.
        with pytest.raises(TimeoutError):
            answers[-1].result(timeout=0.3)
        stopped = pool.submit(server.stop)
        with pytest.raises(TimeoutError):
            stopped.result(timeout=0.3)
        may_continue.set()
        assert [answer.result().name for answer in answers] == 3 * ["vm-1"]
        stopped.result(timeout=5)


def test_stop_ends_although_a_call_does_not():
    # Guards against a handler that hangs and keeps the process from its end.
    handler = BlockingHandler()
    text = free_address()
    server = NodeServer(
        service=NodeService, handler=handler, address=text, stop_seconds=0.2
    )
    server.start()
    host, _, port = text.rpartition(":")
    idle = socket.create_connection((host, int(port)))
    conn = NodeConnection(address=text)
    with ThreadPoolExecutor() as pool:
        answer = pool.submit(
            conn.call, "probe", Envelope(sender="vm-2"), timeout_seconds=5
        )
        assert handler.called.wait(5)
        pool.submit(server.stop).result(timeout=3)
        handler.may_answer.set()
        assert isinstance(answer.exception(), UnknownDeliveryError)
    idle.close()
