"""Names of the headers that callers, gateway and backend servers exchange.

The adapter of a platform fills them in, so that no other module depends on
how a platform spells them. All are lower case.
"""

from attrs import frozen


@frozen(kw_only=True)
class WireNames:
    """Header names of one platform."""

    request_id: str
    """Id of one attempt of a caller; the answer repeats it."""

    answer_signature: str
    """On every answer that a backend server gave itself."""

    not_run: str
    """On a refusal of a backend server that did not run the request."""

    time_left: str
    """Milliseconds until the caller gives up."""

    api_key: str
    """Secret of a client account; never passed on."""

    account: str
    """Name of the client account, set by the gateway for backend servers."""

    expected_server: str
    """Id of the backend server that is meant; any other refuses."""

    model: str
    """Model of a generation."""

    token_counts: str
    """Prompt tokens and most output tokens of a generation."""

    length_hint: str
    """A caller's estimate of the output tokens, often far off."""

    last_event: str
    """Id of the last event that a caller has of a resumed stream."""
