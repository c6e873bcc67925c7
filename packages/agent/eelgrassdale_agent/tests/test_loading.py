"""Tests of loading: draining, fencing, failed orders, bounded disruption."""

import random
import threading

import pytest

from eelgrassdale_agent.tests.weights_fleet import Fleet, wait_until

CHUNK_BYTES = 1024


@pytest.fixture
def fleet():
    """Run three agents that serve version m-1 already."""
    running = Fleet(3, max_loading=1)
    push(running, "m-1")
    running.start()
    assert wait_until(lambda: running.all_ready("m-1"))
    yield running
    running.stop()


def push(fleet: Fleet, version: str) -> None:
    """Push new weights."""
    data = random.Random(version).randbytes(6 * CHUNK_BYTES)
    fleet.push(fleet.source.add(version, data, CHUNK_BYTES))


def test_admitted_requests_end_before_the_load(fleet):
    for agent in fleet.agents:
        agent.gate.in_flight = 1
    push(fleet, "m-2")
    assert wait_until(lambda: any(agent.gate.paused for agent in fleet.agents))
    assert not wait_until(lambda: any(a.engine.loaded[1:] for a in fleet.agents), 0.5)
    for agent in fleet.agents:
        agent.gate.in_flight = 0
    assert wait_until(lambda: fleet.all_ready("m-2"))


def test_one_agent_at_a_time_leaves_the_old_version(fleet):
    most, stop = [0], threading.Event()

    def watch():
        while not stop.wait(0.002):
            most[0] = max(most[0], sum(a.gate.paused for a in fleet.agents))

    for agent in fleet.agents:
        agent.engine.load_seconds = 0.1
    watcher = threading.Thread(target=watch)
    watcher.start()
    push(fleet, "m-2")
    assert wait_until(lambda: fleet.all_ready("m-2"))
    stop.set()
    watcher.join()
    assert most == [1]
    assert fleet.violations() == 0


def test_dead_predecessors_do_not_hold_up_the_others(fleet):
    fleet.agents[0].kill()
    push(fleet, "m-2")
    assert wait_until(lambda: fleet.all_ready("m-2"))


def test_failed_load_is_tried_again(fleet):
    fleet.agents[1].engine.fail_loads = 2
    push(fleet, "m-2")
    assert wait_until(lambda: fleet.all_ready("m-2"))


def test_fenced_agent_serves_on_until_a_higher_generation(fleet):
    """Guards against a gate that stays paused after a refused token."""
    agent = fleet.agents[0]
    generation = fleet.replica.current().generation
    agent.engine.loaded.append(("", "", generation + 2))
    push(fleet, "m-2")
    assert wait_until(
        lambda: agent.task.facts()["weights_blocked_by"].endswith("FENCED")
    )
    assert (agent.gate.version, agent.gate.paused) == ("m-1", False)
    push(fleet, "m-3")
    assert wait_until(lambda: fleet.all_ready("m-3"))


def test_engine_that_ignores_fencing_never_gets_a_lower_token(fleet):
    for agent in fleet.agents:
        agent.engine.checks_fencing = False
    for version in ("m-2", "m-3"):
        push(fleet, version)
        assert wait_until(lambda version=version: fleet.all_ready(version))
    for agent in fleet.agents:
        tokens = [token for _, _, token in agent.engine.loaded]
        assert tokens == sorted(tokens)


def test_engine_that_lost_its_weights_is_loaded_again(fleet):
    agent = fleet.agents[0]
    agent.engine.clear()
    assert wait_until(lambda: len(agent.engine.loaded) == 2)
    assert agent.engine.version == "m-1"


def test_return_to_the_old_version_needs_no_transfer_of_chunks(fleet):
    agent = fleet.agents[0]
    push(fleet, "m-2")
    assert wait_until(lambda: fleet.all_ready("m-2"))
    verified = agent.total("chunks_verified")
    push(fleet, "m-1")
    assert wait_until(lambda: fleet.all_ready("m-1"))
    assert agent.total("chunks_verified") == verified
