"""Tests of fetching chunks of weights."""

import asyncio

import pytest

from eelgrassdale.clock import SystemClock
from eelgrassdale_gateway.staging.chunks import ChunkSet, manifest_of
from eelgrassdale_gateway.staging.engine import VersionGone
from eelgrassdale_gateway.staging.fetching import Fetcher
from eelgrassdale_gateway.staging.tests.cluster import FakeOrigin, weights


def test_version_that_is_gone_at_the_origin_ends_the_transfer():
    """Guards against reading a version that no longer exists again and again.

    It counted as a source that is unavailable for the moment.
    """
    fetcher = Fetcher(
        data_centre="a",
        region="n",
        clock=SystemClock(),
        gateways=lambda: (),
        origin=lambda: FakeOrigin(newest=9),
        link_bytes_per_second=0.0,
    )
    chunks = ChunkSet(manifest=manifest_of("m", 2, weights(2)))

    async def run():
        async with asyncio.timeout(5):
            await fetcher.fetch(chunks, lambda: True)

    with pytest.raises(ExceptionGroup) as caught:
        asyncio.run(run())
    assert caught.value.subgroup(VersionGone) is not None
