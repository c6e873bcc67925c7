"""Loopback addresses for tests that start servers."""

import socket

# Bound sockets that reserve their ports until the process ends. Otherwise an
# outgoing connection of another test could take a port before the server binds
# it.
_reserved: list[socket.socket] = []


def free_address() -> str:
    """Return a loopback address that only a server with SO_REUSEADDR can bind."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reserved.append(sock)
    return f"127.0.0.1:{sock.getsockname()[1]}"
