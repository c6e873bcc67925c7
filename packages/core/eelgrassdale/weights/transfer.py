"""State of one transfer, and its changes when reads start and end."""

from collections.abc import Mapping

from attrs import Factory, evolve, frozen

from eelgrassdale.hashing import rendezvous_weight
from eelgrassdale.results import ResultCode
from eelgrassdale.weights.holders import ChunkTimes, Holder, after_read
from eelgrassdale.weights.routes import SOURCE, AgentLocation, Routes, owned_masks

SOURCE_BACKOFF_SECONDS = 0.25
SOURCE_BACKOFF_MAX_SECONDS = 5.0


@frozen(kw_only=True)
class Fetch:
    """One read of a chunk from `holder`, a peer or `SOURCE`.

    The holder may delay its reply by `wait_seconds` until it has the chunk.
    `is_owner_fetch` is true if this agent has to bring the chunk into its data
    centre.
    """

    index: int
    holder: str
    wait_seconds: float = 0.0
    timeout_seconds: float
    is_owner_fetch: bool = False


@frozen(kw_only=True)
class TransferPlan:
    """Part of a transfer that changes only when the members change.

    `owned` maps each agent of the own data centre to the bit mask of the chunks
    it owns.
    """

    local_agent: AgentLocation
    routes: Routes
    owned: Mapping[str, int]

    @property
    def all_chunks(self) -> int:
        """Bit mask of all chunks."""
        return (1 << self.routes.count) - 1


def transfer_plan(routes: Routes, local_agent: AgentLocation) -> TransferPlan:
    """Return the plan of one agent."""
    return TransferPlan(
        local_agent=local_agent,
        routes=routes,
        owned=owned_masks(routes, local_agent.data_centre),
    )


@frozen(kw_only=True)
class TransferState:
    """Progress of one transfer; bit masks have one bit for each chunk.

    `active_fetches` maps each read in progress to its start time. `unavailable_agents`
    has the agents that are dead or leaving according to membership.
    `absent_since` maps a chunk to the time when a peer first replied that it
    does not hold it. `source_reads` counts successful reads from the source,
    which is not read from before `source_retry_at`. Times are monotonic
    seconds.
    """

    held: int = 0
    active_fetches: Mapping[Fetch, float] = Factory(dict)
    holders: Mapping[str, Holder] = Factory(dict)
    unavailable_agents: frozenset[str] = frozenset()
    peer_read_times: ChunkTimes = Factory(ChunkTimes)
    source_times: ChunkTimes = Factory(ChunkTimes)
    absent_since: Mapping[int, float] = Factory(dict)
    source_reads: int = 0
    source_failures: int = 0
    source_retry_at: float = 0.0
    started_at: float = 0.0

    @property
    def in_flight(self) -> int:
        """Bit mask of the chunks with a read in progress."""
        mask = 0
        for fetch in self.active_fetches:
            mask |= 1 << fetch.index
        return mask


def is_complete(plan: TransferPlan, state: TransferState) -> bool:
    """Return whether every chunk is held."""
    return state.held == plan.all_chunks


def fetch_started(state: TransferState, fetch: Fetch, now: float) -> TransferState:
    """Return the state after a read was started."""
    active_fetches = {**state.active_fetches, fetch: now}
    return _adjust_outstanding(
        evolve(state, active_fetches=active_fetches), fetch.holder, outstanding_change=1
    )


def fetch_finished(
    plan: TransferPlan,
    state: TransferState,
    fetch: Fetch,
    code: ResultCode,
    now: float,
    *,
    held_by_holder: int | None = None,
) -> TransferState:
    """Return the state after a read ended.

    Parameters
    ----------
    plan : TransferPlan
        Plan of this agent.
    state : TransferState
        State before the read ended.
    fetch : Fetch
        The read that ended.
    code : ResultCode
        Result; `OK` only if the chunk was verified and staged.
    now : float
        Monotonic time in seconds.
    held_by_holder : int, optional
        Bit mask of the chunks that the holder reported to have.
    """
    seconds = now - state.active_fetches.get(fetch, now)
    active_fetches = {
        key: started_at
        for key, started_at in state.active_fetches.items()
        if key != fetch
    }
    state = evolve(state, active_fetches=active_fetches)
    state = _adjust_outstanding(state, fetch.holder, outstanding_change=-1)
    if code is ResultCode.BACKEND_FAILED:
        return state
    if code is ResultCode.OK:
        absent = {k: v for k, v in state.absent_since.items() if k != fetch.index}
        held = state.held | 1 << fetch.index
        state = evolve(state, held=held, absent_since=absent)
    if fetch.holder == SOURCE:
        return _after_source_read(plan, state, code, seconds, now)
    return _after_peer_read(state, fetch, code, seconds, now, held_by_holder)


def without_chunk(state: TransferState, index: int) -> TransferState:
    """Return the state after the engine's staging lost a chunk."""
    return evolve(state, held=state.held & ~(1 << index))


def _after_source_read(
    plan: TransferPlan,
    state: TransferState,
    code: ResultCode,
    seconds: float,
    now: float,
) -> TransferState:
    if code is ResultCode.OK:
        return evolve(
            state,
            source_reads=state.source_reads + 1,
            source_failures=0,
            source_times=state.source_times.observed(seconds),
        )
    failures = state.source_failures + 1
    backoff = min(
        SOURCE_BACKOFF_MAX_SECONDS, SOURCE_BACKOFF_SECONDS * 2 ** (failures - 1)
    )
    key = f"{plan.routes.manifest}/{failures}"
    jitter = rendezvous_weight(key=key, member=plan.local_agent.name) / 2**64
    return evolve(
        state,
        source_failures=failures,
        source_retry_at=now + backoff * (0.5 + jitter / 2),
    )


def _after_peer_read(
    state: TransferState,
    fetch: Fetch,
    code: ResultCode,
    seconds: float,
    now: float,
    held_by_holder: int | None,
) -> TransferState:
    holder = state.holders.get(fetch.holder, Holder())
    holder = after_read(holder, code, now, busy_seconds=state.peer_read_times.mean)
    if held_by_holder is not None:
        holder = evolve(holder, held=held_by_holder)
    state = evolve(state, holders={**state.holders, fetch.holder: holder})
    if code is ResultCode.OK and not fetch.wait_seconds:
        return evolve(state, peer_read_times=state.peer_read_times.observed(seconds))
    if code is ResultCode.CHUNK_NOT_HELD and fetch.index not in state.absent_since:
        return evolve(state, absent_since={**state.absent_since, fetch.index: now})
    return state


def _adjust_outstanding(
    state: TransferState, name: str, *, outstanding_change: int
) -> TransferState:
    if name == SOURCE:
        return state
    holder = state.holders.get(name, Holder())
    holder = evolve(holder, outstanding=holder.outstanding + outstanding_change)
    return evolve(state, holders={**state.holders, name: holder})
