"""Names of the HTTP headers between callers, the gateway and backend servers.

The adapter of a platform supplies them, so that the other modules do not depend on
the header names of a platform. All are in lower case.
"""

from attrs import frozen


@frozen(kw_only=True)
class HeaderNames:
    """Header names of one platform."""

    request_id: str
    """Id of one attempt of a caller; the response must repeat it."""

    response_signature: str
    """Signature on each response that a backend server produced itself."""

    not_run: str
    """Marks a refusal: the backend server did not run the request."""

    remaining_ms: str
    """Milliseconds until the caller gives up."""

    api_key: str
    """Secret key of a client account; never forwarded to backend servers."""

    account: str
    """Name of the client account, set by the gateway for backend servers."""

    expected_server: str
    """Id of the intended backend server; any other refuses the request."""

    model: str
    """Model that a request asks for."""

    token_counts: str
    """Number of prompt tokens and maximum number of output tokens, comma-separated."""

    prompt_parts: str
    """Parts of the prompt in order, as comma-separated entries ID:TOKENS."""

    output_tokens_hint: str
    """A caller's estimate of the number of output tokens, often inaccurate."""

    last_event_id: str
    """Id of the last event already received of a stream that is resumed."""

    leaving: str
    """Set to 1 in the responses of a backend server that is about to stop."""

    rate_limit: str
    """Requests a second that a backend server takes from all gateways together."""

    priority: str = ""
    """Rank of a request among those that wait at a backend server, from 0 (first) to 9.

    Empty if the platform has no such header.
    """
