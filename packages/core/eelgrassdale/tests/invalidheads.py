"""Heads that are none of a response, and a server that sends given bytes."""

import contextlib
import socket
import threading

# Without the end of the last line.
INVALID_HEADS = [
    *(b"HTTP/1.1 %b X" % status for status in (b"000", b"099", b"600", b"999")),
    *(b"HTTP/1.1 %b X" % status for status in (b"abc", b"+20", b"+200", b"2_00")),
    *(b"HTTP/1.1 %b X" % status for status in (b"20", b"2000", b"-200", b"2 0", b"")),
    *(b"HTTP/1.1", b"HTTP/9.9 200 OK", b"HTTP/0.9 200 OK", b"HTTP/1.x 200 OK"),
    *(b"http/1.1 200 OK", b"garbage", b"\0\1\2", b"HTTP/1.1 101 Switching Protocols"),
    b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 X",
    17 * b"HTTP/1.1 102 Processing\r\n\r\n" + b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 OK\r\nno colon",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
]


@contextlib.contextmanager
def server_that_sends(data):
    """Run a server that sends these bytes for each request; yield its URL."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            with contextlib.suppress(OSError):
                while True:
                    conn, _ = listener.accept()
                    with conn:
                        conn.settimeout(5)
                        conn.recv(65_536)
                        conn.sendall(data)

        threading.Thread(target=serve, daemon=True).start()
        try:
            yield f"http://127.0.0.1:{listener.getsockname()[1]}"
        finally:
            listener.shutdown(socket.SHUT_RDWR)
