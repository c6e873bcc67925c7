"""Typed messages between the tasks of an entry node."""

from collections.abc import Callable, Mapping
from typing import Protocol

from attrs import Factory, frozen

from eelgrassdale.catalog import ServiceKind
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.routing.frames import AnswerValidator
from eelgrassdale.routing.keys import IssuedKey
from eelgrassdale.wire import Frame, Headroom


class ResponseSink(Protocol):
    """Receiver of the answer to one request; no method blocks."""

    def reserve(self, on_window_free: Callable[[], None]) -> int:
        """Reserve and return the bytes that may be requested from the agent now.

        If the reader's window is full, `on_window_free` is called when it has space
        again.
        """
        ...

    def settle(self, *, reserved: int, received: int) -> None:
        """Replace a reservation by the bytes received, which `write` then adds."""
        ...

    def delivered_bytes(self) -> int:
        """Return the number of bytes passed to `write` so far."""
        ...

    def write(self, frame: Frame, data: bytes) -> None:
        """Add the next bytes of the answer."""
        ...

    def complete(self, frame: Frame, validator: AnswerValidator) -> None:
        """End the answer, whose length and digest have been verified."""
        ...

    def fail(self, error: ResultError, *, model_version: str) -> None:
        """End the answer with an error."""
        ...


@frozen(kw_only=True)
class HttpRequest:
    """One request as received over HTTP; `body` is None when it was too large."""

    request_id: str
    service: str
    kind: ServiceKind
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | None


@frozen(kw_only=True, eq=False)
class CallerRequest:
    """One validated request of a caller; times are monotonic seconds."""

    request_id: str
    service: str
    kind: ServiceKind
    account: str
    weight: int
    priority: int
    method: str
    path: str
    headers: Mapping[str, str] = Factory(dict)
    body: bytes
    prompt_tokens: int = 0
    max_tokens: int = 0
    memory_bytes: int = 0
    idempotent: bool
    key: IssuedKey | None = None
    key_text: str = ""
    arrived_at: float
    deadline: float
    traceparent: str = ""
    affinity: str = ""
    sink: ResponseSink


@frozen(kw_only=True, eq=False)
class Attempt:
    """One attempt to run a request at one agent.

    `resume_text` is the part of the answer that earlier attempts delivered. Its
    length in bytes is `validator.offset`.
    """

    request: CallerRequest
    number: int
    agent: str
    validator: AnswerValidator
    model_version: str = ""
    resume_text: str = ""


@frozen(kw_only=True, eq=False)
class NewRequest:
    """A caller's request arrived."""

    request: CallerRequest


@frozen(kw_only=True)
class CallerGone:
    """The caller disconnected or read too slowly."""

    request_id: str
    code: ResultCode


@frozen(kw_only=True)
class AttemptAccepted:
    """An agent admitted an attempt."""

    request_id: str
    attempt: int
    agent: str
    headroom: Headroom | None
    model_version: str


@frozen(kw_only=True)
class AttemptEnded:
    """An attempt was refused, failed, or completed with code `OK`.

    `by_agent` is true when the agent returned the code, false when this node set it.
    """

    request_id: str
    attempt: int
    agent: str
    code: int
    message: str = ""
    by_agent: bool = True
    headroom: Headroom | None = None


@frozen(kw_only=True)
class AgentReport:
    """Headroom by service from the answer to a poll or a probe."""

    agent: str
    incarnation: int
    headroom: Mapping[str, Headroom]
    from_poll: bool = True


@frozen(kw_only=True)
class AgentUnresponsive:
    """An agent refused a connection or did not answer in time."""

    agent: str
    refused: bool


@frozen(kw_only=True)
class TopologyChanged:
    """The configuration or the members changed."""
