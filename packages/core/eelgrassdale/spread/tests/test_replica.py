"""Tests that a replica only moves to higher, complete generations."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.catalog import DataCentre
from eelgrassdale.catalog.encoding import encode_object
from eelgrassdale.hashing import digest_of
from eelgrassdale.spread.replica import (
    REMOVAL_LIMIT,
    Replica,
    ReplicaState,
    apply_delta,
    delta_between,
    head_digest_of,
)
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.wire import ConfigDelta, ConfigObject

NAMES = ("a", "b", "c", "d")

# What one generation contains: name -> region, which serves as the value.
contents = st.dictionaries(st.sampled_from(NAMES), st.sampled_from(("x", "y")))


def full_delta(generation: int, content: dict[str, str]) -> ConfigDelta:
    """Return the delta of a whole generation."""
    encoded = [encode_object(DataCentre(name=n, region=r)) for n, r in content.items()]
    digests = {obj.name: digest_of(obj.body) for obj in encoded}
    return ConfigDelta(
        base=0,
        generation=generation,
        head_digest=head_digest_of(digests),
        changed=[
            ConfigObject(name=obj.name, digest=digests[obj.name], body=obj.body)
            for obj in encoded
        ],
        removed=[],
    )


def new_replica() -> Replica:
    """Return a replica without a generation."""
    return Replica(monitor=InvariantMonitor(metrics=Metrics()))


def content_of(replica: Replica) -> dict[str, str]:
    """Return name and region of all data centres in force."""
    return {n: dc.region for n, dc in replica.current().data_centres.items()}


def test_lower_and_equal_generations_are_refused():
    replica = new_replica()
    assert replica.apply_if_newer(full_delta(3, {"a": "x"}))
    assert not replica.apply_if_newer(full_delta(2, {"a": "y"}))
    assert not replica.apply_if_newer(full_delta(3, {"a": "x"}))
    assert replica.current().generation == 3


def test_second_content_of_a_generation_is_counted_as_violation():
    monitor = InvariantMonitor(metrics=Metrics())
    replica = Replica(monitor=monitor)
    replica.apply_if_newer(full_delta(3, {"a": "x"}))
    replica.apply_if_newer(full_delta(3, {"a": "y"}))
    assert monitor.count == 1
    assert content_of(replica) == {"a": "x"}


@pytest.mark.parametrize("fault", ["digest", "head", "missing", "not_json"])
def test_damaged_delta_is_refused(fault):
    delta = full_delta(1, {"a": "x", "b": "y"})
    if fault == "digest":
        delta.changed[0].body = delta.changed[1].body
    if fault == "head":
        delta.head_digest = "0" * 32
    if fault == "missing":
        delta.changed.pop()
    if fault == "not_json":
        delta.changed[0].body = b"{"
        delta.changed[0].digest = digest_of(b"{")
    monitor = InvariantMonitor(metrics=Metrics())
    replica = Replica(monitor=monitor)
    assert not replica.apply_if_newer(delta)
    assert replica.current().generation == 0
    # Refused before it could break an invariant here.
    assert monitor.count == 0


def test_delta_carries_changed_objects_only():
    replica = new_replica()
    replica.apply_if_newer(full_delta(1, {"a": "x", "b": "x", "c": "x"}))
    replica.apply_if_newer(full_delta(2, {"a": "x", "b": "y"}))
    delta = replica.delta_since(1)
    assert [obj.name for obj in delta.changed] == ["data-centres/b"]
    assert delta.removed == ["data-centres/c"]


def test_forgotten_removals_lead_to_full_deltas():
    many = {f"n{i}": "x" for i in range(REMOVAL_LIMIT + 1)}
    state = apply_delta(ReplicaState(), full_delta(1, many))
    state = apply_delta(state, full_delta(2, {"a": "x"}))
    assert not state.removed_at
    assert delta_between(state, 1).base == 0


def test_callbacks_see_every_generation_in_order():
    replica, seen = new_replica(), []
    replica.subscribe(lambda cfg: seen.append(cfg.generation))
    for generation in (1, 3, 2, 4):
        replica.apply_if_newer(full_delta(generation, {"a": "x"}))
    assert seen == [1, 3, 4]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(data=st.data(), history=st.lists(contents, min_size=1, max_size=6))
def test_random_exchange_never_reverts_and_converges(data, history):
    """Guards against mixed generations after skipped, stale and repeated deltas."""
    replicas = [new_replica() for _ in range(3)]
    sent: list[ConfigDelta] = []
    for _ in range(data.draw(st.integers(1, 25))):
        target = replicas[data.draw(st.integers(0, 2))]
        action = data.draw(st.sampled_from(("store", "peer", "replay")))
        delta = None
        if action == "store":
            index = data.draw(st.integers(0, len(history) - 1))
            delta = full_delta(index + 1, history[index])
        elif action == "peer":
            peer = replicas[data.draw(st.integers(0, 2))]
            delta = peer.delta_since(data.draw(st.integers(0, len(history))))
        elif sent:
            delta = sent[data.draw(st.integers(0, len(sent) - 1))]
        if delta is None:
            continue
        sent.append(delta)
        before = target.current().generation
        target.apply_if_newer(delta)
        after = target.current().generation
        assert after >= before
        if after:
            assert content_of(target) == history[after - 1]
    best = max(replicas, key=lambda replica: replica.current().generation)
    for replica in replicas:
        full = best.delta_since(0)
        if full is not None:
            replica.apply_if_newer(full)
        assert replica.current() == best.current()


def test_object_that_changed_back_in_a_skipped_generation_needs_all_objects():
    """Guards against mixed content at a peer of a generation the sender skipped."""
    ours, theirs = new_replica(), new_replica()
    ours.apply_if_newer(full_delta(1, {"a": "x"}))
    ours.apply_if_newer(full_delta(3, {"a": "x", "b": "x"}))
    theirs.apply_if_newer(full_delta(2, {"a": "y"}))
    assert not theirs.apply_if_newer(ours.delta_since(2))
    assert theirs.apply_if_newer(ours.delta_since(0))
    assert content_of(theirs) == {"a": "x", "b": "x"}


def test_states_are_immutable():
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        ReplicaState().head_digest = "x"
