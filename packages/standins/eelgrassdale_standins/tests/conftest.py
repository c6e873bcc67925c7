"""Stand-ins and deployments for the tests of this package."""

import pytest

from eelgrassdale_standins.control import is_healthy
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.processes import (
    Command,
    Ports,
    Process,
    standin_arguments,
    wait_until,
)
from eelgrassdale_standins.tests.agentlab import DESK, MODEL, LabFactory
from eelgrassdale_standins.tests.failures import MODELS, restore
from eelgrassdale_standins.topology import small


@pytest.fixture
def ports():
    """Reserve ports for one test."""
    held = Ports()
    yield held
    held.close()


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
        wait_until(lambda: is_healthy(address), seconds=20, what=f"health of {module}")
        return address

    yield start
    for process in started:
        process.kill()


@pytest.fixture(scope="session")
def shared_deployment():
    """Run one small deployment for all failure tests."""
    with Deployment(small(models=MODELS)) as started:
        yield started


@pytest.fixture
def deployment(shared_deployment):
    """Return the deployment with every process running and no faults."""
    restore(shared_deployment)
    yield shared_deployment
    assert shared_deployment.violations() == 0


@pytest.fixture(scope="module")
def labs(tmp_path_factory):
    """Start agents beside stand-ins and end them after the module's tests."""
    factory = LabFactory(directory=tmp_path_factory.mktemp("labs"))
    yield factory
    factory.close()


@pytest.fixture(scope="module")
def model(labs):
    """An agent beside an engine with weights, shared by tests that leave it as is."""
    return labs.start_model(MODEL)


@pytest.fixture(scope="module")
def desk(labs):
    """An agent beside a plain service, shared by tests that leave it as is."""
    return labs.start_plain(DESK)
