"""Tests of whole transfers between weights tasks."""

import random

import pytest

from eelgrassdale_agent.tests.weights_fleet import Fleet, wait_until

CHUNK_BYTES = 2048


def weights(seed: int, chunks: int = 24) -> bytes:
    """Return reproducible bytes."""
    return random.Random(seed).randbytes(chunks * CHUNK_BYTES)


@pytest.fixture
def fleet():
    """Run six agents in three regions."""
    running = Fleet(6, max_loading=2)
    yield running
    running.stop()


def test_one_copy_from_origin_reaches_every_agent(fleet):
    fleet.start()
    manifest = fleet.source.add("m-1", weights(1), CHUNK_BYTES)
    fleet.push(manifest)
    assert wait_until(lambda: fleet.all_ready("m-1"))
    assert sorted(fleet.source.reads) == list(range(manifest.count))
    assert fleet.violations() == 0
