"""Requests, response heads, and the filter for hop-by-hop headers."""

from collections.abc import Iterable

from attrs import frozen

Headers = tuple[tuple[str, str], ...]

# RFC 9110, section 7.6.1, and older headers that are hop-by-hop as well.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)


@frozen(kw_only=True)
class Request:
    """One request.

    `target` is path and query as received; header names are lower case.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return get_header(self.headers, name)


@frozen(kw_only=True)
class ResponseHead:
    """Status and headers of a response; header names are lower case."""

    status: int
    headers: Headers = ()

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return get_header(self.headers, name)


def get_header(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string.

    Examples
    --------
    >>> get_header((("host", "a.example"),), "host")
    'a.example'

    """
    for key, value in headers:
        if key == name:
            return value
    return ""


def end_to_end_headers(headers: Headers, *, drop: Iterable[str] = ()) -> Headers:
    """Return the end-to-end headers, without those in `drop`.

    Headers listed in the `Connection` header are hop-by-hop as well.

    Examples
    --------
    >>> end_to_end_headers((("connection", "close, x-a"), ("x-a", "1"), ("x-b", "2")))
    (('x-b', '2'),)

    """
    named = {
        part.strip().lower()
        for key, value in headers
        if key == "connection"
        for part in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | named | frozenset(drop)
    return tuple(pair for pair in headers if pair[0] not in dropped)


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that `h11` parsed as text with lower-case names."""
    return tuple(
        (key.decode("latin-1").lower(), value.decode("latin-1")) for key, value in raw
    )


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as the byte pairs that `h11` expects.

    Values beyond Latin-1, such as names of client accounts, are sent as UTF-8.

    Examples
    --------
    >>> encode_headers((("x-name", chr(0x65E5)),))
    [(b'x-name', b'\\xe6\\x97\\xa5')]

    """
    return [(key.encode("latin-1"), _encode_value(value)) for key, value in headers]


def _encode_value(value: str) -> bytes:
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode()


def header_size(headers: Headers) -> int:
    """Return the number of bytes of headers on the wire.

    Examples
    --------
    >>> header_size((("host", "a.example"),))
    17

    """
    return sum(len(name) + len(value) + 4 for name, value in headers)
