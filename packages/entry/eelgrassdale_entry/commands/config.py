"""`eelgrassdale config`: check, print, compare and apply a configuration."""

import sys
from pathlib import Path

import click

from eelgrassdale.catalog import Configuration, objects_of
from eelgrassdale.results import ResultError
from eelgrassdale_operators import load_configuration, print_configuration

EXIT_INVALID = 2


@click.group()
def config() -> None:
    """Check, print, compare and apply a configuration."""


@config.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(path: Path) -> None:
    """Check a configuration file and name all of its problems."""
    configuration = load_or_exit(path)
    click.echo(f"{path.name}: valid, {_count(configuration)} objects")


@config.command("print")
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def print_(path: Path) -> None:
    """Print the configuration that a file defines."""
    click.echo(print_configuration(load_or_exit(path)))


def load_or_exit(path: Path) -> Configuration:
    """Return the configuration of a file, or exit with status 2."""
    loaded = load_configuration(path)
    if loaded.is_error():
        report(loaded.error)
        sys.exit(EXIT_INVALID)
    return loaded.ok


def report(error: ResultError) -> None:
    """Write a result code and its problems to standard error."""
    click.echo(f"error {int(error.code)} {error.code.name}: {error.message}", err=True)
    for problem in error.problems:
        click.echo(f"  {problem}", err=True)


def _count(configuration: Configuration) -> int:
    return len(objects_of(configuration))
