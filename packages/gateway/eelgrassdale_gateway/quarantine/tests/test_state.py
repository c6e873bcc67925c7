"""Tests of what one gateway refuses, and of findings of other gateways."""

from random import Random

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale_gateway.quarantine import state as state_module
from eelgrassdale_gateway.quarantine.evidence import CrashReport
from eelgrassdale_gateway.quarantine.history import (
    MAX_REPORTED_PARTS,
    MAX_REPORTS,
    MAX_SOUND_PARTS,
)
from eelgrassdale_gateway.quarantine.state import (
    FIRST_TRIAL_SECONDS,
    MAX_QUARANTINES,
    PromptQuarantine,
    Quarantine,
    SoundAnswer,
)
from eelgrassdale_gateway.shares import GatewayGroup, single_gateway_group


@pytest.fixture
def clock():
    clock = ManualClock()
    clock.advance(seconds=100.0)
    return clock


def make_quarantine(clock, group=single_gateway_group):
    quarantine = PromptQuarantine(clock=clock, gateway_group=group)
    findings = []
    quarantine.subscribe(findings.append)
    return quarantine, findings


def crash(quarantine, clock, *prompts):
    for number, prompt in enumerate(prompts):
        clock.advance(seconds=1.0)
        at = clock.monotonic()
        quarantine.record_crash(f"s-{at}-{number}", frozenset(prompt))


def refuses(quarantine, prompt):
    return quarantine.is_refused(frozenset(prompt))


def test_only_prompts_with_the_part_at_fault_are_refused(clock):
    quarantine, _ = make_quarantine(clock)
    crash(quarantine, clock, "ax", "bx", "cx")
    assert refuses(quarantine, "dx")
    assert not any(refuses(quarantine, prompt) for prompt in ["a", "ab", "c", ""])


def test_sound_answer_ends_the_suspicion_of_a_part_and_is_shared_once(clock):
    quarantine, findings = make_quarantine(clock)
    crash(quarantine, clock, "ax", "bx")
    assert quarantine.is_suspect(frozenset("x"))
    findings.clear()
    quarantine.record_answer(frozenset("x"))
    quarantine.record_answer(frozenset("x"))
    assert not quarantine.is_suspect(frozenset("x"))
    assert [finding.part for finding in findings] == ["x"]


def test_quarantine_is_lifted_when_another_gateway_answered_such_a_prompt(clock):
    """Guards against a false quarantine that never ends, as nothing tests it."""
    quarantine, findings = make_quarantine(clock)
    crash(quarantine, clock, "ax", "bx", "cx")
    quarantine.merge(SoundAnswer(part="x", at=clock.monotonic() - 1.5))
    assert not refuses(quarantine, "dx")
    assert findings[-1].is_active is False


def test_sound_answer_of_one_part_narrows_a_combination(clock):
    quarantine, _ = make_quarantine(clock)
    crash(quarantine, clock, "ax", "ax", "ax")
    assert not refuses(quarantine, "bx")
    quarantine.merge(SoundAnswer(part="a", at=clock.monotonic()))
    assert refuses(quarantine, "bx")
    assert not refuses(quarantine, "a")


def test_one_gateway_lets_one_trial_through(clock):
    """Guards against as many trials as there are gateways."""
    names = [f"g-{number}" for number in range(9)]
    gateways = [
        make_quarantine(
            clock,
            lambda name=name: GatewayGroup(own_name=name, members=frozenset(names)),
        )[0]
        for name in names
    ]
    for quarantine in gateways:
        crash(quarantine, clock, "ax", "bx", "cx")
    clock.advance(seconds=FIRST_TRIAL_SECONDS)
    willing = [q for q in gateways if not refuses(q, "dx")]
    assert len(willing) == 1
    willing[0].record_send(frozenset("dx"))
    assert refuses(willing[0], "dx")
    clock.advance(seconds=FIRST_TRIAL_SECONDS)
    assert refuses(willing[0], "dx")


def test_successful_trial_lifts_the_quarantine_at_all_gateways(clock):
    quarantine, findings = make_quarantine(clock)
    other, _ = make_quarantine(clock)
    crash(quarantine, clock, "ax", "bx", "cx")
    for finding in findings:
        other.merge(finding)
    assert refuses(other, "dx")
    findings.clear()
    clock.advance(seconds=FIRST_TRIAL_SECONDS)
    quarantine.record_send(frozenset("dx"))
    quarantine.record_answer(frozenset("dx"))
    for finding in findings:
        other.merge(finding)
    assert not refuses(quarantine, "dx")
    assert not refuses(other, "dx")


def test_begun_answer_does_not_lift_a_quarantine(clock):
    """Guards against a part that ends servers some events after the first one."""
    quarantine, _ = make_quarantine(clock)
    crash(quarantine, clock, "ax", "bx", "cx")
    quarantine.record_start(frozenset("x"))
    quarantine.merge(SoundAnswer(part="x", at=clock.monotonic(), is_complete=False))
    assert refuses(quarantine, "dx")


def test_several_requests_of_one_server_are_one_crash_report(clock):
    """Guards against reports of one crash that push those of others out."""
    quarantine, _ = make_quarantine(clock)
    for number in range(2 * MAX_REPORTS):
        quarantine.record_crash("s-1", frozenset({"x", f"o-{number}"}))
    assert len(quarantine._history.reports) == 1
    assert not refuses(quarantine, "x")


def test_old_state_does_not_replace_a_newer_one(clock):
    quarantine, findings = make_quarantine(clock)
    crash(quarantine, clock, "ax", "bx", "cx")
    old = findings[-1]
    quarantine.merge(SoundAnswer(part="x", at=clock.monotonic()))
    quarantine.merge(old)
    assert not refuses(quarantine, "dx")


def test_crashes_of_other_gateways_add_up(clock):
    quarantine, findings = make_quarantine(clock)
    for number in range(3):
        report = CrashReport(
            server=f"s-{number}",
            parts=frozenset({"x", str(number)}),
            at=100.0 + number,
        )
        quarantine.merge(report)
        quarantine.merge(report)
    assert refuses(quarantine, "x")
    assert findings == []


def test_state_is_bounded_whatever_callers_send(clock):
    """Guards against memory that grows with the prompts of callers."""
    quarantine, _ = make_quarantine(clock)
    rng = Random(1)
    for number in range(2 * MAX_SOUND_PARTS):
        quarantine.record_answer(frozenset({f"p-{number}"}))
    for number in range(3 * MAX_REPORTS):
        quarantine.record_crash(f"s-{number}", frozenset({f"x-{rng.random()}"}))
    for number in range(2 * MAX_QUARANTINES):
        quarantine.merge(
            Quarantine(
                parts=frozenset({f"q-{number}"}),
                sequence=1,
                is_active=True,
                trial_count=0,
                evidence_at=clock.monotonic(),
                trial_at=clock.monotonic(),
            )
        )
    assert len(quarantine._history.sound_at) == MAX_SOUND_PARTS
    assert len(quarantine._history.reports) == MAX_REPORTS
    large = frozenset(f"y-{number}" for number in range(MAX_REPORTED_PARTS // 2))
    for number in range(4):
        quarantine.record_crash(f"t-{number}", large)
    reported = sum(len(report.parts) for report in quarantine._history.reports.values())
    assert reported <= MAX_REPORTED_PARTS
    assert len(quarantine.states()) == MAX_QUARANTINES


def test_quarantine_without_news_is_forgotten(clock):
    quarantine, _ = make_quarantine(clock)
    crash(quarantine, clock, "ax", "bx", "cx")
    clock.advance(seconds=FIRST_TRIAL_SECONDS + state_module.OVERDUE_SECONDS + 1)
    crash(quarantine, clock, "dy", "ey", "fy")
    assert [sorted(q.parts) for q in quarantine.active()] == [["y"]]
