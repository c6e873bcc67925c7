"""State of one caller's request while the gateway handles it."""

import asyncio

from attrs import define, field

from eelgrassdale.http1 import Exchange, Reservation
from eelgrassdale_gateway.admission import AdmittedRequest
from eelgrassdale_gateway.model import EngineProfile
from eelgrassdale_gateway.outcomes import Outcome
from eelgrassdale_gateway.queueing import Waiter
from eelgrassdale_gateway.stalls import Place


@define(kw_only=True, eq=False)
class AttemptProgress:
    """How far the response to one attempt has come."""

    has_head: bool = False
    event_count: int = 0


@define(kw_only=True, eq=False)
class Call:
    """State of one caller's request across all of its attempts.

    `send_count` counts the times it was written to a connection, `run_count` the
    attempts that run it or may have run it. `tried_servers` are the ids of the backend
    servers of all attempts. `event_count` and `last_event_id` describe the stream
    events already relayed to the caller; `lacks_event` is true if the stream is known
    to have a further one. `response_memory` counts the bytes of a response that are
    held whole. `attempt` describes the response to the newest attempt, or to the one
    before if that one ended without relaying an event. `next_place` is a place that was
    found for the next one, `continuations` are attempts that continue the stream of an
    earlier one. `time_limit` is that of the attempts, None once it is lifted.
    `retry_at` is when a refused caller may come back, if that is known,
    `retry_seconds` after how long it should where capacity is short.
    """

    admitted: AdmittedRequest
    exchange: Exchange
    response_memory: Reservation
    may_have_run: bool = False
    run_count: int = 0
    send_count: int = 0
    last_event_id: int | None = None
    event_count: int = 0
    last_event_at: float = 0.0
    attempt: AttemptProgress = field(factory=AttemptProgress)
    lacks_event: bool = False
    tried_servers: frozenset[str] = frozenset()
    next_place: Place | None = None
    continuations: "list[asyncio.Task[Outcome]]" = field(factory=list)
    time_limit: asyncio.Timeout | None = None
    retry_at: float | None = None
    retry_seconds: float | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.admitted.route.is_idempotent

    def lift_time_limit(self) -> None:
        """Let the rest of a response that is known whole be sent without time limit."""
        limit, self.time_limit = self.time_limit, None
        if limit is not None and not limit.expired():
            limit.reschedule(None)

    def take_next_place(self) -> Place | None:
        """Return the place that was found for the next attempt, once."""
        place, self.next_place = self.next_place, None
        return place


def make_waiter(
    call: Call, engine: EngineProfile | None, *, is_continuation: bool = False
) -> Waiter:
    """Return the queue entry for the first attempt or for a retry.

    A continuation runs beside an earlier attempt, so it needs another server.

    A stream that has begun must continue within its longest allowed pause. The
    next engine reads the tokens generated so far in addition to the prompt.
    """
    admitted = call.admitted
    regions = admitted.regions
    waiting_since = admitted.arrived_at
    objective_at = waiting_since + admitted.route.objective_seconds
    generated_tokens = 0
    if call.event_count:
        waiting_since = call.last_event_at
        objective_at = waiting_since + admitted.route.max_event_gap_seconds
        generated_tokens = call.event_count * (engine.steps_per_event if engine else 1)
    return Waiter(
        service=admitted.service if regions is not None else "",
        model=admitted.model,
        tokens=admitted.prompt_tokens + generated_tokens,
        output_tokens=max(0, admitted.output_tokens - generated_tokens),
        priority=admitted.priority,
        regions=regions or frozenset(),
        prompt_parts=admitted.quarantine_parts,
        excluded=call.tried_servers,
        is_exclusion_strict=is_continuation,
        has_begun=call.may_have_run or call.event_count > 0,
        arrived_at=waiting_since,
        objective_at=objective_at,
        expires_at=admitted.expires_at,
    )
