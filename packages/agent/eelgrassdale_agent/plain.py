"""HTTP client of a plain service."""

from collections.abc import Iterator

from attrs import frozen
from urllib3.response import HTTPResponse

from eelgrassdale.telemetry.traces import TRACEPARENT
from eelgrassdale_agent.answers import PIECE_BYTES
from eelgrassdale_agent.backend import FAILURES, Exchange, lost

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@frozen(kw_only=True)
class PlainRequest:
    """One call of the service."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class PlainAnswer:
    """Status, headers and body of one answer, read by one thread."""

    def __init__(self, *, exchange: Exchange, answer: HTTPResponse) -> None:
        self._exchange = exchange
        self._answer = answer
        self.status = answer.status
        self.headers = end_to_end(dict(answer.headers))

    def pieces(self) -> Iterator[bytes]:
        """Yield the body in pieces of at most `PIECE_BYTES`.

        Raises
        ------
        BackendError
            The connection broke before the end of the body.

        """
        try:
            yield from self._answer.stream(PIECE_BYTES)
        except FAILURES as exc:
            raise lost(exc) from exc

    def close(self) -> None:
        """Close the connection."""
        self._exchange.close()


class PlainClient:
    """Client of one plain service.

    Parameters
    ----------
    url : str
        URL of the service.
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")

    def exchange(self, *, timeout_seconds: float) -> Exchange:
        """Return a fresh exchange for `call`, which another thread may abort."""
        return Exchange(url=self._url, timeout_seconds=timeout_seconds)

    def call(
        self, request: PlainRequest, *, exchange: Exchange, traceparent: str
    ) -> PlainAnswer:
        """Send a request once and return its answer.

        Raises
        ------
        BackendError
            The service cannot be reached or failed.

        """
        headers = {
            **end_to_end(request.headers),
            "X-Request-Id": request.request_id,
            TRACEPARENT: traceparent,
        }
        path = "/" + request.path.lstrip("/")
        answer = exchange.send(request.method, path, body=request.body, headers=headers)
        return PlainAnswer(exchange=exchange, answer=answer)


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers that concern more than one connection.

    Examples
    --------
    >>> end_to_end({"Connection": "close", "Content-Type": "text/plain"})
    {'Content-Type': 'text/plain'}

    """
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _HOP_BY_HOP
    }
