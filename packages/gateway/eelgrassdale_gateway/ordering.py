"""Slots that requests of each priority may take while capacity is short.

Each gateway sees only its own queue. Without a reserve, a gateway whose waiting
requests are all of a low priority takes the slots that more urgent requests of other
gateways need, and long streams hold them when the next urgent request comes.
"""

from collections.abc import Iterable

from eelgrassdale_gateway.estimates import Shortage
from eelgrassdale_gateway.model import BackendServer, Service
from eelgrassdale_gateway.placement import request_limit
from eelgrassdale_gateway.queueing import MAX_LATE_WAIT_SHARE, Waiter, is_late

# Reserve for the more urgent requests, per share of them that got no response in
# time: with a sixth missed, all that they need is reserved.
RESERVE_GAIN = 6.0
# Fraction reserved at each server while more urgent requests keep arriving: one of
# twelve slots, so that there is one before the first of them comes late.
MIN_RESERVED_SHARE = 0.1
# Arrivals a second from which a priority counts as arriving.
MIN_ARRIVAL_RATE = 0.05
# Part of its time after which a waiting request goes before younger ones.
AGED_SHARE = 0.5


def reserved_share(shortage: Shortage, priority: int) -> float:
    """Return the fraction of each server's slots that a priority leaves to others.

    It is what the more urgent requests need, in so far as they come late today.

    Examples
    --------
    >>> shortage = Shortage(
    ...     start_rate=10.0,
    ...     arrival_rates={0: 5.0, 2: 10.0},
    ...     demands={0: 0.5, 2: 1.0},
    ...     miss_shares={0: 0.1, 2: 0.0},
    ... )
    >>> reserved_share(shortage, 0), round(reserved_share(shortage, 2), 3)
    (0.0, 0.3)

    """
    demand = sum(d for other, d in shortage.demands.items() if other < priority)
    missed = max(
        (m for other, m in shortage.miss_shares.items() if other < priority),
        default=0.0,
    )
    return min(1.0, demand) * min(1.0, RESERVE_GAIN * missed)


def shortage_order(waiters: Iterable[Waiter], now: float) -> list[Waiter]:
    """Return the waiters in the order in which they are placed.

    Requests in time go by priority, then the shorter ones first, as they earn more for
    the time that they hold a slot. One that spent half of its time goes before younger
    ones of any length, so that long ones are not starved. Late requests follow, and go
    first when they have waited for half of the longest late wait.
    """
    return sorted(waiters, key=lambda w: _rank(w, now))


def has_aged(waiter: Waiter, now: float) -> bool:
    """Return whether a request has waited for half of the longest late wait."""
    max_wait = MAX_LATE_WAIT_SHARE * (waiter.expires_at - waiter.arrived_at)
    return now - waiter.arrived_at > AGED_SHARE * max_wait


def _rank(waiter: Waiter, now: float) -> tuple[float, ...]:
    waited = now - waiter.arrived_at
    if is_late(waiter, now):
        rank = 0 if has_aged(waiter, now) else 2
        return (rank, waiter.priority, 0, 0.0, waiter.objective_at)
    is_aged = is_late(waiter, now + waited)
    work_seconds = waiter.min_first_event_seconds + waiter.streaming_seconds
    return (
        1,
        waiter.priority,
        0 if is_aged else 1,
        0.0 if is_aged else work_seconds,
        waiter.objective_at,
    )


def has_more_urgent(shortage: Shortage, priority: int) -> bool:
    """Return whether requests of a more urgent priority keep arriving."""
    return any(
        rate > MIN_ARRIVAL_RATE
        for other, rate in shortage.arrival_rates.items()
        if other < priority
    )


def has_queue_time(
    service: Service, waiter: Waiter, duration_seconds: float, *, now: float
) -> bool:
    """Return whether a request starts in time if it waits for a slot at an engine.

    A slot becomes free there when one of the running requests ends.
    """
    if service.engine is None:
        return True
    wait = duration_seconds / max(1, service.engine.slots)
    return not is_late(waiter, now + wait)


def short_request_limit(
    service: Service,
    server: BackendServer,
    shortage: Shortage,
    *,
    priority: int,
    is_late: bool,
    is_aged: bool,
    can_queue: bool,
) -> float:
    """Return `request_limit` for a service that is short of capacity.

    With `can_queue`, the request may wait at an engine until a slot is free.
    """
    limit = request_limit(service, server)
    if service.engine is not None and not can_queue:
        limit = max(server.slots, 1)
    if is_late and is_aged:
        # It has waited for long and is not refused any more.
        return limit
    if has_more_urgent(shortage, priority):
        limit *= 1 - max(MIN_RESERVED_SHARE, reserved_share(shortage, priority))
    if is_late:
        return min(limit, request_limit(service, server, is_late=True))
    return limit
