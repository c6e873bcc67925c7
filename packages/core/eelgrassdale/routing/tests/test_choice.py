"""Tests of the selection of a backend server."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.routing.choice import (
    AgentView,
    Location,
    RequestRequirements,
    Tier,
    choose_server,
    tier_of,
)

ENTRY_NODE_LOCATION = Location(data_centre="n1", region="n")
DATA_CENTRES = st.sampled_from(["n1", "n2", "s1"])


def view(name, **changes) -> AgentView:
    """Return a view of a free backend server in the own data centre."""
    fields = {
        "data_centre": "n1",
        "region": "n",
        "slots": 4,
        "limit": 8,
        "memory_bytes": 1000,
        **changes,
    }
    return AgentView(name=name, **fields)


@st.composite
def views_strategy(draw):
    """Draw up to eight views with distinct names."""
    found = []
    for number in range(draw(st.integers(0, 8))):
        data_centre = draw(DATA_CENTRES)
        found.append(
            view(
                f"a{number}",
                data_centre=data_centre,
                region=data_centre[0],
                slots=draw(st.integers(0, 3)),
                pending_slots=draw(st.integers(0, 3)),
                memory_bytes=draw(st.integers(0, 100)),
                running=draw(st.integers(0, 8)),
                accepting=draw(st.booleans()),
                suspect=draw(st.booleans()),
                model_version=draw(st.sampled_from(["", "m1", "m2"])),
            )
        )
    return found


REQUIREMENTS = st.builds(
    RequestRequirements,
    memory_bytes=st.integers(0, 60),
    model_version=st.sampled_from(["", "m1"]),
    affinity=st.sampled_from(["", "p1", "p2"]),
    avoided=st.frozensets(st.sampled_from(["a0", "a1"])),
    allow_suspect=st.booleans(),
    allow_other_region=st.booleans(),
)


@settings(derandomize=True, max_examples=500)
@given(views=views_strategy(), requirements=REQUIREMENTS, seed=st.integers(0, 99))
def test_chosen_server_is_eligible_and_in_the_nearest_tier(views, requirements, seed):
    chosen = choose_server(
        views=views,
        location=ENTRY_NODE_LOCATION,
        requirements=requirements,
        rng=Random(seed),
    )
    eligible = [
        v
        for v in views
        if v.accepting
        and v.free_slots > 0
        and v.free_bytes >= requirements.memory_bytes
        and requirements.model_version in ("", v.model_version)
        and (
            requirements.allow_other_region
            or tier_of(v, ENTRY_NODE_LOCATION) is not Tier.OTHER_REGION
        )
    ]
    preferred = [
        v for v in eligible if not v.suspect and v.name not in requirements.avoided
    ]
    if chosen is None:
        assert not preferred
        return
    assert chosen in eligible
    assert requirements.allow_suspect or not chosen.suspect
    if preferred:
        assert chosen in preferred
        assert tier_of(chosen, ENTRY_NODE_LOCATION) == min(
            tier_of(v, ENTRY_NODE_LOCATION) for v in preferred
        )


def test_server_with_more_headroom_is_chosen_of_two():
    views = [view("a", slots=1), view("b", slots=7)]
    chosen = {
        choose_server(
            views=views,
            location=ENTRY_NODE_LOCATION,
            requirements=RequestRequirements(),
            rng=Random(s),
        )
        for s in "ab"
    }
    assert {v.name for v in chosen} == {"b"}


def test_prefix_holder_is_preferred_only_within_the_load_bound():
    views = [view(f"a{n}", running=2) for n in range(4)]
    requirements = RequestRequirements(affinity="prefix")
    names = {
        choose_server(
            views=views,
            location=ENTRY_NODE_LOCATION,
            requirements=requirements,
            rng=Random(s),
        ).name
        for s in "x"
    }
    holder = names.pop()
    overloaded = [view(v.name, running=8 if v.name == holder else 2) for v in views]
    chosen = choose_server(
        views=overloaded,
        location=ENTRY_NODE_LOCATION,
        requirements=requirements,
        rng=Random(3),
    )
    assert chosen.name != holder


def test_requests_sent_since_the_report_reduce_headroom():
    views = [view("a", slots=2, pending_slots=2)]
    assert (
        choose_server(
            views=views,
            location=ENTRY_NODE_LOCATION,
            requirements=RequestRequirements(),
            rng=Random(1),
        )
        is None
    )


def test_suspect_is_not_chosen_while_another_server_is_busy():
    """A request waits for a busy server, since the suspect one may be dead."""
    views = [view("a", suspect=True), view("b", slots=0)]
    assert (
        choose_server(
            views=views,
            location=ENTRY_NODE_LOCATION,
            requirements=RequestRequirements(),
            rng=Random(1),
        )
        is None
    )
