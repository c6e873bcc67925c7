"""Options, exit codes and error output that several subcommands share."""

import sys
from collections.abc import Callable
from typing import NoReturn

import click
from expression import Result

from eelgrassdale.platform.objects import ObjectStore
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.telemetry import Metrics

EXIT_FAILED = 1
EXIT_INVALID = 2
# The change was accepted but is not in force everywhere yet, or a push is
# incomplete.
EXIT_INCOMPLETE = 3

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
expect_generation_option = click.option(
    "--expect-generation",
    type=click.IntRange(min=0),
    help="Refuse the change unless this generation is in force.",
)
no_wait_option = click.option(
    "--no-wait", is_flag=True, help="Return once the change is accepted."
)


def timeout_option(*, default: float, text: str) -> Callable:
    """Return the `--timeout-seconds` option with its help text."""
    return click.option(
        "--timeout-seconds",
        type=click.FloatRange(min=0),
        default=default,
        show_default=True,
        help=text,
    )


def open_store(url: str) -> ObjectStore:
    """Return a client of the object API for one command."""
    return ObjectStore(url=url, metrics=Metrics())


def value_or_exit(result: Result):
    """Return the value of a result, or print its error and exit.

    The exit status is 2 for an invalid configuration, else 1.
    """
    return result.ok if result.is_ok() else _exit_with_error(result.error)


def _exit_with_error(error: ResultError) -> NoReturn:
    message = error.as_json()["message"]
    click.echo(f"error {int(error.code)} {error.code.name}: {message}", err=True)
    for problem in error.problems:
        click.echo(f"  {problem.field}: got {problem.value}", err=True)
        click.echo(f"    allowed: {problem.allowed}", err=True)
    invalid = error.code is ResultCode.CONFIGURATION_INVALID
    sys.exit(EXIT_INVALID if invalid else EXIT_FAILED)
