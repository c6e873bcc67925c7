"""Heads of requests and answers, and the headers that end at one connection."""

from collections.abc import Iterable

from attrs import frozen

Headers = tuple[tuple[str, str], ...]

# RFC 9110, section 7.6.1, and the older headers of the same meaning.
HOP_HEADERS = frozenset(
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
    """One request; `target` is path and query as they came, names are lower case."""

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
        return header_of(self.headers, name)


@frozen(kw_only=True)
class Head:
    """Status and headers of an answer; names are lower case."""

    status: int
    headers: Headers = ()

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return header_of(self.headers, name)


def header_of(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string.

    Examples
    --------
    >>> header_of((("host", "a.example"),), "host")
    'a.example'

    """
    for key, value in headers:
        if key == name:
            return value
    return ""


def end_to_end(headers: Headers, *, drop: Iterable[str] = ()) -> Headers:
    """Return the headers that may be forwarded, without those in `drop`.

    Headers that the `Connection` header names end at this connection too.

    Examples
    --------
    >>> end_to_end((("connection", "close, x-a"), ("x-a", "1"), ("x-b", "2")))
    (('x-b', '2'),)

    """
    named = {
        part.strip().lower()
        for key, value in headers
        if key == "connection"
        for part in value.split(",")
    }
    dropped = HOP_HEADERS | named | frozenset(drop)
    return tuple(pair for pair in headers if pair[0] not in dropped)


def text_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return headers of the parser as text with lower-case names."""
    return tuple(
        (key.decode("latin-1").lower(), value.decode("latin-1")) for key, value in raw
    )


def wire_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers in the form that the parser takes."""
    return [(key.encode("latin-1"), value.encode("latin-1")) for key, value in headers]
