"""Tests that engines get whole, right versions while parts fail."""

import asyncio

from attrs import evolve

from eelgrassdale_gateway.staging import turns
from eelgrassdale_gateway.staging.tests.farm import CHUNK_PAIRS, COUNT, play, weights
from eelgrassdale_gateway.staging.turns import load_at, turn_of

# A transfer takes 1.5 s or more.
SLOW_LINK = 2 * COUNT * CHUNK_PAIRS / 1.5
QUARTER_SECONDS = 0.4
# An older version may serve long enough to be worth a load.
LONG_GRACE = 20.0
# An agent looks this often at what it could load.
SETTLE_SECONDS = 0.6


def all_loads_right(farm):
    return all(
        is_right for engine in farm.engines.values() for _, is_right in engine.loaded
    )


def test_version_reaches_every_engine_for_one_copy_from_the_origin():
    async def scene(farm):
        farm.name_version(2)
        await farm.wait_for(2)
        return farm.origin.reads, all_loads_right(farm)

    assert play(scene) == (COUNT, True)


def test_engine_is_closed_before_its_load_and_opened_after_it():
    async def scene(farm):
        farm.name_version(2)
        await farm.wait_for(2)
        while sum(is_open for _, is_open, _ in farm.notices) < len(farm.engines):
            await asyncio.sleep(0.01)
        return [note for note in farm.notices if note[0] == "a-1"]

    notes = play(scene)
    assert notes[0] == ("a-1", False, 1)
    assert notes[-1] == ("a-1", True, 2)


def test_damaged_chunks_are_neither_staged_nor_passed_on():
    async def scene(farm):
        farm.origin.spoil = {0: 2, 5: 1}
        farm.name_version(2)
        await farm.wait_for(2)
        return all_loads_right(farm)

    assert play(scene)


def test_chunk_that_turned_bad_in_staging_is_staged_again():
    """Staged chunks may rot; an order loads whatever is there."""

    async def scene(farm):
        engine = farm.engines["a-1"]
        engine.chunks = dict(enumerate(weights(2)))
        engine.chunks[3] = b"rotten"
        del engine.chunks[7]
        farm.name_version(2)
        await farm.wait_for(2)
        return all_loads_right(farm)

    assert play(scene)


def test_dead_gateway_does_not_keep_its_chunks_from_the_agents():
    async def scene(farm):
        farm.kill_gateway("a-1")
        farm.kill_gateway("b-2")
        farm.name_version(2)
        await farm.wait_for(2)
        return all_loads_right(farm), farm.origin.reads

    is_right, reads = play(scene)
    assert is_right
    assert reads <= 1.6 * COUNT


def test_agents_without_any_gateway_read_from_the_origin():
    async def scene(farm):
        for name in farm.gateways:
            farm.kill_gateway(name)
        farm.name_version(2)
        await farm.wait_for(2)
        return all_loads_right(farm)

    assert play(scene)


def test_digests_that_were_damaged_themselves_are_read_again():
    """Chunks never match digests that the origin garbled."""

    async def scene(farm):
        manifest = farm.origin.manifest
        garbled = []

        async def garble_once(model, version):
            found = await manifest(model, version)
            if garbled:
                return found
            garbled.append(version)
            return evolve(found, digests=("0" * 64, *found.digests[1:]))

        farm.origin.manifest = garble_once
        farm.name_version(2)
        await farm.wait_for(2)
        return all_loads_right(farm)

    assert play(scene)


def test_restarted_engine_gets_its_version_again_without_the_origin():
    async def scene(farm):
        farm.name_version(2)
        await farm.wait_for(2)
        reads = farm.origin.reads
        farm.engines["b-1"].restart()
        await farm.wait_for(2)
        return farm.origin.reads - reads, all_loads_right(farm)

    assert play(scene) == (0, True)


def test_newest_version_is_reached_when_names_come_in_quick_succession():
    async def scene(farm):
        farm.origin.delay = 0.02
        for version in (2, 3, 4):
            farm.name_version(version)
        await farm.wait_for(4)
        return all_loads_right(farm)

    assert play(scene)


def test_version_waits_for_an_origin_that_is_down():
    async def scene(farm):
        farm.origin.is_down = True
        farm.name_version(2)
        await asyncio.sleep(0.5)
        assert all(engine.version == 1 for engine in farm.engines.values())
        farm.origin.is_down = False
        await farm.wait_for(2)
        return all_loads_right(farm)

    assert play(scene)


def test_half_of_the_engines_of_a_data_centre_wait_for_the_others():
    turns = [turn_of(name, ["a", "b", "c", "d"]) for name in "abcd"]
    assert sorted(turns) == [0, 0, 1, 1]
    first = load_at(turn=0, ready_at=4.0, binding_at=9.0, is_empty=False)
    second = load_at(turn=1, ready_at=4.0, binding_at=9.0, is_empty=False)
    assert second - first > 1.0


def test_no_engine_waits_beyond_the_time_when_its_version_may_serve():
    assert load_at(turn=1, ready_at=8.0, binding_at=6.5, is_empty=False) == 8.0
    assert load_at(turn=1, ready_at=5.5, binding_at=6.5, is_empty=False) == 6.5


def test_version_is_finished_while_the_origin_does_not_give_the_next():
    """An origin went down between two namings, and agents dropped the first."""

    async def scene(farm):
        farm.origin.delay = 0.01
        farm.name_version(2)
        while farm.origin.reads < COUNT:
            await asyncio.sleep(0.002)
        farm.origin.is_down = True
        farm.name_version(3)
        await farm.wait_for(2)
        farm.origin.is_down = False
        await farm.wait_for(3)
        return all_loads_right(farm)

    assert play(scene, version_grace=LONG_GRACE)


def test_version_is_finished_while_the_origin_gives_only_digests_of_the_next():
    """Agents dropped a version that gateways held, for one whose transfer stood.

    Its origin had gone down right after it gave the digests of the next, and
    no engine served from the moment at which the old version expired.
    """

    async def scene(farm):
        await farm.prefetch(2)
        farm.name_version(2)
        await asyncio.sleep(QUARTER_SECONDS)
        farm.origin.gives_manifests_only = True
        farm.name_version(3)
        await farm.wait_for(2)
        farm.origin.gives_manifests_only = False
        await farm.wait_for(3)
        return all_loads_right(farm)

    assert play(scene, link_bytes_per_second=SLOW_LINK, version_grace=LONG_GRACE)


def test_newer_version_is_fetched_first_while_its_transfer_moves():
    """Finishing an older version first would load each engine twice."""

    async def scene(farm):
        await farm.prefetch(2)
        farm.name_version(2)
        await asyncio.sleep(QUARTER_SECONDS)
        farm.name_version(3)
        await farm.wait_for(3)
        return {version for e in farm.engines.values() for version, _ in e.loaded}

    assert play(scene, link_bytes_per_second=SLOW_LINK / 3) == {3}


def test_transfers_that_both_stand_still_go_on_when_the_origin_returns():
    async def scene(farm):
        farm.origin.delay = 0.05
        farm.name_version(2)
        while farm.origin.reads < COUNT // 2:
            await asyncio.sleep(0.002)
        farm.origin.gives_manifests_only = True
        farm.name_version(3)
        await asyncio.sleep(4.0)
        farm.origin.gives_manifests_only = False
        await farm.wait_for(3)
        return all_loads_right(farm)

    assert play(scene, link_bytes_per_second=SLOW_LINK)


def test_agent_that_lost_its_memory_loads_what_it_had_staged(monkeypatch):
    """All agents and gateways lost power between a transfer and the load.

    Engines whose turn had not come yet waited for a whole transfer again.
    """
    # The second turn does not come within the test.
    monkeypatch.setattr(turns, "TURN_SECONDS", 60.0)

    async def scene(farm):
        farm.name_version(1)
        farm.name_version(2)
        while len(farm.engines["a-2"].chunks) < COUNT:
            await asyncio.sleep(0.01)
        before = farm.engines["a-2"].version
        await farm.kill_agent("a-2")
        for name in farm.gateways:
            farm.kill_gateway(name)
        farm.origin.gives_manifests_only = True
        farm.start_agent("a-2")
        farm.name_version(2)
        async with asyncio.timeout(5):
            while farm.engines["a-2"].version != 2:
                await asyncio.sleep(0.01)
        return before, all_loads_right(farm)

    assert play(scene, version_grace=100.0) == (1, True)


def test_transfer_goes_on_where_it_was_after_a_loss_of_power():
    async def scene(farm):
        farm.name_version(2)
        while len(farm.engines["a-1"].chunks) < COUNT // 2:
            await asyncio.sleep(0.01)
        was_whole = farm.keepers["a-1"].find("m", 2).is_whole
        await farm.kill_agent("a-1")
        farm.origin.gives_manifests_only = True
        for name in farm.gateways:
            farm.kill_gateway(name)
        farm.start_agent("a-1")
        farm.name_version(2)
        while farm.keepers["a-1"].find("m", 2) is None:
            await asyncio.sleep(0.01)
        return was_whole, farm.keepers["a-1"].find("m", 2).count >= COUNT // 2

    assert play(scene, link_bytes_per_second=SLOW_LINK / 4) == (False, True)


def test_staging_the_next_version_does_not_spoil_a_load():
    async def scene(farm):
        for version in (2, 3, 4):
            farm.name_version(version)
            await asyncio.sleep(3 * QUARTER_SECONDS)
        await farm.wait_for(4)
        return all_loads_right(farm)

    assert play(scene, link_bytes_per_second=SLOW_LINK)


def test_version_that_expires_at_once_is_not_loaded():
    """An engine opened for the last second of a version, and all sent to it."""

    async def scene(farm):
        await farm.prefetch(2)
        farm.name_version(2)
        await asyncio.sleep(QUARTER_SECONDS)
        farm.origin.gives_manifests_only = True
        farm.name_version(3)
        for keeper in farm.keepers.values():
            while not keeper.find("m", 2).is_whole:
                await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_SECONDS)
        farm.origin.gives_manifests_only = False
        await farm.wait_for(3)
        return {version for e in farm.engines.values() for version, _ in e.loaded}

    # Version 2 is whole 3.9 s after it was named or later.
    loaded = play(scene, link_bytes_per_second=SLOW_LINK / 2, version_grace=4.5)
    assert loaded == {3}
