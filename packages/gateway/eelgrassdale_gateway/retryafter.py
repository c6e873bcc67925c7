"""When callers that are refused for lack of capacity should come back.

Callers of one burst are refused at nearly the same time. If all came back after the
same delay, they would be refused again, so each gets a delay of its own.
"""

from eelgrassdale_gateway.estimates import Shortage
from eelgrassdale_gateway.queueing import (
    FIRST_EVENT_MARGIN_SECONDS,
    RETRY_AFTER_SHARE,
    Waiter,
)

# A caller that comes back at once would be refused again by the same queue.
MIN_DELAY_SECONDS = 0.05
# Latest return of a caller that may still get a response in time, as a fraction of the
# time that is left for its start.
SOON_SHARE = 0.4
# With more of the requests of a priority missing their objective, a retry within the
# objective is nearly sure to be refused again.
MAX_MISS_SHARE = 0.6
# Earliest return of a caller that cannot get a response in time any more, as a
# fraction of the latest one.
LATER_SHARE = 0.5


def overload_retry_seconds(
    waiter: Waiter, shortage: Shortage, *, now: float, draw: float
) -> float:
    """Return after how many seconds the caller of a refused request should retry.

    A caller that can still be served in time, and is likely to be, returns within its
    objective. The others return as late as they can, when the load may have fallen.
    `draw` is a random number from 0 to 1.
    """
    latest = RETRY_AFTER_SHARE * (waiter.expires_at - now)
    left = (
        waiter.objective_at
        - waiter.min_first_event_seconds
        - FIRST_EVENT_MARGIN_SECONDS
        - now
    )
    miss_share = shortage.miss_shares.get(waiter.priority, 0.0)
    soonest, last = LATER_SHARE * latest, latest
    if SOON_SHARE * left > MIN_DELAY_SECONDS and miss_share <= MAX_MISS_SHARE:
        soonest, last = MIN_DELAY_SECONDS, min(SOON_SHARE * left, latest)
    return round(max(MIN_DELAY_SECONDS, soonest + draw * (last - soonest)), 3)
