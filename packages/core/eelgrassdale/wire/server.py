"""Thrift server with a thread per connection, bounded in number."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

import structlog
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TProcessor
from thriftpy2.transport import TCyFramedTransportFactory

from eelgrassdale.wire.client import CountingSocket, parse_address

ACCEPT_TIMEOUT_SECONDS = 0.2
LISTEN_BACKLOG = 512
# Callers give up a call after this time, so a longer wait answers none of them.
STOP_SECONDS = 1.0

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
    stop_seconds : float
        Time for which `stop` waits for the calls that it has to answer.
    """

    def __init__(
        self,
        *,
        service: Any,
        handler: object,
        address: str,
        max_connections: int = 512,
        on_bytes: Callable[[int], None] | None = None,
        stop_seconds: float = STOP_SECONDS,
    ) -> None:
        self._stop_seconds = stop_seconds
        self._processor = TProcessor(service, handler)
        self._address = parse_address(address)
        self._max_connections = max_connections
        self._on_bytes = on_bytes
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._connections: dict[socket.socket, threading.Thread] = {}
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
        """Answer the calls that have arrived, then close all connections.

        A call that is cut may have run or not, and its caller cannot tell. Only
        those that last longer than `stop_seconds` are cut.
        """
        self._stopping.set()
        if self._thread is not None:
            self._thread.join()
        # What was received can still be read, and answers can still be written.
        threads = self._shut_down_connections(socket.SHUT_RD)
        end_at = time.monotonic() + self._stop_seconds
        for thread in threads:
            thread.join(max(0.0, end_at - time.monotonic()))
        self._shut_down_connections(socket.SHUT_RDWR)

    def _shut_down_connections(self, how: int) -> list[threading.Thread]:
        with self._lock:
            connections = dict(self._connections)
        for conn in connections:
            with contextlib.suppress(OSError):
                conn.shutdown(how)
        return list(connections.values())

    def _accept_loop(self) -> None:
        while not self._stopping.is_set():
            self._accept_connection()
        # Calls may have arrived on connections that the kernel has accepted already.
        self._listener.settimeout(0.0)
        for _ in range(LISTEN_BACKLOG):
            if not self._accept_connection():
                break
        self._listener.close()

    def _accept_connection(self) -> bool:
        """Accept a connection; return False if there is none."""
        try:
            conn, _ = self._listener.accept()
        except (TimeoutError, BlockingIOError):
            return False
        except OSError as exc:
            log.warning("accept failed", error=repr(exc))
            return False
        self._start_connection(conn)
        return True

    def _start_connection(self, conn: socket.socket) -> None:
        thread = threading.Thread(target=self._serve, args=(conn,), daemon=True)
        with self._lock:
            full = len(self._connections) >= self._max_connections
            if not full:
                self._connections[conn] = thread
        if full:
            log.warning("connection limit reached", limit=self._max_connections)
            conn.close()
            return
        thread.start()

    def _serve(self, conn: socket.socket) -> None:
        conn.settimeout(None)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock = CountingSocket()
        sock.set_handle(conn)
        transport = TCyFramedTransportFactory().get_transport(sock)
        protocol = TCyBinaryProtocolFactory().get_protocol(transport)
        try:
            # `stop` ends the loop by shutting the connection down.
            while True:
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
                self._connections.pop(conn, None)
            with contextlib.suppress(OSError):
                conn.close()


def _is_disconnect(exc: Exception) -> bool:
    return isinstance(exc, OSError) or type(exc).__name__ == "TTransportException"
