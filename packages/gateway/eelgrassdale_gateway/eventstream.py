"""Splits a `text/event-stream` body into events and reads their ids."""

from attrs import define, field

MAX_EVENT_BYTES = 1_048_576


class EventTooLong(Exception):
    """An event exceeds the size limit."""


@define
class EventSplitter:
    r"""Splits a body into complete events and buffers a partial one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [b'id: 1\ndata: a\n\n']
    >>> splitter.feed(b"ta: b\n\n")
    [b'id: 2\ndata: b\n\n']
    >>> splitter.has_partial_event()
    False

    """

    _buffer: bytes = field(default=b"")

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that `data` completes.

        Raises
        ------
        EventTooLong
            If a partial event exceeds `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        while (end := _first_event_end(self._buffer)) > 0:
            events.append(self._buffer[:end])
            self._buffer = self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def buffered_bytes(self) -> int:
        """Size of the buffered partial event."""
        return len(self._buffer)

    def has_partial_event(self) -> bool:
        """Return whether part of an incomplete event is buffered."""
        return bool(self._buffer)


def event_id(event: bytes) -> int | None:
    r"""Return the numeric id of an event, or None if it has none.

    Examples
    --------
    >>> event_id(b"weight-versions: 2\nid: 7\ndata: x\n\n")
    7
    >>> event_id(b": ping\n\n") is None
    True

    """
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None


def is_comment(event: bytes) -> bool:
    r"""Return whether an event has no field, as those that keep a connection alive.

    Examples
    --------
    >>> is_comment(b": ping\n\n"), is_comment(b"id: 7\ndata: x\n\n")
    (True, False)

    """
    return all(line.startswith(b":") for line in event.splitlines() if line)


def _first_event_end(data: bytes) -> int:
    event_ends = [
        position + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(separator)) >= 0
    ]
    return min(event_ends, default=0)
