"""`eelgrassdale model`: push a model version and follow its distribution."""

import json
import sys
from collections.abc import Callable, Mapping

import click
from attrs import evolve
from expression import Error, Ok, Result
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from eelgrassdale.catalog import (
    Configuration,
    ModelVersion,
    ServiceKind,
    validate_configuration,
)
from eelgrassdale.clock import SystemClock
from eelgrassdale.platform.vmlist import VmListClient
from eelgrassdale.platform.weightsource import WeightSourceClient
from eelgrassdale.results import Problem, ResultCode, ResultError
from eelgrassdale.weights import Manifest, parse_manifest
from eelgrassdale_entry.commands.common import (
    EXIT_INCOMPLETE,
    expect_generation_option,
    no_wait_option,
    open_store,
    store_option,
    timeout_option,
    value_or_exit,
    vm_list_option,
)
from eelgrassdale_entry.commands.model_progress import PushProgress, push_progress
from eelgrassdale_operators import apply_configuration, read_statuses, read_stored

POLL_INTERVAL_SECONDS = 1.0
DEFAULT_TIMEOUT_SECONDS = 1800.0


@click.group()
def model() -> None:
    """Push a model version and follow its distribution."""


@model.command()
@click.argument("name")
@click.option("--service", required=True, help="Model service that is to serve NAME.")
@click.option(
    "--weight-source",
    "weight_sources",
    envvar="EELGRASSDALE_WEIGHT_SOURCE",
    multiple=True,
    required=True,
    help="URL of a weight source, the preferred first; may be repeated.",
)
@click.option(
    "--priority",
    type=click.IntRange(0, 100),
    default=1,
    show_default=True,
    help="Priority on shared links among pushed models.",
)
@expect_generation_option
@no_wait_option
@timeout_option(
    default=DEFAULT_TIMEOUT_SECONDS,
    text="How long to wait until all replicas have the version.",
)
@store_option
@vm_list_option
def push(
    name: str,
    service: str,
    weight_sources: tuple[str, ...],
    priority: int,
    expect_generation: int | None,
    no_wait: bool,
    timeout_seconds: float,
    object_api_url: str,
    vm_list_url: str,
) -> None:
    """Make SERVICE serve model version NAME and show the progress of its replicas."""
    manifest = value_or_exit(read_manifest(name, weight_sources))
    store = open_store(object_api_url)
    stored = value_or_exit(read_stored(store)).configuration
    if expect_generation is None:
        expect_generation = stored.generation
    proposed = value_or_exit(with_pushed_version(stored, service, manifest, priority))
    addresses = agent_addresses(stored, service, vm_list_url)
    progress_before = push_progress(name, read_statuses(addresses))
    applied = value_or_exit(
        apply_configuration(store, proposed, expected_generation=expect_generation)
    )
    click.echo(f"accepted as generation {applied.generation}", err=True)
    if not no_wait:
        follow_progress(
            lambda: push_progress(name, read_statuses(addresses)).relative_to(
                progress_before
            ),
            timeout_seconds,
        )


@model.command()
@click.option("--service", help="Only this service.")
@store_option
@vm_list_option
def status(service: str | None, object_api_url: str, vm_list_url: str) -> None:
    """Report how many replicas have loaded the configured model versions."""
    store = open_store(object_api_url)
    stored = value_or_exit(read_stored(store)).configuration
    complete = True
    for name, version in sorted(model_services(stored, service).items()):
        addresses = agent_addresses(stored, name, vm_list_url)
        progress = push_progress(version, read_statuses(addresses))
        click.echo(json.dumps({"service": name, **progress.as_json()}))
        complete = complete and progress.is_complete
    if not complete:
        sys.exit(EXIT_INCOMPLETE)


def read_manifest(
    name: str, weight_sources: tuple[str, ...]
) -> Result[Manifest, ResultError]:
    """Return the manifest of a version from the first source that returns one."""
    result: Result = Error(ResultError(code=ResultCode.SOURCE_UNAVAILABLE))
    for url in weight_sources:
        source = WeightSourceClient(url=url)
        result = source.manifest(name).bind(parse_manifest)
        source.close()
        if result.is_ok():
            break
    return result


def with_pushed_version(
    stored: Configuration, service: str, manifest: Manifest, priority: int
) -> Result[Configuration, ResultError]:
    """Return the configuration in which a service uses the version of a manifest.

    A version name that already belongs to other weights is refused, since engines
    and callers distinguish model versions by name.
    """
    found = stored.services.get(service)
    if found is None or found.kind is not ServiceKind.MODEL:
        names = sorted(model_services(stored, None)) or "none is configured"
        return _invalid("service", service, f"a model service: {names}")
    existing_version = stored.model_versions.get(manifest.version)
    if existing_version is not None and existing_version.manifest != manifest.digest:
        return _invalid(
            "name",
            manifest.version,
            f"a new name; this one belongs to the manifest {existing_version.manifest}",
        )
    version = ModelVersion(
        name=manifest.version,
        manifest=manifest.digest,
        size_bytes=manifest.size_bytes,
        priority=priority,
    )
    proposed = evolve(
        stored,
        model_versions={**stored.model_versions, version.name: version},
        services={
            **stored.services,
            service: evolve(found, model_version=version.name),
        },
    )
    problems = tuple(validate_configuration(proposed))
    if problems:
        return Error(
            ResultError(code=ResultCode.CONFIGURATION_INVALID, problems=problems)
        )
    return Ok(proposed)


def model_services(cfg: Configuration, only_service: str | None) -> dict[str, str]:
    """Return the model version by name of model service.

    `only_service` limits the result to one service.
    """
    return {
        name: service.model_version
        for name, service in cfg.services.items()
        if service.kind is ServiceKind.MODEL and only_service in (None, name)
    }


def agent_addresses(
    cfg: Configuration, service: str, vm_list_url: str
) -> Mapping[str, str]:
    """Return the node addresses of the agents of a service, or exit.

    An agent that is missing from the VM list gets the unusable address
    `0.0.0.0:0`, so that it is reported as out of reach.
    """
    entries = value_or_exit(VmListClient(url=vm_list_url).read()).entries
    return {
        vm.name: entries[vm.name].node_address if vm.name in entries else "0.0.0.0:0"
        for vm in cfg.backend_servers_of(service)
    }


def follow_progress(read: Callable[[], PushProgress], timeout_seconds: float) -> None:
    """Show progress until the push is complete; exit with status 3 on timeout."""
    show = _show_bar if sys.stdout.isatty() else _show_lines
    if not show(read, timeout_seconds):
        sys.exit(EXIT_INCOMPLETE)


def _show_lines(read: Callable[[], PushProgress], timeout_seconds: float) -> bool:
    clock = SystemClock()
    deadline = clock.monotonic() + timeout_seconds
    while True:
        progress = read()
        click.echo(json.dumps(progress.as_json()))
        if progress.is_complete or clock.monotonic() >= deadline:
            return progress.is_complete
        clock.sleep(POLL_INTERVAL_SECONDS)


def _show_bar(read: Callable[[], PushProgress], timeout_seconds: float) -> bool:
    clock = SystemClock()
    deadline = clock.monotonic() + timeout_seconds
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.percentage:>3.0f}%"),
        TimeElapsedColumn(),
        TextColumn("{task.fields[detail]}"),
    )
    with Progress(*columns, console=Console()) as bar:
        task = bar.add_task("weights", total=1.0, detail="")
        while True:
            progress = read()
            bar.update(task, completed=progress.held, detail=progress_detail(progress))
            if progress.is_complete or clock.monotonic() >= deadline:
                return progress.is_complete
            clock.sleep(POLL_INTERVAL_SECONDS)


def progress_detail(progress: PushProgress) -> str:
    """Return one line with replicas, transferred bytes and the slowest agents."""
    transferred = f"origin {progress.origin_bytes / 1e6:.1f} MB, between regions "
    transferred += f"{progress.region_bytes / 1e6:.1f} MB"
    slowest = ", ".join(f"{one.agent} ({one.reason})" for one in progress.slowest)
    text = f"{progress.ready}/{progress.replicas} replicas, {transferred}"
    return f"{text}, slowest: {slowest}" if slowest else text


def _invalid(field: str, value: str, allowed: str) -> Result:
    problem = Problem(field=field, value=value, allowed=allowed)
    return Error(
        ResultError(code=ResultCode.CONFIGURATION_INVALID, problems=(problem,))
    )
