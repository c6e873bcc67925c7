"""Idle client connections, kept by address."""

from collections import defaultdict, deque

from eelgrassdale.clock import steady_seconds
from eelgrassdale.http1.client import Address, ClientConnection, connect
from eelgrassdale.http1.messages import Head, Request

# Servers close idle connections after a time they may state; half of it, and
# this much without a statement, leaves room for clocks and delays.
DEFAULT_IDLE_SECONDS = 2.0
KEEP_ALIVE_SHARE = 0.5


class ConnectionPool:
    """Connections of one process to many addresses.

    Parameters
    ----------
    connect_seconds : float
        Longest time for a new connection.
    idle_per_address : int
        Idle connections kept for one address.
    """

    def __init__(self, *, connect_seconds: float, idle_per_address: int = 8) -> None:
        self.idle_per_address = idle_per_address
        self._connect_seconds = connect_seconds
        self._idle: dict[Address, deque[ClientConnection]] = defaultdict(deque)

    async def acquire(
        self, address: Address, *, fresh: bool = False
    ) -> ClientConnection:
        """Return an idle connection to an address, or a new one.

        A `fresh` connection cannot be closed by the server at the moment in
        which a request is sent, which matters for work that runs at most once.

        Raises
        ------
        ConnectFailed
            If a new connection was needed and failed.
        """
        idle = self._idle[address]
        while idle and not fresh:
            conn = idle.pop()
            if _is_usable(conn):
                return conn
            conn.close()
        return await connect(address, timeout=self._connect_seconds)

    async def call(
        self, address: Address, req: Request, *, limit: int
    ) -> tuple[Head, bytes]:
        """Send a request and return the whole answer of at most `limit` bytes.

        Raises
        ------
        ConnectFailed
            If no connection was made.
        ExchangeBroken
            If the request may have arrived and no whole answer came.
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
                conn.close()

    def release(self, conn: ClientConnection) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        idle = self._idle[conn.address]
        if len(idle) >= self.idle_per_address or not conn.release():
            conn.close()
            return
        idle.append(conn)

    def drop_unused(self) -> None:
        """Close the idle connections that may not be used any more."""
        for address, idle in list(self._idle.items()):
            kept = deque()
            for conn in idle:
                if _is_usable(conn):
                    kept.append(conn)
                else:
                    conn.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def forget(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()


def _is_usable(conn: ClientConnection) -> bool:
    limit = DEFAULT_IDLE_SECONDS
    if conn.keep_alive_seconds is not None:
        limit = KEEP_ALIVE_SHARE * conn.keep_alive_seconds
    return conn.is_quiet() and steady_seconds() - conn.idle_since < limit
