"""HTTP server that cancels a handler when its caller closes the connection."""

import asyncio
import socket
from collections.abc import Callable

import structlog

from eelgrassdale.http1.callerbudget import CallerBudget, ServerShare
from eelgrassdale.http1.callerconnection import (
    CallerConnection,
    CallerLimits,
    Handler,
)
from eelgrassdale.http1.callerinput import (
    READER_BYTES,
    RECEIVE_BYTES,
    CallerInput,
    CallerReader,
)
from eelgrassdale.http1.listening import Listener

# Turns of the event loop from the receipt of bytes until the parser has them.
HANDOVER_TURNS = 3

log = structlog.get_logger(__name__)


class HttpServer:
    """Listens on one address and passes each request to `handler`.

    Parameters
    ----------
    handler : callable
        Coroutine function that responds to one `Exchange`.
    limits : callable
        Returns the `CallerLimits` in force.
    share : ServerShare, optional
        What callers may take of the process. A request that does not fit is refused
        with status 503.
    request_id_header : str, optional
        Name of the header with a request's id, for the response to a request whose
        handler failed, and its log line.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        share: ServerShare | None = None,
        request_id_header: str = "",
    ) -> None:
        self.share = share or CallerBudget().share(reserved=1.0)
        self.handler = handler
        self.request_id_header = request_id_header
        self.limits = limits
        self.is_draining = False
        # False once the process ends; a request that is still read gets status 503.
        self.takes_requests = True
        self.active_requests = 0
        # The share looks among them for those to close.
        self._connections: set[CallerConnection] = self.share.members
        self._tasks: set[asyncio.Task[None]] = set()
        self._receive_buffer = memoryview(bytearray(RECEIVE_BYTES))
        self._listener = Listener(
            on_socket=self._on_socket,
            admit=self.share.admit_connection,
            on_error=self._on_accept_error,
        )
        self._has_stopped_gracefully = False

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen; return the address, with the assigned port for port 0."""
        return self._listener.open(host, port)

    def start_draining(self) -> None:
        """Add `Connection: close` to every further response."""
        self.is_draining = True

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request, or a response not yet sent whole.

        Those that are being opened count, as a request may have come with them.
        """
        opening = len(self._tasks) - len(self._connections)
        return opening + sum(conn.is_busy() for conn in self._connections)

    def stop_listening(self) -> None:
        """Stop accepting connections and close the idle ones at once."""
        self._listener.close()
        for conn in list(self._connections):
            conn.close_if_idle()

    async def stop_listening_gracefully(self) -> None:
        """Stop accepting connections and close those that no request has reached.

        A connection on which a request has arrived, but was not read yet, is served:
        closing it would cut the request off without a response. `close_unused` closes
        those that were being opened meanwhile.
        """
        self._has_stopped_gracefully = True
        self._listener.close()
        paused = [conn for conn in self._connections if conn.is_idle]
        for conn in paused:
            conn.pause_reading()
        # The connections' tasks handle the bytes that were received before.
        for _ in range(HANDOVER_TURNS):
            await asyncio.sleep(0)
        for conn in paused:
            conn.resume_reading()
        self.close_unused()

    def close_unused(self) -> None:
        """Close the connections that no request has reached."""
        for conn in list(self._connections):
            conn.close_if_unused()

    def keeps_connections(self) -> bool:
        """Return whether a connection may be used again after a response."""
        return not self._has_stopped_gracefully

    def abort_all(self) -> None:
        """Close all connections immediately."""
        for conn in list(self._connections):
            conn.abort()

    def _on_socket(self, sock: socket.socket) -> None:
        task = asyncio.ensure_future(self._serve(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_accept_error(self, exc: OSError) -> None:
        self.share.budget.accept_errors += 1
        self.share.budget.log_exhausted("descriptors", error=repr(exc))

    async def _open(self, sock: socket.socket) -> CallerConnection | None:
        """Return the connection of an accepted socket, or None if it is gone."""
        loop = asyncio.get_running_loop()
        reader = CallerReader(limit=READER_BYTES, loop=loop)
        protocol = CallerInput(reader=reader, buffer=self._receive_buffer)
        transport = None
        try:
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, sock)
            return CallerConnection(
                server=self, reader=reader, protocol=protocol, transport=transport
            )
        except (OSError, asyncio.CancelledError) as exc:
            log.debug("caller connection not opened", error=repr(exc))
            self.share.release_connection()
            if transport is None:
                sock.close()
            else:
                transport.abort()
            return None

    async def _serve(self, sock: socket.socket) -> None:
        conn = await self._open(sock)
        if conn is None:
            return
        self._connections.add(conn)
        try:
            await conn.run()
        except (OSError, TimeoutError) as exc:
            # Callers close connections at any time; failures that matter were
            # logged by the handler.
            log.debug("caller connection failed", error=repr(exc))
        except asyncio.CancelledError:
            # The event loop is shutting down. asyncio would report a cancelled
            # connection task as an unhandled error.
            log.debug("caller connection cancelled at shutdown")
        finally:
            self._connections.discard(conn)
            conn.abort()
