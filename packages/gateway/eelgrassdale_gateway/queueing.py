"""Order in which waiting requests are placed, and when they are refused.

Designed for load above the capacity of a service: requests that can still meet their
objective go first, and the others use the remaining capacity. A request that waited
too long, or would have to, is refused with a Retry-After time while its caller's
deadline still leaves time for another try.
"""

from collections.abc import Iterable

from attrs import define, field

from eelgrassdale.results import ResultCode

# Longest wait of a request that can no longer meet its objective, as a fraction of
# the time that it had left on arrival.
MAX_LATE_WAIT_SHARE = 0.4
# Longest wait while no backend server that may run the request is listed.
MAX_WAIT_WITHOUT_SERVER_SECONDS = 0.4
# Added to the estimated time to the first event, for the transfer of the response and
# for passes of an engine that take longer than estimated.
FIRST_EVENT_MARGIN_SECONDS = 0.05
# Refused callers are told to retry after this fraction of their remaining time, the
# longest delay that they respect.
RETRY_AFTER_SHARE = 0.33
MIN_RETRY_AFTER_SECONDS = 0.1


@define(kw_only=True, eq=False)
class Waiter:
    """One waiting request; times are in seconds of the monotonic clock.

    `tokens` are the prompt tokens that an engine must read, `output_tokens` an
    estimate of those that it generates. `prompt_parts` are the shared parts of its
    prompt, as `AdmittedRequest.quarantine_parts`. `excluded` are the ids of backend
    servers at which an earlier attempt failed; with `is_exclusion_strict` they are not
    used even if no other is usable. `objective_at` is when its first event
    is due, `expires_at` when the gateway ends the request. `min_first_event_seconds`
    and `streaming_seconds` are the times to its first event and from there to its last
    at an idle engine. `last_candidate_at` is when a backend server that may run it was
    last listed. `earliest_start` is when one can take this request after those before
    it, minus infinity if that is not known. `has_begun` is true if an earlier attempt
    may have run it, so that a refusal would waste that work.
    """

    service: str
    model: str = ""
    tokens: int = 0
    output_tokens: int = 0
    priority: int = 0
    regions: frozenset[str] = frozenset()
    prompt_parts: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    is_exclusion_strict: bool = False
    has_begun: bool = False
    arrived_at: float
    objective_at: float
    expires_at: float
    min_first_event_seconds: float = 0.0
    streaming_seconds: float = 0.0
    last_candidate_at: float = field(default=float("-inf"))
    earliest_start: float = field(default=float("-inf"))


def placement_order(waiters: Iterable[Waiter], now: float) -> list[Waiter]:
    """Return the waiters sorted: those on time first, then by priority and due time.

    Examples
    --------
    >>> def waiter(objective_at, priority=0):
    ...     return Waiter(
    ...         service="s",
    ...         priority=priority,
    ...         arrived_at=0.0,
    ...         objective_at=objective_at,
    ...         expires_at=6.0,
    ...     )
    >>> late, soon, later = waiter(0.4), waiter(1.2), waiter(1.3)
    >>> order = placement_order([later, late, soon], now=1.0)
    >>> order == [soon, later, late]
    True

    """
    return sorted(
        waiters,
        key=lambda w: (is_late(w, now), w.priority, w.objective_at),
    )


def is_late(waiter: Waiter, now: float) -> bool:
    """Return whether a request can no longer meet its objective."""
    return (
        now + waiter.min_first_event_seconds + FIRST_EVENT_MARGIN_SECONDS
        > waiter.objective_at
    )


def refusal_code(waiter: Waiter, now: float) -> ResultCode | None:
    """Return the code with which to refuse a waiting request now, or None.

    One whose earliest start is too late is refused without waiting for it.
    """
    start_at = max(now, waiter.earliest_start)
    if (
        start_at + waiter.min_first_event_seconds + waiter.streaming_seconds
        >= waiter.expires_at
    ):
        # Its response could not end in time.
        return ResultCode.SERVER_BUSY
    last_listed_at = max(waiter.last_candidate_at, waiter.arrived_at)
    if now - last_listed_at > MAX_WAIT_WITHOUT_SERVER_SECONDS:
        return ResultCode.NO_BACKEND_SERVER
    max_wait_seconds = MAX_LATE_WAIT_SHARE * (waiter.expires_at - waiter.arrived_at)
    if is_late(waiter, start_at) and start_at - waiter.arrived_at > max_wait_seconds:
        return ResultCode.QUEUE_FULL
    return None


def retry_after_seconds(
    *, now: float, expires_at: float, retry_at: float | None = None
) -> float:
    """Return after how many seconds a refused caller should retry.

    `retry_at` is when a server takes requests again, if that is known.

    Examples
    --------
    >>> retry_after_seconds(now=1.0, expires_at=4.0)
    0.99

    """
    seconds = max(MIN_RETRY_AFTER_SECONDS, RETRY_AFTER_SHARE * (expires_at - now))
    if retry_at is not None:
        seconds = max(seconds, retry_at - now)
    return round(seconds, 3)
