"""Inputs and outcomes of the admission decisions of one agent.

Every input carries the monotonic time `now` in seconds at which it happened,
so that a recorded sequence of inputs replays to the same outcomes.
"""

from attrs import frozen

from eelgrassdale.results import ResultCode


@frozen(kw_only=True)
class Settings:
    """Identity of an agent and the bounds of its tables.

    `wall_ms` is the wall-clock time in ms at monotonic time `monotonic`; both
    are read once, so that a step of the wall clock moves no expiry.
    """

    agent: str
    incarnation: int
    wall_ms: int
    monotonic: float
    max_keys: int = 10_000
    max_key_bytes: int = 64 * 1024 * 1024
    max_answer_bytes: int = 1024 * 1024
    max_key_lifetime_ms: int = 600_000
    max_streams: int = 1024
    max_attempts: int = 16_384
    remember_seconds: float = 60.0


@frozen(kw_only=True)
class Bounds:
    """Bounds of one backend server of a service."""

    service: str
    model: bool
    model_version: str
    cold_slots: int
    max_slots: int
    memory_bytes: int
    token_bytes: int


@frozen(kw_only=True)
class Configured:
    """A configuration generation came into force.

    `bounds` is None if the VM runs no service.
    """

    now: float
    generation: int
    bounds: Bounds | None
    services: tuple[str, ...]
    data_centre_in_service: bool
    vm_in_service: bool


@frozen(kw_only=True)
class Submitted:
    """A request arrived; `key_digest` covers the body and its target.

    `refuse_with` is the result code if the request must be refused for a reason
    outside admission, such as a malformed body; 0 otherwise.
    """

    now: float
    request_id: str
    attempt: int
    service: str
    key: str = ""
    key_digest: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    body_bytes: int = 0
    remaining_ms: int
    model_version: str = ""
    refuse_with: int = 0


@frozen(kw_only=True)
class Resumed:
    """The caller of a parked answer reads again.

    An answer whose caller reads too slowly is parked, which frees its slot.
    """

    now: float
    request_id: str
    attempt: int
    model_version: str
    prompt_tokens: int
    max_tokens: int


@frozen(kw_only=True)
class Completed:
    """A running request left the backend server.

    `healthy` means a complete answer. `code` is the result; after a code that
    means `not run`, later submits of the key are refused.
    """

    now: float
    ticket: int
    healthy: bool
    code: ResultCode
    answer_bytes: int = 0
    parked: bool = False


@frozen(kw_only=True)
class EngineReported:
    """The engine answered a load request."""

    now: float
    incarnation: str
    sequence: int
    model_version: str
    running: int
    waiting: int
    memory_used: int
    memory_limit: int
    cold: bool


@frozen(kw_only=True)
class EngineLost:
    """A connection to the backend server was refused or broke."""

    now: float


@frozen(kw_only=True)
class VersionMismatch:
    """The engine answered with another model version than at admission."""

    now: float


@frozen(kw_only=True)
class LoadingStarted:
    """Loading of weights began; new requests are refused until it ends."""

    now: float


@frozen(kw_only=True)
class LoadingEnded:
    """Loading ended; the engine holds all of `model_version` and is cold."""

    now: float
    model_version: str


@frozen(kw_only=True)
class PauseSeen:
    """The process did not run for `seconds`; its state may be out of date."""

    now: float
    seconds: float


@frozen(kw_only=True)
class PauseChecked:
    """Engine state and generation were read again after a pause."""

    now: float


@frozen(kw_only=True)
class Stopping:
    """The process began a graceful shutdown."""

    now: float


Event = (
    Configured
    | Submitted
    | Resumed
    | Completed
    | EngineReported
    | EngineLost
    | VersionMismatch
    | LoadingStarted
    | LoadingEnded
    | PauseSeen
    | PauseChecked
    | Stopping
)


@frozen(kw_only=True)
class Outcome:
    """Answer to one event.

    `ticket` identifies the admitted or running request. `run` is true only for
    the submit that must start it; a repeated submit shares the answer of `ticket`.
    """

    code: ResultCode = ResultCode.OK
    ticket: int = 0
    run: bool = False
    model_version: str = ""
    detail: str = ""


@frozen(kw_only=True)
class Room:
    """Free capacity of the backend server."""

    slots: int
    limit: int
    memory_bytes: int
    cold: bool
    accepting: bool
    model_version: str
    running: int
