"""Requests that the dispatcher tracks, and their attempts."""

from collections.abc import Callable

from attrs import define, field

from eelgrassdale.catalog import ServiceKind
from eelgrassdale.results import ExecutionState, ResultCode, ResultError, info_of
from eelgrassdale.routing.choice import RequestRequirements
from eelgrassdale.routing.fairqueue import FairQueue, Queued
from eelgrassdale.routing.frames import AnswerValidator
from eelgrassdale.routing.outcomes import final_code
from eelgrassdale.routing.retry import RetryBudget
from eelgrassdale_entry.messages import Attempt, CallerRequest

MAX_ATTEMPTS = 4
# Estimated bytes per generated token including framing, for the byte budget between
# regions.
WIRE_BYTES_PER_TOKEN = 8
# Time after the deadline of a request within which its agent may still end it.
DEADLINE_GRACE_SECONDS = 1.0
# A queued request of this age fails if its service has no usable agent. Until then
# a member may still appear, for instance after this node started.
NO_SERVER_TIMEOUT_SECONDS = 1.0


@define(kw_only=True, eq=False)
class TrackedRequest:
    """One queued or sent request; `current` is the attempt in progress."""

    request: CallerRequest
    queued: Queued
    validator: AnswerValidator
    attempts: int = 0
    current: Attempt | None = None
    failed_agents: frozenset[str] = frozenset()
    last_error: ResultError | None = None
    may_have_run: bool = False
    model_version: str = ""


@define(kw_only=True)
class ServiceState:
    """Queue and retry budget of one service."""

    queue: FairQueue
    budget: RetryBudget = field(factory=RetryBudget)


def new_tracked_request(req: CallerRequest) -> TrackedRequest:
    """Return the tracked state of a request that has just arrived."""
    return TrackedRequest(
        request=req,
        queued=Queued(
            request_id=req.request_id,
            account=req.account,
            weight=req.weight,
            priority=req.priority,
        ),
        validator=AnswerValidator(
            request_id=req.request_id,
            attempt=0,
            incarnation=0,
            keep_text=req.kind is ServiceKind.MODEL and req.idempotent,
        ),
    )


def begin_attempt(tracked: TrackedRequest, *, agent: str, incarnation: int) -> Attempt:
    """Start the next attempt, which resumes the answer where the last one ended."""
    tracked.attempts += 1
    tracked.validator = tracked.validator.for_next_attempt(
        attempt=tracked.attempts, incarnation=incarnation
    )
    text = tracked.validator.text() or b""
    tracked.current = Attempt(
        request=tracked.request,
        number=tracked.attempts,
        agent=agent,
        validator=tracked.validator,
        model_version=tracked.model_version if tracked.validator.offset else "",
        resume_text=text.decode("utf-8", "replace"),
    )
    return tracked.current


def attempt_requirements(
    tracked: TrackedRequest, *, allow_other_region: bool
) -> RequestRequirements:
    """Return the requirements of the next attempt on a backend server."""
    req = tracked.request
    return RequestRequirements(
        memory_bytes=req.memory_bytes,
        model_version=tracked.model_version if tracked.validator.offset else "",
        affinity=req.affinity,
        avoided=tracked.failed_agents,
        allow_suspect=req.idempotent,
        allow_other_region=allow_other_region,
    )


def can_continue(tracked: TrackedRequest) -> bool:
    """Return whether another attempt could complete the answer."""
    if tracked.attempts >= MAX_ATTEMPTS:
        return False
    return not tracked.validator.offset or tracked.validator.text() is not None


def record_failure(
    tracked: TrackedRequest, *, code: int, message: str, agent: str
) -> None:
    """Record the outcome of a failed attempt."""
    tracked.last_error = ResultError(code=to_result_code(code), message=message)
    tracked.may_have_run |= info_of(code).ran is not ExecutionState.NOT_RUN
    tracked.failed_agents |= {agent}


def final_error(tracked: TrackedRequest, code: int, message: str) -> ResultError:
    """Return the error for the caller, which accounts for all attempts."""
    code = final_code(
        code, delivered=tracked.validator.offset, may_have_run=tracked.may_have_run
    )
    return ResultError(code=to_result_code(code), message=message)


def to_result_code(code: int) -> ResultCode:
    """Return a number as a result code, `OUTCOME_UNKNOWN` if it is not known.

    An agent of a newer version may send codes that this node does not know.
    """
    try:
        return ResultCode(code)
    except ValueError:
        return ResultCode.OUTCOME_UNKNOWN


def estimated_wire_bytes(req: CallerRequest) -> int:
    """Return the estimated bytes that a request and its answer transfer."""
    return len(req.body) + WIRE_BYTES_PER_TOKEN * req.max_tokens


def expiry_code(
    tracked: TrackedRequest, *, now: float, has_agents: Callable[[], bool]
) -> ResultCode | None:
    """Return the code with which a request is ended now because of its age, or None.

    `has_agents` returns whether its service has a usable agent.
    """
    req = tracked.request
    if tracked.current is not None:
        is_overdue = now >= req.deadline + DEADLINE_GRACE_SECONDS
        return ResultCode.DEADLINE_EXCEEDED if is_overdue else None
    if now >= req.deadline:
        return ResultCode.DEADLINE_PASSED
    if now >= req.arrived_at + NO_SERVER_TIMEOUT_SECONDS and not has_agents():
        return ResultCode.NO_BACKEND_SERVER
    return None
