"""What one gateway knows of the demand for a service, and when requests can start.

All figures come from this gateway's own requests and from the loads that its peers
report. They are averages over the last seconds, so that they follow a change of the
load within the time that callers wait.
"""

import math
from collections import defaultdict

from attrs import define, field, frozen

from eelgrassdale_gateway.recentevents import RecentEvents

# Time in which the weight of an observation falls to 1/e. Shorter times leave too few
# requests in the average of a gateway that gets five a second.
AVERAGE_SECONDS = 1.0
# A service counts as short of capacity for this long after a request had to wait or
# nearly all slots were taken. A gateway that gets few requests sees that less often.
SHORTAGE_SECONDS = 3.0
# Added to the observed outcomes, so that a single late response is no trend.
PRIOR_OUTCOMES = 2.0
# An ended request leaves its slot to its own gateway for this long. After that, the
# reports of the end have reached the others.
OWN_SLOT_SECONDS = 0.5
# Weight of the newest duration in the average duration of requests.
DURATION_WEIGHT = 0.05
# Part of the rate that is never counted as taken by more urgent requests.
MIN_RATE_SHARE = 0.02
# Part of all arrivals that is counted as going before a late request. The rates of a
# gateway with few requests vary by a quarter, which is no reason for refusals.
COUNTED_ARRIVALS_SHARE = 0.6
# Part of the recent starts a second that is expected further on; the rate of a gateway
# with few requests varies by a quarter.
MEASURED_RATE_SHARE = 0.75
# Longer excesses of a first event over its estimate come from requests that waited for
# a slot at an engine, which placement avoids.
MAX_EXCESS_SECONDS = 0.2
NEVER = float("inf")
# Share of taken slots from which a service is short of capacity.
SHORT_TAKEN_SHARE = 0.9


@define
class DecayingSum:
    """Sum of recent amounts; the weight of each decays exponentially.

    Examples
    --------
    >>> total = DecayingSum()
    >>> total.add(4.0, now=0.0)
    >>> round(total.read(now=1.0), 2)
    1.47

    """

    _value: float = 0.0
    _at: float = 0.0

    def add(self, amount: float, *, now: float) -> None:
        """Add an amount."""
        self._value = self.read(now=now) + amount
        self._at = now

    def read(self, *, now: float) -> float:
        """Return the sum as of `now`."""
        return self._value * math.exp(min(0.0, self._at - now) / AVERAGE_SECONDS)


@frozen(kw_only=True)
class Shortage:
    """State of a service that is short of capacity, as of one pass.

    `start_rate` is how many requests of this gateway start a second, 0 if that is not
    known. `arrival_rates` are the arrivals a second by priority, `demands` the slots
    that the requests of all gateways need, as a fraction of those of the service, and
    `miss_shares` the fractions that got no response in time.
    """

    start_rate: float
    arrival_rates: dict[int, float]
    demands: dict[int, float]
    miss_shares: dict[int, float]


@define
class ForeignSlots:
    """This gateway's part of the slots that the requests of others left.

    It grows with time and is at most one slot, so that gateways which see the same
    free slots at the same time do not all take them.
    """

    _saved: float = 1.0
    _at: float = 0.0

    def is_available(self, *, rate: float, now: float) -> bool:
        """Return whether a slot may be taken, at a rate of slots a second."""
        self._saved = min(1.0, self._saved + rate * max(0.0, now - self._at))
        self._at = now
        return self._saved >= 1.0

    def take(self) -> None:
        """Count a slot as taken."""
        self._saved = max(0.0, self._saved - 1.0)


@define(kw_only=True)
class ServiceDemand:
    """Recent arrivals, starts and ends of one gateway's requests for a service.

    Only where requests of different priorities compete for the service does a lack of
    capacity count as shortage: some of them then have to wait for others.
    """

    competes: bool = False
    arrivals: dict[int, DecayingSum] = field(factory=lambda: defaultdict(DecayingSum))
    outcomes: dict[int, DecayingSum] = field(factory=lambda: defaultdict(DecayingSum))
    misses: dict[int, DecayingSum] = field(factory=lambda: defaultdict(DecayingSum))
    starts: DecayingSum = field(factory=DecayingSum)
    duration_seconds: float = 0.0
    first_event_excess: float = 0.0
    short_at: float = float("-inf")
    _foreign: dict[int, ForeignSlots] = field(factory=dict)
    _own_ends: RecentEvents[None] = field(
        factory=lambda: RecentEvents(window_seconds=OWN_SLOT_SECONDS)
    )

    def is_short(self, now: float) -> bool:
        """Return whether capacity was short a moment ago."""
        return self.competes and now - self.short_at <= SHORTAGE_SECONDS

    def record_outcome(self, priority: int, *, is_in_time: bool, now: float) -> None:
        """Count the first event of a request, or its refusal."""
        self.outcomes[priority].add(1.0, now=now)
        if not is_in_time:
            self.misses[priority].add(1.0, now=now)

    def record_first_event(self, excess_seconds: float) -> None:
        """Count by how much a first event took longer than at an idle engine."""
        excess = min(max(0.0, excess_seconds), MAX_EXCESS_SECONDS)
        change = excess - self.first_event_excess
        self.first_event_excess += DURATION_WEIGHT * change

    def record_end(self, server: str, seconds: float, *, now: float) -> None:
        """Count a request that ended `seconds` after it was sent to a server."""
        if self.duration_seconds:
            change = seconds - self.duration_seconds
            self.duration_seconds += DURATION_WEIGHT * change
        else:
            self.duration_seconds = seconds
        self._own_ends.add(server, None, now=now)

    def own_free_slots(self, server: str, *, now: float) -> int:
        """Return how many slots of a server this gateway's own requests just left."""
        return self._own_ends.count(server, now=now)

    def foreign_slots(self, priority: int) -> ForeignSlots:
        """Return the slots left by others that requests of a priority may take."""
        return self._foreign.setdefault(priority, ForeignSlots())

    def take_own_slot(self, server: str) -> None:
        """Count a slot that this gateway's own request left as taken."""
        self._own_ends.take_oldest(server)

    def shortage(self, *, slots: int, gateways: int, now: float) -> Shortage:
        """Return the state of a service whose servers have `slots` together."""
        rates = {
            priority: total.read(now=now) / AVERAGE_SECONDS
            for priority, total in self.arrivals.items()
        }
        fair_rate = measured_rate = 0.0
        if self.duration_seconds and slots:
            fair_rate = slots / self.duration_seconds / max(1, gateways)
            # Before the first end, the starts only show how many slots were free.
            measured_rate = self.starts.read(now=now) / AVERAGE_SECONDS
        return Shortage(
            start_rate=max(fair_rate, MEASURED_RATE_SHARE * measured_rate),
            arrival_rates=rates,
            demands={
                priority: rate / fair_rate if fair_rate else 1.0
                for priority, rate in rates.items()
            },
            miss_shares={
                priority: self.misses[priority].read(now=now)
                / (total.read(now=now) + PRIOR_OUTCOMES)
                for priority, total in self.outcomes.items()
            },
        )


def wait_seconds(
    shortage: Shortage, *, ahead: int, priority: int | None = None
) -> float:
    """Return how long a request waits behind `ahead` others, infinite without end.

    More urgent requests that arrive meanwhile go first, and all others if `priority`
    is None.

    Examples
    --------
    >>> shortage = Shortage(
    ...     start_rate=10.0,
    ...     arrival_rates={0: 5.0, 2: 10.0},
    ...     demands={},
    ...     miss_shares={},
    ... )
    >>> wait_seconds(shortage, ahead=4, priority=0)
    0.5
    >>> wait_seconds(shortage, ahead=4, priority=2)
    1.0
    >>> wait_seconds(shortage, ahead=4)
    5.0

    """
    if not shortage.start_rate:
        return 0.0
    earlier_rate = sum(
        rate
        for other, rate in shortage.arrival_rates.items()
        if priority is None or other < priority
    )
    if priority is None:
        earlier_rate *= COUNTED_ARRIVALS_SHARE
    rate = shortage.start_rate - earlier_rate
    if rate <= MIN_RATE_SHARE * shortage.start_rate:
        return NEVER
    return (ahead + 1) / rate
