"""Which chunk an agent fetches next, and from whom."""

from collections.abc import Iterator

from eelgrassdale.hashing import rendezvous_weight
from eelgrassdale.weights.holders import Holder, is_skipped, skipped_names
from eelgrassdale.weights.routes import SOURCE, feed_of, owner_order
from eelgrassdale.weights.transfer import Fetch, Plan, TransferState

FEED_LANES = 2
PEER_LANES = 4
# One read at a time spreads the reads over more holders: with two, 20 agents
# took 1.19x instead of 1.13x the ideal time in a trial.
READS_PER_PEER = 1
# Agents that may draw a chunk from the source one after another. Further ones
# join only after SOURCE_ESCALATION_SECONDS each, so that the death of an owner
# does not send all agents of its data centre to the origin.
SOURCE_DRAWERS = 3
SOURCE_ESCALATION_SECONDS = 15.0
# An owner that is alive but does not have its chunk is given this time before
# the next in order fetches the chunk as well.
MIN_PATIENCE_SECONDS = 5.0
PATIENCE_CHUNK_TIMES = 8
# Chunks an agent may draw from the source beyond twice its own share.
BUDGET_EXTRA_CHUNKS = 4
BUDGET_REFILL_SECONDS = 10.0
WAIT_AT_OWNER_SECONDS = 1.0
HEDGE_MIN_SECONDS = 0.5
# Peers drawn by hash, of which the one with the most chunks is asked.
CHOICES = 2


def choose(plan: Plan, state: TransferState, now: float) -> Fetch | None:
    """Return the next read to start, or None if none is useful now."""
    missing = plan.full & ~state.held & ~state.in_flight
    feeds = sum(fetch.is_feed for fetch in state.flights)
    if feeds < FEED_LANES:
        fetch = _feed(plan, state, missing, now)
        if fetch:
            return fetch
    if len(state.flights) - feeds >= PEER_LANES:
        return None
    return (
        _known(plan, state, missing, now)
        or _waiting(plan, state, missing, now)
        or _hedge(plan, state, now)
    )


def _feed(plan: Plan, state: TransferState, missing: int, now: float) -> Fetch | None:
    """Return a read that brings a chunk into the data centre."""
    skipped = skipped_names(state.holders, now) | state.unavailable
    for index in _my_chunks(plan, state, missing, skipped, now):
        if _is_held_nearby(plan, state, index, skipped):
            known = _local_holder(plan, state, index, now)
            if known:
                return _read(state, index, known, is_feed=True)
            continue
        holder = feed_of(plan.routes, plan.me, index, skipped)
        if holder == SOURCE:
            if may_draw(plan, state, index, now):
                timeout = state.source_times.timeout
                return Fetch(
                    index=index, holder=SOURCE, timeout_seconds=timeout, is_feed=True
                )
            continue
        if _may_ask(state, holder, now):
            return _read(state, index, holder, wait=WAIT_AT_OWNER_SECONDS, is_feed=True)
    return None


def may_draw(plan: Plan, state: TransferState, index: int, now: float) -> bool:
    """Return whether this agent may read a chunk from the source now.

    It must be among the first `SOURCE_DRAWERS` of its data centre for the
    chunk, unless the chunk has been missing for long, have budget left, and
    not be waiting after a failure of the source.
    """
    if now < state.source_not_before:
        return False
    order = owner_order(plan.routes, plan.me.data_centre, index)
    waited = now - state.absent_since.get(index, state.started_at)
    drawers = SOURCE_DRAWERS + int(waited / SOURCE_ESCALATION_SECONDS)
    if plan.me.name not in order[:drawers]:
        return False
    share = plan.owned.get(plan.me.name, 0).bit_count()
    refill = int((now - state.started_at) / BUDGET_REFILL_SECONDS)
    return state.source_reads < 2 * share + BUDGET_EXTRA_CHUNKS + refill


def _my_chunks(
    plan: Plan, state: TransferState, missing: int, skipped: frozenset[str], now: float
) -> Iterator[int]:
    """Yield the missing chunks that this agent has to bring in."""
    yield from bits(missing & plan.owned.get(plan.me.name, 0))
    for name, owned in plan.owned.items():
        if name not in skipped:
            continue
        for index in bits(missing & owned):
            order = owner_order(plan.routes, plan.me.data_centre, index)
            live = next((other for other in order if other not in skipped), "")
            if live == plan.me.name:
                yield index
    for index, since in state.absent_since.items():
        if missing >> index & 1 and _is_impatient(plan, state, index, now - since):
            yield index


def _is_impatient(plan: Plan, state: TransferState, index: int, waited: float) -> bool:
    order = owner_order(plan.routes, plan.me.data_centre, index)
    rank = order.index(plan.me.name) if plan.me.name in order else len(order)
    patience = max(MIN_PATIENCE_SECONDS, PATIENCE_CHUNK_TIMES * state.times.upper)
    return waited > rank * patience


def _known(plan: Plan, state: TransferState, missing: int, now: float) -> Fetch | None:
    """Return a read from a peer of the data centre that has a missing chunk.

    Of two peers drawn by hash, the one with more chunks is asked. It needs
    its link less for itself, so agents that are behind catch up and all end at
    about the same time.
    """
    offers = []
    for name in plan.owned:
        holder = state.holders.get(name)
        if holder is None or not holder.held & missing:
            continue
        if _may_ask(state, name, now):
            offers.append((_tie(plan, state, name), name, holder.held))
    if not offers:
        return None
    tie, name, held = max(
        sorted(offers)[:CHOICES], key=lambda offer: offer[2].bit_count()
    )
    return _read(state, _first_bit_from(held & missing, tie % plan.routes.count), name)


def _waiting(
    plan: Plan, state: TransferState, missing: int, now: float
) -> Fetch | None:
    """Return a read that waits at an owner for a chunk it is fetching.

    The chunks of an owner that is passed over are expected at the agent that
    is next in order for each.
    """
    best = None
    for name, wanted in _expected_at(plan, state, missing, now):
        if name == plan.me.name or not wanted or not _may_ask(state, name, now):
            continue
        holder = state.holders.get(name, Holder())
        rank = (holder.outstanding, _tie(plan, state, name))
        if best is None or rank < best[0]:
            best = (rank, name, wanted)
    if best is None:
        return None
    _, name, wanted = best
    index = next(bits(wanted))
    return _read(state, index, name, wait=WAIT_AT_OWNER_SECONDS)


def _expected_at(
    plan: Plan, state: TransferState, missing: int, now: float
) -> Iterator[tuple[str, int]]:
    """Yield agents of the data centre and the missing chunks expected there."""
    skipped = skipped_names(state.holders, now) | state.unavailable
    for name, owned in plan.owned.items():
        if name not in skipped:
            yield name, missing & owned
            continue
        for index in bits(missing & owned):
            order = owner_order(plan.routes, plan.me.data_centre, index)
            live = next((other for other in order if other not in skipped), "")
            if live:
                yield live, 1 << index


def _hedge(plan: Plan, state: TransferState, now: float) -> Fetch | None:
    """Return a second read of a chunk whose first read takes too long."""
    limit = max(HEDGE_MIN_SECONDS, 2 * state.times.upper)
    in_flight = [fetch.index for fetch in state.flights]
    for fetch, at in state.flights.items():
        late = now - at > limit + fetch.wait_seconds
        if fetch.is_feed or not late or in_flight.count(fetch.index) > 1:
            continue
        other = _local_holder(plan, state, fetch.index, now, other_than=fetch.holder)
        if other:
            return _read(state, fetch.index, other)
    return None


def _local_holder(
    plan: Plan, state: TransferState, index: int, now: float, *, other_than: str = ""
) -> str:
    for name in plan.owned:
        holder = state.holders.get(name)
        has = holder is not None and holder.held >> index & 1
        if has and name != other_than and _may_ask(state, name, now):
            return name
    return ""


def _is_held_nearby(
    plan: Plan, state: TransferState, index: int, skipped: frozenset[str]
) -> bool:
    """Return whether a peer of the data centre has the chunk, busy or not."""
    holders = state.holders
    return any(
        name in holders and name not in skipped and holders[name].held >> index & 1
        for name in plan.owned
    )


def _may_ask(state: TransferState, name: str, now: float) -> bool:
    if name in state.unavailable:
        return False
    holder = state.holders.get(name)
    if holder is None:
        return True
    if is_skipped(holder, now) or holder.busy_until > now:
        return False
    return holder.outstanding < READS_PER_PEER


def _read(
    state: TransferState,
    index: int,
    holder: str,
    *,
    wait: float = 0.0,
    is_feed: bool = False,
) -> Fetch:
    return Fetch(
        index=index,
        holder=holder,
        wait_seconds=wait,
        timeout_seconds=state.times.timeout + wait,
        is_feed=is_feed,
    )


def _tie(plan: Plan, state: TransferState, name: str) -> int:
    """Return a number that spreads equal choices over peers and chunks."""
    topic = f"{plan.me.name}/{state.held.bit_count()}/{len(state.flights)}"
    return rendezvous_weight(topic=topic, member=name)


def bits(mask: int) -> Iterator[int]:
    """Yield the positions of the set bits, lowest first.

    Examples
    --------
    >>> list(bits(0b1010))
    [1, 3]

    """
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def _first_bit_from(mask: int, start: int) -> int:
    high = mask >> start << start
    return next(bits(high or mask))
