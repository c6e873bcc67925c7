"""Tests of the choice of a backend server."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.routing.choice import AgentView, Need, Place, Tier, choose, tier_of

HERE = Place(data_centre="n1", region="n")
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


NEEDS = st.builds(
    Need,
    memory_bytes=st.integers(0, 60),
    model_version=st.sampled_from(["", "m1"]),
    affinity=st.sampled_from(["", "p1", "p2"]),
    avoided=st.frozensets(st.sampled_from(["a0", "a1"])),
    allow_suspect=st.booleans(),
    allow_other_region=st.booleans(),
)


@settings(derandomize=True, max_examples=500)
@given(views=views_strategy(), need=NEEDS, seed=st.integers(0, 99))
def test_choice_can_take_the_request_and_is_nearest(views, need, seed):
    chosen = choose(views=views, place=HERE, need=need, rng=Random(seed))
    able = [
        v
        for v in views
        if v.accepting
        and v.free_slots > 0
        and v.free_bytes >= need.memory_bytes
        and need.model_version in ("", v.model_version)
        and (need.allow_other_region or tier_of(v, HERE) is not Tier.OTHER_REGION)
    ]
    trusted = [v for v in able if not v.suspect and v.name not in need.avoided]
    if chosen is None:
        assert not trusted
        return
    assert chosen in able
    assert need.allow_suspect or not chosen.suspect
    if trusted:
        assert chosen in trusted
        assert tier_of(chosen, HERE) == min(tier_of(v, HERE) for v in trusted)


def test_more_headroom_wins_between_two():
    views = [view("a", slots=1), view("b", slots=7)]
    chosen = {choose(views=views, place=HERE, need=Need(), rng=Random(s)) for s in "ab"}
    assert {v.name for v in chosen} == {"b"}


def test_prefix_holder_keeps_its_prompts_within_the_load_bound():
    views = [view(f"a{n}", running=2) for n in range(4)]
    need = Need(affinity="prefix")
    names = {
        choose(views=views, place=HERE, need=need, rng=Random(s)).name for s in "x"
    }
    holder = names.pop()
    overloaded = [view(v.name, running=8 if v.name == holder else 2) for v in views]
    chosen = choose(views=overloaded, place=HERE, need=need, rng=Random(3))
    assert chosen.name != holder


def test_work_sent_since_the_report_uses_up_headroom():
    views = [view("a", slots=2, pending_slots=2)]
    assert choose(views=views, place=HERE, need=Need(), rng=Random(1)) is None


def test_suspect_gets_no_work_while_another_server_is_busy():
    """Waiting for a trusted server beats a server that may be dead."""
    views = [view("a", suspect=True), view("b", slots=0)]
    assert choose(views=views, place=HERE, need=Need(), rng=Random(1)) is None
