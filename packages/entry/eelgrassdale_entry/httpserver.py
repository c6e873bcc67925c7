"""HTTP server whose handlers can hand a connection over to the writer task.

CherryPy's server keeps one thread per request until the body is written. A
handler that sets `take_over` of the `HandOver` in the WSGI environment frees
its thread: the connection's socket is detached from the server and passed to
that callable, which then owns it.
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

HAND_OVER = "eelgrassdale.hand_over"

KEEP_ALIVE_CONNECTIONS = 2048
MAX_HEADER_BYTES = 16 * 1024
WATCH_SECONDS = 0.5
LISTEN_BACKLOG = 1024

log = structlog.get_logger(__name__)


@define(kw_only=True)
class HandOver:
    """The connection of a request and who takes it over, if anyone."""

    conn: cheroot_server.HTTPConnection
    take_over: Callable[[socket.socket], None] | None = None

    @property
    def sock(self) -> socket.socket:
        """Socket of the caller."""
        return self.conn.socket

    def request_read(self) -> None:
        """Note that the whole request arrived, which ends its time limit."""
        self.conn.server.watch.ended(self.conn)


class HandOverGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the socket on when the handler asks for it."""

    def get_environ(self):
        """Return the WSGI environment with a `HandOver` added."""
        env = super().get_environ()
        env[HAND_OVER] = HandOver(conn=self.req.conn)
        return env

    def respond(self):
        """Run the application and write its answer or hand the socket over."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        take_over = self.env[HAND_OVER].take_over
        try:
            if take_over is None:
                for chunk in filter(None, response):
                    self.write(chunk)
                self.req.ensure_headers_sent()
        finally:
            if hasattr(response, "close"):
                response.close()
        if take_over is not None:
            take_over(_detach(self.req))


def _detach(req) -> socket.socket:
    # `linger` keeps the server from shutting the connection down, and a
    # detached socket has no second descriptor that would delay its close.
    req.sent_headers = True
    req.chunked_write = False
    req.close_connection = True
    req.conn.linger = True
    return socket.socket(fileno=req.conn.socket.detach())


class _Connection(cheroot_server.HTTPConnection):
    def communicate(self):
        self.server.watch.began(self)
        try:
            return super().communicate()
        finally:
            self.server.watch.ended(self)


class _IdleUntilData(ConnectionManager):
    """Gives a new connection a thread only when its first bytes arrived."""

    def _from_server_socket(self, server_socket):
        conn = super()._from_server_socket(server_socket)
        if conn is not None:
            self.put(conn)


class SlowSenderWatch:
    """Ends connections whose request takes too long to arrive.

    Every request passes here twice, so there is no lock, on which all server
    threads would queue; each step is one operation on a dictionary.
    """

    def __init__(self, *, limit_seconds: float) -> None:
        self._limit_seconds = limit_seconds
        self._reading: dict[object, float] = {}

    def began(self, conn) -> None:
        """Note that a thread started to read a request."""
        self._reading[conn] = time.monotonic()

    def ended(self, conn) -> None:
        """Note that the request arrived or failed."""
        self._reading.pop(conn, None)

    def cut_overdue(self) -> int:
        """Stop reading from the overdue connections and return their number."""
        limit = time.monotonic() - self._limit_seconds
        reading = self._reading.copy()
        overdue = [conn for conn, began in reading.items() if began < limit]
        for conn in overdue:
            with contextlib.suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RD)
            self.ended(conn)
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
        self.gateway = HandOverGateway
        self.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
        self.max_request_header_size = MAX_HEADER_BYTES
        self.watch = SlowSenderWatch(limit_seconds=sender_seconds)
        self._served = threading.Event()

    def prepare(self) -> None:
        """Bind the address; raises OSError when that fails."""
        super().prepare()
        self._connections.close()
        self._connections = _IdleUntilData(self)

    def start_serving(self) -> None:
        """Bind, then serve in threads until `stop`."""
        self.prepare()
        threading.Thread(target=self.serve, name="http", daemon=True).start()
        threading.Thread(target=self._watch, name="http-watch", daemon=True).start()

    def error_log(self, msg="", level=20, traceback=False) -> None:
        """Write a server message to the structured log."""
        log.log(level, "http server", message=msg, exc_info=traceback)

    def _watch(self) -> None:
        while self.ready:
            cut = self.watch.cut_overdue()
            if cut:
                log.info("slow senders cut", count=cut)
            self._served.wait(WATCH_SECONDS)
