"""Order of the requests that wait for a backend server, and when to refuse.

Answers loads above the capacity of a service: requests that can still be
answered within their objective go first, and the others use what is left.
One that waited too long is refused with a time to return, as long as enough
of its caller's deadline is left for another try.
"""

from collections.abc import Iterable

from attrs import define, field

from eelgrassdale.results import ResultCode

# Longest wait of a request that will be late anyway, as a share of the time
# that its caller had left on arrival.
LATE_WAIT_SHARE = 0.4
# Longest wait while no backend server of the service is listed at all.
NO_SERVER_SECONDS = 0.4
# Added to the expected time to the first event: the way of the answer, and
# passes of an engine that take longer than expected.
MARGIN_SECONDS = 0.05
# Callers that were refused return after this share of their remaining time,
# the longest pause that they heed.
RETURN_SHARE = 0.33
MIN_RETURN_SECONDS = 0.1


@define(kw_only=True, eq=False)
class Waiter:
    """One waiting request; moments are monotonic seconds.

    `objective_at` is when its first event is due, `end_at` when its caller
    or its route gives up. `expected` and `duration` are the seconds to its
    first event and from there to its last at an engine without other work.
    `had_candidates_at` is when a backend server of the service was last listed.
    """

    service: str
    model: str = ""
    tokens: int = 0
    output_tokens: int = 0
    priority: int = 0
    regions: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    arrived_at: float
    objective_at: float
    end_at: float
    expected: float = 0.0
    duration: float = 0.0
    had_candidates_at: float = field(default=float("-inf"))


def in_order(waiters: Iterable[Waiter], now: float) -> list[Waiter]:
    """Return the waiters in the order in which they are placed.

    Examples
    --------
    >>> def waiter(objective_at, priority=0):
    ...     return Waiter(
    ...         service="s",
    ...         priority=priority,
    ...         arrived_at=0.0,
    ...         objective_at=objective_at,
    ...         end_at=6.0,
    ...     )
    >>> late, soon, later = waiter(0.4), waiter(1.2), waiter(1.3)
    >>> order = in_order([later, late, soon], now=1.0)
    >>> order == [soon, later, late]
    True

    """
    return sorted(
        waiters,
        key=lambda w: (is_late(w, now), w.priority, w.objective_at),
    )


def is_late(waiter: Waiter, now: float) -> bool:
    """Return whether a request can no longer meet its objective."""
    return now + waiter.expected + MARGIN_SECONDS > waiter.objective_at


def refusal_of(waiter: Waiter, now: float) -> ResultCode | None:
    """Return why a waiting request is refused now, or None."""
    if now + waiter.expected + waiter.duration >= waiter.end_at:
        # Its answer could only be broken off.
        return ResultCode.SERVER_BUSY
    last_seen = max(waiter.had_candidates_at, waiter.arrived_at)
    if now - last_seen > NO_SERVER_SECONDS:
        return ResultCode.NO_BACKEND_SERVER
    longest = LATE_WAIT_SHARE * (waiter.end_at - waiter.arrived_at)
    if is_late(waiter, now) and now - waiter.arrived_at > longest:
        return ResultCode.QUEUE_FULL
    return None


def return_seconds(*, now: float, end_at: float) -> float:
    """Return when a refused caller should come back, in seconds.

    Examples
    --------
    >>> return_seconds(now=1.0, end_at=4.0)
    0.99

    """
    return round(max(MIN_RETURN_SECONDS, RETURN_SHARE * (end_at - now)), 3)
