"""Stand-ins and deployments for the tests of this package."""

import pytest

from eelgrassdale_standins.control import is_healthy
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.processes import (
    Command,
    PortReservation,
    Process,
    standin_arguments,
    wait_until,
)
from eelgrassdale_standins.tests.agentharness import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    AgentHarnessFactory,
)
from eelgrassdale_standins.tests.failurehelpers import MODELS, restore_deployment
from eelgrassdale_standins.topology import small_topology


@pytest.fixture
def ports():
    """Reserve ports for one test."""
    reserved_ports = PortReservation()
    yield reserved_ports
    reserved_ports.close()


@pytest.fixture
def start_standin(ports, tmp_path):
    """Return a function that starts a stand-in and returns its address."""
    started = []

    def start(module, *options):
        address = ports.new_address()
        command = Command(
            name=module,
            arguments=standin_arguments(module, address, *options),
            log=tmp_path / f"{module}-{len(started)}.log",
        )
        started.append(Process(command))
        wait_until(
            lambda: is_healthy(address),
            timeout_seconds=20,
            description=f"health of {module}",
        )
        return address

    yield start
    for process in started:
        process.kill()


@pytest.fixture(scope="session")
def shared_deployment():
    """Run one small deployment for all failure tests."""
    with Deployment(small_topology(models=MODELS)) as started:
        yield started


@pytest.fixture
def deployment(shared_deployment):
    """Return the deployment with every process running and all faults cleared."""
    restore_deployment(shared_deployment)
    yield shared_deployment
    assert shared_deployment.violations() == 0


@pytest.fixture(scope="module")
def agent_factory(tmp_path_factory):
    """Return a factory of agents that are ended after the module's tests."""
    factory = AgentHarnessFactory(directory=tmp_path_factory.mktemp("labs"))
    yield factory
    factory.close()


@pytest.fixture(scope="module")
def model_agent(agent_factory):
    """An agent beside an engine, shared by tests that restore its state."""
    return agent_factory.start_model(MODEL_SERVICE)


@pytest.fixture(scope="module")
def plain_agent(agent_factory):
    """An agent beside a plain service, shared by tests that restore its state."""
    return agent_factory.start_plain(PLAIN_SERVICE)
