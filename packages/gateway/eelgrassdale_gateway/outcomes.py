"""Outcomes of an attempt at a backend server."""

import asyncio

from attrs import frozen

from eelgrassdale.http1 import ResponseHead


@frozen(kw_only=True)
class NotRun:
    """The backend server certainly did not run the request."""

    reason: str
    was_sent: bool


@frozen(kw_only=True)
class Lost:
    """No valid response arrived; the request may have run.

    `is_disconnected` is true if the connection to the backend server ended.
    """

    reason: str
    is_disconnected: bool = False


@frozen(kw_only=True)
class Superseded:
    """The response stalled, and another backend server has continued it.

    `continuation` is the attempt there, which relays events already.
    """

    reason: str
    continuation: "asyncio.Task[Outcome]"


@frozen(kw_only=True)
class Withdrawn:
    """The gateway ended the attempt for a reason of its own; it may have run."""

    reason: str


@frozen(kw_only=True)
class Answered:
    """The backend server sent a complete response, of any status.

    `is_disconnected` is true if the response ended with the connection.
    """

    head: ResponseHead
    body: bytes
    is_disconnected: bool = False


@frozen(kw_only=True)
class Relayed:
    """The response was streamed to the caller up to its end.

    `is_disconnected` is true if it ended with the connection, as it also does where
    the backend server ended between two events.
    """

    is_disconnected: bool = False


Outcome = NotRun | Lost | Superseded | Withdrawn | Answered | Relayed
