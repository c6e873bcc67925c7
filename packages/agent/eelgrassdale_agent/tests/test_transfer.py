"""Failure tests of whole transfers between weights tasks."""

import random
import threading

import pytest

from eelgrassdale.hashing import digest_of
from eelgrassdale.wire import ChunkRequest, NodeConnection
from eelgrassdale_agent.tests.weights_fleet import Fleet, wait_until
from eelgrassdale_agent.transfer_probing import envelope_of

CHUNK_BYTES = 2048
SLOW_LINK = 60_000  # bytes per second; a push of 24 chunks takes over a second


def weights(seed: int, chunks: int = 24) -> bytes:
    """Return reproducible bytes."""
    return random.Random(seed).randbytes(chunks * CHUNK_BYTES)


@pytest.fixture
def fleet():
    """Run six agents in three regions."""
    running = Fleet(6, max_loading=2)
    yield running
    running.stop()


def push(fleet: Fleet, version: str = "m-1", seed: int = 1):
    """Push new weights and return their manifest."""
    manifest = fleet.source.add(version, weights(seed), CHUNK_BYTES)
    fleet.push(manifest)
    return manifest


def wait_for_progress(fleet: Fleet, chunks: int) -> bool:
    """Wait until all agents together verified a number of chunks."""
    return wait_until(
        lambda: sum(a.total("chunks_verified") for a in fleet.agents) >= chunks
    )


def loaded_digests(fleet: Fleet) -> set[str]:
    """Return the digests of all weights that engines ever loaded."""
    return {digest for agent in fleet.agents for _, digest, _ in agent.engine.loaded}


def test_one_copy_from_origin_reaches_every_agent(fleet):
    fleet.start()
    manifest = push(fleet)
    assert wait_until(lambda: fleet.all_ready("m-1"))
    assert sorted(fleet.source.reads) == list(range(manifest.count))
    assert loaded_digests(fleet) == {digest_of(weights(1))}
    assert fleet.violations() == 0


def test_transfer_completes_after_an_owner_was_killed(fleet):
    fleet.start(link_bytes_per_second=SLOW_LINK)
    manifest = push(fleet)
    assert wait_for_progress(fleet, 20)
    fleet.agents[0].kill()
    assert wait_until(lambda: fleet.all_ready("m-1"))
    assert max(fleet.source.reads.count(n) for n in range(manifest.count)) <= 3


def test_restarted_empty_agent_draws_nothing_from_the_origin(fleet):
    fleet.start()
    push(fleet)
    assert wait_until(lambda: fleet.all_ready("m-1"))
    agent, reads = fleet.agents[3], len(fleet.source.reads)
    agent.kill()
    agent.engine.clear()
    agent.start()
    assert wait_until(lambda: agent.is_ready("m-1"))
    assert len(fleet.source.reads) == reads


def test_restarted_agent_adopts_an_engine_that_has_the_version(fleet):
    fleet.start()
    push(fleet)
    assert wait_until(lambda: fleet.all_ready("m-1"))
    agent = fleet.agents[3]
    agent.kill()
    agent.start()
    assert wait_until(lambda: agent.is_ready("m-1"))
    assert len(agent.engine.loaded) == 1
    assert agent.total("chunks_verified") == 0


def test_corrupt_chunk_from_the_source_is_fetched_again(fleet):
    fleet.source.corrupt.update({0, 5, 7})
    fleet.start()
    push(fleet)
    assert wait_until(lambda: fleet.all_ready("m-1"))
    assert sum(agent.total("chunks_corrupt") for agent in fleet.agents) == 3
    assert loaded_digests(fleet) == {digest_of(weights(1))}


def test_peer_that_sends_corrupt_chunks_is_avoided(fleet):
    fleet.start()
    bad = fleet.agents[0]
    honest = bad.task.read_chunk

    def lie(request):
        answer = honest(request)
        answer.data = bytes(len(answer.data or b""))
        return answer

    bad.task.read_chunk = lie
    push(fleet)
    assert wait_until(lambda: fleet.all_ready("m-1"))
    assert loaded_digests(fleet) == {digest_of(weights(1))}


def test_version_change_in_mid_transfer_never_mixes_chunks(fleet):
    fleet.start(link_bytes_per_second=SLOW_LINK)
    push(fleet, "m-1", seed=1)
    assert wait_for_progress(fleet, 30)
    push(fleet, "m-2", seed=2)
    assert wait_until(lambda: fleet.all_ready("m-2"))
    assert loaded_digests(fleet) == {digest_of(weights(2))}
    assert fleet.violations() == 0


def test_source_that_changed_its_weights_ends_the_transfer(fleet):
    old = fleet.source.add("m-1", weights(1), CHUNK_BYTES)
    fleet.source.add("m-1", weights(2), CHUNK_BYTES)
    fleet.start()
    fleet.push(old)
    facts = fleet.agents[0].task.facts
    assert wait_until(lambda: "VERSION_CHANGED" in facts()["weights_blocked_by"])
    assert loaded_digests(fleet) == set()


def test_two_operators_leave_the_version_of_the_last_generation(fleet):
    fleet.start()
    first = fleet.source.add("m-1", weights(1), CHUNK_BYTES)
    second = fleet.source.add("m-2", weights(2), CHUNK_BYTES)
    pushes = [threading.Thread(target=fleet.push, args=(m,)) for m in (first, second)]
    for thread in pushes:
        thread.start()
        thread.join()
    assert wait_until(lambda: fleet.all_ready("m-2"))
    assert fleet.violations() == 0


def test_transfer_survives_an_outage_of_the_origin(fleet):
    fleet.start(link_bytes_per_second=SLOW_LINK)
    push(fleet)
    assert wait_for_progress(fleet, 6)
    fleet.source.outage = True
    assert not wait_until(lambda: fleet.all_ready("m-1"), seconds=1.0)
    fleet.source.outage = False
    assert wait_until(lambda: fleet.all_ready("m-1"))


def test_frozen_owner_is_passed_over_and_returns_without_harm(fleet):
    fleet.start(link_bytes_per_second=1_000_000)
    frozen, thaw = fleet.agents[0], threading.Event()
    read = frozen.task.read_chunk

    def stall(request):
        thaw.wait(20)
        return read(request)

    frozen.task.read_chunk = stall
    push(fleet)
    others = fleet.agents[1:]
    assert wait_until(lambda: all(agent.is_ready("m-1") for agent in others))
    thaw.set()
    assert wait_until(lambda: fleet.all_ready("m-1"))
    assert fleet.violations() == 0


def test_chunk_of_an_unknown_manifest_is_not_held(fleet):
    fleet.start()
    push(fleet)
    agent = fleet.agents[0]
    assert wait_until(lambda: agent.is_ready("m-1"))
    conn = NodeConnection(address=agent.address)
    request = ChunkRequest(manifest="other", index=0, wait_ms=0, as_owner=False)
    answer = conn.call(
        "read_chunk", envelope_of(agent.context, 2.0), request, timeout_seconds=2.0
    )
    assert (answer.code, answer.data or b"") == (501, b"")


def test_agent_out_of_service_fetches_when_it_returns(fleet):
    fleet.set_in_service("vm-2", False)
    fleet.start()
    push(fleet)
    rest = [agent for agent in fleet.agents if agent.name != "vm-2"]
    assert wait_until(lambda: all(agent.is_ready("m-1") for agent in rest))
    assert fleet.agents[2].total("chunks_verified") == 0
    fleet.set_in_service("vm-2", True)
    assert wait_until(lambda: fleet.all_ready("m-1"))


@pytest.mark.parametrize("lists_staging", [True, False])
def test_engine_that_restarts_empty_in_mid_transfer_loads_the_whole_set(
    fleet, lists_staging
):
    for agent in fleet.agents:
        agent.engine.lists_staging = lists_staging
    fleet.start(link_bytes_per_second=SLOW_LINK)
    push(fleet)
    assert wait_for_progress(fleet, 60)
    fleet.agents[0].engine.clear()
    assert wait_until(lambda: fleet.all_ready("m-1"))
    assert loaded_digests(fleet) == {digest_of(weights(1))}
    assert fleet.violations() == 0
