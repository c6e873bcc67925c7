"""Tests of loading: drain, fencing, failed load orders, bounded disruption."""

import random
import threading

import pytest

from eelgrassdale_agent.tests.agentcluster import AgentCluster, wait_until

CHUNK_BYTES = 1024


@pytest.fixture
def cluster():
    """Run three agents that already serve version m-1."""
    running = AgentCluster(3, max_loading=1)
    push_version(running, "m-1")
    running.start()
    assert wait_until(lambda: running.all_ready("m-1"))
    yield running
    running.stop()


def push_version(cluster: AgentCluster, version: str) -> None:
    """Publish new weights and configure them."""
    data = random.Random(version).randbytes(6 * CHUNK_BYTES)
    cluster.push(cluster.source.add(version, data, CHUNK_BYTES))


def test_admitted_requests_end_before_the_load(cluster):
    for agent in cluster.agents:
        agent.gate.in_flight = 1
    push_version(cluster, "m-2")
    assert wait_until(lambda: any(agent.gate.paused for agent in cluster.agents))
    assert not wait_until(lambda: any(a.engine.loaded[1:] for a in cluster.agents), 0.5)
    for agent in cluster.agents:
        agent.gate.in_flight = 0
    assert wait_until(lambda: cluster.all_ready("m-2"))


def test_one_agent_at_a_time_leaves_the_old_version(cluster):
    max_paused, stop = [0], threading.Event()

    def count_paused():
        while not stop.wait(0.002):
            max_paused[0] = max(
                max_paused[0], sum(a.gate.paused for a in cluster.agents)
            )

    for agent in cluster.agents:
        agent.engine.load_seconds = 0.1
    watcher = threading.Thread(target=count_paused)
    watcher.start()
    push_version(cluster, "m-2")
    assert wait_until(lambda: cluster.all_ready("m-2"))
    stop.set()
    watcher.join()
    assert max_paused == [1]
    assert cluster.violations() == 0


def test_dead_predecessors_do_not_block_the_others(cluster):
    cluster.agents[0].kill()
    push_version(cluster, "m-2")
    assert wait_until(lambda: cluster.all_ready("m-2"))


def test_failed_load_is_retried(cluster):
    cluster.agents[1].engine.fail_loads = 2
    push_version(cluster, "m-2")
    assert wait_until(lambda: cluster.all_ready("m-2"))


def test_fenced_agent_serves_until_a_higher_generation(cluster):
    """Guards against an admission gate that stays paused after a refused token."""
    agent = cluster.agents[0]
    generation = cluster.replica.current().generation
    agent.engine.loaded.append(("", "", generation + 2))
    push_version(cluster, "m-2")
    assert wait_until(
        lambda: agent.task.facts()["weights_blocked_by"].endswith("FENCED")
    )
    assert (agent.gate.version, agent.gate.paused) == ("m-1", False)
    push_version(cluster, "m-3")
    assert wait_until(lambda: cluster.all_ready("m-3"))


def test_engine_that_ignores_fencing_never_gets_a_lower_token(cluster):
    for agent in cluster.agents:
        agent.engine.checks_fencing = False
    for version in ("m-2", "m-3"):
        push_version(cluster, version)
        assert wait_until(lambda version=version: cluster.all_ready(version))
    for agent in cluster.agents:
        tokens = [token for _, _, token in agent.engine.loaded]
        assert tokens == sorted(tokens)


def test_engine_that_lost_its_weights_is_loaded_again(cluster):
    agent = cluster.agents[0]
    agent.engine.clear()
    assert wait_until(lambda: len(agent.engine.loaded) == 2)
    assert agent.engine.version == "m-1"


def test_return_to_the_old_version_transfers_no_chunks(cluster):
    agent = cluster.agents[0]
    push_version(cluster, "m-2")
    assert wait_until(lambda: cluster.all_ready("m-2"))
    verified = agent.total("chunks_verified")
    push_version(cluster, "m-1")
    assert wait_until(lambda: cluster.all_ready("m-1"))
    assert agent.total("chunks_verified") == verified
