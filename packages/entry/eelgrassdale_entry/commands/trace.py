"""`eelgrassdale trace` replays recorded decisions."""

import sys
from collections.abc import Callable
from pathlib import Path

import click
from expression import Result

from eelgrassdale.admission.replay import replay as replay_admission
from eelgrassdale.results import ResultError
from eelgrassdale.routing.replay import is_routing_trace
from eelgrassdale.routing.replay import replay as replay_routing

EXIT_DIFFERENT = 1
EXIT_MALFORMED = 2


@click.group()
def trace() -> None:
    """Work with recorded traces of decisions."""


@trace.command("replay")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def replay_file(file: Path) -> None:
    """Repeat the decisions in FILE and compare them with the recorded outcomes.

    FILE contains JSON lines, of either routing or admission decisions. The exit
    status is 0 when all outcomes agree, 1 when an outcome differs or an invariant
    is violated, and 2 when the file is not a trace.
    """
    lines = file.read_text().splitlines()
    first = next((line for line in lines if line.strip()), "")
    show = _replay_routing_trace if is_routing_trace(first) else _replay_admission_trace
    sys.exit(show(lines))


def _replay_routing_trace(lines: list[str]) -> int:
    report = _report_or_exit(replay_routing, lines)
    for found in report.differences:
        click.echo(
            f"line {found.line} {found.decision}: recorded {found.expected!r}, "
            f"replayed {found.replayed!r}"
        )
    click.echo(f"{report.decisions} decisions, {len(report.differences)} differ")
    return EXIT_DIFFERENT if report.differences else 0


def _replay_admission_trace(lines: list[str]) -> int:
    report = _report_or_exit(replay_admission, lines)
    found = report.difference
    if found is not None:
        click.echo(
            f"line {found.line} {found.event}: recorded {found.expected}, "
            f"replayed {found.replayed}"
        )
    click.echo(
        f"{report.decisions} decisions, {int(found is not None)} differ, "
        f"{report.violations} violations"
    )
    return EXIT_DIFFERENT if found is not None or report.violations else 0


def _report_or_exit(
    replay: Callable[[list[str]], Result[object, ResultError]], lines: list[str]
):
    result = replay(lines)
    if result.is_ok():
        return result.ok
    error = result.error
    click.echo(f"{int(error.code)} {error.code.name} {error.message}", err=True)
    for problem in error.problems:
        click.echo(f"  {problem}", err=True)
    sys.exit(EXIT_MALFORMED)
