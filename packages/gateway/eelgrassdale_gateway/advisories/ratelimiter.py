"""This gateway's share of the rates that backend servers name for all gateways.

Each sender among the gateways has an equal share of a server's rate and saves up one
request at most, so that all of them together send no more than the rate, and one
further request each, in any time.
"""

from collections.abc import Callable, Collection

from attrs import define

from eelgrassdale_gateway.model import Incarnation
from eelgrassdale_gateway.shares import GatewayGroup, equal_share

# Of a rate below it, some gateway still tries the server now and then, to learn when
# the limit ends.
MIN_REQUESTS_PER_SECOND = 0.2
# Gateways that share a rate. Each may send a request that it saved up, so their number
# has to be in proportion to the rate; more of them spread it more evenly.
SENDERS_PER_REQUEST_PER_SECOND = 2
MIN_SENDERS = 2
MAX_SAVED_REQUESTS = 1.0
NEVER = float("inf")


@define
class _Bucket:
    """Requests that may be sent now, as of `updated_at` at `rate` a second."""

    rate: float
    updated_at: float
    saved: float = 0.0

    def refill(self, now: float) -> None:
        earned = self.rate * (now - self.updated_at)
        self.saved = min(MAX_SAVED_REQUESTS, self.saved + earned)
        self.updated_at = now


class RateLimiter:
    """Token buckets of the limited backend servers; not thread-safe.

    Parameters
    ----------
    gateway_group : callable
        Returns the gateways among which each rate is divided.

    Examples
    --------
    >>> from eelgrassdale_gateway.shares import single_gateway_group
    >>> limiter = RateLimiter(gateway_group=single_gateway_group)
    >>> limiter.next_send_at(("s-1", 1), rate=2.0, now=0.0)
    0.5
    >>> limiter.record_send(("s-1", 1), now=0.5)
    >>> limiter.next_send_at(("s-1", 1), rate=2.0, now=0.5)
    1.0

    """

    def __init__(self, *, gateway_group: Callable[[], GatewayGroup]) -> None:
        self._gateway_group = gateway_group
        self._buckets: dict[Incarnation, _Bucket] = {}

    def next_send_at(
        self, incarnation: Incarnation, *, rate: float, now: float
    ) -> float:
        """Return when this gateway may send one more request, `now` at the earliest.

        It is infinite if other gateways share the rate. A server that was not limited
        before has no saved request: those sent until now count too.
        """
        share = self._share(incarnation, rate)
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = self._buckets[incarnation] = _Bucket(rate=share, updated_at=now)
        bucket.refill(now)
        bucket.rate = share
        if bucket.saved >= MAX_SAVED_REQUESTS:
            return now
        return now + (MAX_SAVED_REQUESTS - bucket.saved) / share if share else NEVER

    def interval_seconds(self, incarnation: Incarnation) -> float:
        """Return the time between two requests to a server, 0 if it is not limited."""
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            return 0.0
        return 1 / bucket.rate if bucket.rate else NEVER

    def record_send(self, incarnation: Incarnation, *, now: float) -> None:
        """Count a request against the rate of its server, if that is limited."""
        bucket = self._buckets.get(incarnation)
        if bucket is not None:
            bucket.refill(now)
            bucket.saved = max(0.0, bucket.saved - 1.0)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the bucket of a server that is not limited any more."""
        self._buckets.pop(incarnation, None)

    def retain(self, listed: Collection[Incarnation]) -> None:
        """Drop the buckets of all but the listed servers."""
        for incarnation in self._buckets.keys() - listed:
            del self._buckets[incarnation]

    def _share(self, incarnation: Incarnation, rate: float) -> float:
        rate = max(rate, MIN_REQUESTS_PER_SECOND)
        group = self._gateway_group()
        senders = min(SENDERS_PER_REQUEST_PER_SECOND * rate, group.count)
        return equal_share(
            rate,
            resource=incarnation[0],
            gateway_group=group,
            max_members=MIN_SENDERS + int(senders),
        )
