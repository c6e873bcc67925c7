"""Command line of the agent."""

import click

from eelgrassdale.settings import node_options, settings_or_exit
from eelgrassdale_agent.program import run
from eelgrassdale_agent.settings import AgentSettings


@click.command(
    context_settings={"auto_envvar_prefix": "EELGRASSDALE_AGENT", "show_default": True}
)
@node_options
@click.option("--backend-url", default="", help="URL of the engine or service.")
@click.option(
    "--weight-source",
    "weight_sources",
    multiple=True,
    help="URL of a weight source, the preferred first; may be repeated.",
)
@click.option(
    "--link-bytes-per-second", default="125000000", help="Rate of the VM's link."
)
@click.option("--origin-region", default="", help="Region of the weight sources.")
@click.option(
    "--region-bytes-per-second",
    default="1500000",
    help="Rate of weights on the link between regions.",
)
@click.option(
    "--chunk-memory-bytes", default="67108864", help="Bound of chunks held for peers."
)
@click.option(
    "--buffer-bytes", default="33554432", help="Bound of answers held for readers."
)
@click.option("--key-bytes", default="67108864", help="Bound of answers kept by key.")
@click.option("--max-keys", default="10000", help="Bound of remembered keys.")
@click.option(
    "--slow-reader-seconds",
    default="5",
    help="Wait for a slow reader before its engine stream is cancelled.",
)
@click.option(
    "--drain-seconds", default="35", help="Longest wait for requests at SIGTERM."
)
@click.option(
    "--linger-seconds",
    default="65",
    help="Time that keys of a non-idempotent service are answered after SIGTERM.",
)
@click.option(
    "--trace-admissions",
    is_flag=True,
    help="Write each admission decision to standard output as JSON.",
)
def main(**options: object) -> None:
    """Run the agent of one backend server."""
    run(settings_or_exit(AgentSettings, **options))
