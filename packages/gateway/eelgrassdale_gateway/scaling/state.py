"""What the holder of the duty remembers of each subject between two decisions.

The state belongs to one holder and is lost with it. A new holder starts from the listed
servers, and does not remove any until utilisation was low for long enough.
"""

from collections import deque
from collections.abc import Collection, Mapping

from attrs import define, evolve, field

from eelgrassdale_gateway.model import Autoscaling
from eelgrassdale_gateway.scaling.decision import (
    MISSING_BOOT_TIMES,
    is_low,
    is_usable,
)
from eelgrassdale_gateway.scaling.picture import (
    Counts,
    Order,
    Picture,
    Subject,
    Unconfirmed,
)

# The load of a data centre before it was lost is looked up within this time: its
# requests fail and its entries expire some seconds before the loss is known.
LOSS_SECONDS = 10.0
# Until so many boot times after a loss, the others are sized for its load. After that
# they run it, and what they run decides.
EXPECTED_LOAD_BOOT_TIMES = 3
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 16.0

NO_COUNTS = Counts()


@define(kw_only=True)
class SubjectState:
    """Orders and observations of one subject."""

    # Slots of all ready servers together.
    capacity: float = 0.0
    slots_per_server: float = 0.0
    has_served: bool = False
    is_out: bool = False
    last_order: Order | None = None
    unconfirmed: Unconfirmed | None = None
    low_since: float | None = None
    missing_since: float | None = None
    reordered_at: float | None = None
    missing_servers: int = 0
    expected_requests: float = 0.0
    expected_until: float = float("-inf")
    # (time, demand) of the recent past.
    demands: deque[tuple[float, float]] = field(factory=deque)

    def record_sending(self, count: int, *, now: float) -> None:
        """Record that an order is about to be sent."""
        order = self.last_order
        if order is None or order.count != count:
            self.last_order = Order(count=count, ordered_at=now)
            self.missing_since = self.reordered_at = None
            self.missing_servers = 0
        elif self.unconfirmed is None:
            self.reordered_at = now

    def record_accepted(self) -> None:
        """Record that the order was carried out."""
        if self.unconfirmed is not None:
            # The servers are ordered from now on, not since the first attempt.
            self.missing_since = None
        self.unconfirmed = None

    def record_failed(
        self, count: int, *, before: Order | None, may_have_run: bool, now: float
    ) -> None:
        """Record an order that was not confirmed; `before` is the last one before it.

        Once it may have been carried out, only a confirmed repetition settles it.
        """
        delay = MIN_RETRY_SECONDS
        if self.unconfirmed is not None:
            delay = min(2 * self.unconfirmed.delay_seconds, MAX_RETRY_SECONDS)
            may_have_run = may_have_run or self.unconfirmed.may_have_run
        if not may_have_run:
            self.last_order = before
            self.reordered_at = None
        self.unconfirmed = Unconfirmed(
            count=count,
            may_have_run=may_have_run,
            delay_seconds=delay,
            retry_at=now + delay,
        )

    def observe(
        self, counts: Counts, bounds: Autoscaling, *, is_out: bool, now: float
    ) -> None:
        """Take in what is listed and running now."""
        self.is_out = is_out
        self.capacity = counts.ready_servers * counts.slots_per_server
        if counts.ready_servers:
            self.has_served = True
            self.slots_per_server = counts.slots_per_server
        self.demands.append((now, counts.demand))
        while self.demands[0][0] < now - LOSS_SECONDS:
            self.demands.popleft()
        if is_out or not is_low(counts):
            self.low_since = None
        elif self.low_since is None:
            self.low_since = now
        self._observe_missing(counts, bounds, now)

    def forget_low(self) -> None:
        """Start the time of low utilisation anew: part of it was not observed."""
        self.low_since = None

    def is_lost(self, counts: Counts) -> bool:
        """Return whether all servers are gone though none of them was removed."""
        is_ordered_away = self.last_order is not None and not self.last_order.count
        return self.has_served and not counts.ready_servers and not is_ordered_away

    def demand_at(self, time: float) -> float:
        """Return the demand at a time of the recent past."""
        return next((demand for at, demand in self.demands if at >= time), 0.0)

    def pending_servers(self, counts: Counts) -> int:
        """Return how many servers were ordered and are expected to be listed."""
        if self.last_order is None:
            return 0
        pending = self.last_order.count - counts.ready_servers - self.missing_servers
        return max(0, pending)

    def _observe_missing(self, counts: Counts, bounds: Autoscaling, now: float) -> None:
        shortage = (
            self.last_order.count - counts.ready_servers if self.last_order else 0
        )
        if shortage <= 0:
            self.missing_since = self.reordered_at = None
            self.missing_servers = 0
            return
        if self.missing_since is None:
            self.missing_since = now
        limit = MISSING_BOOT_TIMES * bounds.boot_seconds
        if self.reordered_at is not None and now - self.reordered_at >= limit:
            self.missing_servers = shortage


class HolderState:
    """The states of all subjects."""

    def __init__(self) -> None:
        self.subjects: dict[Subject, SubjectState] = {}

    def clear(self) -> None:
        """Forget everything, as the duty was lost."""
        self.subjects.clear()

    def pictures(
        self,
        counts: Mapping[Subject, Counts],
        bounds: Mapping[str, Autoscaling],
        *,
        data_centres_out: Collection[str],
        late_shares: Mapping[str, float],
        age_seconds: float,
        now: float,
    ) -> dict[Subject, Picture]:
        """Take in what is known now, and return a picture of each subject."""
        for subject in list(self.subjects):
            if subject.service not in bounds:
                del self.subjects[subject]
        for subject in counts:
            self.subjects.setdefault(subject, SubjectState())
        lost = self._observe(counts, bounds, data_centres_out, now)
        for subject in lost:
            self._expect_load_of(subject, bounds[subject.service], now)
        pictures = {}
        for subject, state in self.subjects.items():
            known = counts.get(subject, NO_COUNTS)
            picture = Picture(
                bounds=bounds[subject.service],
                counts=evolve(known, slots_per_server=state.slots_per_server),
                pending_servers=state.pending_servers(known),
                expected_requests=(
                    state.expected_requests if now < state.expected_until else 0.0
                ),
                late_share=late_shares.get(subject.service),
                age_seconds=age_seconds,
                is_out=state.is_out,
                last_order=state.last_order,
                low_since=state.low_since,
                missing_since=state.missing_since,
                is_reordered=state.reordered_at is not None,
            )
            if not is_usable(picture):
                state.forget_low()
            pictures[subject] = picture
        return pictures

    def _observe(
        self,
        counts: Mapping[Subject, Counts],
        bounds: Mapping[str, Autoscaling],
        data_centres_out: Collection[str],
        now: float,
    ) -> list[Subject]:
        """Let all states take in the counts; return the subjects lost by that."""
        lost = []
        for subject, state in self.subjects.items():
            known = counts.get(subject, NO_COUNTS)
            is_out = subject.data_centre in data_centres_out or state.is_lost(known)
            if is_out and not state.is_out and state.demands:
                lost.append(subject)
            state.observe(known, bounds[subject.service], is_out=is_out, now=now)
        return lost

    def _expect_load_of(self, lost: Subject, bounds: Autoscaling, now: float) -> None:
        """Size the other data centres for the load that a lost one had at its peak."""
        demands = self.subjects[lost].demands
        peak_at, lost_demand = max(demands, key=lambda sample: sample[1])
        others = {
            subject: state
            for subject, state in self.subjects.items()
            if subject.service == lost.service and not state.is_out
        }
        capacities = {subject: state.capacity for subject, state in others.items()}
        total = sum(capacities.values())
        for subject, state in others.items():
            share = capacities[subject] / total if total else 1 / len(others)
            own_demand = state.demand_at(peak_at)
            if now < state.expected_until:
                own_demand = max(own_demand, state.expected_requests)
            state.expected_requests = own_demand + share * lost_demand
            state.expected_until = now + EXPECTED_LOAD_BOOT_TIMES * bounds.boot_seconds
