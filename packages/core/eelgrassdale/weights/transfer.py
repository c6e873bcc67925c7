"""State of one transfer and how the end of each read changes it."""

from collections.abc import Mapping

from attrs import Factory, evolve, frozen

from eelgrassdale.hashing import rendezvous_weight
from eelgrassdale.results import ResultCode
from eelgrassdale.weights.holders import ChunkTimes, Holder, after_answer
from eelgrassdale.weights.routes import SOURCE, Place, Routes, owned_masks

SOURCE_BACKOFF_SECONDS = 0.25
SOURCE_BACKOFF_MAX_SECONDS = 5.0


@frozen(kw_only=True)
class Fetch:
    """One read of a chunk; `holder` is a peer or `SOURCE`."""

    index: int
    holder: str
    wait_seconds: float = 0.0
    timeout_seconds: float
    is_feed: bool = False


@frozen(kw_only=True)
class Plan:
    """What stays the same until the members change.

    `owned` maps each agent of the own data centre to the chunks it owns.
    """

    me: Place
    routes: Routes
    owned: Mapping[str, int]

    @property
    def full(self) -> int:
        """Bit mask of all chunks."""
        return (1 << self.routes.count) - 1


def plan_of(routes: Routes, me: Place) -> Plan:
    """Return the plan of one agent."""
    return Plan(me=me, routes=routes, owned=owned_masks(routes, me.data_centre))


@frozen(kw_only=True)
class TransferState:
    """Progress of one transfer; bit masks have one bit for each chunk.

    `unavailable` names the agents that membership holds for dead or leaving.
    `absent_since` maps a chunk to the time when its owner first did not have
    it. `source_reads` counts reads from the source that delivered a chunk.
    """

    held: int = 0
    flights: Mapping[Fetch, float] = Factory(dict)
    holders: Mapping[str, Holder] = Factory(dict)
    unavailable: frozenset[str] = frozenset()
    times: ChunkTimes = Factory(ChunkTimes)
    source_times: ChunkTimes = Factory(ChunkTimes)
    absent_since: Mapping[int, float] = Factory(dict)
    source_reads: int = 0
    source_failures: int = 0
    source_not_before: float = 0.0
    started_at: float = 0.0

    @property
    def in_flight(self) -> int:
        """Bit mask of the chunks that are being read."""
        mask = 0
        for fetch in self.flights:
            mask |= 1 << fetch.index
        return mask


def is_complete(plan: Plan, state: TransferState) -> bool:
    """Return whether every chunk is held."""
    return state.held == plan.full


def started(state: TransferState, fetch: Fetch, now: float) -> TransferState:
    """Return the state after a read was started."""
    flights = {**state.flights, fetch: now}
    return _with_holder(
        evolve(state, flights=flights), fetch.holder, outstanding_change=1
    )


def finished(
    plan: Plan,
    state: TransferState,
    fetch: Fetch,
    code: ResultCode,
    now: float,
    *,
    holder_has: int | None = None,
) -> TransferState:
    """Return the state after a read ended.

    Parameters
    ----------
    plan : Plan
        Plan of this agent.
    state : TransferState
        State before.
    fetch : Fetch
        The read.
    code : ResultCode
        `OK` only if the chunk was verified and staged.
    now : float
        Monotonic time in seconds.
    holder_has : int, optional
        Chunks that the holder said it has.
    """
    seconds = now - state.flights.get(fetch, now)
    flights = {key: at for key, at in state.flights.items() if key != fetch}
    state = evolve(state, flights=flights)
    state = _with_holder(state, fetch.holder, outstanding_change=-1)
    if code is ResultCode.BACKEND_FAILED:
        return state
    if code is ResultCode.OK:
        absent = {k: v for k, v in state.absent_since.items() if k != fetch.index}
        held = state.held | 1 << fetch.index
        state = evolve(state, held=held, absent_since=absent)
    if fetch.holder == SOURCE:
        return _after_source(plan, state, code, seconds, now)
    return _after_peer(state, fetch, code, seconds, now, holder_has)


def without_chunk(state: TransferState, index: int) -> TransferState:
    """Return the state after a held chunk was lost from staging."""
    return evolve(state, held=state.held & ~(1 << index))


def _after_source(
    plan: Plan, state: TransferState, code: ResultCode, seconds: float, now: float
) -> TransferState:
    if code is ResultCode.OK:
        return evolve(
            state,
            source_reads=state.source_reads + 1,
            source_failures=0,
            source_times=state.source_times.observed(seconds),
        )
    failures = state.source_failures + 1
    pause = min(
        SOURCE_BACKOFF_MAX_SECONDS, SOURCE_BACKOFF_SECONDS * 2 ** (failures - 1)
    )
    topic = f"{plan.routes.manifest}/{failures}"
    draw = rendezvous_weight(topic=topic, member=plan.me.name) / 2**64
    return evolve(
        state,
        source_failures=failures,
        source_not_before=now + pause * (0.5 + draw / 2),
    )


def _after_peer(
    state: TransferState,
    fetch: Fetch,
    code: ResultCode,
    seconds: float,
    now: float,
    holder_has: int | None,
) -> TransferState:
    holder = state.holders.get(fetch.holder, Holder())
    holder = after_answer(holder, code, now, busy_seconds=state.times.mean)
    if holder_has is not None:
        holder = evolve(holder, held=holder_has)
    state = evolve(state, holders={**state.holders, fetch.holder: holder})
    if code is ResultCode.OK and not fetch.wait_seconds:
        return evolve(state, times=state.times.observed(seconds))
    if code is ResultCode.CHUNK_NOT_HELD and fetch.index not in state.absent_since:
        return evolve(state, absent_since={**state.absent_since, fetch.index: now})
    return state


def _with_holder(
    state: TransferState, name: str, *, outstanding_change: int
) -> TransferState:
    if name == SOURCE:
        return state
    holder = state.holders.get(name, Holder())
    holder = evolve(holder, outstanding=holder.outstanding + outstanding_change)
    return evolve(state, holders={**state.holders, name: holder})
