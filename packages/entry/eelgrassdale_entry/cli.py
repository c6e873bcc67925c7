"""The `eelgrassdale` command."""

import click

from eelgrassdale import __version__
from eelgrassdale_entry.commands.config import config
from eelgrassdale_entry.commands.explain import explain
from eelgrassdale_entry.commands.model import model
from eelgrassdale_entry.commands.serve import serve
from eelgrassdale_entry.commands.trace import trace


@click.group()
@click.version_option(__version__, prog_name="eelgrassdale")
def main() -> None:
    """Run an entry node or operate a deployment of eelgrassdale.

    Shell completion: put `eval "$(_EELGRASSDALE_COMPLETE=bash_source
    eelgrassdale)"` into ~/.bashrc; for zsh use `zsh_source` and ~/.zshrc.
    """


main.add_command(config)
main.add_command(explain)
main.add_command(model)
main.add_command(serve)
main.add_command(trace)


if __name__ == "__main__":
    main()
