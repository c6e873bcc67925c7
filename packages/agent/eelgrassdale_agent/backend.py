"""Connections to the backend server beside the agent.

Each request uses a new connection. If a reused connection broke before the first
byte of the answer, the server could either have closed it while idle or have run
the request. On a new connection, only a failed connect means `not run`.
"""

import contextlib
import http.client
import json
import socket
from urllib.parse import urlsplit

from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse, HTTPResponse

from eelgrassdale.results import ResultCode
from eelgrassdale.validresponses import ValidatingConnection

CONNECT_TIMEOUT_SECONDS = 1.0
# An error body is truncated to this length in the detail of a result.
MAX_DETAIL_CHARACTERS = 200

EXCHANGE_ERRORS = (OSError, HTTPError, http.client.HTTPException, ValueError)


class BackendError(Exception):
    """A call to the backend server failed.

    `code` says whether the request can have run. `is_connection_lost` means that
    the connection was refused or broke, which may indicate a restart of the server.
    """

    def __init__(
        self, code: ResultCode, detail: str, *, is_connection_lost: bool = False
    ) -> None:
        super().__init__(f"{code.name}: {detail}")
        self.code = code
        self.detail = detail
        self.is_connection_lost = is_connection_lost


class Exchange:
    """One request on one new connection.

    Parameters
    ----------
    url : str
        URL of the backend server.
    timeout_seconds : float
        Time-out of a single read from the socket.
    """

    def __init__(self, *, url: str, timeout_seconds: float) -> None:
        parts = urlsplit(url)
        self._path_prefix = parts.path.rstrip("/")
        self._conn = ValidatingConnection(
            parts.hostname, parts.port or 80, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self._timeout_seconds = timeout_seconds
        self._socket: socket.socket | None = None
        self._aborted = False

    def send(
        self, method: str, path: str, *, body: bytes, headers: dict[str, str]
    ) -> HTTPResponse:
        """Send the request and return its response once the head has arrived.

        Raises
        ------
        BackendError
            `NO_BACKEND_SERVER` when the connection could not be opened, so that
            nothing was sent; otherwise `BACKEND_FAILED`.

        """
        self._connect()
        try:
            self._conn.request(
                method,
                self._path_prefix + path,
                body=body,
                headers={"Connection": "close", **headers},
                preload_content=False,
                decode_content=False,
            )
            return self._conn.getresponse()
        except EXCHANGE_ERRORS as exc:
            raise connection_lost_error(exc) from exc

    def abort(self) -> None:
        """Shut down the connection, from any thread; a blocked read returns at once."""
        self._aborted = True
        sock = self._socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; only the reading thread may call this."""
        self._conn.close()
        if self._socket is not None:
            self._socket.close()

    def _connect(self) -> None:
        try:
            self._conn.connect()
        except EXCHANGE_ERRORS as exc:
            raise BackendError(
                ResultCode.NO_BACKEND_SERVER, repr(exc), is_connection_lost=True
            ) from exc
        self._socket = self._conn.sock
        # `getresponse` sets the time-out of the socket to that of the connection.
        self._conn.timeout = self._timeout_seconds
        self._socket.settimeout(self._timeout_seconds)
        if self._aborted:
            self.abort()


def connection_lost_error(exc: BaseException) -> BackendError:
    """Return the error of a connection that broke after the request was sent."""
    return BackendError(ResultCode.BACKEND_FAILED, repr(exc), is_connection_lost=True)


def read_bounded(response: BaseHTTPResponse, *, max_bytes: int) -> bytes:
    """Return the whole body of a response that was not read yet.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If the body has more than `max_bytes`, or cannot be read; the connection is
        closed then.

    """
    try:
        data = response.read(max_bytes + 1)
        if len(data) > max_bytes:
            raise HTTPError(f"response exceeds {max_bytes} bytes")
    except EXCHANGE_ERRORS:
        response.close()
        raise
    return data


def read_error_excerpt(response: HTTPResponse) -> str:
    """Return the start of an error body, empty if it cannot be read."""
    try:
        return response.read(MAX_DETAIL_CHARACTERS).decode("utf-8", "replace")
    except EXCHANGE_ERRORS:
        return ""


def json_bytes(value: object) -> bytes:
    """Return `value` as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()
