"""Control calls to other nodes over a bounded pool of connections.

All calls made here are idempotent, so a call that failed on a connection the
other side had closed meanwhile is repeated on a new one.
"""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from eelgrassdale.wire import NodeConnection, WireError

IDLE_CONNECTION_LIMIT = 64
CONNECT_TIMEOUT_SECONDS = 0.5
# A failure before this fraction of the timeout means a broken connection; a
# later one means that the node did not answer.
NO_ANSWER_TIMEOUT_FRACTION = 0.9


class PeerConnectionPool:
    """Calls other nodes over pooled connections; thread-safe.

    Parameters
    ----------
    on_bytes : Callable[[int], None]
        Called after each call with the bytes it sent and received.
    """

    def __init__(self, *, on_bytes: Callable[[int], None]) -> None:
        self._on_bytes = on_bytes
        self._lock = threading.Lock()
        self._idle: OrderedDict[str, list[NodeConnection]] = OrderedDict()
        self._closed = False

    def call(
        self, address: str, name: str, *args: Any, timeout_seconds: float
    ) -> Result[Any, WireError]:
        """Call the function `name` of the node at `address`; return its answer."""
        conn = self._acquire_idle(address)
        reused = conn is not None
        if conn is None:
            conn = self._new_connection(address)
        started = time.monotonic()
        outcome = self._call_once(conn, name, args, timeout_seconds)
        elapsed = time.monotonic() - started
        if (
            outcome.is_error()
            and reused
            and elapsed < NO_ANSWER_TIMEOUT_FRACTION * timeout_seconds
        ):
            self._close_idle(address)
            outcome = self._call_once(
                self._new_connection(address), name, args, timeout_seconds
            )
        return outcome

    def close(self) -> None:
        """Close the idle connections; connections in use close after their call."""
        with self._lock:
            self._closed = True
            idle = [conn for conns in self._idle.values() for conn in conns]
            self._idle.clear()
        for conn in idle:
            conn.close()

    def _call_once(
        self, conn: NodeConnection, name: str, args: tuple, timeout_seconds: float
    ) -> Result[Any, WireError]:
        try:
            answer = conn.call(name, *args, timeout_seconds=timeout_seconds)
        except WireError as exc:
            conn.close()
            return Error(exc)
        self._release(conn)
        return Ok(answer)

    def _new_connection(self, address: str) -> NodeConnection:
        return NodeConnection(
            address=address,
            connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS,
            on_bytes=self._on_bytes,
        )

    def _acquire_idle(self, address: str) -> NodeConnection | None:
        with self._lock:
            conns = self._idle.get(address)
            if not conns:
                return None
            conn = conns.pop()
            if not conns:
                del self._idle[address]
            return conn

    def _release(self, conn: NodeConnection) -> None:
        dropped: list[NodeConnection] = []
        with self._lock:
            if self._closed:
                dropped.append(conn)
            else:
                self._idle.setdefault(conn.address, []).append(conn)
                self._idle.move_to_end(conn.address)
            while sum(map(len, self._idle.values())) > IDLE_CONNECTION_LIMIT:
                dropped += self._idle.popitem(last=False)[1]
        for old in dropped:
            old.close()

    def _close_idle(self, address: str) -> None:
        with self._lock:
            conns = self._idle.pop(address, [])
        for conn in conns:
            conn.close()
