"""How one attempt at a backend server ended."""

from attrs import frozen

from eelgrassdale.http1 import Head


@frozen(kw_only=True)
class NotRun:
    """The backend server certainly did not run the request."""

    reason: str
    was_sent: bool


@frozen(kw_only=True)
class Lost:
    """No valid answer came; the request may have run."""

    reason: str


@frozen(kw_only=True)
class Answered:
    """The backend server's whole answer, of any status."""

    head: Head
    body: bytes


@frozen(kw_only=True)
class Relayed:
    """The answer was passed to the caller as it came."""


Outcome = NotRun | Lost | Answered | Relayed
