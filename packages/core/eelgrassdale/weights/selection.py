"""Selection of the chunk that an agent fetches next, and of its holder."""

from collections.abc import Iterator

from eelgrassdale.hashing import rendezvous_weight
from eelgrassdale.weights.holders import Holder, is_skipped, skipped_names
from eelgrassdale.weights.routes import SOURCE, owner_order, upstream_of
from eelgrassdale.weights.transfer import Fetch, TransferPlan, TransferState

# Maximum numbers of concurrent owner fetches and of concurrent other reads.
MAX_OWNER_FETCHES = 2
MAX_PEER_FETCHES = 4
# One read per peer spreads the reads over more holders. With two, a transfer to
# 20 agents took 1.19x instead of 1.13x the ideal time.
MAX_READS_PER_PEER = 1
# Agents of a data centre that may read a chunk from the source. Another one is
# added for each SOURCE_ESCALATION_SECONDS that the chunk is missing, so that the
# failure of an owner does not send all agents of its data centre to the origin.
MAX_SOURCE_READERS = 3
SOURCE_ESCALATION_SECONDS = 15.0
# A live owner that does not have its chunk gets this time before the next agent
# in the owner order fetches the chunk as well: the longer of MIN_TAKEOVER_SECONDS
# and TAKEOVER_CHUNK_TIMES times `ChunkTimes.upper`.
MIN_TAKEOVER_SECONDS = 5.0
TAKEOVER_CHUNK_TIMES = 8
# Chunks that an agent may read from the source beyond twice its own share. The
# budget grows by one chunk each SOURCE_BUDGET_REFILL_SECONDS.
SOURCE_BUDGET_EXTRA_CHUNKS = 4
SOURCE_BUDGET_REFILL_SECONDS = 10.0
OWNER_WAIT_SECONDS = 1.0
HEDGE_MIN_SECONDS = 0.5
# Number of peers selected by hash, of which the one with most chunks is asked.
PEER_CHOICES = 2


def choose_fetch(plan: TransferPlan, state: TransferState, now: float) -> Fetch | None:
    """Return the next read to start, or None if none is useful now."""
    missing = plan.all_chunks & ~state.held & ~state.in_flight
    owner_fetches = sum(fetch.is_owner_fetch for fetch in state.active_fetches)
    if owner_fetches < MAX_OWNER_FETCHES:
        fetch = _owner_fetch(plan, state, missing, now)
        if fetch:
            return fetch
    if len(state.active_fetches) - owner_fetches >= MAX_PEER_FETCHES:
        return None
    return (
        _fetch_from_holder(plan, state, missing, now)
        or _fetch_from_expected_holder(plan, state, missing, now)
        or _hedged_fetch(plan, state, now)
    )


def _owner_fetch(
    plan: TransferPlan, state: TransferState, missing: int, now: float
) -> Fetch | None:
    """Return a read of a chunk that this agent must bring into its data centre."""
    skipped = skipped_names(state.holders, now) | state.unavailable_agents
    for index in _responsible_chunks(plan, state, missing, skipped, now):
        if _is_held_in_data_centre(plan, state, index, skipped):
            known = _available_holder(plan, state, index, now)
            if known:
                return _new_fetch(state, index, known, is_owner_fetch=True)
            continue
        holder = upstream_of(plan.routes, plan.local_agent, index, skipped)
        if holder == SOURCE:
            if may_read_source(plan, state, index, now):
                timeout = state.source_times.timeout
                return Fetch(
                    index=index,
                    holder=SOURCE,
                    timeout_seconds=timeout,
                    is_owner_fetch=True,
                )
            continue
        if _may_read_from(state, holder, now):
            return _new_fetch(
                state, index, holder, wait=OWNER_WAIT_SECONDS, is_owner_fetch=True
            )
    return None


def may_read_source(
    plan: TransferPlan, state: TransferState, index: int, now: float
) -> bool:
    """Return whether this agent may read a chunk from the source now.

    It must be among the first `MAX_SOURCE_READERS` agents in the owner order of
    the chunk, or further down if the chunk was missing for long; have budget
    left; and not be in back-off after a failure of the source.
    """
    if now < state.source_retry_at:
        return False
    order = owner_order(plan.routes, plan.local_agent.data_centre, index)
    waited = now - state.absent_since.get(index, state.started_at)
    max_readers = MAX_SOURCE_READERS + int(waited / SOURCE_ESCALATION_SECONDS)
    if plan.local_agent.name not in order[:max_readers]:
        return False
    share = plan.owned.get(plan.local_agent.name, 0).bit_count()
    refill = int((now - state.started_at) / SOURCE_BUDGET_REFILL_SECONDS)
    return state.source_reads < 2 * share + SOURCE_BUDGET_EXTRA_CHUNKS + refill


def _responsible_chunks(
    plan: TransferPlan,
    state: TransferState,
    missing: int,
    skipped: frozenset[str],
    now: float,
) -> Iterator[int]:
    """Yield the missing chunks that this agent must bring into its data centre.

    These are the chunks it owns, those of skipped owners for which it is the
    next available agent, and those that peers have lacked for so long that it
    is this agent's turn to fetch them.
    """
    yield from bits(missing & plan.owned.get(plan.local_agent.name, 0))
    for name, owned in plan.owned.items():
        if name not in skipped:
            continue
        for index in bits(missing & owned):
            order = owner_order(plan.routes, plan.local_agent.data_centre, index)
            live = next((other for other in order if other not in skipped), "")
            if live == plan.local_agent.name:
                yield index
    for index, since in state.absent_since.items():
        if missing >> index & 1 and _may_take_over(plan, state, index, now - since):
            yield index


def _may_take_over(
    plan: TransferPlan, state: TransferState, index: int, waited: float
) -> bool:
    order = owner_order(plan.routes, plan.local_agent.data_centre, index)
    rank = (
        order.index(plan.local_agent.name)
        if plan.local_agent.name in order
        else len(order)
    )
    takeover_seconds = max(
        MIN_TAKEOVER_SECONDS,
        TAKEOVER_CHUNK_TIMES * state.peer_read_times.upper,
    )
    return waited > rank * takeover_seconds


def _fetch_from_holder(
    plan: TransferPlan, state: TransferState, missing: int, now: float
) -> Fetch | None:
    """Return a read from a peer of the data centre that has a missing chunk.

    Of two peers selected by hash, the one with more chunks is asked. It needs
    less of its link for itself, so agents that are behind catch up, and all
    finish at about the same time.
    """
    candidates = []
    for name in plan.owned:
        holder = state.holders.get(name)
        if holder is None or not holder.held & missing:
            continue
        if _may_read_from(state, name, now):
            candidates.append((_tie_break_hash(plan, state, name), name, holder.held))
    if not candidates:
        return None
    tie_break, name, held = max(
        sorted(candidates)[:PEER_CHOICES],
        key=lambda candidate: candidate[2].bit_count(),
    )
    return _new_fetch(
        state, _first_bit_from(held & missing, tie_break % plan.routes.count), name
    )


def _fetch_from_expected_holder(
    plan: TransferPlan, state: TransferState, missing: int, now: float
) -> Fetch | None:
    """Return a read from an agent that is expected to receive a missing chunk.

    That agent delays its reply until it has the chunk, for at most
    `OWNER_WAIT_SECONDS`. The agent with the fewest outstanding reads is asked.
    """
    best = None
    for name, wanted in _expected_chunks(plan, state, missing, now):
        if (
            name == plan.local_agent.name
            or not wanted
            or not _may_read_from(state, name, now)
        ):
            continue
        holder = state.holders.get(name, Holder())
        rank = (holder.outstanding, _tie_break_hash(plan, state, name))
        if best is None or rank < best[0]:
            best = (rank, name, wanted)
    if best is None:
        return None
    _, name, wanted = best
    index = next(bits(wanted))
    return _new_fetch(state, index, name, wait=OWNER_WAIT_SECONDS)


def _expected_chunks(
    plan: TransferPlan, state: TransferState, missing: int, now: float
) -> Iterator[tuple[str, int]]:
    """Yield agents of the data centre, each with missing chunks it must fetch.

    The chunks of a skipped owner are expected at the next available agent in
    the owner order of each chunk.
    """
    skipped = skipped_names(state.holders, now) | state.unavailable_agents
    for name, owned in plan.owned.items():
        if name not in skipped:
            yield name, missing & owned
            continue
        for index in bits(missing & owned):
            order = owner_order(plan.routes, plan.local_agent.data_centre, index)
            live = next((other for other in order if other not in skipped), "")
            if live:
                yield live, 1 << index


def _hedged_fetch(plan: TransferPlan, state: TransferState, now: float) -> Fetch | None:
    """Return a second read, from another peer, of a chunk whose read is late."""
    limit = max(HEDGE_MIN_SECONDS, 2 * state.peer_read_times.upper)
    in_flight = [fetch.index for fetch in state.active_fetches]
    for fetch, started_at in state.active_fetches.items():
        is_late = now - started_at > limit + fetch.wait_seconds
        if fetch.is_owner_fetch or not is_late or in_flight.count(fetch.index) > 1:
            continue
        other = _available_holder(plan, state, fetch.index, now, excluded=fetch.holder)
        if other:
            return _new_fetch(state, fetch.index, other)
    return None


def _available_holder(
    plan: TransferPlan,
    state: TransferState,
    index: int,
    now: float,
    *,
    excluded: str = "",
) -> str:
    for name in plan.owned:
        holder = state.holders.get(name)
        has = holder is not None and holder.held >> index & 1
        if has and name != excluded and _may_read_from(state, name, now):
            return name
    return ""


def _is_held_in_data_centre(
    plan: TransferPlan, state: TransferState, index: int, skipped: frozenset[str]
) -> bool:
    """Return whether any peer of the data centre has the chunk, busy or not."""
    holders = state.holders
    return any(
        name in holders and name not in skipped and holders[name].held >> index & 1
        for name in plan.owned
    )


def _may_read_from(state: TransferState, name: str, now: float) -> bool:
    if name in state.unavailable_agents:
        return False
    holder = state.holders.get(name)
    if holder is None:
        return True
    if is_skipped(holder, now) or holder.busy_until > now:
        return False
    return holder.outstanding < MAX_READS_PER_PEER


def _new_fetch(
    state: TransferState,
    index: int,
    holder: str,
    *,
    wait: float = 0.0,
    is_owner_fetch: bool = False,
) -> Fetch:
    return Fetch(
        index=index,
        holder=holder,
        wait_seconds=wait,
        timeout_seconds=state.peer_read_times.timeout + wait,
        is_owner_fetch=is_owner_fetch,
    )


def _tie_break_hash(plan: TransferPlan, state: TransferState, name: str) -> int:
    """Return a hash that breaks ties between peers, to spread reads evenly."""
    key = (
        f"{plan.local_agent.name}/{state.held.bit_count()}/{len(state.active_fetches)}"
    )
    return rendezvous_weight(key=key, member=name)


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
