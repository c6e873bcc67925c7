"""Typed messages between the tasks of an entry node."""

from collections.abc import Callable, Mapping
from typing import Protocol

from attrs import Factory, frozen

from eelgrassdale.catalog import ServiceKind
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.routing.entries import IssuedKey
from eelgrassdale.routing.frames import AnswerReader
from eelgrassdale.wire import Frame, Headroom


class AnswerSink(Protocol):
    """Where the answer to one request goes; no method blocks."""

    def reserve(self, on_room: Callable[[], None]) -> int:
        """Reserve and return the bytes that may be asked for now.

        `on_room` is called when a full reader has room again.
        """
        ...

    def settle(self, *, reserved: int, received: int) -> None:
        """Turn a reservation into bytes that `write` will be given."""
        ...

    def delivered(self) -> int:
        """Return the bytes of the answer given to `write` so far."""
        ...

    def write(self, frame: Frame, data: bytes) -> None:
        """Add the next bytes of the answer."""
        ...

    def complete(self, frame: Frame, reader: AnswerReader) -> None:
        """End the answer after its length and digest were checked."""
        ...

    def fail(self, error: ResultError, *, model_version: str) -> None:
        """End the answer with an error."""
        ...


@frozen(kw_only=True)
class HttpRequest:
    """One request as it came over HTTP; `body` is None when it is too large."""

    request_id: str
    service: str
    kind: ServiceKind
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | None


@frozen(kw_only=True, eq=False)
class CallerRequest:
    """One checked request of a caller; times are monotonic seconds."""

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
    sink: AnswerSink


@frozen(kw_only=True, eq=False)
class Attempt:
    """One sending of a request to one agent.

    `resume_text` is what earlier attempts delivered of a resumed answer, whose
    length `reader.offset` has.
    """

    request: CallerRequest
    number: int
    agent: str
    reader: AnswerReader
    model_version: str = ""
    resume_text: str = ""


@frozen(kw_only=True, eq=False)
class NewRequest:
    """A caller's request arrived."""

    request: CallerRequest


@frozen(kw_only=True)
class CallerGone:
    """The caller closed its connection or read too slowly."""

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

    `by_agent` is true when the agent itself gave the code.
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
    """Headroom by service that came back with a poll or a probe."""

    agent: str
    incarnation: int
    headroom: Mapping[str, Headroom]
    is_poll: bool = True


@frozen(kw_only=True)
class AgentSilent:
    """An agent refused a connection or did not answer in time."""

    agent: str
    refused: bool


@frozen(kw_only=True)
class TopologyChanged:
    """The configuration or the members changed."""
