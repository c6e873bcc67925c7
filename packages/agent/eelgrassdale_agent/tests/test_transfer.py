"""Tests of complete transfers between weights tasks, with injected failures."""

import random
import threading

import pytest

from eelgrassdale.hashing import digest_of
from eelgrassdale.wire import ChunkRequest, NodeConnection
from eelgrassdale_agent.tests.agentcluster import AgentCluster, wait_until
from eelgrassdale_agent.transfer_probing import new_envelope

CHUNK_BYTES = 2048
SLOW_LINK = 60_000  # bytes per second; a push of 24 chunks takes over a second


def weights(seed: int, chunks: int = 24) -> bytes:
    """Return pseudo-random weights of `chunks` chunks."""
    return random.Random(seed).randbytes(chunks * CHUNK_BYTES)


@pytest.fixture
def cluster():
    """Run six agents in three regions."""
    running = AgentCluster(6, max_loading=2)
    yield running
    running.stop()


def push(cluster: AgentCluster, version: str = "m-1", seed: int = 1):
    """Publish new weights, configure them and return their manifest."""
    manifest = cluster.source.add(version, weights(seed), CHUNK_BYTES)
    cluster.push(manifest)
    return manifest


def wait_for_progress(cluster: AgentCluster, chunks: int) -> bool:
    """Wait until the agents have verified `chunks` chunks in total."""
    return wait_until(
        lambda: sum(a.total("chunks_verified") for a in cluster.agents) >= chunks
    )


def loaded_digests(cluster: AgentCluster) -> set[str]:
    """Return the digests of all weights that engines have loaded."""
    return {digest for agent in cluster.agents for _, digest, _ in agent.engine.loaded}


def test_origin_sends_each_chunk_once_and_every_agent_loads_it(cluster):
    cluster.start()
    manifest = push(cluster)
    assert wait_until(lambda: cluster.all_ready("m-1"))
    assert sorted(cluster.source.reads) == list(range(manifest.count))
    assert loaded_digests(cluster) == {digest_of(weights(1))}
    assert cluster.violations() == 0


def test_transfer_completes_after_an_owner_was_killed(cluster):
    cluster.start(link_bytes_per_second=SLOW_LINK)
    manifest = push(cluster)
    assert wait_for_progress(cluster, 20)
    cluster.agents[0].kill()
    assert wait_until(lambda: cluster.all_ready("m-1"))
    assert max(cluster.source.reads.count(n) for n in range(manifest.count)) <= 3


def test_restarted_agent_with_an_empty_engine_reads_nothing_from_the_origin(cluster):
    cluster.start()
    push(cluster)
    assert wait_until(lambda: cluster.all_ready("m-1"))
    agent, reads = cluster.agents[3], len(cluster.source.reads)
    agent.kill()
    agent.engine.clear()
    agent.start()
    assert wait_until(lambda: agent.is_ready("m-1"))
    assert len(cluster.source.reads) == reads


def test_restarted_agent_reuses_an_engine_that_has_loaded_the_version(cluster):
    cluster.start()
    push(cluster)
    assert wait_until(lambda: cluster.all_ready("m-1"))
    agent = cluster.agents[3]
    agent.kill()
    agent.start()
    assert wait_until(lambda: agent.is_ready("m-1"))
    assert len(agent.engine.loaded) == 1
    assert agent.total("chunks_verified") == 0


def test_corrupt_chunk_from_the_source_is_fetched_again(cluster):
    cluster.source.corrupt.update({0, 5, 7})
    cluster.start()
    push(cluster)
    assert wait_until(lambda: cluster.all_ready("m-1"))
    assert sum(agent.total("chunks_corrupt") for agent in cluster.agents) == 3
    assert loaded_digests(cluster) == {digest_of(weights(1))}


def test_peer_that_sends_corrupt_chunks_is_avoided(cluster):
    cluster.start()
    corrupt_peer = cluster.agents[0]
    original_read = corrupt_peer.task.read_chunk

    def read_corrupt(request):
        answer = original_read(request)
        answer.data = bytes(len(answer.data or b""))
        return answer

    corrupt_peer.task.read_chunk = read_corrupt
    push(cluster)
    assert wait_until(lambda: cluster.all_ready("m-1"))
    assert loaded_digests(cluster) == {digest_of(weights(1))}


def test_version_change_in_mid_transfer_never_mixes_chunks(cluster):
    cluster.start(link_bytes_per_second=SLOW_LINK)
    push(cluster, "m-1", seed=1)
    assert wait_for_progress(cluster, 30)
    push(cluster, "m-2", seed=2)
    assert wait_until(lambda: cluster.all_ready("m-2"))
    assert loaded_digests(cluster) == {digest_of(weights(2))}
    assert cluster.violations() == 0


def test_source_that_changed_its_weights_ends_the_transfer(cluster):
    old = cluster.source.add("m-1", weights(1), CHUNK_BYTES)
    cluster.source.add("m-1", weights(2), CHUNK_BYTES)
    cluster.start()
    cluster.push(old)
    facts = cluster.agents[0].task.facts
    assert wait_until(lambda: "VERSION_CHANGED" in facts()["weights_blocked_by"])
    assert loaded_digests(cluster) == set()


def test_two_operators_leave_the_version_of_the_last_generation(cluster):
    cluster.start()
    first = cluster.source.add("m-1", weights(1), CHUNK_BYTES)
    second = cluster.source.add("m-2", weights(2), CHUNK_BYTES)
    pushes = [threading.Thread(target=cluster.push, args=(m,)) for m in (first, second)]
    for thread in pushes:
        thread.start()
        thread.join()
    assert wait_until(lambda: cluster.all_ready("m-2"))
    assert cluster.violations() == 0


def test_transfer_survives_an_outage_of_the_origin(cluster):
    cluster.start(link_bytes_per_second=SLOW_LINK)
    push(cluster)
    assert wait_for_progress(cluster, 6)
    cluster.source.outage = True
    assert not wait_until(lambda: cluster.all_ready("m-1"), seconds=1.0)
    cluster.source.outage = False
    assert wait_until(lambda: cluster.all_ready("m-1"))


def test_unresponsive_owner_is_skipped_and_recovers_without_violations(cluster):
    cluster.start(link_bytes_per_second=1_000_000)
    frozen, resumed = cluster.agents[0], threading.Event()
    read = frozen.task.read_chunk

    def read_after_resume(request):
        resumed.wait(20)
        return read(request)

    frozen.task.read_chunk = read_after_resume
    push(cluster)
    others = cluster.agents[1:]
    assert wait_until(lambda: all(agent.is_ready("m-1") for agent in others))
    resumed.set()
    assert wait_until(lambda: cluster.all_ready("m-1"))
    assert cluster.violations() == 0


def test_chunk_of_an_unknown_manifest_is_not_held(cluster):
    cluster.start()
    push(cluster)
    agent = cluster.agents[0]
    assert wait_until(lambda: agent.is_ready("m-1"))
    conn = NodeConnection(address=agent.address)
    request = ChunkRequest(manifest="other", index=0, wait_ms=0, as_owner=False)
    answer = conn.call(
        "read_chunk", new_envelope(agent.context, 2.0), request, timeout_seconds=2.0
    )
    assert (answer.code, answer.data or b"") == (501, b"")


def test_agent_out_of_service_fetches_once_back_in_service(cluster):
    cluster.set_in_service("vm-2", False)
    cluster.start()
    push(cluster)
    others = [agent for agent in cluster.agents if agent.name != "vm-2"]
    assert wait_until(lambda: all(agent.is_ready("m-1") for agent in others))
    assert cluster.agents[2].total("chunks_verified") == 0
    cluster.set_in_service("vm-2", True)
    assert wait_until(lambda: cluster.all_ready("m-1"))


@pytest.mark.parametrize("lists_staging", [True, False])
def test_engine_that_restarts_empty_in_mid_transfer_loads_the_whole_set(
    cluster, lists_staging
):
    for agent in cluster.agents:
        agent.engine.lists_staging = lists_staging
    cluster.start(link_bytes_per_second=SLOW_LINK)
    push(cluster)
    assert wait_for_progress(cluster, 60)
    cluster.agents[0].engine.clear()
    assert wait_until(lambda: cluster.all_ready("m-1"))
    assert loaded_digests(cluster) == {digest_of(weights(1))}
    assert cluster.violations() == 0
