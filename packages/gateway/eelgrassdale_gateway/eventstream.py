"""Splits a `text/event-stream` body into events and reads their ids.

The cost is linear in the bytes of the body, whatever they are and however they are
divided: each byte is searched once for the end of an event.
"""

import re

from attrs import define, field, frozen

MAX_EVENT_BYTES = 1_048_576
# Bytes between two events, such as comments that keep a connection alive.
MAX_FILLER_BYTES = 65_536
# Longer numbers are not ids that a server counts up.
MAX_ID_DIGITS = 18

_EVENT_END = re.compile(rb"\n(?:\r?\n)+")
# Bytes at the end of the buffer that may be the beginning of an event's end.
_PARTIAL_END_BYTES = 2
_CONTENT_LINE = re.compile(rb"^(?:id|data)(?=[:\r\n])", re.MULTILINE)
_ID_LINE = re.compile(rb"^id:([^\r\n]*)", re.MULTILINE)
# A line without a colon that is not the name of a field either.
_INVALID_LINE = re.compile(
    rb"^(?!(?:event|retry)\r?$)[^:\r\n][^:\r\n]*\r?$", re.MULTILINE
)


class InvalidEventStream(Exception):
    """A body is no event stream, or one of its events exceeds the size limit."""


@frozen(kw_only=True)
class StreamEvent:
    """Bytes of a stream up to a blank line.

    `number` is the id, or None without one. `has_content` is false for comments, other
    fields and blank lines, which bring a response no further.
    """

    data: bytes
    number: int | None = None
    has_content: bool = True


@define
class EventSplitter:
    r"""Splits a body into complete events and buffers a partial one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [event.data for event in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    [b'id: 1\ndata: a\n\n']
    >>> [event.number for event in splitter.feed(b"ta: b\n\n")]
    [2]
    >>> splitter.has_partial_event()
    False

    """

    _buffer: bytearray = field(factory=bytearray)
    # Start of the bytes that have not been searched for the end of an event.
    _search_start: int = 0
    _filler_bytes: int = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes.

        Raises
        ------
        InvalidEventStream
            If `data` completes something that is no event, a partial event exceeds
            `MAX_EVENT_BYTES`, or what stands between two events `MAX_FILLER_BYTES`.
        """
        self._buffer += data
        events = []
        start = 0
        while end := _EVENT_END.search(self._buffer, self._search_start):
            event = parse_event(bytes(self._buffer[start : end.end()]))
            self._count_filler(event)
            events.append(event)
            start = self._search_start = end.end()
        del self._buffer[:start]
        self._search_start = max(0, len(self._buffer) - _PARTIAL_END_BYTES)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise InvalidEventStream(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def buffered_bytes(self) -> int:
        """Size of the buffered partial event."""
        return len(self._buffer)

    def has_partial_event(self) -> bool:
        """Return whether part of an incomplete event is buffered."""
        return bool(self._buffer)

    def _count_filler(self, event: StreamEvent) -> None:
        if event.has_content:
            self._filler_bytes = 0
            return
        self._filler_bytes += len(event.data)
        if self._filler_bytes > MAX_FILLER_BYTES:
            raise InvalidEventStream(f"no event in {MAX_FILLER_BYTES} bytes")


def parse_event(data: bytes) -> StreamEvent:
    r"""Return an event; raises `InvalidEventStream` if there is no field in its lines.

    Examples
    --------
    >>> parse_event(b"weight-versions: 2\nid: 7\ndata: x\n\n").number
    7
    >>> parse_event(b": ping\n\n").has_content
    False
    >>> parse_event(b"error\n\n")
    Traceback (most recent call last):
        ...
    eelgrassdale_gateway.eventstream.InvalidEventStream: no event: b'error\n\n'

    """
    if not _CONTENT_LINE.search(data):
        if _INVALID_LINE.search(data):
            raise InvalidEventStream(f"no event: {data[:40]!r}")
        return StreamEvent(data=data, has_content=False)
    return StreamEvent(data=data, number=_event_number(data))


def _event_number(data: bytes) -> int | None:
    line = _ID_LINE.search(data)
    text = line[1].strip() if line else b""
    if not text.isdigit():
        return None
    if len(text) > MAX_ID_DIGITS:
        raise InvalidEventStream(f"event id has {len(text)} digits")
    return int(text)
