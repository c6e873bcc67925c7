"""Tests of `eelgrassdale config` without a platform."""

from click.testing import CliRunner

from eelgrassdale_entry.cli import main

VALID = """
from eelgrassdale_operators import DataCentre

objects = [DataCentre(name="xela", region="occidente")]
"""
INVALID = """
from eelgrassdale_operators import ClientAccount, Vm

objects = [
    ClientAccount(name="anna", weight=0),
    Vm(name="vm-1", data_centre="xela", service="drafting"),
]
"""


def run(tmp_path, text, *arguments):
    """Write a file and run `eelgrassdale config` with it."""
    path = tmp_path / "objects.py"
    path.write_text(text)
    command, *options = arguments
    return CliRunner().invoke(main, ["config", command, str(path), *options])


def test_valid_file_is_accepted(tmp_path):
    result = run(tmp_path, VALID, "check")
    assert (result.exit_code, result.stdout) == (0, "objects.py: valid, 1 objects\n")


def test_every_problem_of_a_file_is_named(tmp_path):
    result = run(tmp_path, INVALID, "check")
    assert result.exit_code == 2
    for field in ("accounts/anna.weight", "vms/vm-1.data_centre", "vms/vm-1.service"):
        assert field in result.stderr


def test_unreachable_object_api_is_not_a_success(tmp_path):
    result = run(tmp_path, VALID, "diff", "--object-api-url", "http://127.0.0.1:1")
    assert result.exit_code == 1
    assert "403 STORE_UNAVAILABLE" in result.stderr


def test_command_without_its_object_api_is_refused(tmp_path):
    result = run(tmp_path, VALID, "diff")
    assert result.exit_code == 2
    assert "--object-api-url" in result.stderr
