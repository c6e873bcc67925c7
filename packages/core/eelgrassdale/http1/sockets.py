"""Socket options that detect unresponsive peers."""

import select
import socket

# A connection ends when its peer is silent for about 2 s: one idle second, then
# a keepalive probe each second. Nothing else reveals a network partition on an
# idle connection.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
UNACKED_TIMEOUT_MS = 2500
# While a response is on its way, its reader may pause for longer, with a window of 0.
RESPONSE_UNACKED_TIMEOUT_MS = 10_000


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel close a connection whose peer stops acknowledging."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    set_unacked_timeout(sock, UNACKED_TIMEOUT_MS)


def set_unacked_timeout(sock: socket.socket, milliseconds: int) -> None:
    """Set for how long sent bytes may stay unacknowledged, or the peer's window 0."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether the kernel holds bytes, or the end of the stream, to be read.

    A closed socket has none.
    """
    if sock.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
