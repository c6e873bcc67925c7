"""One client connection to another node.

A connection belongs to one task and is not shared between threads. Errors say
whether the call may have reached the other node, because a refusal may report
`not run` only if that is certain.
"""

import select
import socket
from collections.abc import Callable
from typing import Any

from attrs import frozen
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TClient
from thriftpy2.transport import TCyFramedTransportFactory, TSocket

from eelgrassdale.wire.protocol import AgentService


class WireError(Exception):
    """A call to another node failed."""


class NotDeliveredError(WireError):
    """No byte of the call was sent."""


class UnknownDeliveryError(WireError):
    """The call was sent at least in part and its answer did not arrive."""


@frozen(kw_only=True)
class Address:
    """IP address and port of a node."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the address written as `host:port`.

    Examples
    --------
    >>> parse_address("127.0.0.1:7000").port
    7000

    """
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))


class CountingSocket(TSocket):
    """A Thrift socket that counts the bytes it sends and receives."""

    transferred_bytes = 0

    def read(self, size: int) -> bytes:
        """Read up to `size` bytes."""
        data = super().read(size)
        self.transferred_bytes += len(data)
        return data

    def write(self, data: bytes) -> None:
        """Write all of `data`."""
        super().write(data)
        self.transferred_bytes += len(data)

    def pop_transferred_bytes(self) -> int:
        """Return the bytes transferred since the last call of this method."""
        transferred, self.transferred_bytes = self.transferred_bytes, 0
        return transferred


class NodeConnection:
    """A connection that opens on first use and reopens after a failure.

    Parameters
    ----------
    address : str
        `host:port` of the other node.
    connect_timeout_seconds : float
        Timeout of opening the connection.
    on_bytes : Callable[[int], None], optional
        Called after each call with the bytes it sent and received.
    """

    def __init__(
        self,
        *,
        address: str,
        connect_timeout_seconds: float = 1.0,
        on_bytes: Callable[[int], None] | None = None,
    ) -> None:
        self.address = address
        self._connect_timeout_seconds = connect_timeout_seconds
        self._on_bytes = on_bytes
        self._socket: CountingSocket | None = None
        self._client: TClient | None = None

    def call(self, name: str, *args: Any, timeout_seconds: float) -> Any:
        """Call the function `name` of the other node and return its answer.

        Raises
        ------
        NotDeliveredError
            The connection could not be opened; the call was not sent.
        UnknownDeliveryError
            The call was sent and failed; it may have taken effect.

        """
        client = self._connect()
        sock = self._socket
        sock.set_timeout(int(timeout_seconds * 1000))
        try:
            return getattr(client, name)(*args)
        except Exception as exc:
            self.close()
            raise UnknownDeliveryError(f"{name} at {self.address}: {exc!r}") from exc
        finally:
            if self._on_bytes is not None:
                self._on_bytes(sock.pop_transferred_bytes())

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        client, self._client, self._socket = self._client, None, None
        if client is not None:
            client.close()

    def _connect(self) -> TClient:
        if self._client is not None and self._is_closed_by_peer():
            # Detected before a byte of the call is sent, so a restart of the peer
            # does not make the outcome of the first call after it unknown.
            self.close()
        if self._client is not None:
            return self._client
        address = parse_address(self.address)
        sock = CountingSocket(
            address.host,
            address.port,
            socket_timeout=int(self._connect_timeout_seconds * 1000),
            connect_timeout=int(self._connect_timeout_seconds * 1000),
        )
        transport = TCyFramedTransportFactory().get_transport(sock)
        protocol = TCyBinaryProtocolFactory().get_protocol(transport)
        try:
            transport.open()
        except Exception as exc:
            raise NotDeliveredError(f"connect {self.address}: {exc!r}") from exc
        sock.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._client = TClient(AgentService, protocol)
        return self._client

    def _is_closed_by_peer(self) -> bool:
        """Return whether the idle connection is readable.

        No call is outstanding, so what can be read is the end of the stream, a
        reset, or an answer that belongs to no call.
        """
        poller = select.poll()
        poller.register(self._socket.sock, select.POLLIN)
        return bool(poller.poll(0))
