"""HTTP client of a plain service, which is not a model service."""

from collections.abc import Iterator

from attrs import frozen
from urllib3.response import HTTPResponse

from eelgrassdale.telemetry.traces import TRACEPARENT
from eelgrassdale_agent.answers import PIECE_BYTES
from eelgrassdale_agent.backend import EXCHANGE_ERRORS, Exchange, connection_lost_error

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
    """One HTTP request to the service."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class PlainResponse:
    """Status, headers and body of one answer, read by one thread."""

    def __init__(self, *, exchange: Exchange, response: HTTPResponse) -> None:
        self._exchange = exchange
        self._response = response
        self.status = response.status
        self.headers = remove_hop_by_hop_headers(dict(response.headers))

    def pieces(self) -> Iterator[bytes]:
        """Yield the body in pieces of at most `PIECE_BYTES`.

        Raises
        ------
        BackendError
            The connection broke before the end of the body.

        """
        try:
            yield from self._response.stream(PIECE_BYTES)
        except EXCHANGE_ERRORS as exc:
            raise connection_lost_error(exc) from exc

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
        """Return a new exchange for `call`, which another thread may abort."""
        return Exchange(url=self._url, timeout_seconds=timeout_seconds)

    def call(
        self, request: PlainRequest, *, exchange: Exchange, traceparent: str
    ) -> PlainResponse:
        """Send a request once, without retries, and return its answer.

        Raises
        ------
        BackendError
            The service cannot be reached or failed.

        """
        headers = {
            **remove_hop_by_hop_headers(request.headers),
            "X-Request-Id": request.request_id,
            TRACEPARENT: traceparent,
        }
        path = "/" + request.path.lstrip("/")
        response = exchange.send(
            request.method, path, body=request.body, headers=headers
        )
        return PlainResponse(exchange=exchange, response=response)


def remove_hop_by_hop_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers without those that apply to a single connection.

    Examples
    --------
    >>> remove_hop_by_hop_headers({"Connection": "close", "Content-Type": "text/plain"})
    {'Content-Type': 'text/plain'}

    """
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _HOP_BY_HOP
    }
