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
    "--link-bytes-per-second",
    default="125000000",
    help="Bandwidth of the VM's network link, in bytes per second.",
)
@click.option("--origin-region", default="", help="Region of the weight sources.")
@click.option(
    "--region-bytes-per-second",
    default="1500000",
    help="Bandwidth for weights between regions, in bytes per second.",
)
@click.option(
    "--chunk-memory-bytes",
    default="67108864",
    help="Memory for chunks cached for peers.",
)
@click.option(
    "--buffer-bytes",
    default="33554432",
    help="Memory for answers buffered for readers.",
)
@click.option(
    "--key-bytes",
    default="67108864",
    help="Memory for answers retained by idempotency key.",
)
@click.option(
    "--max-keys", default="10000", help="Largest number of idempotency keys stored."
)
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
    help="Time after SIGTERM during which a non-idempotent service answers keys.",
)
@click.option(
    "--trace-admissions",
    is_flag=True,
    help="Write each admission decision to standard output as JSON.",
)
def main(**options: object) -> None:
    """Run the agent of one backend server."""
    run(settings_or_exit(AgentSettings, **options))
