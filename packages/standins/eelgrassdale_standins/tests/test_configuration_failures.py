"""Failure tests of configuration generations on running processes.

Each test guards against a generation that decreases at any node while the
platform or the nodes fail.
"""

import threading

import pytest

from eelgrassdale.catalog import DataCentre, DataCentreState
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale_operators import AppliedChange
from eelgrassdale_standins.applying import ConfigurationWriter
from eelgrassdale_standins.commands import OBJECT_API
from eelgrassdale_standins.control import set_faults, url_of
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.generations import GenerationLog
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.topology import SAN_FERNANDO, lidwright, small

# In force everywhere within this time after a change, also on a busy machine.
SPREAD_SECONDS = 14.0
OPERATORS = 3
CHANGES = 4


@pytest.fixture(scope="module")
def running():
    """Run Lidwright's processes for the tests of this module."""
    with Deployment(lidwright()) as started:
        yield started


@pytest.fixture
def log(running):
    """Watch the generations of all nodes during a test."""
    with GenerationLog(running) as started:
        yield started
    assert started.decreases() == []
    assert running.violations() == 0


def san_fernando(state: DataCentreState) -> DataCentre:
    """Return the data centre that goes out and returns."""
    return DataCentre(name=SAN_FERNANDO, region="south", state=state)


def race(deployment: Deployment, operator: int) -> list[tuple[int, int]]:
    """Change an account several times; return accepted generations and weights."""
    address = deployment.addresses.platform[OBJECT_API]
    writer = ConfigurationWriter(url=url_of(address))
    accepted = []
    for number in range(CHANGES):
        account = deployment.topology.accounts[operator]
        weight = 10 * (operator + 1) + number
        try:
            applied = writer.change(type(account)(name=account.name, weight=weight))
            accepted.append((applied.generation, weight))
        except RuntimeError:
            # A lost race or an unknown outcome; the operator tries the next.
            continue
    writer.close()
    return accepted


@pytest.fixture
def store(running):
    """Return the address of the object API, without faults after the test."""
    address = running.addresses.platform[OBJECT_API]
    yield address
    set_faults(address, outage=False, slow_seconds=0.0, lose_answers=0)


def test_racing_operators_with_a_faulty_store(running, store, log):
    accepted: dict[int, list[tuple[int, int]]] = {}
    threads = [
        threading.Thread(target=lambda n=n: accepted.update({n: race(running, n)}))
        for n in range(OPERATORS)
    ]
    set_faults(store, slow_seconds=0.005, lose_answers=4)
    for thread in threads:
        thread.start()
    out = put_until_accepted(running, san_fernando(DataCentreState.OUT))
    running.wait_for_generation(out.generation, SPREAD_SECONDS)
    set_faults(store, outage=True)
    with pytest.raises(RuntimeError):
        running.configuration.put(san_fernando(DataCentreState.IN_SERVICE))
    assert min(map(running.generation, running.node_names())) >= out.generation
    set_faults(store, outage=False, lose_answers=2)
    returned = put_until_accepted(running, san_fernando(DataCentreState.IN_SERVICE))
    for thread in threads:
        thread.join()
    # A put after an unknown outcome can find its change in force already; it is
    # then accepted without a generation of its own.
    generations = [pair[0] for run in accepted.values() for pair in run]
    generations += [c.generation for c in (out, returned) if c.changed]
    assert len(set(generations)) == len(generations)
    running.wait_for_generation(max(generations), SPREAD_SECONDS)
    assert_nothing_overwritten(running, accepted)


def assert_nothing_overwritten(
    deployment: Deployment, accepted: dict[int, list[tuple[int, int]]]
) -> None:
    """Check that each operator's last accepted weight, or a later one, is in force.

    A later one of the same operator has an outcome that was unknown to it.
    """
    final = deployment.configuration.current()
    for operator, pairs in accepted.items():
        name = deployment.topology.accounts[operator].name
        if pairs:
            weight = final.accounts[name].weight
            assert pairs[-1][1] <= weight < 10 * (operator + 1) + CHANGES
    assert final.is_in_service(SAN_FERNANDO)


def put_until_accepted(deployment: Deployment, obj: DataCentre) -> AppliedChange:
    """Put an object, again after each lost race."""
    for _ in range(50):
        try:
            return deployment.configuration.change(obj)
        except RuntimeError:
            continue
    raise AssertionError("the change was never accepted")


def test_watcher_frozen_through_three_generations(running, log):
    names = [e.name for e in running.topology.entries if e.data_centre == SAN_FERNANDO]
    watcher = rendezvous_order(topic=f"watch/{SAN_FERNANDO}", members=names)[0]
    others = set(running.node_names()) - {watcher}
    running.processes[watcher].freeze()
    for weight in (101, 102, 103):
        account = running.topology.accounts[0]
        generation = running.configuration.put(
            type(account)(name=account.name, weight=weight)
        )
    for name in sorted(others):
        wait_for(running, name, generation)
    running.processes[watcher].resume()
    wait_for(running, watcher, generation)


def wait_for(deployment: Deployment, name: str, generation: int) -> None:
    """Wait until a generation is in force at one node."""
    wait_until(
        lambda: deployment.generation(name) >= generation,
        seconds=SPREAD_SECONDS,
        what=f"generation {generation} in force at {name}",
    )


def test_all_entry_nodes_of_a_data_centre_are_killed(running, log):
    """Its agents must get new generations from entry nodes elsewhere."""
    killed = [e.name for e in running.topology.entries if e.data_centre == SAN_FERNANDO]
    for name in killed:
        running.processes[name].kill()
    account = running.topology.accounts[1]
    generation = running.configuration.put(type(account)(name=account.name, weight=77))
    running.wait_for_generation(generation, SPREAD_SECONDS)
    for name in killed:
        running.start_node(name)
    running.wait_until_ready()
    running.wait_for_generation(generation, SPREAD_SECONDS)


def test_every_vm_is_replaced_while_the_store_is_down():
    with Deployment(small()) as deployment, GenerationLog(deployment) as log:
        account = deployment.topology.accounts[0]
        generation = deployment.configuration.put(
            type(account)(name=account.name, weight=50)
        )
        deployment.wait_for_generation(generation, SPREAD_SECONDS)
        set_faults(deployment.addresses.platform[OBJECT_API], outage=True)
        names = deployment.node_names()
        for name in names:
            deployment.processes[name].kill()
            deployment.start_node(name)
            wait_for(deployment, name, generation)
        deployment.wait_until_ready()
        assert log.lives() == 2 * len(names)
        assert log.decreases() == []
        assert deployment.violations() == 0
