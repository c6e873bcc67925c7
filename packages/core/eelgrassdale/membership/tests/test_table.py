"""Tests of the members as one node knows them."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.clock import ManualClock
from eelgrassdale.membership.members import MemberState
from eelgrassdale.membership.table import DEAD_DIGEST_LIMIT, HINT_SECONDS, MembersTable
from eelgrassdale.telemetry import InvariantMonitor, Metrics


def vm_list_body(version: int, names=("a1",), state="live") -> bytes:
    """Return a VM list of backend servers."""
    vms = [
        {
            "name": name,
            "role": "backend",
            "data_centre": "n-1",
            "region": "n",
            "node_address": "127.0.0.1:1",
            "caller_address": "",
            "state": state,
        }
        for name in names
    ]
    return json.dumps({"version": version, "vms": vms}).encode()


class Rig:
    """A table that knows the agent `a1`, its clock and its monitor."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.monitor = InvariantMonitor(metrics=Metrics())
        self.table = MembersTable(clock=self.clock, monitor=self.monitor)
        self.table.offer_vm_list(vm_list_body(1))

    def state(self) -> MemberState:
        """Return the state of `a1`."""
        return self.table.current().by_name["a1"].state


@pytest.fixture
def rig():
    return Rig()


def test_failure_makes_suspect_and_an_answer_alive_at_once(rig):
    rig.table.report("a1", False)
    assert rig.state() is MemberState.SUSPECT
    rig.table.heard("a1", incarnation=5)
    assert rig.state() is MemberState.ALIVE


def test_dead_needs_a_failed_indirect_probe(rig):
    rig.table.failed("a1")
    rig.table.failed("a1")
    assert rig.state() is MemberState.SUSPECT
    rig.table.probed_indirectly("a1", incarnation=0, started_at=0.0)
    assert rig.state() is MemberState.DEAD


def test_member_that_others_reach_stays_suspect(rig):
    rig.table.failed("a1")
    rig.table.probed_indirectly("a1", incarnation=9, started_at=0.0)
    assert rig.state() is MemberState.SUSPECT


def test_answer_during_the_indirect_probe_outweighs_it(rig):
    rig.table.failed("a1")
    rig.clock.advance(seconds=1)
    rig.table.heard("a1", incarnation=5)
    rig.table.failed("a1")
    rig.table.probed_indirectly("a1", incarnation=0, started_at=0.5)
    assert rig.state() is MemberState.SUSPECT


def test_message_of_an_earlier_life_is_ignored(rig):
    rig.table.heard("a1", incarnation=5)
    rig.table.failed("a1")
    rig.table.heard("a1", incarnation=4)
    assert rig.state() is MemberState.SUSPECT


def test_leaving_member_stays_leaving_when_it_calls(rig):
    """Its comparisons made a leaving node alive again."""
    rig.table.heard("a1", incarnation=5, leaving=True)
    rig.table.heard("a1", incarnation=5)
    assert rig.state() is MemberState.LEAVING
    rig.table.heard("a1", incarnation=6)
    assert rig.state() is MemberState.ALIVE


def test_list_marks_a_member_leaving(rig):
    rig.table.offer_vm_list(vm_list_body(2, state="leaving"))
    assert rig.state() is MemberState.LEAVING


def test_older_list_is_refused(rig):
    rig.table.offer_vm_list(vm_list_body(3, names=("a1", "a2")))
    assert not rig.table.offer_vm_list(vm_list_body(2))
    assert set(rig.table.current().by_name) == {"a1", "a2"}


def test_hint_expires(rig):
    rig.table.take_dead_digest(["a1@0"])
    assert rig.state() is MemberState.DEAD
    rig.clock.advance(seconds=HINT_SECONDS)
    rig.table.expire_hints()
    assert rig.state() is MemberState.ALIVE


def test_hint_about_an_earlier_life_has_no_effect(rig):
    rig.table.heard("a1", incarnation=8)
    rig.clock.advance(seconds=60)
    rig.table.take_dead_digest(["a1@7"])
    assert rig.state() is MemberState.ALIVE


def test_hint_does_not_outweigh_recent_contact(rig):
    rig.table.heard("a1", incarnation=8)
    rig.table.take_dead_digest(["a1@8"])
    assert rig.state() is MemberState.ALIVE


def test_hints_are_not_passed_on(rig):
    """Two nodes could otherwise keep each other's verdict alive for ever."""
    rig.table.take_dead_digest(["a1@0"])
    assert rig.table.dead_digest() == []


def test_unreadable_digest_entries_are_ignored(rig):
    rig.table.take_dead_digest(["a1", "@", "a1@x", "unknown@3"])
    assert rig.state() is MemberState.ALIVE


def test_dead_digest_is_bounded(rig):
    names = [f"m{i}" for i in range(DEAD_DIGEST_LIMIT + 10)]
    rig.table.offer_vm_list(vm_list_body(2, names=names))
    for name in names:
        rig.table.failed(name)
        rig.table.probed_indirectly(name, incarnation=0, started_at=0.0)
    assert len(rig.table.dead_digest()) == DEAD_DIGEST_LIMIT


def test_unknown_names_take_no_memory(rig):
    rig.table.failed("unknown")
    assert rig.table.unreachable() == ()


events = st.one_of(
    st.tuples(st.just("heard"), st.integers(0, 5), st.sampled_from((None, True))),
    st.tuples(st.just("failed")),
    st.tuples(st.just("indirect"), st.sampled_from((0, 3)), st.integers(0, 30)),
    st.tuples(st.just("hint"), st.integers(0, 5)),
    st.tuples(st.just("advance"), st.integers(1, 20)),
    st.tuples(st.just("expire")),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(run=st.lists(events, max_size=40))
def test_random_events_keep_the_rules(run):
    """Guards against a stale message that revives or kills a member."""
    rig = Rig()
    for event in run:
        before, health = rig.state(), rig.table.health("a1")
        _apply(rig, event)
        after = rig.table.health("a1")
        assert after.incarnation >= health.incarnation
        is_first_hand_dead = after.state is MemberState.DEAD
        if is_first_hand_dead and health.state is not MemberState.DEAD:
            assert event[0] == "indirect"
        if event[0] == "heard" and event[1] >= health.incarnation:
            assert rig.state() in (MemberState.ALIVE, MemberState.LEAVING)
        elif event[0] == "heard":
            assert rig.state() is before
    assert rig.monitor.count == 0


def _apply(rig: Rig, event: tuple) -> None:
    match event:
        case ("heard", incarnation, leaving):
            rig.table.heard("a1", incarnation=incarnation, leaving=leaving)
        case ("failed",):
            rig.table.failed("a1")
        case ("indirect", incarnation, started_at):
            rig.table.probed_indirectly(
                "a1", incarnation=incarnation, started_at=float(started_at)
            )
        case ("hint", incarnation):
            rig.table.take_dead_digest([f"a1@{incarnation}"])
        case ("advance", seconds):
            rig.clock.advance(seconds=seconds)
        case ("expire",):
            rig.table.expire_hints()
