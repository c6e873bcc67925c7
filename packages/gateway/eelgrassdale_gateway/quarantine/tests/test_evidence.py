"""Tests of the decision which parts of prompts are at fault for crashes."""

from eelgrassdale_gateway.quarantine.evidence import (
    MAX_CRASHES,
    MIN_CRASHES,
    SAME_MOMENT_SECONDS,
    SOUND_BEFORE_SECONDS,
    CrashReport,
    counted_crashes,
    parts_at_fault,
    unexplained_ends,
)


def reports(*crashes, spacing_seconds=1.0):
    return [
        CrashReport(
            server=f"s-{number}", parts=frozenset(parts), at=number * spacing_seconds
        )
        for number, parts in enumerate(crashes)
    ]


def fault_of(crashes, *, sound_at=(), begun_at=(), known=(), spacing_seconds=1.0):
    listed = reports(*crashes, spacing_seconds=spacing_seconds)
    return parts_at_fault(
        counted_crashes(listed, sound_at=dict(sound_at), known=known),
        ends=unexplained_ends(listed, known=known),
        begun_at=dict(begun_at),
        known=known,
    )


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


def test_servers_that_end_at_one_moment_are_one_crash():
    """Guards against a new prompt that is refused as a data centre loses power."""
    spacing_seconds = SAME_MOMENT_SECONDS / 20
    assert fault_of(["ax"] * 10, spacing_seconds=spacing_seconds) == frozenset()


def test_part_needs_more_crashes_where_servers_end_without_it():
    """Guards against a rare sound prompt that meets servers that go down by turns."""
    crashes = ["a", "x", "b", "c", "x", "d", "x"]
    assert fault_of(crashes) == frozenset()
    assert fault_of([*crashes, "x", "x"]) == {"x"}


def test_part_with_which_answers_begin_needs_the_most_crashes():
    """Guards against a common prompt that is refused as all servers fail in turn."""
    assert fault_of("x" * (MAX_CRASHES - 1), begun_at={"x": 1.0}) == frozenset()
    assert fault_of("x" * MAX_CRASHES, begun_at={"x": 1.0}) == {"x"}
