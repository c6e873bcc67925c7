"""Tests of the conditional update of `head` against a store with faults."""

from expression import Error, Ok, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.hashing import digest_of
from eelgrassdale.platform.objects import ObjectValue
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.spread.head import (
    HEAD_NAME,
    OBJECT_PREFIX,
    VersionedHead,
    commit_change,
    decode_head,
    fetch_delta,
    read_head,
)
from eelgrassdale.spread.replica import ReplicaState, apply_delta

BODY = b'{"name":"a","region":"x","state":"in_service"}'
UNAVAILABLE = ResultError(code=ResultCode.STORE_UNAVAILABLE)
CONFLICT = ResultError(code=ResultCode.CONFIGURATION_CONFLICT)


class FaultyStore:
    """In-memory object API that injects the given faults, one per call.

    A fault is `ok`, `down` (no effect), `lost` (effect without an answer),
    `late` (effect at a later call, without an answer), `stale` (a read answers
    the version before) or `race` (another operator changes `head` first).
    """

    def __init__(self, faults=()):
        self.versions: dict[str, list[bytes]] = {}
        self.delayed_writes: list[tuple] = []
        self.faults = list(faults)
        self.race_count = 0

    def get(self, name: str) -> Result[ObjectValue | None, ResultError]:
        fault = self._next_fault()
        if fault in ("down", "lost", "late"):
            return Error(UNAVAILABLE)
        versions = self.versions.get(name, [])
        count = len(versions)
        if fault == "stale" and count > 1:
            count -= 1
        if not count:
            return Ok(None)
        return Ok(ObjectValue(name=name, version=count, body=versions[count - 1]))

    def put(self, name: str, body: bytes, *, expected_version: int | None):
        fault = self._next_fault()
        if fault == "down":
            return Error(UNAVAILABLE)
        if fault == "late":
            self.delayed_writes.append((name, body, expected_version))
            return Error(UNAVAILABLE)
        if fault == "race" and name == HEAD_NAME:
            self._commit_as_other_operator()
        outcome = self._write(name, body, expected_version)
        return Error(UNAVAILABLE) if fault == "lost" else outcome

    def accepted(self) -> list[str]:
        """Return the operation of every version of `head`, oldest first."""
        heads = self.versions.get(HEAD_NAME, [])
        return [decode_head(body).ok.operations[-1] for body in heads]

    def _write(self, name, body, expected_version):
        versions = self.versions.setdefault(name, [])
        if (expected_version or 0) != len(versions):
            return Error(CONFLICT)
        versions.append(body)
        return Ok(len(versions))

    def _next_fault(self) -> str:
        delayed, self.delayed_writes = self.delayed_writes, []
        for call in delayed:
            self._write(*call)
        return self.faults.pop(0) if self.faults else "ok"

    def _commit_as_other_operator(self):
        self.race_count += 1
        rest, self.faults = self.faults, []
        base = read_head(self).ok
        commit_change(self, base=base, bodies={}, operation=f"race-{self.race_count}")
        self.faults = rest


def test_change_is_accepted_and_read_back():
    store = FaultyStore()
    head = commit_change(
        store, base=VersionedHead(), bodies={"data-centres/a": BODY}, operation="op"
    ).ok
    assert read_head(store).ok.head == head
    assert head.generation == 1


def test_objects_are_written_before_head():
    store = FaultyStore(["down"] * 10)
    result = commit_change(
        store, base=VersionedHead(), bodies={"data-centres/a": BODY}, operation="op"
    )
    assert result.error.code is ResultCode.STORE_UNAVAILABLE
    assert HEAD_NAME not in store.versions


def test_lost_answer_is_resolved_by_the_operation_id():
    store = FaultyStore(["lost"])
    assert commit_change(store, base=VersionedHead(), bodies={}, operation="op").is_ok()
    assert store.accepted() == ["op"]


def test_lost_answer_followed_by_another_change_is_still_found():
    """Guards against a false conflict from reading back only the newest id."""
    store = FaultyStore(["lost", "down", "race"])
    result = commit_change(store, base=VersionedHead(), bodies={}, operation="op")
    assert result.is_ok()
    assert store.accepted() == ["op", "race-1"]


def test_lost_race_is_a_conflict():
    store = FaultyStore(["race"])
    result = commit_change(store, base=VersionedHead(), bodies={}, operation="op")
    assert result.error.code is ResultCode.CONFIGURATION_CONFLICT
    assert store.accepted() == ["race-1"]


def test_head_with_a_missing_object_is_rejected():
    store = FaultyStore()
    bodies = {"data-centres/a": BODY}
    head = commit_change(store, base=VersionedHead(), bodies=bodies, operation="op").ok
    del store.versions[OBJECT_PREFIX + digest_of(BODY)]
    assert fetch_delta(store, head, ReplicaState()).is_error()


def test_head_with_a_wrong_object_is_rejected():
    store = FaultyStore()
    bodies = {"data-centres/a": BODY}
    head = commit_change(store, base=VersionedHead(), bodies=bodies, operation="op").ok
    store.versions[OBJECT_PREFIX + digest_of(BODY)] = [b"{}"]
    assert fetch_delta(store, head, ReplicaState()).is_error()


def test_only_changed_objects_are_read():
    store = FaultyStore()
    bodies = {"data-centres/a": BODY}
    head = commit_change(store, base=VersionedHead(), bodies=bodies, operation="op").ok
    state = apply_delta(ReplicaState(), fetch_delta(store, head, ReplicaState()).ok)
    store.versions.clear()
    assert fetch_delta(store, head, state).ok.changed == []


faults = st.lists(
    st.sampled_from(("ok", "down", "lost", "late", "stale", "race")), max_size=12
)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(runs=st.lists(faults, min_size=1, max_size=5))
def test_accepted_operations_take_effect_exactly_once(runs):
    """Guards against a reported outcome that the store contradicts."""
    store = FaultyStore()
    outcomes = {}
    for number, run in enumerate(runs):
        base = read_head(store).ok
        store.faults = list(run)
        operation = f"op-{number}"
        bodies = {"data-centres/a": BODY} if number % 2 else {}
        outcomes[operation] = commit_change(
            store, base=base, bodies=bodies, operation=operation
        )
        store.faults = []
    read_head(store)
    accepted = store.accepted()
    generations = [decode_head(b).ok.generation for b in store.versions.get("head", [])]
    assert generations == list(range(1, len(generations) + 1))
    for operation, outcome in outcomes.items():
        if outcome.is_ok():
            assert accepted.count(operation) == 1
        elif outcome.error.code is ResultCode.CONFIGURATION_CONFLICT:
            assert operation not in accepted
        else:
            assert accepted.count(operation) <= 1
