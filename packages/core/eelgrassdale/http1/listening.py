"""Accepts connections only while there is room for them.

The listening server of asyncio accepts up to its backlog at a time and logs a traceback
for each connection that fails for a lack of descriptors.
"""

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 512
ACCEPTS_PER_TURN = 32
# Time until the next attempt when there was no room, or no descriptor.
RETRY_SECONDS = 0.05


class Listener:
    """Listens on one address and passes each accepted socket to `on_socket`.

    `admit` is asked for each connection. One that it does not admit is kept, and the
    others stay in the kernel's queue, until it does. `on_error` gets each error of the
    kernel.
    """

    def __init__(
        self,
        *,
        on_socket: Callable[[socket.socket], None],
        admit: Callable[[], bool],
        on_error: Callable[[OSError], None],
    ) -> None:
        self._on_socket = on_socket
        self._admit = admit
        self._on_error = on_error
        self._listening: socket.socket | None = None
        # Accepted, but not admitted yet.
        self._pending: socket.socket | None = None
        self._retry: asyncio.TimerHandle | None = None

    def open(self, host: str, port: int) -> tuple[str, int]:
        """Listen; return the address, with the assigned port for port 0."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listening = socket.create_server(
            (host, port), family=family, backlog=BACKLOG
        )
        self._listening.setblocking(False)
        # Accepted sockets inherit it. asyncio sets it only on sockets that were made
        # with the number of the protocol; without it each response waits 40 ms.
        self._listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        asyncio.get_running_loop().add_reader(self._listening, self._accept)
        return self._listening.getsockname()[:2]

    def close(self) -> None:
        """Stop listening."""
        if self._listening is None:
            return
        if self._retry is not None:
            self._retry.cancel()
        if self._pending is not None:
            self._pending.close()
        asyncio.get_running_loop().remove_reader(self._listening)
        self._listening.close()
        self._listening = None

    def _accept(self) -> None:
        try:
            for _ in range(ACCEPTS_PER_TURN):
                if not self._accept_one():
                    self._pause()
                    return
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            # No connection waits, or one that is gone already.
            return
        except OSError as exc:
            self._on_error(exc)
            self._pause()

    def _accept_one(self) -> bool:
        """Accept a connection; return False if there is no room for it."""
        sock, self._pending = self._pending, None
        if sock is None:
            sock, _ = self._listening.accept()
            sock.setblocking(False)
        if not self._admit():
            self._pending = sock
            return False
        self._on_socket(sock)
        return True

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listening)
        self._retry = loop.call_later(RETRY_SECONDS, self._resume)

    def _resume(self) -> None:
        self._retry = None
        asyncio.get_running_loop().add_reader(self._listening, self._accept)
        self._accept()
