"""Tests that all invalid settings are reported together."""

import click
import pytest
from click.testing import CliRunner

from eelgrassdale.settings import (
    NodeSettings,
    build_settings,
    node_options,
    settings_or_exit,
)

VALID = {
    "name": "e1",
    "data_centre": "n-1",
    "region": "n",
    "node_address": "127.0.0.1:7000",
    "object_api_url": "http://127.0.0.1:1",
    "vm_list_url": "http://127.0.0.1:2",
}


@click.command(context_settings={"auto_envvar_prefix": "EELGRASSDALE"})
@node_options
def show(**values):
    """Print the name, the peers and the probe limit."""
    cfg = settings_or_exit(NodeSettings, **values)
    click.echo(f"{cfg.name} {cfg.peer} {cfg.probe_limit}")


def arguments(**changes: str) -> list[str]:
    """Return command line arguments of valid settings with some changes."""
    merged = {**VALID, **changes}
    return [
        part
        for name, value in merged.items()
        for part in (f"--{name.replace('_', '-')}", value)
    ]


def test_valid_settings_are_built():
    assert build_settings(NodeSettings, **VALID).ok.probe_limit == 32


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("name", " "),
        ("node_address", "127.0.0.1:99999"),
        ("object_api_url", "ftp://x"),
        ("peer", ("127.0.0.1",)),
        ("probe_limit", "many"),
        ("statsd_address", "x"),
        ("log_format", "xml"),
        ("log_level", "loud"),
    ],
)
def test_invalid_value_names_its_field(name, value):
    error = build_settings(NodeSettings, **{**VALID, name: value}).error
    assert [problem.field for problem in error.problems] == [name]


def test_command_reports_every_problem_and_exits_with_2():
    result = CliRunner().invoke(show, arguments(node_address="x", log_level="loud"))
    assert result.exit_code == 2
    assert "node_address" in result.output
    assert "log_level" in result.output


def test_missing_settings_are_all_reported():
    result = CliRunner().invoke(show, [])
    assert result.exit_code == 2
    assert all(name in result.output for name in VALID)


def test_options_are_read_from_the_environment():
    env = {
        f"EELGRASSDALE_{name.upper()}": value
        for name, value in {**VALID, "peer": "a:1 b:2"}.items()
    }
    result = CliRunner().invoke(show, [], env=env)
    assert result.output == "e1 ('a:1', 'b:2') 32\n"
