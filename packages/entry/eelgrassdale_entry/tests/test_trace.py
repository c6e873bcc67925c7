"""Tests of `eelgrassdale trace replay`."""

import json

from click.testing import CliRunner

from eelgrassdale_entry.cli import main

RECORD = {"decision": "keyed_code", "inputs": {"code": 110}, "outcome": 204}


def replay(tmp_path, *lines: str):
    """Run the command over a file of lines."""
    file = tmp_path / "trace.jsonl"
    file.write_text("\n".join(lines))
    return CliRunner().invoke(main, ["trace", "replay", str(file)])


def test_agreeing_trace_exits_with_zero(tmp_path):
    result = replay(tmp_path, json.dumps(RECORD))
    assert (result.exit_code, result.output) == (0, "1 decisions, 0 differ\n")


def test_differing_outcome_is_named(tmp_path):
    result = replay(tmp_path, json.dumps({**RECORD, "outcome": 110}))
    assert result.exit_code == 1
    assert "line 1 keyed_code: recorded 110, replayed 204" in result.output


def test_file_that_is_no_trace_is_malformed(tmp_path):
    assert replay(tmp_path, "not json").exit_code == 2
