"""Tests of the membership table of one node."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.clock import ManualClock
from eelgrassdale.membership.members import MemberState
from eelgrassdale.membership.table import (
    DEAD_DIGEST_LIMIT,
    HINT_LIFETIME_SECONDS,
    RECENT_CONTACT_SECONDS,
    MembershipTable,
)
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


class Harness:
    """A table that knows the agent `a1`, its clock and its monitor."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.monitor = InvariantMonitor(metrics=Metrics())
        self.table = MembershipTable(clock=self.clock, monitor=self.monitor)
        self.table.apply_vm_list(vm_list_body(1))

    def state(self) -> MemberState:
        """Return the state of `a1`."""
        return self.table.current().by_name["a1"].state


@pytest.fixture
def harness():
    return Harness()


def test_failure_makes_suspect_and_an_answer_alive_at_once(harness):
    harness.table.report_reachability("a1", False)
    assert harness.state() is MemberState.SUSPECT
    harness.table.record_contact("a1", incarnation=5)
    assert harness.state() is MemberState.ALIVE


def test_dead_needs_a_failed_indirect_probe(harness):
    harness.table.record_failure("a1")
    harness.table.record_failure("a1")
    assert harness.state() is MemberState.SUSPECT
    harness.table.record_indirect_probe("a1", incarnation=0, started_at=0.0)
    assert harness.state() is MemberState.DEAD


def test_member_that_others_reach_stays_suspect(harness):
    harness.table.record_failure("a1")
    harness.table.record_indirect_probe("a1", incarnation=9, started_at=0.0)
    assert harness.state() is MemberState.SUSPECT


def test_answer_during_the_indirect_probe_outweighs_it(harness):
    harness.table.record_failure("a1")
    harness.clock.advance(seconds=1)
    harness.table.record_contact("a1", incarnation=5)
    harness.table.record_failure("a1")
    harness.table.record_indirect_probe("a1", incarnation=0, started_at=0.5)
    assert harness.state() is MemberState.SUSPECT


def test_message_of_an_earlier_incarnation_is_ignored(harness):
    harness.table.record_contact("a1", incarnation=5)
    harness.table.record_failure("a1")
    harness.table.record_contact("a1", incarnation=4)
    assert harness.state() is MemberState.SUSPECT


def test_leaving_member_stays_leaving_when_it_calls(harness):
    """Guards against calls without a leaving flag making the node alive again."""
    harness.table.record_contact("a1", incarnation=5, leaving=True)
    harness.table.record_contact("a1", incarnation=5)
    assert harness.state() is MemberState.LEAVING
    harness.table.record_contact("a1", incarnation=6)
    assert harness.state() is MemberState.ALIVE


def test_list_marks_a_member_leaving(harness):
    harness.table.apply_vm_list(vm_list_body(2, state="leaving"))
    assert harness.state() is MemberState.LEAVING


def test_older_list_is_refused(harness):
    harness.table.apply_vm_list(vm_list_body(3, names=("a1", "a2")))
    assert not harness.table.apply_vm_list(vm_list_body(2))
    assert set(harness.table.current().by_name) == {"a1", "a2"}


def test_hint_expires(harness):
    harness.table.apply_dead_digest(["a1@0"])
    assert harness.state() is MemberState.DEAD
    harness.clock.advance(seconds=HINT_LIFETIME_SECONDS)
    harness.table.expire_hints()
    assert harness.state() is MemberState.ALIVE


def test_hint_about_an_earlier_incarnation_has_no_effect(harness):
    harness.table.record_contact("a1", incarnation=8)
    harness.clock.advance(seconds=60)
    harness.table.apply_dead_digest(["a1@7"])
    assert harness.state() is MemberState.ALIVE


def test_hint_does_not_outweigh_recent_contact(harness):
    harness.table.record_contact("a1", incarnation=8)
    harness.table.apply_dead_digest(["a1@8"])
    assert harness.state() is MemberState.ALIVE


def test_overruled_hint_has_no_effect_later(harness):
    """Guards against an outdated message that makes a live member DEAD.

    A hint that recent contact had overruled took effect at the next event, once
    that contact was no longer recent.
    """
    harness.table.record_contact("a1", incarnation=1)
    harness.table.apply_dead_digest(["a1@1"])
    harness.clock.advance(seconds=RECENT_CONTACT_SECONDS)
    harness.table.record_contact("a1", incarnation=0)
    assert harness.state() is MemberState.ALIVE


def test_repeated_hint_takes_effect_without_recent_contact(harness):
    harness.table.record_contact("a1", incarnation=1)
    harness.table.apply_dead_digest(["a1@1"])
    harness.clock.advance(seconds=RECENT_CONTACT_SECONDS)
    harness.table.apply_dead_digest(["a1@1"])
    assert harness.state() is MemberState.DEAD


def test_hints_are_not_passed_on(harness):
    """Guards against two nodes that renew each other's verdict for ever."""
    harness.table.apply_dead_digest(["a1@0"])
    assert harness.table.dead_digest() == []


def test_unreadable_digest_entries_are_ignored(harness):
    harness.table.apply_dead_digest(["a1", "@", "a1@x", "unknown@3"])
    assert harness.state() is MemberState.ALIVE


def test_dead_digest_is_bounded(harness):
    names = [f"m{i}" for i in range(DEAD_DIGEST_LIMIT + 10)]
    harness.table.apply_vm_list(vm_list_body(2, names=names))
    for name in names:
        harness.table.record_failure(name)
        harness.table.record_indirect_probe(name, incarnation=0, started_at=0.0)
    assert len(harness.table.dead_digest()) == DEAD_DIGEST_LIMIT


def test_unknown_names_take_no_memory(harness):
    harness.table.record_failure("unknown")
    assert harness.table.unreachable() == ()


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
def test_random_events_preserve_invariants(run):
    """Guards against a stale message that makes a member alive or dead."""
    harness = Harness()
    for event in run:
        before, health = harness.state(), harness.table.health("a1")
        _apply(harness, event)
        after = harness.table.health("a1")
        assert after.incarnation >= health.incarnation
        is_first_hand_dead = after.state is MemberState.DEAD
        if is_first_hand_dead and health.state is not MemberState.DEAD:
            assert event[0] == "indirect"
        if event[0] == "heard" and event[1] >= health.incarnation:
            assert harness.state() in (MemberState.ALIVE, MemberState.LEAVING)
        elif event[0] == "heard":
            assert harness.state() is before
    assert harness.monitor.count == 0


def _apply(harness: Harness, event: tuple) -> None:
    match event:
        case ("heard", incarnation, leaving):
            harness.table.record_contact("a1", incarnation=incarnation, leaving=leaving)
        case ("failed",):
            harness.table.record_failure("a1")
        case ("indirect", incarnation, started_at):
            harness.table.record_indirect_probe(
                "a1", incarnation=incarnation, started_at=float(started_at)
            )
        case ("hint", incarnation):
            harness.table.apply_dead_digest([f"a1@{incarnation}"])
        case ("advance", seconds):
            harness.clock.advance(seconds=seconds)
        case ("expire",):
            harness.table.expire_hints()
