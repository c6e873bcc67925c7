"""Tests of fetching chunks of weights."""

import asyncio
from collections import Counter

import pytest

from eelgrassdale.clock import SystemClock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale.http1 import HttpServer
from eelgrassdale_gateway.staging.chunks import ChunkSet, manifest_of
from eelgrassdale_gateway.staging.engine import SourceUnavailable, VersionGone
from eelgrassdale_gateway.staging.fetching import (
    CONCURRENT_READS,
    GATEWAY_COOLDOWN_SECONDS,
    Fetcher,
    chunk_order,
)
from eelgrassdale_gateway.staging.relay import GatewayEndpoint, reading_order
from eelgrassdale_gateway.staging.serving import WeightsServer
from eelgrassdale_gateway.staging.tests.cluster import FakeOrigin, weights


def test_version_that_is_gone_at_the_origin_ends_the_transfer():
    """Guards against reading a version that no longer exists again and again.

    It counted as a source that is unavailable for the moment.
    """
    fetcher = Fetcher(
        name="agent",
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


def fetch_from_gateway(read, use):
    """Return the result of `use` with a fetcher that has one gateway, which `read`s."""

    async def run():
        server = HttpServer(handler=WeightsServer(read=read).handle)
        address = await server.start("127.0.0.1", 0)
        gateway = GatewayEndpoint(
            name="g", data_centre="a", region="n", address=address
        )
        fetcher = Fetcher(
            name="agent",
            data_centre="a",
            region="n",
            clock=SystemClock(),
            gateways=lambda: (gateway,),
            origin=lambda: None,
            link_bytes_per_second=0.0,
        )
        try:
            return await use(fetcher)
        finally:
            server.stop_listening()
            server.abort_all()

    return asyncio.run(run())


def test_version_without_a_copy_does_not_keep_the_agent_from_another_one():
    """Guards against gateways that are left alone for a version they cannot have yet.

    While the origin was down, each read of the digests of the newest version stopped
    the transfer of the one before it, which the gateways had, for 3 s.
    """
    chunks = ChunkSet(manifest=manifest_of("m", 2, weights(2)))

    async def read(chunk_request):
        if chunk_request.version != 2:
            raise SourceUnavailable("the origin is down")
        return weights(2)[chunk_request.index]

    async def use(fetcher):
        with pytest.raises(SourceUnavailable):
            await fetcher.manifest("m", 3)
        async with asyncio.timeout(GATEWAY_COOLDOWN_SECONDS / 2):
            return await fetcher.fetch(chunks, lambda: True)

    assert fetch_from_gateway(read, use) is True


def test_chunks_without_a_source_do_not_hold_up_the_others():
    """Guards against concurrent reads that all wait for chunks nobody has yet.

    The origin failed before the gateways had the last chunks of a version. Agents
    read those that the gateways had only after its return.
    """
    data = weights(2)
    chunks = ChunkSet(manifest=manifest_of("m", 2, data))
    late = set(chunk_order("agent", len(data))[:CONCURRENT_READS])

    async def read(chunk_request):
        if chunk_request.index in late and chunks.count < len(data) - len(late):
            raise SourceUnavailable("the origin is down")
        return data[chunk_request.index]

    async def use(fetcher):
        async with asyncio.timeout(GATEWAY_COOLDOWN_SECONDS):
            return await fetcher.fetch(chunks, lambda: True)

    assert fetch_from_gateway(read, use) is True


def test_owners_of_chunks_are_computed_once_for_all_chunks(monkeypatch):
    """Guards against work that grows with the square of the number of chunks.

    Each gateway computed the owners of all chunks anew for each of them, when a
    version was named.
    """
    orders = 0

    def counted(**kwargs):
        nonlocal orders
        orders += 1
        return rendezvous_order(**kwargs)

    monkeypatch.setattr("eelgrassdale.weights.ownership.rendezvous_order", counted)
    gateways = [f"gateway-{number}" for number in range(10)]
    for index in range(64):
        reading_order("counted/1", 64, index, gateways)
    assert orders <= 2 * 64


def test_agents_of_a_data_centre_read_from_all_of_its_gateways_at_a_time():
    """Guards against a transfer that is bound by the links of two gateways.

    16 agents with links of 3.8 Mbit/s read from gateways of 20 Mbit/s. In the same
    order, 16 reads of half a link each came from one gateway, which bears 10 of them.
    """
    count, gateways = 64, [f"gateway-{number}" for number in range(10)]
    orders = [chunk_order(f"side-namen-a-{number}", count) for number in range(1, 17)]
    for step in range(0, count, CONCURRENT_READS):
        reads = Counter(
            reading_order("m/2", count, index, gateways)[0]
            for order in orders
            for index in order[step : step + CONCURRENT_READS]
        )
        assert max(reads.values()) <= 10
