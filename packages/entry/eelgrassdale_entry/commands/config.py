"""`eelgrassdale config`: check, print, compare, apply and follow a configuration."""

import json
import sys
from pathlib import Path

import click

from eelgrassdale.catalog import objects_of
from eelgrassdale.clock import SystemClock
from eelgrassdale.platform.vmlist import VmListClient
from eelgrassdale_entry.commands.common import (
    EXIT_INCOMPLETE,
    expect_generation_option,
    no_wait_option,
    open_store,
    store_option,
    timeout_option,
    value_or_exit,
    vm_list_option,
)
from eelgrassdale_operators import (
    AppliedChange,
    InForceReport,
    apply_configuration,
    diff_configurations,
    in_force_report,
    load_configuration,
    print_configuration,
    read_statuses,
    read_stored,
    wait_in_force,
)

DEFAULT_TIMEOUT_SECONDS = 30.0

path_argument = click.argument(
    "path", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


@click.group()
def config() -> None:
    """Check, print, compare, apply and follow a configuration."""


@config.command()
@path_argument
def check(path: Path) -> None:
    """Check a configuration file and name all of its problems."""
    configuration = value_or_exit(load_configuration(path))
    click.echo(f"{path.name}: valid, {len(objects_of(configuration))} objects")


@config.command("print")
@path_argument
def print_(path: Path) -> None:
    """Print the configuration that a file defines."""
    click.echo(print_configuration(value_or_exit(load_configuration(path))))


@config.command()
@path_argument
@store_option
def diff(path: Path, object_api_url: str) -> None:
    """Print what `apply` would change."""
    proposed = value_or_exit(load_configuration(path))
    current = value_or_exit(read_stored(open_store(object_api_url))).configuration
    text = diff_configurations(current, proposed)
    click.echo(text or f"no change to generation {current.generation}")


@config.command()
@path_argument
@store_option
@vm_list_option
@expect_generation_option
@no_wait_option
@timeout_option(
    default=DEFAULT_TIMEOUT_SECONDS,
    text="How long to wait until the generation is in force everywhere.",
)
def apply(
    path: Path,
    object_api_url: str,
    vm_list_url: str,
    expect_generation: int | None,
    no_wait: bool,
    timeout_seconds: float,
) -> None:
    """Apply a configuration and wait until it is in force everywhere."""
    proposed = value_or_exit(load_configuration(path))
    applied = value_or_exit(
        apply_configuration(
            open_store(object_api_url), proposed, expected_generation=expect_generation
        )
    )
    _echo_applied(applied)
    if not no_wait:
        addresses = read_addresses(vm_list_url)
        report = wait_in_force(
            applied.generation,
            addresses,
            clock=SystemClock(),
            timeout_seconds=timeout_seconds,
        )
        echo_report(report)


@config.command()
@store_option
@vm_list_option
def status(object_api_url: str, vm_list_url: str) -> None:
    """Report where the accepted generation is in force."""
    stored = value_or_exit(read_stored(open_store(object_api_url)))
    generation = stored.configuration.generation
    statuses = read_statuses(read_addresses(vm_list_url))
    echo_report(in_force_report(generation, statuses))


def read_addresses(vm_list_url: str) -> dict[str, str]:
    """Return the node address of each VM in the VM list, or exit."""
    entries = value_or_exit(VmListClient(url=vm_list_url).read()).entries
    return {name: entry.node_address for name, entry in entries.items()}


def echo_report(report: InForceReport) -> None:
    """Print where a generation is in force; exit with status 3 if not everywhere."""
    click.echo(
        json.dumps(
            {
                "generation": report.generation,
                "in_force": len(report.in_force),
                "behind": dict(report.behind),
                "unreachable": list(report.unreachable),
            }
        )
    )
    if not report.is_complete:
        sys.exit(EXIT_INCOMPLETE)


def _echo_applied(applied: AppliedChange) -> None:
    if not applied.changed:
        click.echo(f"no change, generation {applied.generation} is accepted")
        return
    click.echo(applied.diff)
    click.echo(f"accepted as generation {applied.generation}")
