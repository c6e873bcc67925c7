"""Tests of the loading order and of the next step of an agent."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.weights.loading import (
    LoadState,
    LoadStep,
    ReplicaView,
    is_non_disruptive,
    is_ready_on,
    load_order,
    may_load,
    next_step,
    predecessors,
)

S = LoadState
STEPS = 400


def view(state: LoadState, version: str, *, alive: bool = True) -> ReplicaView:
    """Return the view of a backend server."""
    return ReplicaView(is_alive=alive, load_state=state, model_version=version)


@given(st.integers(1, 10), st.integers(1, 4), st.integers(0, 9999), st.booleans())
@settings(derandomize=True, max_examples=60)
def test_loads_stay_within_the_limit_and_all_complete(size, limit, seed, with_deaths):
    rng = random.Random(seed)
    names = [f"vm-{n}" for n in range(size)]
    order = load_order("lids", names)
    views = {name: view(S.WAITING, "old") for name in names}
    for step in range(STEPS):
        name = rng.choice(names)
        state, alive = views[name].load_state, views[name].is_alive
        if with_deaths and step < 20 and rng.random() < 0.05:
            views[name] = view(S.EMPTY, "", alive=False)
        elif not alive:
            continue
        elif state is S.WAITING:
            chain = predecessors(order, name, limit)
            if may_load(chain, views, "new").is_ok():
                views[name] = view(S.LOADING, "old")
        elif state is S.LOADING:
            views[name] = view(S.COLD, "new")
        else:
            views[name] = view(S.READY, "new")
        disrupted = [v for v in views.values() if v.load_state in (S.LOADING, S.COLD)]
        assert len(disrupted) <= limit
    assert all(is_ready_on(one, "new") for one in views.values() if one.is_alive)


def test_predecessor_ready_on_the_old_version_blocks_the_load():
    views = {"a": view(S.READY, "old")}
    assert may_load(["a"], views, "new").error == "a"


def test_first_deployment_disrupts_nobody():
    views = {"a": view(S.FETCHING, ""), "b": view(S.READY, "new")}
    assert is_non_disruptive("", views, "new")


def test_load_waits_while_another_server_serves_the_old_version():
    assert not is_non_disruptive("", {"a": view(S.READY, "old")}, "new")


def test_serving_agent_never_loads_out_of_order():
    assert not is_non_disruptive("old", {}, "new")


def step_of(**changes) -> LoadStep:
    """Return the next step for an engine on another version, with changed inputs."""
    fields = {
        "manifest": "d2",
        "model_version": "new",
        "engine_manifest": "d1",
        "engine_version": "old",
        "read_seconds_ago": 0.0,
        "generation": 5,
        "highest_fencing": 5,
    }
    return next_step(**{**fields, **changes})


def test_engine_on_other_version_is_ordered_to_load():
    assert step_of() is LoadStep.ORDER


def test_engine_that_has_the_version_is_adopted():
    assert step_of(engine_version="new", engine_manifest="d2") is LoadStep.ADOPT


def test_same_name_with_other_weights_is_not_adopted():
    assert step_of(engine_version="new", engine_manifest="d1") is LoadStep.ORDER


def test_state_read_before_a_pause_is_read_again():
    assert step_of(read_seconds_ago=30.0) is LoadStep.READ_STATE


def test_older_generation_gives_no_order():
    assert step_of(generation=4) is LoadStep.AWAIT_GENERATION
