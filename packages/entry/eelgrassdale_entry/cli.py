"""The `eelgrassdale` command."""

import click

from eelgrassdale import __version__


@click.group()
@click.version_option(__version__, prog_name="eelgrassdale")
def main() -> None:
    """Run an entry node or operate a deployment of eelgrassdale."""


if __name__ == "__main__":
    main()
