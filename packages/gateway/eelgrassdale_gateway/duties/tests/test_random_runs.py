"""Three gateways with random failures; what the cloud API observes must hold."""

import asyncio

import pytest

from eelgrassdale_gateway.duties.tests.simulation import World, simulate

RUN_SECONDS = 150
CALM_SECONDS = 30


async def disturb(world):
    """Disturb something at random, one to five seconds apart."""
    rng = world.rng
    copies = [world.copy_of_store()]
    ends_at = world.now + RUN_SECONDS
    while world.now < ends_at:
        await asyncio.sleep(rng.uniform(1, 5))
        copies = [*copies[-2:], world.copy_of_store()]
        node = rng.choice(list(world.nodes.values()))
        match rng.randrange(10):
            case 0:
                node.freeze(rng.uniform(0.5, 9))
            case 1:
                node.freeze_before_arrival = rng.uniform(0.5, 9)
            case 2:
                node.is_store_cut = not node.is_store_cut
            case 3:
                node.is_peers_cut = not node.is_peers_cut
            case 4 if node.duties:
                node.kill()
            case 5 if not node.duties:
                node.start()
            case 6:
                node.lost_answers = rng.randrange(4)
            case 7 if rng.random() < 0.3:
                world.restore(rng.choice(copies))
            case 8:
                node.wall_offset = rng.uniform(-4, 4)
            case 9:
                node.is_cloud_cut = not node.is_cloud_cut


async def run(seed):
    world = World(seed=seed)
    world.loss = 0.1
    world.cloud_answer = lambda: world.rng.choices((200, 429, 500, None), (8, 1, 1, 1))[
        0
    ]
    await world.start()

    async def count():
        while True:
            await asyncio.sleep(0.2)
            for node in world.nodes.values():
                node.count(world.rng.choice("abc"))

    counting = asyncio.ensure_future(count())
    await disturb(world)
    world.loss = 0.0
    for node in world.nodes.values():
        node.is_store_cut = node.is_peers_cut = node.is_cloud_cut = False
        node.wall_offset = 0.0
        if node.duties is None:
            node.start()
    reported_before = set(world.accepted)
    await asyncio.sleep(CALM_SECONDS)
    counting.cancel()
    world.check_invariants()
    return world, set(world.accepted) - reported_before


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_random_failures(seed):
    """Guards against two holders, tokens that fall, and two reports of a window."""
    world, reported_in_calm = simulate(run(seed))
    assert len(world.accepted) > 5
    assert len(reported_in_calm) >= 3
