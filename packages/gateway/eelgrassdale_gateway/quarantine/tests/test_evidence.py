"""Tests of the decision which parts of prompts are at fault for crashes."""

from eelgrassdale_gateway.quarantine.evidence import (
    MIN_CRASHES,
    SOUND_BEFORE_SECONDS,
    CrashReport,
    counted_crashes,
    parts_at_fault,
)


def reports(*crashes, spacing_seconds=1.0):
    return [
        CrashReport(
            server=f"s-{number}", parts=frozenset(parts), at=number * spacing_seconds
        )
        for number, parts in enumerate(crashes)
    ]


def fault_of(crashes, *, sound_at=(), known=()):
    counted = counted_crashes(reports(*crashes), sound_at=dict(sound_at), known=known)
    return parts_at_fault(counted, known=known)


def test_part_that_all_crashes_share_is_at_fault():
    assert fault_of(["ax", "bx", "cx"]) == {"x"}


def test_fewer_crashes_than_the_minimum_are_coincidence():
    assert fault_of(["ax"] * (MIN_CRASHES - 1)) == frozenset()


def test_several_requests_at_one_server_are_one_crash():
    crashes = [
        CrashReport(server="s-1", parts=frozenset({"x", other}), at=1.0)
        for other in "abcd"
    ]
    assert parts_at_fault(counted_crashes(crashes, sound_at={})) == frozenset()


def test_parts_that_cannot_be_told_apart_are_at_fault_only_together():
    """Guards against refusing sound prompts that share one part with deadly ones."""
    assert fault_of(["ax", "ax", "ax"]) == {"a", "x"}


def test_part_that_was_answered_shortly_before_the_crashes_is_not_at_fault():
    """Guards against a common part that is refused as many servers fail at once."""
    crashes = ["ax", "ax", "ax"]
    assert fault_of(crashes, sound_at={"a": 2.0}) == {"x"}
    assert fault_of(crashes, sound_at={"x": 2.0 - SOUND_BEFORE_SECONDS}) == {"a"}


def test_crash_that_a_known_part_explains_does_not_count_against_others():
    assert fault_of(["ax"] * 5, known=[frozenset("x")]) == frozenset()


def test_further_crash_narrows_a_combination():
    """Guards against a deadly part that goes on with other parts beside it."""
    known = [frozenset("ax")]
    assert fault_of(["ax", "ax", "ax", "bx"], known=known) == {"x"}


def test_two_deadly_parts_are_found_one_after_the_other():
    crashes = ["ax", "by", "cx", "dy", "ex", "fy", "gx"]
    assert fault_of(crashes) == {"x"}
    assert fault_of(crashes, known=[frozenset("x")]) == {"y"}
