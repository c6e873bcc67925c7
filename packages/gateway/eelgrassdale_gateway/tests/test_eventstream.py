"""Tests of the division of a stream into events."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassdale_gateway.eventstream import (
    MAX_FILLER_BYTES,
    EventSplitter,
    InvalidEventStream,
)

# Fragments of which every kind of line and line end can be composed.
FRAGMENTS = [
    b"id: 1",
    b"data: a",
    b"data",
    b":",
    b"retry",
    b"x:",
    b"id: \xb2",
    b"\0error",
    b"\n",
    b"\r\n",
    b"\r",
]
PROCESSOR_SECONDS = 4.0


def split(pieces):
    """Return the data of all events, and the rest; "invalid" if there is an error."""
    splitter = EventSplitter()
    events = []
    try:
        for piece in pieces:
            events += splitter.feed(piece)
    except InvalidEventStream:
        return "invalid"
    return events, splitter.buffered_bytes


@given(st.lists(st.sampled_from(FRAGMENTS), max_size=30).map(b"".join))
def test_events_do_not_depend_on_how_the_bytes_arrive(data):
    """Guards against the end of an event that is missed where two reads meet."""
    bytewise = split(data[i : i + 1] for i in range(len(data)))
    at_once = split([data])
    if "invalid" in (bytewise, at_once):
        assert bytewise == at_once
        return
    for events, buffered_bytes in (bytewise, at_once):
        joined = b"".join(event.data for event in events)
        assert data.startswith(joined)
        assert len(joined) + buffered_bytes == len(data)
    # Blank lines that follow an event may be counted to it or stand alone.
    assert [e.number for e in bytewise[0] if e.has_content] == [
        e.number for e in at_once[0] if e.has_content
    ]


@pytest.mark.parametrize("piece_bytes", [1, 65_536])
@pytest.mark.parametrize("line", [b"x", b"a:\n", b"data\n\n", b"id: 1\n\n", b"\r"])
def test_time_to_split_a_body_is_linear_in_its_bytes(line, piece_bytes):
    """Guards against a gateway that stands still for seconds in a body without end.

    256 kB of one line in pieces of a byte took more than a minute.
    """
    data = (line * 262_144)[:262_144]
    started_at = time.process_time()
    split(data[i : i + piece_bytes] for i in range(0, len(data), piece_bytes))
    assert time.process_time() - started_at < PROCESSOR_SECONDS


@pytest.mark.parametrize("line", [b": ping\n\n", b"\n", b"\r\n", b"retry: 1\n\n"])
def test_stream_without_events_is_invalid_at_last(line):
    """Guards against comments and blank lines without end that pass for a stream."""
    line_count = 2 * MAX_FILLER_BYTES // len(line)
    assert split([line] * line_count) == "invalid"


@pytest.mark.parametrize(
    "data", [b"error\n\n", b"\x00\xff\n\n", b"id: " + b"9" * 5000 + b"\n\n"]
)
def test_lines_that_are_no_event_are_invalid(data):
    """Guards against an id that no number can hold, which ended the request."""
    with pytest.raises(InvalidEventStream):
        EventSplitter().feed(data)
