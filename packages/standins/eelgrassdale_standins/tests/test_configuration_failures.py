"""Failure tests of configuration generations on running processes.

Each test guards against a generation that decreases at any node while the
platform or the nodes fail.
"""

import threading

import pytest

from eelgrassdale.catalog import DataCentre, DataCentreState
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale_operators import AppliedChange
from eelgrassdale_standins.commands import OBJECT_API
from eelgrassdale_standins.configurationwriter import ConfigurationWriter
from eelgrassdale_standins.control import http_url, set_faults
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.generations import GenerationLog
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.topology import (
    SAN_FERNANDO,
    lidwright_topology,
    small_topology,
)

# Time in which a change must be in force at every node, even on a busy machine.
PROPAGATION_TIMEOUT_SECONDS = 14.0
OPERATORS = 3
CHANGES_PER_OPERATOR = 4


@pytest.fixture(scope="module")
def running_deployment():
    """Run the Lidwright deployment for the tests of this module."""
    with Deployment(lidwright_topology()) as started:
        yield started


@pytest.fixture
def generation_log(running_deployment):
    """Record the generations of all nodes during a test; none may decrease."""
    with GenerationLog(running_deployment) as started:
        yield started
    assert started.decreases() == []
    assert running_deployment.violations() == 0


def san_fernando_data_centre(state: DataCentreState) -> DataCentre:
    """Return the data centre that is taken out of service and returned."""
    return DataCentre(name=SAN_FERNANDO, region="south", state=state)


def change_account_repeatedly(
    deployment: Deployment, operator: int
) -> list[tuple[int, int]]:
    """Change an account several times; return accepted generations and weights."""
    address = deployment.addresses.platform[OBJECT_API]
    writer = ConfigurationWriter(url=http_url(address))
    accepted = []
    for number in range(CHANGES_PER_OPERATOR):
        account = deployment.topology.accounts[operator]
        weight = 10 * (operator + 1) + number
        try:
            applied = writer.change(type(account)(name=account.name, weight=weight))
            accepted.append((applied.generation, weight))
        except RuntimeError:
            # Version conflict or unknown outcome; continue with the next change.
            continue
    writer.close()
    return accepted


@pytest.fixture
def object_api(running_deployment):
    """Return the address of the object API, without faults after the test."""
    address = running_deployment.addresses.platform[OBJECT_API]
    yield address
    set_faults(address, outage=False, slow_seconds=0.0, lose_answers=0)


def test_racing_operators_with_a_faulty_store(
    running_deployment, object_api, generation_log
):
    accepted: dict[int, list[tuple[int, int]]] = {}
    threads = [
        threading.Thread(
            target=lambda n=n: accepted.update(
                {n: change_account_repeatedly(running_deployment, n)}
            )
        )
        for n in range(OPERATORS)
    ]
    set_faults(object_api, slow_seconds=0.005, lose_answers=4)
    for thread in threads:
        thread.start()
    taken_out = put_until_accepted(
        running_deployment, san_fernando_data_centre(DataCentreState.OUT)
    )
    running_deployment.wait_for_generation(
        taken_out.generation, PROPAGATION_TIMEOUT_SECONDS
    )
    set_faults(object_api, outage=True)
    with pytest.raises(RuntimeError):
        running_deployment.configuration.put(
            san_fernando_data_centre(DataCentreState.IN_SERVICE)
        )
    assert (
        min(map(running_deployment.generation, running_deployment.node_names()))
        >= taken_out.generation
    )
    set_faults(object_api, outage=False, lose_answers=2)
    returned = put_until_accepted(
        running_deployment, san_fernando_data_centre(DataCentreState.IN_SERVICE)
    )
    for thread in threads:
        thread.join()
    # A put that follows an unknown outcome may find its change already in force;
    # it is then accepted without a new generation.
    generations = [pair[0] for run in accepted.values() for pair in run]
    generations += [c.generation for c in (taken_out, returned) if c.changed]
    assert len(set(generations)) == len(generations)
    running_deployment.wait_for_generation(
        max(generations), PROPAGATION_TIMEOUT_SECONDS
    )
    assert_nothing_overwritten(running_deployment, accepted)


def assert_nothing_overwritten(
    deployment: Deployment, accepted: dict[int, list[tuple[int, int]]]
) -> None:
    """Check that each operator's last accepted weight, or a later one, is in force.

    A later weight comes from a change whose outcome its operator did not learn.
    """
    final = deployment.configuration.current()
    for operator, pairs in accepted.items():
        name = deployment.topology.accounts[operator].name
        if pairs:
            weight = final.accounts[name].weight
            assert pairs[-1][1] <= weight < 10 * (operator + 1) + CHANGES_PER_OPERATOR
    assert final.is_in_service(SAN_FERNANDO)


def put_until_accepted(deployment: Deployment, obj: DataCentre) -> AppliedChange:
    """Put an object, retrying after each version conflict or unknown outcome."""
    for _ in range(50):
        try:
            return deployment.configuration.change(obj)
        except RuntimeError:
            continue
    raise AssertionError("the change was never accepted")


def test_watcher_frozen_through_three_generations(running_deployment, generation_log):
    names = [
        e.name
        for e in running_deployment.topology.entries
        if e.data_centre == SAN_FERNANDO
    ]
    watcher = rendezvous_order(key=f"watch/{SAN_FERNANDO}", members=names)[0]
    others = set(running_deployment.node_names()) - {watcher}
    running_deployment.processes[watcher].freeze()
    for weight in (101, 102, 103):
        account = running_deployment.topology.accounts[0]
        generation = running_deployment.configuration.put(
            type(account)(name=account.name, weight=weight)
        )
    for name in sorted(others):
        wait_for_node_generation(running_deployment, name, generation)
    running_deployment.processes[watcher].resume()
    wait_for_node_generation(running_deployment, watcher, generation)


def wait_for_node_generation(
    deployment: Deployment, name: str, generation: int
) -> None:
    """Wait until a generation is in force at one node."""
    wait_until(
        lambda: deployment.generation(name) >= generation,
        timeout_seconds=PROPAGATION_TIMEOUT_SECONDS,
        description=f"generation {generation} in force at {name}",
    )


def test_all_entry_nodes_of_a_data_centre_are_killed(
    running_deployment, generation_log
):
    """Its agents must get new generations from entry nodes elsewhere."""
    killed = [
        e.name
        for e in running_deployment.topology.entries
        if e.data_centre == SAN_FERNANDO
    ]
    for name in killed:
        running_deployment.processes[name].kill()
    account = running_deployment.topology.accounts[1]
    generation = running_deployment.configuration.put(
        type(account)(name=account.name, weight=77)
    )
    running_deployment.wait_for_generation(generation, PROPAGATION_TIMEOUT_SECONDS)
    for name in killed:
        running_deployment.start_node(name)
    running_deployment.wait_until_ready()
    running_deployment.wait_for_generation(generation, PROPAGATION_TIMEOUT_SECONDS)


def test_every_vm_is_replaced_while_the_store_is_down():
    with (
        Deployment(small_topology()) as deployment,
        GenerationLog(deployment) as generation_log,
    ):
        account = deployment.topology.accounts[0]
        generation = deployment.configuration.put(
            type(account)(name=account.name, weight=50)
        )
        deployment.wait_for_generation(generation, PROPAGATION_TIMEOUT_SECONDS)
        set_faults(deployment.addresses.platform[OBJECT_API], outage=True)
        names = deployment.node_names()
        for name in names:
            deployment.processes[name].kill()
            deployment.start_node(name)
            wait_for_node_generation(deployment, name, generation)
        deployment.wait_until_ready()
        assert generation_log.count_incarnations() == 2 * len(names)
        assert generation_log.decreases() == []
        assert deployment.violations() == 0
