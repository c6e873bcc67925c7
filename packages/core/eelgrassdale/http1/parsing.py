"""Parses messages with `h11`, at a cost linear in their bytes, whatever these are.

The parser's patterns for header fields and chunk sizes take a time that grows with the
square of a run of blanks, and it takes longer for a chunk of a byte than for one of a
kilobyte. So heads are checked before they reach it, and chunks are decoded before and
passed to it as larger ones. It keeps the state of the connection.
"""

import re

import h11

from eelgrassdale.http1.chunkedcoding import ChunkDecoder

# Bytes of a body parsed at a time, which takes a few milliseconds at most.
PIECE_BYTES = 8192
MAX_HEADER_LINES = 256
# The parser takes any three digits from 200 on for the status of a final response.
MAX_STATUS = 599
_HEAD_END = re.compile(rb"\n\r?\n")
_PARTIAL_END_BYTES = 2
# Only for these do the parser's patterns go through a run of blanks again and again.
_INVALID_IN_HEAD = re.compile(rb"[\x00\x0b\x0c]|\r(?!\n)")
_FIRST_VISIBLE_BYTE = 0x21

# `h11` names roles, states and the need for data by classes that it does not export.
Sentinel = type


class MessageParser:
    """Parses the messages of one connection, in both directions.

    The methods are those of `h11.Connection`, but that the bytes of a body come in
    pieces of at most `PIECE_BYTES`.

    Parameters
    ----------
    role
        `h11.CLIENT` or `h11.SERVER`, the role of this side.
    max_head_bytes : int
        Limit of a head that is not complete yet.

    Examples
    --------
    >>> parser = MessageParser(role=h11.SERVER, max_head_bytes=1000)
    >>> parser.receive_data(b"GET /a HTTP/1.1" + bytes([13, 10]) + b"host: b")
    >>> parser.next_event() is h11.NEED_DATA
    True
    >>> parser.receive_data(bytes([13, 10, 13, 10]))
    >>> parser.next_event().target
    b'/a'

    """

    def __init__(self, *, role: Sentinel, max_head_bytes: int) -> None:
        self._h11 = h11.Connection(role, max_incomplete_event_size=max_head_bytes)
        self._max_head_bytes = max_head_bytes
        self._buffer = bytearray()
        self._is_closed = False
        self._is_close_reported = False
        self._head_search_start = 0
        self._chunks: ChunkDecoder | None = None
        # Bytes of a body with a length that are still to come.
        self._body_bytes_left: int | None = None

    @property
    def our_state(self) -> Sentinel:
        """State of this side, as `h11` names it."""
        return self._h11.our_state

    @property
    def their_state(self) -> Sentinel:
        """State of the other side, as `h11` names it."""
        return self._h11.their_state

    @property
    def they_are_waiting_for_100_continue(self) -> bool:
        """Whether the other side waits for an interim response before its body."""
        return self._h11.they_are_waiting_for_100_continue

    @property
    def has_bytes_ahead(self) -> bool:
        """Whether bytes were received that are not parsed yet."""
        return bool(self._buffer)

    @property
    def has_many_chunks(self) -> bool:
        """Whether the body is in so many small chunks that it is costly to decode."""
        return self._chunks is not None and self._chunks.has_many_chunks

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that were received and are not parsed yet."""
        return len(self._buffer)

    def drop_buffered(self) -> None:
        """Drop the bytes that are not parsed yet; no further message is read."""
        self._buffer = bytearray()

    @property
    def is_closed(self) -> bool:
        """Whether the end of the connection was received."""
        return self._is_closed

    def receive_data(self, data: bytes) -> None:
        """Take received bytes; empty ones are the end of the connection."""
        self._buffer += data
        self._is_closed = self._is_closed or not data

    def send(self, event: h11.Event) -> bytes | None:
        """Return the bytes of an event; raises `h11.LocalProtocolError`."""
        return self._h11.send(event)

    def start_next_cycle(self) -> None:
        """Prepare for the next message after a complete exchange."""
        self._h11.start_next_cycle()

    def next_event(self) -> h11.Event | Sentinel:
        """Return the next event, or `h11.NEED_DATA`.

        Raises
        ------
        h11.RemoteProtocolError
            If the bytes received are no valid message.
        """
        event = self._h11.next_event()
        while event is h11.NEED_DATA and self._pass_on():
            event = self._h11.next_event()
        if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
            raise h11.RemoteProtocolError(f"invalid status {event.status_code}")
        self._prepare_for_body(event)
        return event

    def _pass_on(self) -> bool:
        """Pass checked bytes to `h11`; return False if there are none."""
        state = self._h11.their_state
        if state in (h11.IDLE, h11.SEND_RESPONSE):
            data = self._take_head()
        elif state is h11.SEND_BODY:
            data = self._take_body()
        elif self._buffer:
            # The beginning of the next message.
            return False
        else:
            data = b""
        if not data and not self._may_report_close():
            return False
        self._h11.receive_data(data)
        return True

    def _may_report_close(self) -> bool:
        """Return whether the end of the connection is due, which is reported once."""
        is_due = self._is_closed and not self._is_close_reported
        self._is_close_reported = self._is_closed
        return is_due

    def _take_head(self) -> bytes:
        buffer = self._buffer
        if not buffer:
            return b""
        if buffer[0] < _FIRST_VISIBLE_BYTE:
            raise h11.RemoteProtocolError("illegal start line")
        end = _HEAD_END.search(buffer, self._head_search_start)
        if end is None:
            self._require_room_for_head()
            self._head_search_start = max(0, len(buffer) - _PARTIAL_END_BYTES)
            return b""
        self._head_search_start = 0
        head = self._take(end.end())
        if head.count(b"\n") > MAX_HEADER_LINES:
            raise h11.RemoteProtocolError(
                f"more than {MAX_HEADER_LINES} header lines", error_status_hint=431
            )
        if _INVALID_IN_HEAD.search(head):
            raise h11.RemoteProtocolError("illegal character in a head")
        return head

    def _require_room_for_head(self) -> None:
        if len(self._buffer) > self._max_head_bytes:
            raise h11.RemoteProtocolError(
                f"head exceeds {self._max_head_bytes} bytes", error_status_hint=431
            )
        if self._is_closed:
            raise h11.RemoteProtocolError("connection closed within a head")

    def _take_body(self) -> bytes:
        if self._chunks is not None:
            return self._take_chunks(self._chunks)
        size = PIECE_BYTES
        if self._body_bytes_left is not None:
            size = min(size, self._body_bytes_left)
            self._body_bytes_left -= min(size, len(self._buffer))
        return self._take(size)

    def _take_chunks(self, chunks: ChunkDecoder) -> bytes:
        """Return decoded chunks as one chunk; with the end of the body at its end."""
        data = b""
        size = -1
        while not data and not chunks.is_complete and size != len(self._buffer):
            size = len(self._buffer)
            data = chunks.decode(self._buffer, limit=PIECE_BYTES)
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + b"0\r\n\r\n" if chunks.is_complete else chunk

    def _take(self, size: int) -> bytes:
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _prepare_for_body(self, event: h11.Event | Sentinel) -> None:
        """Learn from a head how the body that follows it is framed."""
        if not isinstance(event, h11.Request | h11.Response):
            return
        self._chunks = None
        self._body_bytes_left = None
        for name, value in event.headers:
            if name == b"transfer-encoding":
                self._chunks = ChunkDecoder()
            elif name == b"content-length":
                self._body_bytes_left = int(value)
