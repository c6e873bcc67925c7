"""Simulates transfers of many agents with faults, in virtual time."""

import random

from attrs import define, evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.results import ResultCode
from eelgrassdale.weights.holders import ChunkTimes, Holder, after_read, is_skipped
from eelgrassdale.weights.routes import SOURCE, AgentLocation, Routes, owner_order
from eelgrassdale.weights.selection import (
    MAX_SOURCE_READERS,
    choose_fetch,
    may_read_source,
)
from eelgrassdale.weights.transfer import (
    TransferState,
    fetch_finished,
    fetch_started,
    is_complete,
    transfer_plan,
)

CHUNK_COUNT = 16
STEP_SECONDS = 0.05
READ_SECONDS = 0.2
LIMIT_SECONDS = 240.0
C = ResultCode


@define
class Agent:
    """One agent of a simulation: its plan, state and reads with the time they end."""

    plan: object
    state: TransferState
    reads: dict
    is_dead: bool = False


class SimulatedTransfer:
    """Transfer by agents that follow `choose_fetch` on a network with faults."""

    def __init__(self, size: int, seed: int, *, corrupt_rate: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.corrupt_rate = corrupt_rate
        self.now = 0.0
        self.source_reads: list[int] = []
        self.source_outage_ends_at = 0.0
        regions = ("north", "centre", "south")
        places = [
            AgentLocation(
                name=f"vm-{n}", data_centre=regions[n % 3], region=regions[n % 3]
            )
            for n in range(size)
        ]
        routes = Routes(
            manifest="m",
            count=CHUNK_COUNT,
            agents=frozenset(places),
            origin_region="north",
        )
        times = ChunkTimes(mean=READ_SECONDS, deviation=READ_SECONDS / 2)
        self.agents = {
            place.name: Agent(
                transfer_plan(routes, place), TransferState(peer_read_times=times), {}
            )
            for place in places
        }

    def live(self) -> list[Agent]:
        """Return the agents that are not dead."""
        return [agent for agent in self.agents.values() if not agent.is_dead]

    def step(self) -> None:
        """Advance the time, end the reads that are due and start new ones."""
        self.now += STEP_SECONDS
        for agent in self.live():
            for fetch, due in list(agent.reads.items()):
                if due <= self.now:
                    self._end(agent, fetch)
            while fetch := choose_fetch(agent.plan, agent.state, self.now):
                agent.state = fetch_started(agent.state, fetch, self.now)
                agent.reads[fetch] = self.now + READ_SECONDS * self.random.random()

    def _end(self, agent: Agent, fetch) -> None:
        code, held_by_holder = self._result_of(fetch)
        waits = code is C.CHUNK_NOT_HELD and fetch.wait_seconds
        if waits and self.now < agent.state.active_fetches[fetch] + fetch.wait_seconds:
            return
        del agent.reads[fetch]
        agent.state = fetch_finished(
            agent.plan,
            agent.state,
            fetch,
            code,
            self.now,
            held_by_holder=held_by_holder,
        )

    def _result_of(self, fetch) -> tuple[ResultCode, int | None]:
        if self.random.random() < self.corrupt_rate:
            return C.CHUNK_CORRUPT, None
        if fetch.holder == SOURCE:
            if self.now < self.source_outage_ends_at:
                return C.SOURCE_UNAVAILABLE, None
            self.source_reads.append(fetch.index)
            return C.OK, None
        holder = self.agents[fetch.holder]
        if holder.is_dead:
            return C.OUTCOME_UNKNOWN, None
        held_by_holder = holder.state.held
        if not held_by_holder >> fetch.index & 1:
            return C.CHUNK_NOT_HELD, held_by_holder
        return (C.HOLDER_BUSY if self.random.random() < 0.1 else C.OK), held_by_holder

    def run_until_complete(self) -> bool:
        """Return whether all live agents complete within the time limit."""
        while self.now < LIMIT_SECONDS:
            self.step()
            if all(is_complete(one.plan, one.state) for one in self.live()):
                return True
        return False


@given(st.integers(1, 12), st.integers(0, 999))
@settings(derandomize=True, max_examples=25, deadline=None)
def test_without_faults_each_chunk_is_read_from_the_source_once(size, seed):
    simulation = SimulatedTransfer(size, seed)
    assert simulation.run_until_complete()
    assert sorted(simulation.source_reads) == list(range(CHUNK_COUNT))


@given(st.integers(4, 12), st.integers(0, 999))
@settings(derandomize=True, max_examples=25, deadline=None)
def test_survivors_complete_with_bounded_source_reads(size, seed):
    simulation = SimulatedTransfer(size, seed)
    for _ in range(simulation.random.randrange(20)):
        simulation.step()
    for agent in simulation.random.sample(simulation.live(), k=max(1, size // 4)):
        agent.is_dead = True
    assert simulation.run_until_complete()
    reads = [simulation.source_reads.count(index) for index in range(CHUNK_COUNT)]
    assert max(reads) <= MAX_SOURCE_READERS


@given(st.integers(3, 9), st.integers(0, 999))
@settings(derandomize=True, max_examples=8, deadline=None)
def test_transfer_ends_despite_corrupt_chunks_and_an_outage(size, seed):
    simulation = SimulatedTransfer(size, seed, corrupt_rate=0.05)
    simulation.source_outage_ends_at = 5.0
    assert simulation.run_until_complete()


def test_chunk_of_a_dead_owner_is_asked_of_its_successor():
    """Guards against a chunk that is never fetched because its owner is dead."""
    simulation = SimulatedTransfer(9, seed=1)
    routes = simulation.agents["vm-0"].plan.routes
    owner, successor, third = owner_order(routes, "north", 0)
    agent = simulation.agents[third]
    state = evolve(
        agent.state,
        held=agent.plan.all_chunks & ~1,
        unavailable_agents=frozenset({owner}),
    )
    assert choose_fetch(agent.plan, state, now=1.0).holder == successor


def test_unavailable_upstream_owners_are_skipped_until_the_source():
    """Guards against waiting forever for a chunk that no other agent fetches."""
    simulation = SimulatedTransfer(9, seed=1)
    agent = next(
        a for a in simulation.agents.values() if a.plan.local_agent.region != "north"
    )
    state, asked = agent.state, set()
    for _ in range(20):
        fetch = choose_fetch(agent.plan, state, now=1.0)
        if fetch.holder == SOURCE:
            return
        assert fetch.holder not in asked
        asked.add(fetch.holder)
        state = fetch_started(state, fetch, 1.0)
        code = ResultCode.SOURCE_UNAVAILABLE
        state = fetch_finished(agent.plan, state, fetch, code, 1.0, held_by_holder=0)
    raise AssertionError("the source was never asked")


def test_only_the_first_agents_in_order_may_read_the_source():
    simulation = SimulatedTransfer(15, seed=2)
    may = [
        name
        for name, agent in simulation.agents.items()
        if agent.plan.local_agent.region == "north"
        and may_read_source(agent.plan, agent.state, 0, 0.0)
    ]
    assert len(may) == MAX_SOURCE_READERS


def test_source_budget_limits_the_reads_of_an_agent():
    simulation = SimulatedTransfer(3, seed=3)
    agent = simulation.agents["vm-0"]
    assert may_read_source(agent.plan, agent.state, 0, 0.0)
    spent = evolve(agent.state, source_reads=10 * CHUNK_COUNT)
    assert not may_read_source(agent.plan, spent, 0, 0.0)


def test_sender_of_a_corrupt_chunk_is_counted_and_skipped():
    holder = after_read(Holder(), C.CHUNK_CORRUPT, 10.0, busy_seconds=0.1)
    assert holder.corrupt_chunks == 1
    assert is_skipped(holder, 30.0)


def test_busy_holder_is_not_asked_but_not_skipped():
    holder = after_read(Holder(), C.HOLDER_BUSY, 10.0, busy_seconds=0.5)
    assert not is_skipped(holder, 10.1)
    assert holder.busy_until == 10.5


def test_repeated_failures_skip_a_holder_for_longer():
    once = after_read(Holder(), C.OUTCOME_UNKNOWN, 0.0, busy_seconds=0.1)
    twice = after_read(once, C.OUTCOME_UNKNOWN, 0.0, busy_seconds=0.1)
    assert twice.skip_until > once.skip_until


def test_slow_reads_lengthen_the_timeout():
    times = ChunkTimes()
    for _ in range(20):
        times = times.observed(2.0)
    slower = times.observed(6.0)
    assert slower.timeout > times.timeout >= 4.0
