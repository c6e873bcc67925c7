"""Randomised runs of the transfer decisions of a fleet in virtual time."""

import random

from attrs import define, evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.results import ResultCode
from eelgrassdale.weights.holders import ChunkTimes, Holder, after_answer, is_skipped
from eelgrassdale.weights.routes import SOURCE, Place, Routes, owner_order
from eelgrassdale.weights.selection import SOURCE_DRAWERS, choose, may_draw
from eelgrassdale.weights.transfer import (
    TransferState,
    finished,
    is_complete,
    plan_of,
    started,
)

COUNT = 16
STEP = 0.05
READ_SECONDS = 0.2
LIMIT_SECONDS = 240.0
C = ResultCode


@define
class Agent:
    """One agent of a run: its plan, state and reads with the time they end."""

    plan: object
    state: TransferState
    reads: dict
    is_dead: bool = False


class Run:
    """Agents that follow `choose` against a network with faults."""

    def __init__(self, size: int, seed: int, *, corrupt: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.corrupt = corrupt
        self.now = 0.0
        self.source_reads: list[int] = []
        self.source_down_until = 0.0
        regions = ("north", "centre", "south")
        places = [
            Place(name=f"vm-{n}", data_centre=regions[n % 3], region=regions[n % 3])
            for n in range(size)
        ]
        routes = Routes(
            manifest="m",
            count=COUNT,
            agents=frozenset(places),
            origin_region="north",
        )
        times = ChunkTimes(mean=READ_SECONDS, deviation=READ_SECONDS / 2)
        self.agents = {
            place.name: Agent(plan_of(routes, place), TransferState(times=times), {})
            for place in places
        }

    def live(self) -> list[Agent]:
        """Return the agents that are not dead."""
        return [agent for agent in self.agents.values() if not agent.is_dead]

    def step(self) -> None:
        """Advance the time; end the reads that are due and start others."""
        self.now += STEP
        for agent in self.live():
            for fetch, due in list(agent.reads.items()):
                if due <= self.now:
                    self._end(agent, fetch)
            while fetch := choose(agent.plan, agent.state, self.now):
                agent.state = started(agent.state, fetch, self.now)
                agent.reads[fetch] = self.now + READ_SECONDS * self.random.random()

    def _end(self, agent: Agent, fetch) -> None:
        code, has = self._answer(fetch)
        waits = code is C.CHUNK_NOT_HELD and fetch.wait_seconds
        if waits and self.now < agent.state.flights[fetch] + fetch.wait_seconds:
            return
        del agent.reads[fetch]
        agent.state = finished(
            agent.plan, agent.state, fetch, code, self.now, holder_has=has
        )

    def _answer(self, fetch) -> tuple[ResultCode, int | None]:
        if self.random.random() < self.corrupt:
            return C.CHUNK_CORRUPT, None
        if fetch.holder == SOURCE:
            if self.now < self.source_down_until:
                return C.SOURCE_UNAVAILABLE, None
            self.source_reads.append(fetch.index)
            return C.OK, None
        holder = self.agents[fetch.holder]
        if holder.is_dead:
            return C.OUTCOME_UNKNOWN, None
        has = holder.state.held
        if not has >> fetch.index & 1:
            return C.CHUNK_NOT_HELD, has
        return (C.HOLDER_BUSY if self.random.random() < 0.1 else C.OK), has

    def until_complete(self) -> bool:
        """Return whether all live agents complete within the time limit."""
        while self.now < LIMIT_SECONDS:
            self.step()
            if all(is_complete(one.plan, one.state) for one in self.live()):
                return True
        return False


@given(st.integers(1, 12), st.integers(0, 999))
@settings(derandomize=True, max_examples=25, deadline=None)
def test_one_copy_leaves_the_origin_without_faults(size, seed):
    run = Run(size, seed)
    assert run.until_complete()
    assert sorted(run.source_reads) == list(range(COUNT))


@given(st.integers(4, 12), st.integers(0, 999))
@settings(derandomize=True, max_examples=25, deadline=None)
def test_survivors_complete_after_deaths_with_bounded_origin_reads(size, seed):
    run = Run(size, seed)
    for _ in range(run.random.randrange(20)):
        run.step()
    for agent in run.random.sample(run.live(), k=max(1, size // 4)):
        agent.is_dead = True
    assert run.until_complete()
    reads = [run.source_reads.count(index) for index in range(COUNT)]
    assert max(reads) <= SOURCE_DRAWERS


@given(st.integers(3, 9), st.integers(0, 999))
@settings(derandomize=True, max_examples=8, deadline=None)
def test_transfer_ends_despite_corrupt_chunks_and_an_outage(size, seed):
    run = Run(size, seed, corrupt=0.05)
    run.source_down_until = 5.0
    assert run.until_complete()


def test_chunk_of_a_dead_owner_is_asked_of_its_successor():
    """Guards against chunks that only the dead owner's successor holds."""
    run = Run(9, seed=1)
    routes = run.agents["vm-0"].plan.routes
    owner, successor, third = owner_order(routes, "north", 0)
    agent = run.agents[third]
    state = evolve(
        agent.state, held=agent.plan.full & ~1, unavailable=frozenset({owner})
    )
    assert choose(agent.plan, state, now=1.0).holder == successor


def test_feed_passes_over_an_owner_that_is_no_source():
    """Guards against waiting for ever for chunks that nobody fetches."""
    run = Run(9, seed=1)
    agent = next(a for a in run.agents.values() if a.plan.me.region != "north")
    state, asked = agent.state, set()
    for _ in range(20):
        fetch = choose(agent.plan, state, now=1.0)
        if fetch.holder == SOURCE:
            return
        assert fetch.holder not in asked
        asked.add(fetch.holder)
        state = started(state, fetch, 1.0)
        code = ResultCode.SOURCE_UNAVAILABLE
        state = finished(agent.plan, state, fetch, code, 1.0, holder_has=0)
    raise AssertionError("the source was never asked")


def test_late_agents_may_not_draw_from_the_source():
    run = Run(15, seed=2)
    may = [
        name
        for name, agent in run.agents.items()
        if agent.plan.me.region == "north" and may_draw(agent.plan, agent.state, 0, 0.0)
    ]
    assert len(may) == SOURCE_DRAWERS


def test_source_budget_stops_an_agent_that_drew_too_much():
    run = Run(3, seed=3)
    agent = run.agents["vm-0"]
    assert may_draw(agent.plan, agent.state, 0, 0.0)
    spent = evolve(agent.state, source_reads=10 * COUNT)
    assert not may_draw(agent.plan, spent, 0, 0.0)


def test_sender_of_a_corrupt_chunk_is_counted_and_passed_over():
    holder = after_answer(Holder(), C.CHUNK_CORRUPT, 10.0, busy_seconds=0.1)
    assert holder.corrupt == 1
    assert is_skipped(holder, 30.0)


def test_busy_holder_is_not_skipped_but_left_alone():
    holder = after_answer(Holder(), C.HOLDER_BUSY, 10.0, busy_seconds=0.5)
    assert not is_skipped(holder, 10.1)
    assert holder.busy_until == 10.5


def test_repeated_failures_skip_a_holder_for_longer():
    once = after_answer(Holder(), C.OUTCOME_UNKNOWN, 0.0, busy_seconds=0.1)
    twice = after_answer(once, C.OUTCOME_UNKNOWN, 0.0, busy_seconds=0.1)
    assert twice.skip_until > once.skip_until


def test_slow_reads_lengthen_the_timeout():
    times = ChunkTimes()
    for _ in range(20):
        times = times.observed(2.0)
    slower = times.observed(6.0)
    assert slower.timeout > times.timeout >= 4.0
