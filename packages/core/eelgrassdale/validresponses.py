"""Connections of `urllib3` that accept only valid heads of responses.

`http.client` takes the end of the connection for the end of a head, any number from 100
to 999 for a status, an interim response other than 100 for the final one, and ignores
what follows a malformed header line. Callers would get a response that nobody sent.
"""

import http.client
import re
from email import errors
from io import BufferedReader

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

# A server that sends more interim responses (1xx) has failed.
MAX_INTERIM_RESPONSES = 16
MAX_SHOWN_BYTES = 80
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\r\n\0]*)?\r?\n")
_HEAD_DEFECTS = (
    errors.FirstHeaderLineIsContinuationDefect,
    errors.MissingHeaderBodySeparatorDefect,
    errors.MisplacedEnvelopeHeaderDefect,
)


class _LineReader:
    """Reads lines of a response's head; remembers the last one, and if it was cut."""

    def __init__(self, *, reader: BufferedReader) -> None:
        self._reader = reader
        self.last_line = b""

    @property
    def is_cut(self) -> bool:
        return not self.last_line.endswith(b"\n")

    def readline(self, limit: int = -1) -> bytes:
        self.last_line = self._reader.readline(limit)
        return self.last_line

    def close(self) -> None:
        self._reader.close()


class ValidResponse(http.client.HTTPResponse):
    """A response with a complete and valid head.

    Other heads raise an `http.client.HTTPException` while they are read.
    """

    def begin(self) -> None:
        """Read the head; called by `http.client`."""
        self._interim_count = 0
        reader = self.fp
        self.fp = lines = _LineReader(reader=reader)
        try:
            super().begin()
        finally:
            # None if the response has already ended.
            if self.fp is lines:
                self.fp = reader
        if lines.is_cut:
            raise http.client.IncompleteRead(b"")
        self._require_valid_headers()

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; `begin` skips what has the status 100."""
        version, status, reason = super()._read_status()
        line = self.fp.last_line
        is_switch = status == http.HTTPStatus.SWITCHING_PROTOCOLS
        if not _STATUS_LINE.fullmatch(line) or is_switch:
            raise http.client.BadStatusLine(repr(line[:MAX_SHOWN_BYTES]))
        if status >= http.HTTPStatus.OK:
            return version, status, reason
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES:
            raise http.client.HTTPException("too many interim responses")
        return version, int(http.HTTPStatus.CONTINUE), reason

    def _require_valid_headers(self) -> None:
        if any(isinstance(defect, _HEAD_DEFECTS) for defect in self.headers.defects):
            raise http.client.HTTPException("malformed header line")
        for length in self.headers.get_all("content-length", ()):
            if not (length.isascii() and length.strip().isdigit()):
                raise http.client.HTTPException(f"invalid length {length[:20]!r}")
        for coding in self.headers.get_all("transfer-encoding", ()):
            if coding.strip().lower() != "chunked":
                raise http.client.HTTPException(f"unknown coding {coding[:20]!r}")


class ValidatingConnection(HTTPConnection):
    """A connection whose responses have valid heads."""

    response_class = ValidResponse


class _ValidatingPool(HTTPConnectionPool):
    ConnectionCls = ValidatingConnection


def pool_manager(**options: object) -> urllib3.PoolManager:
    """Return a pool of such connections for HTTP, with the options of `urllib3`.

    An invalid response raises `urllib3.exceptions.ProtocolError`.

    Examples
    --------
    >>> pool = pool_manager(retries=False)
    >>> pool.connection_from_url("http://127.0.0.1:1/").ConnectionCls.__name__
    'ValidatingConnection'

    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        "http": _ValidatingPool,
    }
    return manager
