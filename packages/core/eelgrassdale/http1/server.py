"""HTTP server that cancels a handler when its caller closes the connection."""

import asyncio
from collections.abc import Callable

import structlog

from eelgrassdale.http1.callerconnection import (
    READ_AHEAD_BYTES,
    CallerConnection,
    CallerLimits,
    Handler,
)
from eelgrassdale.http1.memory import ByteBudget

BACKLOG = 512
# Turns of the event loop from the receipt of bytes until the parser has them.
HANDOVER_TURNS = 3
DEFAULT_BODY_MEMORY_BYTES = 67_108_864

log = structlog.get_logger(__name__)


class HttpServer:
    """Listens on one address and passes each request to `handler`.

    Parameters
    ----------
    handler : callable
        Coroutine function that responds to one `Exchange`.
    limits : callable
        Returns the `CallerLimits` in force.
    body_memory : ByteBudget, optional
        Memory for the request bodies of all callers together. A request whose body
        does not fit is refused with status 503.
    request_id_header : str, optional
        Name of the header with a request's id, for the response to a request whose
        handler failed, and its log line.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        body_memory: ByteBudget | None = None,
        request_id_header: str = "",
    ) -> None:
        self.body_memory = body_memory or ByteBudget(limit=DEFAULT_BODY_MEMORY_BYTES)
        self.handler = handler
        self.request_id_header = request_id_header
        self.limits = limits
        self.is_draining = False
        self.active_requests = 0
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._has_stopped_gracefully = False

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen; return the address, with the assigned port for port 0."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=BACKLOG, limit=READ_AHEAD_BYTES
        )
        return self._server.sockets[0].getsockname()

    def start_draining(self) -> None:
        """Add `Connection: close` to every further response."""
        self.is_draining = True

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request, or a response not yet sent whole."""
        return sum(conn.is_busy() for conn in self._connections)

    def stop_listening(self) -> None:
        """Stop accepting connections and close the idle ones at once."""
        if self._server is not None:
            self._server.close()
        for conn in list(self._connections):
            conn.close_if_idle()

    async def stop_listening_gracefully(self) -> None:
        """Stop accepting connections and close those that no request has reached.

        A connection on which a request has arrived, but was not read yet, is served:
        closing it would cut the request off without a response.
        """
        self._has_stopped_gracefully = True
        if self._server is not None:
            self._server.close()
        paused = [conn for conn in self._connections if conn.is_idle]
        for conn in paused:
            conn.pause_reading()
        # The connections' tasks handle the bytes that were received before.
        for _ in range(HANDOVER_TURNS):
            await asyncio.sleep(0)
        for conn in paused:
            conn.resume_reading()
        for conn in list(self._connections):
            conn.close_if_unused()

    def keeps_connections(self) -> bool:
        """Return whether a connection may be used again after a response."""
        return not self._has_stopped_gracefully

    def abort_all(self) -> None:
        """Close all connections immediately."""
        for conn in list(self._connections):
            conn.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = CallerConnection(server=self, reader=reader, writer=writer)
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
