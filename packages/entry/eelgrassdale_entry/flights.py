"""Requests that the dispatcher holds, and their attempts."""

from attrs import define, field

from eelgrassdale.catalog import ServiceKind
from eelgrassdale.results import Ran, ResultCode, ResultError, verdict_of
from eelgrassdale.routing.choice import Need
from eelgrassdale.routing.fairqueue import FairQueue, Queued
from eelgrassdale.routing.frames import AnswerReader
from eelgrassdale.routing.outcomes import final_code
from eelgrassdale.routing.retry import RetryBudget
from eelgrassdale_entry.messages import Attempt, CallerRequest

MAX_ATTEMPTS = 4
# Bytes of a token in an answer with its framing, for the byte budget between
# regions.
WIRE_BYTES_PER_TOKEN = 8


@define(kw_only=True, eq=False)
class Flight:
    """One request, queued or sent; `current` is the attempt under way."""

    request: CallerRequest
    queued: Queued
    reader: AnswerReader
    attempts: int = 0
    current: Attempt | None = None
    refused_by: frozenset[str] = frozenset()
    last_error: ResultError | None = None
    may_have_run: bool = False
    model_version: str = ""


@define(kw_only=True)
class ServiceState:
    """Queue and retry budget of one service."""

    queue: FairQueue
    budget: RetryBudget = field(factory=RetryBudget)


def new_flight(req: CallerRequest) -> Flight:
    """Return the flight of a request that has just arrived."""
    return Flight(
        request=req,
        queued=Queued(
            request_id=req.request_id,
            account=req.account,
            weight=req.weight,
            priority=req.priority,
        ),
        reader=AnswerReader(
            request_id=req.request_id,
            attempt=0,
            incarnation=0,
            keep_text=req.kind is ServiceKind.MODEL and req.idempotent,
        ),
    )


def begin_attempt(flight: Flight, *, agent: str, incarnation: int) -> Attempt:
    """Return the next attempt, which continues the answer where it broke."""
    flight.attempts += 1
    flight.reader = flight.reader.continued(
        attempt=flight.attempts, incarnation=incarnation
    )
    text = flight.reader.text() or b""
    flight.current = Attempt(
        request=flight.request,
        number=flight.attempts,
        agent=agent,
        reader=flight.reader,
        model_version=flight.model_version if flight.reader.offset else "",
        resume_text=text.decode("utf-8", "replace"),
    )
    return flight.current


def need_of(flight: Flight, *, allow_other_region: bool) -> Need:
    """Return what the next attempt needs of a backend server."""
    req = flight.request
    return Need(
        memory_bytes=req.memory_bytes,
        model_version=flight.model_version if flight.reader.offset else "",
        affinity=req.affinity,
        avoided=flight.refused_by,
        allow_suspect=req.idempotent,
        allow_other_region=allow_other_region,
    )


def can_continue(flight: Flight) -> bool:
    """Return whether another attempt could complete the answer."""
    if flight.attempts >= MAX_ATTEMPTS:
        return False
    return not flight.reader.offset or flight.reader.text() is not None


def note_failure(flight: Flight, *, code: int, message: str, agent: str) -> None:
    """Remember the outcome of an attempt that failed."""
    flight.last_error = ResultError(code=known_code(code), message=message)
    flight.may_have_run |= verdict_of(code).ran is not Ran.NOT_RUN
    flight.refused_by |= {agent}


def error_of(flight: Flight, code: int, message: str) -> ResultError:
    """Return the error that is true after all attempts of a request."""
    code = final_code(
        code, delivered=flight.reader.offset, may_have_run=flight.may_have_run
    )
    return ResultError(code=known_code(code), message=message)


def known_code(code: int) -> ResultCode:
    """Return the result code of a number, which a newer agent may have sent."""
    try:
        return ResultCode(code)
    except ValueError:
        return ResultCode.OUTCOME_UNKNOWN


def wire_bytes(req: CallerRequest) -> int:
    """Return the estimated bytes that a request and its answer move."""
    return len(req.body) + WIRE_BYTES_PER_TOKEN * req.max_tokens
