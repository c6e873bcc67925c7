"""Connections to the backend server beside the agent.

Each request uses a connection of its own. On a reused one a loss before the
first byte of the answer could mean that the server had closed it already or
that the request ran; on a fresh one only a failed connect is `not run`.
"""

import contextlib
import http.client
import json
import socket
from urllib.parse import urlsplit

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from eelgrassdale.results import ResultCode

CONNECT_SECONDS = 1.0
# Above this size an error body is cut off in the detail of a result.
MAX_DETAIL_CHARACTERS = 200

FAILURES = (OSError, HTTPError, http.client.HTTPException, ValueError)


class BackendError(Exception):
    """A call to the backend server failed.

    `code` says whether the request can have run. `is_lost` means that the
    connection was refused or broke, which is a sign of a restart.
    """

    def __init__(self, code: ResultCode, detail: str, *, is_lost: bool = False) -> None:
        super().__init__(f"{code.name}: {detail}")
        self.code = code
        self.detail = detail
        self.is_lost = is_lost


class Exchange:
    """One request on one fresh connection.

    Parameters
    ----------
    url : str
        URL of the backend server.
    timeout_seconds : float
        Longest wait for one read.
    """

    def __init__(self, *, url: str, timeout_seconds: float) -> None:
        parts = urlsplit(url)
        self._prefix = parts.path.rstrip("/")
        self._conn = HTTPConnection(
            parts.hostname, parts.port or 80, timeout=CONNECT_SECONDS
        )
        self._timeout_seconds = timeout_seconds
        self._socket: socket.socket | None = None
        self._aborted = False

    def send(
        self, method: str, path: str, *, body: bytes, headers: dict[str, str]
    ) -> HTTPResponse:
        """Send the request and return the head of its answer.

        Raises
        ------
        BackendError
            `NO_BACKEND_SERVER` when no connection opened, so nothing was sent;
            otherwise `BACKEND_FAILED`.

        """
        self._connect()
        try:
            self._conn.request(
                method,
                self._prefix + path,
                body=body,
                headers={"Connection": "close", **headers},
                preload_content=False,
                decode_content=False,
            )
            return self._conn.getresponse()
        except FAILURES as exc:
            raise lost(exc) from exc

    def abort(self) -> None:
        """End the exchange from any thread; a blocked read returns at once."""
        self._aborted = True
        sock = self._socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; called by the thread that reads."""
        self._conn.close()
        if self._socket is not None:
            self._socket.close()

    def _connect(self) -> None:
        try:
            self._conn.connect()
        except FAILURES as exc:
            raise BackendError(
                ResultCode.NO_BACKEND_SERVER, repr(exc), is_lost=True
            ) from exc
        self._socket = self._conn.sock
        # `getresponse` sets the socket's timeout to that of the connection.
        self._conn.timeout = self._timeout_seconds
        self._socket.settimeout(self._timeout_seconds)
        if self._aborted:
            self.abort()


def lost(exc: BaseException) -> BackendError:
    """Return the error of a connection that broke after the request was sent."""
    return BackendError(ResultCode.BACKEND_FAILED, repr(exc), is_lost=True)


def short_body(answer: HTTPResponse) -> str:
    """Return the start of an error body."""
    try:
        return answer.read(MAX_DETAIL_CHARACTERS).decode("utf-8", "replace")
    except FAILURES:
        return ""


def json_bytes(value: object) -> bytes:
    """Return `value` as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()
