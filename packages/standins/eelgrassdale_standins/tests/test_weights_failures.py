"""Pushes of model versions while the object API, an agent or a VM fails."""

import time

import attrs
import pytest

from eelgrassdale_standins.commands import OBJECT_API, backend_name
from eelgrassdale_standins.control import get_counts, set_faults
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.topology import (
    LID_ASSISTANT,
    PORT_OF_SPAIN,
    SAN_FERNANDO,
    AgentSpec,
    ModelSpec,
    Topology,
    small_topology,
)

CHUNK_BYTES = 16 * 1024
MODEL_BYTES = 48 * CHUNK_BYTES
LINK_BYTES_PER_SECOND = 2 * MODEL_BYTES  # a push takes about a second
PUSH_TIMEOUT_SECONDS = 40.0
FAULT_DELAY_SECONDS = 0.4
FROZEN_SECONDS = 2.0
VERSIONS = ("lid-1", "lid-2", "lid-3", "lid-4")
MODELS = tuple(
    ModelSpec(version=version, size_bytes=MODEL_BYTES, chunk_bytes=CHUNK_BYTES)
    for version in VERSIONS
)
AGENTS = tuple(
    AgentSpec(name=f"lid-{n}", data_centre=place, service=LID_ASSISTANT)
    for n, place in enumerate((PORT_OF_SPAIN, PORT_OF_SPAIN, SAN_FERNANDO))
)


def topology() -> Topology:
    """Return three agents of one model service on rate-limited links."""
    base = small_topology(models=MODELS)
    # All may load at once, since an agent without traffic stays cold for seconds.
    services = (attrs.evolve(base.service(LID_ASSISTANT), max_loading=len(AGENTS)),)
    return attrs.evolve(
        base,
        agents=AGENTS,
        services=services,
        link_bytes_per_second=LINK_BYTES_PER_SECOND,
        agent_options=("--origin-region", "north"),
        backend_options={
            LID_ASSISTANT: ("--cold-seconds", 0.1, "--load-seconds", 0.05)
        },
    )


@pytest.fixture(scope="module")
def running_deployment():
    """Run one deployment for the tests of this module, which push in order."""
    with Deployment(topology()) as deployment:
        yield deployment


def push_version(running_deployment: Deployment, version: str) -> int:
    """Point the service at a version and return the generation."""
    model = next(model for model in MODELS if model.version == version)
    service = running_deployment.configuration.current().services[LID_ASSISTANT]
    return running_deployment.configuration.put(
        model.catalog_object(), attrs.evolve(service, model_version=version)
    )


def wait_for_version(
    running_deployment: Deployment, version: str, agents=AGENTS
) -> None:
    """Wait until the agents have loaded a version from its complete weights."""
    wait_until(
        lambda: all(
            has_loaded(running_deployment, agent.name, version) for agent in agents
        ),
        timeout_seconds=PUSH_TIMEOUT_SECONDS,
        description=f"{version} on all agents",
    )
    complete_weights = next(
        model for model in MODELS if model.version == version
    ).weights()
    for agent in agents:
        counts = get_counts(running_deployment.addresses.backend[agent.name])
        assert counts["loaded_weights"] == complete_weights.loaded_digest
    assert running_deployment.violations() == 0


def has_loaded(running_deployment: Deployment, name: str, version: str) -> bool:
    """Return whether an agent reports a version as loaded by its engine."""
    status = running_deployment.statuses().get(name)
    if status is None:
        return False
    state = status.facts["load_state"]
    return state in ("cold", "ready") and status.facts["model_version"] == version


def test_push_ends_while_the_object_api_is_down(running_deployment):
    """The outage begins once all nodes have the generation, before any chunk."""
    running_deployment.wait_for_generation(push_version(running_deployment, "lid-2"))
    set_faults(running_deployment.addresses.platform[OBJECT_API], outage=True)
    try:
        wait_for_version(running_deployment, "lid-2")
    finally:
        set_faults(running_deployment.addresses.platform[OBJECT_API], outage=False)


def test_agent_frozen_during_push_catches_up(running_deployment):
    push_version(running_deployment, "lid-3")
    time.sleep(FAULT_DELAY_SECONDS)
    running_deployment.processes["lid-0"].freeze()
    try:
        time.sleep(FROZEN_SECONDS)
    finally:
        running_deployment.processes["lid-0"].resume()
    wait_for_version(running_deployment, "lid-3")


def test_vm_that_restarts_empty_during_push_gets_the_version(running_deployment):
    push_version(running_deployment, "lid-4")
    time.sleep(FAULT_DELAY_SECONDS)
    for name in ("lid-1", backend_name("lid-1")):
        running_deployment.processes[name].kill()
    running_deployment.start_backend("lid-1", is_loaded=False)
    running_deployment.start_node("lid-1")
    wait_for_version(running_deployment, "lid-4")
