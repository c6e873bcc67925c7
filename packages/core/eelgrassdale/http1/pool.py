"""Pool of idle client connections, keyed by address."""

import asyncio
from collections import defaultdict, deque

from eelgrassdale.clock import boottime_seconds
from eelgrassdale.http1.client import Address, ClientConnection, connect
from eelgrassdale.http1.messages import Request, ResponseHead

# Servers close idle connections after a time that a `Keep-Alive` header may
# announce. Reuse ends after half of the announced time, or after
# DEFAULT_IDLE_SECONDS without one, to allow for clock differences and delays.
DEFAULT_IDLE_SECONDS = 2.0
KEEP_ALIVE_FRACTION = 0.5
CLEANUP_INTERVAL_SECONDS = 0.5
DEFAULT_MAX_IDLE = 4096


class ConnectionPool:
    """Pool of client connections of one process to many addresses.

    Used from one event loop. While connections are idle, a task of the pool closes
    those that expired or that their server closed. It closes all of them when it is
    cancelled, as `asyncio.run` does at its end.

    Parameters
    ----------
    connect_seconds : float
        Time-out for a new connection.
    idle_per_address : int
        Maximum number of idle connections per address.
    max_idle : int
        Maximum number of idle connections to all addresses.
    """

    def __init__(
        self,
        *,
        connect_seconds: float,
        idle_per_address: int = 8,
        max_idle: int = DEFAULT_MAX_IDLE,
    ) -> None:
        self.idle_per_address = idle_per_address
        self.max_idle = max_idle
        self.idle_count = 0
        self._connect_seconds = connect_seconds
        self._idle: dict[Address, deque[ClientConnection]] = defaultdict(deque)
        self._cleanup_task: asyncio.Task[None] | None = None

    async def acquire(
        self, address: Address, *, fresh: bool = False
    ) -> ClientConnection:
        """Return an idle connection to an address, or a new one.

        With `fresh`, a new connection is always opened. A server may close an
        idle connection just as a request is sent on it, and then it is unknown
        whether the request ran; work that runs at most once must avoid that.

        Raises
        ------
        ConnectFailed
            If a new connection was needed and failed.
        """
        idle = self._idle.get(address)
        while idle and not fresh:
            conn = idle.pop()
            self.idle_count -= 1
            if _is_usable(conn):
                return conn
            conn.close()
        return await connect(address, timeout=self._connect_seconds)

    async def call(
        self, address: Address, req: Request, *, limit: int
    ) -> tuple[ResponseHead, bytes]:
        """Send a request; return the head and a body of at most `limit` bytes.

        A call that fails or is cancelled resets its connection, so that the request is
        not delivered any more to a server that stands still.

        Raises
        ------
        ConnectFailed
            If no connection was made.
        ExchangeFailed
            If the request may have arrived and no complete response was read.
        """
        conn = await self.acquire(address)
        is_done = False
        try:
            await conn.send(req)
            head = await conn.head()
            body = await conn.body(limit=limit)
            is_done = True
            return head, body
        finally:
            if is_done:
                self.release(conn)
            else:
                conn.close(reset=True)

    def release(self, conn: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        idle = self._idle[conn.address]
        is_full = len(idle) >= self.idle_per_address or self.idle_count >= self.max_idle
        if is_full or not conn.release():
            conn.close()
            return
        idle.append(conn)
        self.idle_count += 1
        if self._cleanup_task is None or self._cleanup_task.done():
            self._cleanup_task = asyncio.create_task(self._clean_up_while_idle())

    def close_expired(self) -> None:
        """Close idle connections that expired or were closed by the server."""
        for address, idle in list(self._idle.items()):
            kept = deque()
            for conn in idle:
                if _is_usable(conn):
                    kept.append(conn)
                else:
                    conn.close()
                    self.idle_count -= 1
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def close_some(self, count: int) -> int:
        """Close at most so many idle connections; return how many."""
        closed = 0
        for idle in self._idle.values():
            while idle and closed < count:
                idle.popleft().close()
                closed += 1
        self.idle_count -= closed
        return closed

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            _, idle = self._idle.popitem()
            self.idle_count -= len(idle)
            for conn in idle:
                conn.close()

    async def _clean_up_while_idle(self) -> None:
        try:
            while self._idle:
                await asyncio.sleep(CLEANUP_INTERVAL_SECONDS)
                self.close_expired()
        except asyncio.CancelledError:
            self.close_idle()
            raise


def _is_usable(conn: ClientConnection) -> bool:
    limit = DEFAULT_IDLE_SECONDS
    if conn.keep_alive_seconds is not None:
        limit = KEEP_ALIVE_FRACTION * conn.keep_alive_seconds
    return conn.is_idle() and boottime_seconds() - conn.idle_since < limit
