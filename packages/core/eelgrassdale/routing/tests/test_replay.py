"""Tests of the replay of routing traces."""

from pathlib import Path

from eelgrassdale.results import ResultCode
from eelgrassdale.routing.replay import DECISIONS, is_routing_trace, replay

TRACE = Path(__file__).with_name("routing_trace.jsonl")


def test_replayed_decisions_match_their_recorded_outcomes():
    report = replay(TRACE.read_text().splitlines()).ok
    assert report.differences == ()
    assert report.decisions >= len(DECISIONS)


def test_changed_outcome_is_reported_with_its_line():
    lines = TRACE.read_text().splitlines()
    changed = lines[0].replace('"outcome": "near"', '"outcome": "far"')
    difference = replay([changed, *lines[1:]]).ok.differences[0]
    assert (difference.line, difference.replayed) == (1, "near")


def test_line_with_unknown_decision_is_an_error():
    error = replay(['{"decision": "guess", "inputs": {}, "outcome": 1}']).error
    assert error.code is ResultCode.INVALID_REQUEST


def test_admission_trace_is_not_a_routing_trace():
    assert not is_routing_trace('{"event": "Start"}')
