"""Pushes of model versions to real agents while things fail."""

import time

import attrs
import pytest

from eelgrassdale_standins.commands import OBJECT_API, backend_name
from eelgrassdale_standins.control import counts_of, set_faults
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.topology import (
    LID_ASSISTANT,
    PORT_OF_SPAIN,
    SAN_FERNANDO,
    AgentSpec,
    ModelSpec,
    Topology,
    small,
)

CHUNK_BYTES = 16 * 1024
MODEL_BYTES = 48 * CHUNK_BYTES
LINK_RATE = 2 * MODEL_BYTES  # a push takes about a second
PUSH_LIMIT_SECONDS = 40.0
MID_PUSH_SECONDS = 0.4
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
    """Return three agents of one model service on paced links."""
    base = small(models=MODELS)
    # All may load at once: an agent without traffic counts as cold for seconds.
    services = (attrs.evolve(base.service(LID_ASSISTANT), max_loading=len(AGENTS)),)
    return attrs.evolve(
        base,
        agents=AGENTS,
        services=services,
        link_bytes_per_second=LINK_RATE,
        agent_options=("--origin-region", "north"),
        backend_options={
            LID_ASSISTANT: ("--cold-seconds", 0.1, "--load-seconds", 0.05)
        },
    )


@pytest.fixture(scope="module")
def fleet():
    """Run one deployment for the pushes of this module, in their order."""
    with Deployment(topology()) as deployment:
        yield deployment


def push(fleet: Deployment, version: str) -> int:
    """Point the service at a version and return the generation."""
    model = next(model for model in MODELS if model.version == version)
    service = fleet.configuration.current().services[LID_ASSISTANT]
    return fleet.configuration.put(
        model.catalog_object(), attrs.evolve(service, model_version=version)
    )


def wait_for_version(fleet: Deployment, version: str, agents=AGENTS) -> None:
    """Wait until the agents have a version loaded from its whole weights."""
    wait_until(
        lambda: all(is_on(fleet, agent.name, version) for agent in agents),
        seconds=PUSH_LIMIT_SECONDS,
        what=f"{version} on all agents",
    )
    whole = next(model for model in MODELS if model.version == version).weights()
    for agent in agents:
        counts = counts_of(fleet.addresses.backend[agent.name])
        assert counts["loaded_weights"] == whole.loaded_digest
    assert fleet.violations() == 0


def is_on(fleet: Deployment, name: str, version: str) -> bool:
    """Return whether an agent says that its engine has a version loaded."""
    facts = fleet.statuses().get(name)
    if facts is None:
        return False
    state = facts.facts["load_state"]
    return state in ("cold", "ready") and facts.facts["model_version"] == version


def test_push_ends_while_the_object_api_is_down(fleet):
    """The outage begins when nodes have read the generation, before any chunk."""
    fleet.wait_for_generation(push(fleet, "lid-2"))
    set_faults(fleet.addresses.platform[OBJECT_API], outage=True)
    try:
        wait_for_version(fleet, "lid-2")
    finally:
        set_faults(fleet.addresses.platform[OBJECT_API], outage=False)


def test_agent_frozen_in_mid_push_catches_up(fleet):
    push(fleet, "lid-3")
    time.sleep(MID_PUSH_SECONDS)
    fleet.processes["lid-0"].freeze()
    try:
        time.sleep(FROZEN_SECONDS)
    finally:
        fleet.processes["lid-0"].resume()
    wait_for_version(fleet, "lid-3")


def test_vm_that_restarts_empty_in_mid_push_gets_the_version(fleet):
    push(fleet, "lid-4")
    time.sleep(MID_PUSH_SECONDS)
    for name in ("lid-1", backend_name("lid-1")):
        fleet.processes[name].kill()
    fleet.start_backend("lid-1", is_loaded=False)
    fleet.start_node("lid-1")
    wait_for_version(fleet, "lid-4")
