"""Tests of the parsing of messages, however their bytes are divided."""

import itertools
import time

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.http1.parsing import MAX_HEADER_LINES, MessageParser

MAX_HEAD_BYTES = 65_536
PROCESSOR_SECONDS = 2.0
START = b"HTTP/1.1 200 OK\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"


def client_parser():
    parser = MessageParser(role=h11.CLIENT, max_head_bytes=MAX_HEAD_BYTES)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    parser.send(h11.EndOfMessage())
    return parser


def read_all(pieces, *, ends=True):
    """Return status and body of the first response; "invalid" if there is an error."""
    parser = client_parser()
    status, body = None, b""
    for piece in [*pieces, *([b""] if ends else [])]:
        parser.receive_data(piece)
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError:
                return "invalid"
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, body
            elif not isinstance(event, h11.InformationalResponse):
                break
    return "incomplete"


def divided(data, cuts):
    """Return the bytes cut at the given positions."""
    positions = sorted({cut % (len(data) + 1) for cut in cuts})
    bounds = [0, *positions, len(data)]
    return [data[a:b] for a, b in itertools.pairwise(bounds) if b > a]


def chunked(parts):
    lines = b"".join(b"%x;ext=1\r\n%b\r\n" % (len(part), part) for part in parts)
    return CHUNKED + lines + b"0\r\nx-trailer: 1\r\n\r\n"


def with_length(parts):
    body = b"".join(parts)
    return START + b"Content-Length: %d\r\n\r\n" % len(body) + body


def until_close(parts):
    return START + b"\r\n" + b"".join(parts)


@given(
    parts=st.lists(st.binary(min_size=1, max_size=40), max_size=8),
    make=st.sampled_from([chunked, with_length, until_close]),
    cuts=st.lists(st.integers(min_value=0), max_size=12),
    interim=st.sampled_from([b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"]),
)
def test_response_does_not_depend_on_how_its_bytes_arrive(parts, make, cuts, interim):
    """Guards against a body that changes where two reads meet."""
    pieces = divided(interim + make(parts), cuts)
    assert read_all(pieces) == (200, b"".join(parts))


@given(
    data=st.lists(
        st.sampled_from(
            [START, CHUNKED, b"\r\n", b"\n", b"0", b"1", b"a", b";", b":", b" ", b"\0"]
        ),
        max_size=20,
    ).map(b"".join),
    cuts=st.lists(st.integers(min_value=0), max_size=6),
)
@settings(max_examples=300)
def test_invalid_bytes_do_not_become_valid_when_divided(data, cuts):
    """Guards against a malformed response that passes for a whole one."""
    assert read_all(divided(data, cuts)) == read_all([data])


@pytest.mark.parametrize(
    "data",
    [
        START + b"x:" + b" \t" * 30_000 + b"\0\r\n\r\n",
        START + b"x:" + b" " * 60_000 + b"\r \r\n\r\n",
        START + b"x:" + b" " * 60_000 + b"\x0b\r\n\r\n",
        START + b"x: a\r\n" + b" \r\n" * 20_000 + b"\0\r\n\r\n",
        CHUNKED + b"1;" + b" " * 60_000 + b"\n\r\n",
        CHUNKED + b"0\r\nx:" + b" " * 60_000 + b"\0\r\n\r\n",
        CHUNKED + b"1\r\nx\r\n" * 20_000,
        START + b"a:\r\n" * 16_000 + b"\r\n",
    ],
    ids=range(8),
)
@pytest.mark.parametrize("piece_bytes", [16, 65_536])
def test_time_to_parse_is_linear_in_the_bytes(data, piece_bytes):
    """Guards against a process that stands still over a head of blanks.

    60 kB of blanks before a NUL took 22 s, in every program that reads responses.
    """
    started_at = time.process_time()
    read_all(divided(data, range(0, len(data), piece_bytes)), ends=False)
    assert time.process_time() - started_at < PROCESSOR_SECONDS


def test_head_of_too_many_lines_is_invalid():
    """Guards against a head whose fields cost more than the request itself."""
    data = START + b"a: b\r\n" * MAX_HEADER_LINES + b"\r\n"
    assert read_all([data]) == "invalid"


@pytest.mark.parametrize(
    "rest", [b"1" * 17 + b"\r\n", b"x\r\n", b"1\r\nab\r\n", b"0\r\n" + b"a" * 2000]
)
def test_malformed_chunks_are_invalid(rest):
    assert read_all([CHUNKED + rest]) == "invalid"


def test_bytes_of_the_next_message_stay_ahead():
    """Guards against bytes after a response that are taken for the next one."""
    parser = client_parser()
    parser.receive_data(with_length([b"ok"]) + START)
    while not isinstance(parser.next_event(), h11.EndOfMessage):
        pass
    assert parser.has_bytes_ahead


HEAD_PIECES = [
    *(
        b"HTTP/1.1 ",
        b"HTTP/9.9 ",
        b"000",
        b"099",
        b"103",
        b"200",
        b"599",
        b"600",
        b"2x0",
    ),
    *(b" OK", b"Content-Length: ", b"Transfer-Encoding: chunked", b"\r\n", b"\r\n\r\n"),
    *(b"\n", b"0", b"1", b"-1", b":", b"a", b"\xb2", b"\0"),
]


@given(st.lists(st.sampled_from(HEAD_PIECES), max_size=16).map(b"".join))
@settings(derandomize=True, max_examples=1500, deadline=None)
def test_response_of_any_bytes_is_one_that_was_sent(data):
    """Guards against exceptions of other types, and invented statuses or bodies."""
    result = read_all([data])
    if isinstance(result, tuple):
        status, body = result
        assert 200 <= status <= 599
        assert b"HTTP/1.1 %d" % status in data
        assert body in data or b"chunked" in data
