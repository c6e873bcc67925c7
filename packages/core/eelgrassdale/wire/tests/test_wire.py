"""Tests of the connection and server between nodes."""

import socket

import pytest

from eelgrassdale.wire import (
    Envelope,
    NodeConnection,
    NodeServer,
    NodeService,
    NotDeliveredError,
    ProbeAnswer,
    UnknownDeliveryError,
)

# Sockets that keep their ports until the process ends: an outgoing connection
# of another test could take a port between its choice and its use.
_reserved: list[socket.socket] = []


def free_address() -> str:
    """Return a loopback address that only a server with SO_REUSEADDR can bind."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reserved.append(sock)
    return f"127.0.0.1:{sock.getsockname()[1]}"


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
    # Guards against a kept connection to the earlier process: the first
    # request after a restart was answered as `may have run`.
    text = free_address()
    conn = NodeConnection(address=text)
    for _ in range(2):
        server = NodeServer(service=NodeService, handler=Handler(), address=text)
        server.start()
        answer = conn.call("probe", Envelope(sender="vm-2"), timeout_seconds=2)
        assert answer.name == "vm-1"
        server.stop()
