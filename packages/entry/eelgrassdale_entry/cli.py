"""The `eelgrassdale` command."""

import click

from eelgrassdale import __version__
from eelgrassdale_entry.commands.config import config


@click.group()
@click.version_option(__version__, prog_name="eelgrassdale")
def main() -> None:
    """Run an entry node or operate a deployment of eelgrassdale."""


main.add_command(config)


if __name__ == "__main__":
    main()
