"""`eelgrassdale serve` runs an entry node."""

from collections.abc import Callable

import click

from eelgrassdale.settings import node_options, settings_or_exit
from eelgrassdale_entry.settings import OPTIONS, EntrySettings


def _entry_options(command: Callable) -> Callable:
    for name, default, text in reversed(OPTIONS):
        command = click.option(name, default=default, show_default=True, help=text)(
            command
        )
    return command


@click.command(context_settings={"auto_envvar_prefix": "EELGRASSDALE"})
@node_options
@_entry_options
@click.option(
    "--operator-token",
    "operator_tokens",
    multiple=True,
    help="Bearer token of the administration API; may be repeated.",
)
def serve(**values: object) -> None:
    """Run an entry node until SIGTERM, which stops it gracefully.

    Every option has an environment variable, such as EELGRASSDALE_NAME.
    All invalid settings are reported together with exit status 2 before any
    socket opens.
    """
    cfg = settings_or_exit(EntrySettings, **values)
    # The program loads CherryPy, which other commands do not need.
    from eelgrassdale_entry.program import run

    run(cfg)
