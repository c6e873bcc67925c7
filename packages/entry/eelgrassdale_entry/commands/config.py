"""`eelgrassdale config`: check, print, compare, apply and follow a configuration."""

import json
import sys
from pathlib import Path
from typing import NoReturn

import click

from eelgrassdale.catalog import Configuration, objects_of
from eelgrassdale.clock import SystemClock
from eelgrassdale.platform.objects import ObjectStore
from eelgrassdale.platform.vmlist import VmListClient
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.telemetry import Metrics
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

EXIT_INVALID = 2
EXIT_FAILED = 1
EXIT_NOT_IN_FORCE = 3
WAIT_SECONDS = 30.0

path_argument = click.argument(
    "path", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
store_option = click.option(
    "--object-api-url",
    envvar="EELGRASSDALE_OBJECT_API_URL",
    required=True,
    help="Base URL of the object API.",
)
vm_list_option = click.option(
    "--vm-list-url",
    envvar="EELGRASSDALE_VM_LIST_URL",
    required=True,
    help="Base URL of the VM list.",
)


@click.group()
def config() -> None:
    """Check, print, compare, apply and follow a configuration."""


@config.command()
@path_argument
def check(path: Path) -> None:
    """Check a configuration file and name all of its problems."""
    configuration = load_or_exit(path)
    click.echo(f"{path.name}: valid, {len(objects_of(configuration))} objects")


@config.command("print")
@path_argument
def print_(path: Path) -> None:
    """Print the configuration that a file defines."""
    click.echo(print_configuration(load_or_exit(path)))


@config.command()
@path_argument
@store_option
def diff(path: Path, object_api_url: str) -> None:
    """Print what `apply` would change."""
    proposed = load_or_exit(path)
    stored = read_stored(open_store(object_api_url))
    if stored.is_error():
        fail(stored.error)
    text = diff_configurations(stored.ok.configuration, proposed)
    click.echo(text or f"no change to generation {stored.ok.configuration.generation}")


@config.command()
@path_argument
@store_option
@vm_list_option
@click.option(
    "--expect-generation",
    type=click.IntRange(min=0),
    help="Refuse the change unless this generation is in force.",
)
@click.option("--no-wait", is_flag=True, help="Return once the change is accepted.")
@click.option(
    "--timeout-seconds",
    type=click.FloatRange(min=0),
    default=WAIT_SECONDS,
    show_default=True,
    help="How long to wait until the generation is in force everywhere.",
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
    proposed = load_or_exit(path)
    applied = apply_configuration(
        open_store(object_api_url), proposed, expected_generation=expect_generation
    )
    if applied.is_error():
        fail(applied.error)
    _echo_applied(applied.ok)
    if not no_wait:
        addresses = read_addresses(vm_list_url)
        report = wait_in_force(
            applied.ok.generation,
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
    stored = read_stored(open_store(object_api_url))
    if stored.is_error():
        fail(stored.error)
    generation = stored.ok.configuration.generation
    statuses = read_statuses(read_addresses(vm_list_url))
    echo_report(in_force_report(generation, statuses))


def load_or_exit(path: Path) -> Configuration:
    """Return the configuration of a file, or exit with status 2."""
    loaded = load_configuration(path)
    if loaded.is_error():
        fail(loaded.error)
    return loaded.ok


def open_store(url: str) -> ObjectStore:
    """Return a client of the object API for one command."""
    return ObjectStore(url=url, metrics=Metrics())


def read_addresses(vm_list_url: str) -> dict[str, str]:
    """Return the node address of each VM in the VM list, or exit."""
    read = VmListClient(url=vm_list_url).read()
    if read.is_error():
        fail(read.error)
    return {name: entry.node_address for name, entry in read.ok.entries.items()}


def fail(error: ResultError) -> NoReturn:
    """Write a result code and its problems to standard error and exit."""
    message = error.as_json()["message"]
    click.echo(f"error {int(error.code)} {error.code.name}: {message}", err=True)
    for problem in error.problems:
        click.echo(f"  {problem.field}: got {problem.value}", err=True)
        click.echo(f"    allowed: {problem.allowed}", err=True)
    invalid = error.code is ResultCode.CONFIGURATION_INVALID
    sys.exit(EXIT_INVALID if invalid else EXIT_FAILED)


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
        sys.exit(EXIT_NOT_IN_FORCE)


def _echo_applied(applied: AppliedChange) -> None:
    if not applied.changed:
        click.echo(f"no change, generation {applied.generation} is accepted")
        return
    click.echo(applied.diff)
    click.echo(f"accepted as generation {applied.generation}")
