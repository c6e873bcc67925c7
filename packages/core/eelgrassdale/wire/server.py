"""Thrift server with a thread per connection, bounded in number."""

import contextlib
import socket
import threading
from collections.abc import Callable
from typing import Any

import structlog
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TProcessor
from thriftpy2.transport import TCyFramedTransportFactory

from eelgrassdale.wire.client import CountingSocket, parse_address

ACCEPT_TIMEOUT_SECONDS = 0.2
LISTEN_BACKLOG = 512

log = structlog.get_logger(__name__)


class NodeServer:
    """Serves `handler` for a Thrift service until it is stopped.

    Parameters
    ----------
    service : type
        `NodeService` or `AgentService`.
    handler : object
        Has one method for each function of the service.
    address : str
        `host:port` to bind.
    max_connections : int
        Further connections are closed at once.
    on_bytes : Callable[[int], None], optional
        Called after each call, in the thread that served it, with the bytes
        of the call and its answer.
    """

    def __init__(
        self,
        *,
        service: Any,
        handler: object,
        address: str,
        max_connections: int = 512,
        on_bytes: Callable[[int], None] | None = None,
    ) -> None:
        self._processor = TProcessor(service, handler)
        self._address = parse_address(address)
        self._max_connections = max_connections
        self._on_bytes = on_bytes
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Bind the address and accept connections in a thread.

        Raises
        ------
        OSError
            The address cannot be bound; the message names it.

        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((self._address.host, self._address.port))
            listener.listen(LISTEN_BACKLOG)
        except OSError as exc:
            listener.close()
            text = f"{self._address.host}:{self._address.port}"
            raise OSError(exc.errno, exc.strerror, text) from exc
        listener.settimeout(ACCEPT_TIMEOUT_SECONDS)
        self._listener = listener
        self._thread = threading.Thread(
            target=self._accept_loop, name="node-server", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join()
        with self._lock:
            connections = list(self._connections)
        for conn in connections:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)

    def _accept_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                conn, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError as exc:
                log.warning("accept failed", error=repr(exc))
                continue
            self._start_connection(conn)
        self._listener.close()

    def _start_connection(self, conn: socket.socket) -> None:
        with self._lock:
            full = len(self._connections) >= self._max_connections
            if not full:
                self._connections.add(conn)
        if full:
            log.warning("connection limit reached", limit=self._max_connections)
            conn.close()
            return
        threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        conn.settimeout(None)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock = CountingSocket()
        sock.set_handle(conn)
        transport = TCyFramedTransportFactory().get_transport(sock)
        protocol = TCyBinaryProtocolFactory().get_protocol(transport)
        try:
            while not self._stopping.is_set():
                self._processor.process(protocol, protocol)
                if self._on_bytes is not None:
                    self._on_bytes(sock.pop_transferred_bytes())
        except EOFError:
            pass
        except Exception as exc:
            if not _is_disconnect(exc):
                log.error("call failed", error=repr(exc), exc_info=True)
        finally:
            with self._lock:
                self._connections.discard(conn)
            with contextlib.suppress(OSError):
                conn.close()


def _is_disconnect(exc: Exception) -> bool:
    return isinstance(exc, OSError) or type(exc).__name__ == "TTransportException"
