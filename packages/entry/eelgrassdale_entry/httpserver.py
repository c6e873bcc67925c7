"""HTTP server whose handlers can hand a connection over to the writer task.

CherryPy's server occupies one thread per request until the body is written. A
handler frees its thread by setting `on_handover` of the `ConnectionHandover` in
the WSGI environment: the socket is then detached from the server and passed to
that callable, which owns it from then on.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

import structlog
from attrs import define
from cheroot import server as cheroot_server
from cheroot import wsgi
from cheroot.connections import ConnectionManager

HANDOVER_ENVIRON_KEY = "eelgrassdale.hand_over"

MAX_KEEP_ALIVE_CONNECTIONS = 2048
MAX_HEADER_BYTES = 16 * 1024
SENDER_CHECK_INTERVAL_SECONDS = 0.5
LISTEN_BACKLOG = 1024

log = structlog.get_logger(__name__)


@define(kw_only=True)
class ConnectionHandover:
    """The connection of a request, and the callable that takes it over, if any."""

    conn: cheroot_server.HTTPConnection
    on_handover: Callable[[socket.socket], None] | None = None

    @property
    def sock(self) -> socket.socket:
        """Socket of the caller."""
        return self.conn.socket

    def mark_request_received(self) -> None:
        """Record that the whole request arrived, which ends its time limit."""
        self.conn.server.sender_monitor.reading_ended(self.conn)


class HandoverGateway(wsgi.Gateway_10):
    """WSGI gateway that hands the socket over when the handler asks for it."""

    def get_environ(self):
        """Return the WSGI environment with a `ConnectionHandover` added."""
        env = super().get_environ()
        env[HANDOVER_ENVIRON_KEY] = ConnectionHandover(conn=self.req.conn)
        return env

    def respond(self):
        """Run the application, then write its response or hand the socket over."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        on_handover = self.env[HANDOVER_ENVIRON_KEY].on_handover
        try:
            if on_handover is None:
                for chunk in filter(None, response):
                    self.write(chunk)
                self.req.ensure_headers_sent()
        finally:
            if hasattr(response, "close"):
                response.close()
        if on_handover is not None:
            on_handover(_detach_socket(self.req))


def _detach_socket(req) -> socket.socket:
    # `linger` prevents the server from shutting the connection down. Detaching moves
    # the descriptor; a duplicate would stay open and delay the close.
    req.sent_headers = True
    req.chunked_write = False
    req.close_connection = True
    req.conn.linger = True
    return socket.socket(fileno=req.conn.socket.detach())


class _Connection(cheroot_server.HTTPConnection):
    def communicate(self):
        self.server.sender_monitor.reading_started(self)
        try:
            return super().communicate()
        finally:
            self.server.sender_monitor.reading_ended(self)


class _LazyConnectionManager(ConnectionManager):
    """Assigns a thread to a new connection only after its first bytes arrive."""

    def _from_server_socket(self, server_socket):
        conn = super()._from_server_socket(server_socket)
        if conn is not None:
            self.put(conn)


class SlowSenderMonitor:
    """Stops reading from connections whose request takes too long to arrive.

    Every request calls this object twice, so a lock would be contended by all server
    threads. None is needed, since each step is one operation on a dictionary.
    """

    def __init__(self, *, limit_seconds: float) -> None:
        self._limit_seconds = limit_seconds
        self._reading: dict[object, float] = {}

    def reading_started(self, conn) -> None:
        """Record that a thread started to read a request."""
        self._reading[conn] = time.monotonic()

    def reading_ended(self, conn) -> None:
        """Record that the request arrived or failed."""
        self._reading.pop(conn, None)

    def shut_down_overdue(self) -> int:
        """Shut down reading on the overdue connections and return their number."""
        limit = time.monotonic() - self._limit_seconds
        reading = self._reading.copy()
        overdue = [conn for conn, started_at in reading.items() if started_at < limit]
        for conn in overdue:
            with contextlib.suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RD)
            self.reading_ended(conn)
        return len(overdue)


class CallerServer(wsgi.Server):
    """CherryPy's server with connection hand-over and slow-sender limits.

    Parameters
    ----------
    address : tuple of str and int
        Host and port to bind.
    application : callable
        WSGI application.
    threads : int
        Number of worker threads.
    sender_seconds : float
        Time within which a request must have arrived, and idle time after
        which a connection is closed.
    """

    ConnectionClass = _Connection

    def __init__(
        self,
        *,
        address: tuple[str, int],
        application,
        threads: int,
        sender_seconds: float,
    ) -> None:
        super().__init__(
            address,
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            server_name="eelgrassdale",
            timeout=sender_seconds,
            shutdown_timeout=1,
        )
        self.gateway = HandoverGateway
        self.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        self.max_request_header_size = MAX_HEADER_BYTES
        self.sender_monitor = SlowSenderMonitor(limit_seconds=sender_seconds)
        self._check_timer = threading.Event()

    def prepare(self) -> None:
        """Bind the address; raise OSError when that fails."""
        super().prepare()
        self._connections.close()
        self._connections = _LazyConnectionManager(self)

    def start_serving(self) -> None:
        """Bind the address, then serve in background threads until `stop`."""
        self.prepare()
        threading.Thread(target=self.serve, name="http", daemon=True).start()
        threading.Thread(
            target=self._disconnect_slow_senders,
            name="http-slow-sender-monitor",
            daemon=True,
        ).start()

    def error_log(self, msg="", level=20, traceback=False) -> None:
        """Write a server message to the structured log."""
        log.log(level, "message from the HTTP server", message=msg, exc_info=traceback)

    def _disconnect_slow_senders(self) -> None:
        while self.ready:
            cut_count = self.sender_monitor.shut_down_overdue()
            if cut_count:
                log.info("slow senders disconnected", count=cut_count)
            self._check_timer.wait(SENDER_CHECK_INTERVAL_SECONDS)
