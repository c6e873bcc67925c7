"""Tests that engines load complete, valid versions while components fail."""

import asyncio
import itertools

from attrs import evolve

from eelgrassdale.clock import boottime_seconds
from eelgrassdale_gateway.staging import turns
from eelgrassdale_gateway.staging.tests.cluster import (
    BYTE_PAIRS_PER_CHUNK,
    CHUNK_COUNT,
    run_scenario,
    weights,
)
from eelgrassdale_gateway.staging.turns import load_at, turn_of

# A transfer takes 1.5 s or more.
SLOW_LINK_BYTES_PER_SECOND = 2 * CHUNK_COUNT * BYTE_PAIRS_PER_CHUNK / 1.5
PARTIAL_TRANSFER_SECONDS = 0.4
# With this grace, an older version serves long enough to be worth a load.
LONG_GRACE_SECONDS = 20.0
# Longer than the interval at which an agent checks for versions to load.
SETTLE_SECONDS = 0.6


def all_loads_valid(cluster):
    return all(
        is_valid for engine in cluster.engines.values() for _, is_valid in engine.loaded
    )


def test_version_reaches_every_engine_for_one_copy_from_the_origin():
    async def scenario(cluster):
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        return cluster.origin.reads, all_loads_valid(cluster)

    assert run_scenario(scenario) == (CHUNK_COUNT, True)


def test_engine_is_closed_before_its_load_and_opened_after_it():
    async def scenario(cluster):
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        while sum(is_open for _, is_open, _ in cluster.notices) < len(cluster.engines):
            await asyncio.sleep(0.01)
        return [notice for notice in cluster.notices if notice[0] == "a-1"]

    notices = run_scenario(scenario)
    assert notices[0] == ("a-1", False, 1)
    assert notices[-1] == ("a-1", True, 2)


def test_damaged_chunks_are_neither_staged_nor_passed_on():
    async def scenario(cluster):
        cluster.origin.corrupt_next_reads = {0: 2, 5: 1}
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        return all_loads_valid(cluster)

    assert run_scenario(scenario)


def test_chunk_corrupted_in_staging_is_staged_again():
    """Staged chunks may be corrupted, and an engine loads them without a check."""

    async def scenario(cluster):
        engine = cluster.engines["a-1"]
        engine.chunks = dict(enumerate(weights(2)))
        engine.chunks[3] = b"rotten"
        del engine.chunks[7]
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        return all_loads_valid(cluster)

    assert run_scenario(scenario)


def test_dead_gateway_does_not_keep_its_chunks_from_the_agents():
    async def scenario(cluster):
        cluster.kill_gateway("a-1")
        cluster.kill_gateway("b-2")
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        return all_loads_valid(cluster), cluster.origin.reads

    is_valid, reads = run_scenario(scenario)
    assert is_valid
    assert reads <= 1.6 * CHUNK_COUNT


def test_agents_without_any_gateway_read_from_the_origin():
    async def scenario(cluster):
        for name in cluster.gateways:
            cluster.kill_gateway(name)
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        return all_loads_valid(cluster)

    assert run_scenario(scenario)


def test_corrupted_manifest_is_read_again():
    """No chunk matches the digests of a manifest that the origin corrupted."""

    async def scenario(cluster):
        manifest = cluster.origin.read_manifest
        corrupted_versions = []

        async def corrupt_once(model, version):
            valid_manifest = await manifest(model, version)
            if corrupted_versions:
                return valid_manifest
            corrupted_versions.append(version)
            return evolve(
                valid_manifest, digests=("0" * 64, *valid_manifest.digests[1:])
            )

        cluster.origin.read_manifest = corrupt_once
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        return all_loads_valid(cluster)

    assert run_scenario(scenario)


def test_restarted_engine_gets_its_version_again_without_the_origin():
    async def scenario(cluster):
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        reads = cluster.origin.reads
        cluster.engines["b-1"].restart()
        await cluster.wait_for(2)
        return cluster.origin.reads - reads, all_loads_valid(cluster)

    assert run_scenario(scenario) == (0, True)


def test_engine_that_starts_after_its_agent_is_loaded_without_a_poll(monkeypatch):
    """Guards against an agent that waits for a poll once its engine answers.

    The agents of added engines began to fetch 1.5 s after their start.
    """
    module = "eelgrassdale_gateway.staging.reconciler"
    monkeypatch.setattr(f"{module}.POLL_SECONDS", 60.0)

    async def scenario(cluster):
        engine = cluster.engines["b-1"]
        engine.is_down = True
        cluster.set_target_version(2)
        await asyncio.sleep(0.05)
        engine.is_down = False
        async with asyncio.timeout(8):
            while engine.version != 2:
                await asyncio.sleep(0.01)
        return all_loads_valid(cluster)

    assert run_scenario(scenario) is True


def test_newest_version_is_reached_when_targets_change_quickly():
    async def scenario(cluster):
        cluster.origin.delay = 0.02
        for version in (2, 3, 4):
            cluster.set_target_version(version)
        await cluster.wait_for(4)
        return all_loads_valid(cluster)

    assert run_scenario(scenario)


def test_version_waits_for_an_origin_that_is_down():
    async def scenario(cluster):
        cluster.origin.is_down = True
        cluster.set_target_version(2)
        await asyncio.sleep(0.5)
        assert all(engine.version == 1 for engine in cluster.engines.values())
        cluster.origin.is_down = False
        await cluster.wait_for(2)
        return all_loads_valid(cluster)

    assert run_scenario(scenario)


def test_half_of_the_engines_of_a_data_centre_wait_for_the_others():
    turns = [turn_of(name, ["a", "b", "c", "d"]) for name in "abcd"]
    assert sorted(turns) == [0, 0, 1, 1]
    first = load_at(turn=0, ready_at=4.0, mandatory_at=9.0, has_no_version=False)
    second = load_at(turn=1, ready_at=4.0, mandatory_at=9.0, has_no_version=False)
    assert second - first > 1.0


def test_no_engine_waits_beyond_the_time_when_its_version_may_serve():
    assert load_at(turn=1, ready_at=8.0, mandatory_at=6.5, has_no_version=False) == 8.0
    assert load_at(turn=1, ready_at=5.5, mandatory_at=6.5, has_no_version=False) == 6.5


def test_version_is_finished_while_the_origin_does_not_give_the_next():
    """Guards against agents that drop a version whose successor cannot be read.

    The origin went down after the first of two target versions was set, and
    before the second.
    """

    async def scenario(cluster):
        cluster.origin.delay = 0.01
        cluster.set_target_version(2)
        while cluster.origin.reads < CHUNK_COUNT:
            await asyncio.sleep(0.002)
        cluster.origin.is_down = True
        cluster.set_target_version(3)
        await cluster.wait_for(2)
        cluster.origin.is_down = False
        await cluster.wait_for(3)
        return all_loads_valid(cluster)

    assert run_scenario(scenario, version_grace=LONG_GRACE_SECONDS)


def test_version_is_finished_while_the_origin_gives_only_digests_of_the_next():
    """Guards against dropping a version for a newer one whose transfer is stalled.

    The origin went down after serving only the manifest of the newer version.
    Agents dropped the older one, which gateways held, and no engine served once
    the version before it had expired.
    """

    async def scenario(cluster):
        await cluster.prefetch(2)
        cluster.set_target_version(2)
        await asyncio.sleep(PARTIAL_TRANSFER_SECONDS)
        cluster.origin.serves_manifests_only = True
        cluster.set_target_version(3)
        await cluster.wait_for(2)
        cluster.origin.serves_manifests_only = False
        await cluster.wait_for(3)
        return all_loads_valid(cluster)

    assert run_scenario(
        scenario,
        link_bytes_per_second=SLOW_LINK_BYTES_PER_SECOND,
        version_grace=LONG_GRACE_SECONDS,
    )


def test_newer_version_is_fetched_first_while_its_transfer_progresses():
    """Completing the older version first would load each engine twice."""

    async def scenario(cluster):
        await cluster.prefetch(2)
        cluster.set_target_version(2)
        await asyncio.sleep(PARTIAL_TRANSFER_SECONDS)
        cluster.set_target_version(3)
        await cluster.wait_for(3)
        return {version for e in cluster.engines.values() for version, _ in e.loaded}

    assert run_scenario(
        scenario, link_bytes_per_second=SLOW_LINK_BYTES_PER_SECOND / 3
    ) == {3}


def test_stalled_transfers_resume_when_the_origin_returns():
    async def scenario(cluster):
        cluster.origin.delay = 0.05
        cluster.set_target_version(2)
        while cluster.origin.reads < CHUNK_COUNT // 2:
            await asyncio.sleep(0.002)
        cluster.origin.serves_manifests_only = True
        cluster.set_target_version(3)
        await asyncio.sleep(4.0)
        cluster.origin.serves_manifests_only = False
        await cluster.wait_for(3)
        return all_loads_valid(cluster)

    assert run_scenario(scenario, link_bytes_per_second=SLOW_LINK_BYTES_PER_SECOND)


def test_restarted_agent_loads_what_it_had_staged(monkeypatch):
    """Guards against a second transfer after agents restart before the load.

    All agents and gateways lost power between a transfer and the load, and
    engines whose turn had not come yet waited for a whole transfer again.
    """
    # The second turn does not come within the test.
    monkeypatch.setattr(turns, "TURN_SECONDS", 60.0)

    async def scenario(cluster):
        cluster.set_target_version(1)
        cluster.set_target_version(2)
        while len(cluster.engines["a-2"].chunks) < CHUNK_COUNT:
            await asyncio.sleep(0.01)
        before = cluster.engines["a-2"].version
        await cluster.kill_agent("a-2")
        for name in cluster.gateways:
            cluster.kill_gateway(name)
        cluster.origin.serves_manifests_only = True
        cluster.start_agent("a-2")
        cluster.set_target_version(2)
        async with asyncio.timeout(5):
            while cluster.engines["a-2"].version != 2:
                await asyncio.sleep(0.01)
        return before, all_loads_valid(cluster)

    assert run_scenario(scenario, version_grace=100.0) == (1, True)


def test_transfer_resumes_after_a_power_loss():
    async def scenario(cluster):
        cluster.set_target_version(2)
        while len(cluster.engines["a-1"].chunks) < CHUNK_COUNT // 2:
            await asyncio.sleep(0.01)
        was_complete = cluster.reconcilers["a-1"].find("m", 2).is_complete
        await cluster.kill_agent("a-1")
        cluster.origin.serves_manifests_only = True
        for name in cluster.gateways:
            cluster.kill_gateway(name)
        cluster.start_agent("a-1")
        cluster.set_target_version(2)
        while cluster.reconcilers["a-1"].find("m", 2) is None:
            await asyncio.sleep(0.01)
        return was_complete, cluster.reconcilers["a-1"].find(
            "m", 2
        ).count >= CHUNK_COUNT // 2

    assert run_scenario(
        scenario, link_bytes_per_second=SLOW_LINK_BYTES_PER_SECOND / 4
    ) == (False, True)


def test_staging_the_next_version_does_not_spoil_a_load():
    async def scenario(cluster):
        for version in (2, 3, 4):
            cluster.set_target_version(version)
            await asyncio.sleep(3 * PARTIAL_TRANSFER_SECONDS)
        await cluster.wait_for(4)
        return all_loads_valid(cluster)

    assert run_scenario(scenario, link_bytes_per_second=SLOW_LINK_BYTES_PER_SECOND)


def test_version_that_expires_at_once_is_not_loaded():
    """Guards against an engine that opens for the last second of a version.

    All gateways then sent their requests to this one engine.
    """

    async def scenario(cluster):
        await cluster.prefetch(2)
        cluster.set_target_version(2)
        await asyncio.sleep(PARTIAL_TRANSFER_SECONDS)
        cluster.origin.serves_manifests_only = True
        cluster.set_target_version(3)
        for reconciler in cluster.reconcilers.values():
            while not reconciler.find("m", 2).is_complete:
                await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_SECONDS)
        cluster.origin.serves_manifests_only = False
        await cluster.wait_for(3)
        return {version for e in cluster.engines.values() for version, _ in e.loaded}

    # Version 2 is complete at the earliest 3.9 s after it became the target.
    loaded = run_scenario(
        scenario,
        link_bytes_per_second=SLOW_LINK_BYTES_PER_SECOND / 2,
        version_grace=4.5,
    )
    assert loaded == {3}


def test_version_that_becomes_obsolete_before_its_order_is_not_loaded():
    """Guards against an order on the ground of a state that is no longer true.

    An agent that was paused, or waited long for its engine, ordered the load of a
    version that could serve no more.
    """

    async def scenario(cluster):
        engine = cluster.engines["b-1"]
        staged_chunks = engine.staged_chunks
        calls = itertools.count()

        async def staged_chunks_after_a_pause(model):
            # The first call reads back what was staged; the second precedes the load.
            if next(calls) == 1:
                cluster.set_target_version(3)
            return await staged_chunks(model)

        engine.staged_chunks = staged_chunks_after_a_pause
        cluster.set_target_version(2)
        await cluster.wait_for(3)
        return [version for version, _ in engine.loaded]

    assert run_scenario(scenario, version_grace=1.0) == [3]


def test_chunk_that_turns_bad_in_a_pause_before_the_order_is_not_loaded():
    """Guards against an order that rests on a comparison from before a pause."""
    pauses = []

    async def scenario(cluster):
        engine = cluster.engines["a-1"]
        reconciler = cluster.reconcilers["a-1"]
        read_state, read_chunk = engine.read_state, engine.read_chunk
        is_compared = False

        async def record_comparison(model, index, *, max_bytes):
            nonlocal is_compared
            is_compared = index == CHUNK_COUNT - 1
            return await read_chunk(model, index, max_bytes=max_bytes)

        async def pause_before_the_order():
            if is_compared and not pauses:
                pauses.append(4.0)
                engine.chunks[3] = b"rotten"
            return await read_state()

        engine.read_chunk = record_comparison
        engine.read_state = pause_before_the_order
        reconciler._boottime = lambda: boottime_seconds() + sum(pauses)
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        return all_loads_valid(cluster)

    assert run_scenario(scenario)
    assert pauses


def test_weights_of_a_model_that_is_gone_are_dropped():
    """Guards against weights of each model that was ever named, 2 MB each."""

    async def scenario(cluster):
        cluster.set_target_version(2)
        await cluster.wait_for(2)
        relay, reconciler = cluster._relays[0], cluster.reconcilers["a-1"]
        held = len(relay._versions), len(reconciler._models)
        relay.retain_models({"other"})
        reconciler.set_target_versions({"other": 1})
        return held, (len(relay._versions), list(reconciler._models))

    assert run_scenario(scenario) == ((1, 1), (0, ["other"]))
