"""Tests of `eelgrassdale explain`."""

from click.testing import CliRunner

from eelgrassdale_entry.cli import main

LOG_A = """\
1.0 a {"node": "a", "event": "request placed", "request": "r-1", "server": "s-1", \
"timestamp": "2026-01-01T00:00:01Z"}
noise
{"node": "a", "event": "request placed", "request": "r-2", "server": "s-1", \
"timestamp": "2026-01-01T00:00:02Z"}
{"node": "a", "event": "backend server no longer listed", "server": "s-1", \
"timestamp": "2026-01-01T00:00:02Z"}
{"node": "a", "event": "request ended", "request": "r-1", "code": "BACKEND_FAILED", \
"timestamp": "2026-01-01T00:00:03Z"}
"""
LOG_B = """\
{"node": "b", "event": "objects cannot be read; retrying", \
"timestamp": "2026-01-01T00:00:02Z"}
"""


def explain(tmp_path, request_id):
    (tmp_path / "a.log").write_text(LOG_A)
    (tmp_path / "b.log").write_text(LOG_B)
    files = [str(tmp_path / "a.log"), str(tmp_path / "b.log")]
    return CliRunner().invoke(main, ["explain", request_id, *files])


def test_events_of_a_request_are_printed_in_order(tmp_path):
    result = explain(tmp_path, "r-1")
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert "request placed" in lines[0]
    assert "backend server no longer listed" in lines[1]
    assert "code=BACKEND_FAILED" in lines[2]
    assert len(lines) == 3


def test_unknown_request_is_an_error(tmp_path):
    result = explain(tmp_path, "r-9")
    assert result.exit_code == 1
    assert "r-9" in result.output
