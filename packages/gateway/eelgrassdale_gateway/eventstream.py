"""Whole events of a `text/event-stream` body, and their ids."""

from attrs import define, field

MAX_EVENT_BYTES = 1_048_576


class EventTooLong(Exception):
    """An event exceeds the size limit."""


@define
class EventSplitter:
    r"""Cuts a body into whole events; the rest waits for more bytes.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [b'id: 1\ndata: a\n\n']
    >>> splitter.feed(b"ta: b\n\n")
    [b'id: 2\ndata: b\n\n']
    >>> splitter.has_rest()
    False

    """

    _rest: bytes = field(default=b"")

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that `data` completes."""
        self._rest += data
        events = []
        while (end := _end_of_event(self._rest)) > 0:
            events.append(self._rest[:end])
            self._rest = self._rest[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLong(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def has_rest(self) -> bool:
        """Return whether an event was begun and not ended."""
        return bool(self._rest)

    def take_rest(self) -> bytes:
        """Return and forget the bytes behind the last whole event."""
        rest, self._rest = self._rest, b""
        return rest


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


def _end_of_event(data: bytes) -> int:
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=0)
