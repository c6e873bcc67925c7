"""Tests of chunk owners and of the distribution tree between data centres."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.weights import assign_owners
from eelgrassdale.weights.routes import (
    SOURCE,
    AgentLocation,
    Routes,
    owned_masks,
    owner_order,
    upstream_of,
)

CHUNK_COUNT = 24


@st.composite
def routes_strategy(draw):
    """Draw 1 to 14 agents in up to three regions of up to two data centres."""
    data_centres = draw(st.lists(st.integers(0, 5), min_size=1, max_size=14))
    agents = frozenset(
        AgentLocation(name=f"vm-{n}", data_centre=f"dc-{c}", region=f"r-{c // 2}")
        for n, c in enumerate(data_centres)
    )
    origin = draw(st.sampled_from(["r-0", "r-1", ""]))
    return Routes(manifest="m", count=CHUNK_COUNT, agents=agents, origin_region=origin)


def owner_of(routes: Routes, data_centre: str, index: int) -> AgentLocation:
    """Return the owner of a chunk in a data centre."""
    name = owner_order(routes, data_centre, index)[0]
    return next(agent for agent in routes.agents if agent.name == name)


@given(st.sets(st.text(min_size=1), min_size=1, max_size=9), st.integers(1, 60))
@settings(derandomize=True, max_examples=50)
def test_no_agent_owns_more_than_its_share(members, count):
    owned = Counter(assign_owners(manifest="m", count=count, members=members))
    assert max(owned.values()) <= -(-count // len(members))


@given(routes_strategy())
@settings(derandomize=True, max_examples=60)
def test_each_chunk_is_read_from_the_source_once(routes):
    data_centres = {agent.data_centre for agent in routes.agents}
    for index in range(CHUNK_COUNT):
        upstreams = [
            upstream_of(routes, owner_of(routes, c, index), index) for c in data_centres
        ]
        assert upstreams.count(SOURCE) == 1


@given(routes_strategy())
@settings(derandomize=True, max_examples=60)
def test_every_chain_of_upstreams_ends_at_the_source(routes):
    for index in range(CHUNK_COUNT):
        for start in routes.agents:
            place, steps = owner_of(routes, start.data_centre, index), 0
            while (name := upstream_of(routes, place, index)) != SOURCE:
                place = next(agent for agent in routes.agents if agent.name == name)
                steps += 1
                assert steps <= len(routes.agents)


def test_remote_region_fetches_half_from_each_other_region():
    places = [("n", "north"), ("c", "centre"), ("s", "south")]
    agents = frozenset(
        AgentLocation(name=name, data_centre=name, region=region)
        for name, region in places
    )
    routes = Routes(manifest="m", count=40, agents=agents, origin_region="north")
    local_agent = AgentLocation(name="s", data_centre="s", region="south")
    upstreams = Counter(upstream_of(routes, local_agent, index) for index in range(40))
    assert upstreams == {"n": 20, "c": 20}


def test_second_data_centre_of_a_region_fetches_from_the_first():
    agents = frozenset(
        AgentLocation(name=f"vm-{c}-{n}", data_centre=f"dc-{c}", region="north")
        for c in range(2)
        for n in range(3)
    )
    routes = Routes(
        manifest="m", count=CHUNK_COUNT, agents=agents, origin_region="north"
    )
    for index in range(CHUNK_COUNT):
        owners = [owner_of(routes, f"dc-{c}", index) for c in range(2)]
        upstreams = {owner.name: upstream_of(routes, owner, index) for owner in owners}
        assert sorted(upstreams.values()) in ([SOURCE, owner.name] for owner in owners)


def test_skipped_owner_is_replaced_by_the_next_in_order():
    agents = frozenset(
        AgentLocation(name=f"{region}-{n}", data_centre=region, region=region)
        for region in ("north", "south")
        for n in range(3)
    )
    routes = Routes(
        manifest="m", count=CHUNK_COUNT, agents=agents, origin_region="north"
    )
    local_agent = owner_of(routes, "south", 0)
    first, second, _ = owner_order(routes, "north", 0)
    assert upstream_of(routes, local_agent, 0) == first
    assert upstream_of(routes, local_agent, 0, {first}) == second


def test_owned_masks_cover_every_chunk_once():
    agents = frozenset(
        AgentLocation(name=f"vm-{n}", data_centre="d", region="r") for n in range(5)
    )
    masks = owned_masks(Routes(manifest="m", count=CHUNK_COUNT, agents=agents), "d")
    assert sum(masks.values()) == (1 << CHUNK_COUNT) - 1
