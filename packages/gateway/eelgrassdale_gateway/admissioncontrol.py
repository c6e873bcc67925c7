"""Refusal of requests for which the capacity of a service is too short.

A request that would start too late takes the place of one that could start in time,
so it is refused soon after its arrival. One that was kept longer is served, late if
need be: its caller has waited, and a retry would come late too.
"""

from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.estimates import Shortage, wait_seconds
from eelgrassdale_gateway.queueing import (
    FIRST_EVENT_MARGIN_SECONDS,
    MAX_LATE_WAIT_SHARE,
    Waiter,
)

# Below this share of taken slots, requests wait for another reason than capacity.
MIN_TAKEN_SHARE = 0.5
# Time for the decision, as a fraction of the objective, and at least for one pass
# after the shortage was noticed.
# Slots become free at irregular times: without a margin, half of the requests that are
# expected to start just in time come late.
WAIT_MARGIN = 1.4
DECISION_SHARE = 0.125
MIN_DECISION_SECONDS = 0.03


def overload_refusal_code(
    waiter: Waiter, shortage: Shortage, *, ahead: int, taken_share: float, now: float
) -> ResultCode | None:
    """Return the code with which to refuse a request that waits, or None.

    `ahead` others of the same queue go before it; `taken_share` is the share of taken
    slots at the servers that may run it.
    """
    if waiter.has_begun or taken_share < MIN_TAKEN_SHARE:
        return None
    wait = wait_seconds(shortage, ahead=ahead, priority=waiter.priority)
    work_seconds = waiter.min_first_event_seconds + waiter.streaming_seconds
    if is_accepted(waiter, now):
        return None
    if now + wait + work_seconds >= waiter.expires_at:
        return ResultCode.SERVER_BUSY
    in_time_at = (
        waiter.objective_at
        - waiter.min_first_event_seconds
        - FIRST_EVENT_MARGIN_SECONDS
    )
    if now + WAIT_MARGIN * wait <= in_time_at:
        return None
    late_wait = wait_seconds(shortage, ahead=ahead)
    max_wait = MAX_LATE_WAIT_SHARE * (waiter.expires_at - waiter.arrived_at)
    if now + late_wait - waiter.arrived_at > max_wait:
        return ResultCode.QUEUE_FULL
    return None


def is_accepted(waiter: Waiter, now: float) -> bool:
    """Return whether a request has waited too long to be refused."""
    seconds = DECISION_SHARE * (waiter.objective_at - waiter.arrived_at)
    return now - waiter.arrived_at > max(MIN_DECISION_SECONDS, seconds)
