"""Tests of the connection and server between nodes."""

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
