"""Decides how many backend servers a service should have in a data centre."""

import math

from eelgrassdale_gateway.model import Autoscaling
from eelgrassdale_gateway.scaling.picture import Counts, Picture, Unconfirmed

TARGET_UTILISATION = 0.70
SCALE_UP_UTILISATION = 0.85
SCALE_DOWN_UTILISATION = 0.50
# An order raises the number of ready servers at most by this factor.
MAX_GROWTH = 2
# Utilisation has to be low for so many boot times, and at least so many seconds, before
# a server is removed: an order has a price, and a new server starts cold.
LOW_BOOT_TIMES = 3
MIN_LOW_SECONDS = 20.0
# Ordered servers that are not listed after so many boot times are ordered once more.
MISSING_BOOT_TIMES = 3
MAX_PICTURE_AGE_SECONDS = 3.0
# With more late requests than this, servers are missing whatever their utilisation is.
MAX_LATE_SHARE = 0.05
# Keeps a quotient such as 7 / 0.7 from being rounded up to one server more.
_ROUNDING = 1e-9


def desired_servers(picture: Picture, now: float) -> int:
    """Return how many servers a subject should have.

    It is the number that it should have already where nothing is to be ordered.

    Examples
    --------
    >>> bounds = Autoscaling(min_servers=1, max_servers=9, boot_seconds=5.0)
    >>> counts = Counts(ready_servers=2, slots_per_server=4.0, running=7.0)
    >>> desired_servers(Picture(bounds=bounds, counts=counts), now=0.0)
    3
    >>> old = Picture(bounds=bounds, counts=counts, age_seconds=3.5)
    >>> desired_servers(old, now=0.0)
    2

    """
    standing = standing_servers(picture, now)
    if not is_usable(picture):
        return standing
    if _is_short(picture):
        growth_limit = MAX_GROWTH * max(picture.counts.ready_servers, 1)
        count = max(standing, min(_needed_servers(picture), growth_limit))
    elif _may_remove(picture, now):
        count = min(standing, picture.counts.ready_servers) - 1
    else:
        count = standing
    return _within(picture.bounds, count)


def standing_servers(picture: Picture, now: float) -> int:
    """Return how many servers the subject should have by what was ordered before.

    Servers that others added count once an order has had the time to take effect.
    """
    ready = picture.counts.ready_servers
    order = picture.last_order
    if order is None:
        return ready
    if now - order.ordered_at < MISSING_BOOT_TIMES * picture.bounds.boot_seconds:
        return order.count
    return max(order.count, ready)


def is_reorder_due(picture: Picture, now: float) -> bool:
    """Return whether ordered servers are missing for long and not ordered again yet."""
    return (
        is_usable(picture)
        and picture.missing_since is not None
        and not picture.is_reordered
        and now - picture.missing_since
        >= MISSING_BOOT_TIMES * picture.bounds.boot_seconds
    )


def order_due(
    picture: Picture, unconfirmed: Unconfirmed | None, now: float
) -> int | None:
    """Return the number of servers to order now, None if nothing is to be sent.

    An order that may have been carried out is repeated with the same number, unless
    more servers are needed by now.
    """
    if not is_usable(picture):
        return None
    desired = desired_servers(picture, now)
    if unconfirmed is not None:
        if now < unconfirmed.retry_at:
            return None
        if unconfirmed.may_have_run:
            return _within(picture.bounds, max(desired, unconfirmed.count))
    if desired != standing_servers(picture, now) or is_reorder_due(picture, now):
        return desired
    return None


def is_usable(picture: Picture) -> bool:
    """Return whether a picture may lead to an order."""
    return picture.age_seconds <= MAX_PICTURE_AGE_SECONDS and not picture.is_out


def is_low(counts: Counts) -> bool:
    """Return whether so few slots are taken that a server may be too many."""
    slots = counts.ready_servers * counts.slots_per_server
    return not counts.waiting and counts.running < SCALE_DOWN_UTILISATION * slots


def low_seconds_before_removal(bounds: Autoscaling) -> float:
    """Return for how long utilisation must be low before a server is removed."""
    return max(LOW_BOOT_TIMES * bounds.boot_seconds, MIN_LOW_SECONDS)


def _within(bounds: Autoscaling, count: int) -> int:
    return min(max(count, bounds.min_servers), bounds.max_servers)


def _is_short(picture: Picture) -> bool:
    counts = picture.counts
    taken = max(counts.running, picture.expected_requests)
    slots = counts.ready_servers * counts.slots_per_server
    return counts.waiting > 0 or taken > SCALE_UP_UTILISATION * slots


def _needed_servers(picture: Picture) -> int:
    return _servers_for(
        max(picture.counts.demand, picture.expected_requests), picture.counts
    )


def _servers_for(requests: float, counts: Counts) -> int:
    slots = TARGET_UTILISATION * max(counts.slots_per_server, 1.0)
    return math.ceil(requests / slots - _ROUNDING)


def _may_remove(picture: Picture, now: float) -> bool:
    counts, bounds, order = picture.counts, picture.bounds, picture.last_order
    if picture.pending_servers or picture.low_since is None:
        return False
    if now - picture.low_since < low_seconds_before_removal(bounds):
        return False
    if order is not None and now - order.ordered_at < bounds.boot_seconds:
        return False
    if picture.late_share is not None and picture.late_share > MAX_LATE_SHARE:
        return False
    # Otherwise the last servers would be ordered back as soon as one of them is gone.
    return _needed_servers(picture) < counts.ready_servers
