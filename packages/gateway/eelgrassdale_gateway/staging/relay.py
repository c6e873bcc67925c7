"""Chunks on their way through gateways, fetched once and kept for all readers.

The links of the VMs of backend servers are narrow and carry the answers of
their engines. Gateways have wide links, so each chunk comes from the origin to
one gateway, from there to one in each other region, and to the agents only
from gateways near them. Agents send nothing.
"""

import asyncio
from collections.abc import Callable, Collection, Sequence

import structlog
from attrs import define, evolve, field, frozen

from eelgrassdale.weights.ownership import assign_owners, candidates
from eelgrassdale_gateway.staging.chunks import ChunkSet, WeightsManifest
from eelgrassdale_gateway.staging.engine import SourceUnavailable, WeightsOrigin
from eelgrassdale_gateway.staging.serving import (
    Address,
    ChunkRequest,
    WeightsClient,
    decode_manifest,
    encode_manifest,
)

# Reads from the origin by one gateway at one time; its link is shared by all.
ORIGIN_READS = 4
ORIGIN_SECONDS = 4.0
GATEWAY_SECONDS = 5.0
ATTEMPTS = 3
PAUSE_SECONDS = 0.15
PREFETCH_PAUSE_SECONDS = 0.3
# Damaged copies of one chunk after which the digests themselves are in doubt.
DOUBT_AFTER = 3
# Versions kept: the newest, and the one before it while agents change over.
MAX_VERSIONS = 2

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class GatewayPlace:
    """A live gateway and where it serves chunks."""

    name: str
    data_centre: str
    region: str
    address: Address


@frozen(kw_only=True)
class OriginFacts:
    """The origin and the region that it is in, empty if unknown."""

    origin: WeightsOrigin
    region: str = ""


def reading_order(key: str, count: int, index: int, names: Collection[str]) -> list:
    """Return the gateways to ask for a chunk, its owner first.

    Owners have equal numbers of chunks. Every node that knows the same names
    computes the same order.

    Examples
    --------
    >>> order = reading_order("m/2", 4, 0, ["a", "b"])
    >>> sorted(order)
    ['a', 'b']

    """
    if not names:
        return []
    members = tuple(sorted(names))
    owner = assign_owners(manifest=key, count=count, members=members)[index]
    order = candidates(manifest=key, index=index, members=members)
    return [owner, *(name for name in order if name != owner)]


@define(kw_only=True, eq=False)
class _Version:
    chunks: ChunkSet
    reads: dict[int, "asyncio.Task[bytes]"] = field(factory=dict)
    damaged: dict[int, int] = field(factory=dict)


class ChunkRelay:
    """Fetches what readers ask for, once for all of them.

    Parameters
    ----------
    me : GatewayPlace
        This gateway.
    gateways : callable
        Returns the live gateways, this one included or not.
    origin : callable
        Returns `OriginFacts`, or None while none is known.
    """

    def __init__(
        self,
        *,
        me: GatewayPlace,
        gateways: Callable[[], Sequence[GatewayPlace]],
        origin: Callable[[], OriginFacts | None],
    ) -> None:
        self._me = me
        self._gateways = gateways
        self._origin = origin
        self._client = WeightsClient()
        self._versions: dict[tuple[str, int], _Version] = {}
        self._manifests: dict[tuple[str, int], asyncio.Task[WeightsManifest]] = {}
        self._origin_turn = asyncio.Semaphore(ORIGIN_READS)
        self.origin_bytes = 0

    async def read(self, asked: ChunkRequest) -> bytes:
        """Return a chunk or a manifest; raises `SourceUnavailable`."""
        held = await self._version(asked)
        manifest = held.chunks.manifest
        if asked.index is None:
            return encode_manifest(manifest)
        if not 0 <= asked.index < manifest.count:
            raise SourceUnavailable(f"{manifest.key} has no chunk {asked.index}")
        data = held.chunks.get(asked.index)
        if data is not None:
            return data
        read = held.reads.get(asked.index)
        if read is None:
            read = asyncio.ensure_future(self._fetch(held, asked))
            held.reads[asked.index] = read
            read.add_done_callback(lambda done: _forget(held.reads, asked.index, done))
        # Readers that leave must not end the read for the others.
        return await asyncio.shield(read)

    async def prefetch(self, model: str, version: int) -> None:
        """Fetch the chunks that agents near here will ask this gateway for.

        Agents then wait for their own link only, not for the way of each chunk
        through other gateways. Ends only with the last chunk; the caller
        cancels it for a version that is no longer wanted.
        """
        whole = ChunkRequest(model=model, version=version)
        for index in await self._owned(whole):
            while not await self._try_prefetch(evolve(whole, index=index)):
                await asyncio.sleep(PREFETCH_PAUSE_SECONDS)

    async def _owned(self, whole: ChunkRequest) -> list[int]:
        """Return the chunks that agents near here ask this gateway for first."""
        while not await self._try_prefetch(whole):
            await asyncio.sleep(PREFETCH_PAUSE_SECONDS)
        manifest = (await self._version(whole)).chunks.manifest
        here = {self._me.name} | {
            place.name
            for place in self._gateways()
            if place.data_centre == self._me.data_centre
        }
        return [
            index
            for index in range(manifest.count)
            if reading_order(manifest.key, manifest.count, index, here)[0]
            == self._me.name
        ]

    async def _try_prefetch(self, asked: ChunkRequest) -> bool:
        try:
            await self.read(asked)
        except SourceUnavailable as exc:
            log.info("not prefetched", index=asked.index, reason=str(exc))
            return False
        return True

    async def _version(self, asked: ChunkRequest) -> _Version:
        key = (asked.model, asked.version)
        held = self._versions.get(key)
        if held is not None:
            return held
        reading = self._manifests.get(key)
        if reading is None:
            reading = asyncio.ensure_future(self._read_manifest(asked))
            self._manifests[key] = reading
            reading.add_done_callback(lambda done: _forget(self._manifests, key, done))
        manifest = await asyncio.shield(reading)
        held = self._versions.get(key)
        if held is None:
            held = self._versions[key] = _Version(chunks=ChunkSet(manifest=manifest))
            self._drop_old(asked.model)
        return held

    def _drop_old(self, model: str) -> None:
        versions = sorted(key for key in self._versions if key[0] == model)
        for key in versions[:-MAX_VERSIONS]:
            del self._versions[key]

    async def _read_manifest(self, asked: ChunkRequest) -> WeightsManifest:
        for upstream in self._upstreams(asked, count=1, index=0):
            request = ChunkRequest(
                model=asked.model, version=asked.version, is_relayed=True
            )
            try:
                data = await self._client.read(
                    upstream.address, request, timeout=GATEWAY_SECONDS
                )
                return decode_manifest(asked.model, asked.version, data)
            except SourceUnavailable as exc:
                log.info("manifest not read", gateway=upstream.name, reason=str(exc))
        return await self._origin_manifest(asked)

    async def _origin_manifest(self, asked: ChunkRequest) -> WeightsManifest:
        facts = self._known_origin()
        try:
            async with asyncio.timeout(ORIGIN_SECONDS):
                return await facts.origin.manifest(asked.model, asked.version)
        except TimeoutError as exc:
            raise SourceUnavailable("no manifest in time") from exc

    async def _fetch(self, held: _Version, asked: ChunkRequest) -> bytes:
        for attempt in range(ATTEMPTS):
            if attempt:
                await asyncio.sleep(PAUSE_SECONDS)
            data = await self._try_all(held, asked)
            if data is not None:
                return data
        raise SourceUnavailable(f"{held.chunks.manifest.key}: no source")

    async def _try_all(self, held: _Version, asked: ChunkRequest) -> bytes | None:
        """Ask the gateways that come before the origin, then the origin."""
        manifest = held.chunks.manifest
        for upstream in self._upstreams(asked, count=manifest.count, index=asked.index):
            request = ChunkRequest(
                model=asked.model,
                version=asked.version,
                index=asked.index,
                is_relayed=True,
            )
            try:
                data = await self._client.read(
                    upstream.address, request, timeout=GATEWAY_SECONDS
                )
            except SourceUnavailable as exc:
                log.info("chunk not read", gateway=upstream.name, reason=str(exc))
                continue
            if self._keep(held, asked.index, data, upstream.name):
                return data
        return await self._try_origin(held, asked)

    async def _try_origin(self, held: _Version, asked: ChunkRequest) -> bytes | None:
        facts = self._known_origin()
        try:
            async with self._origin_turn, asyncio.timeout(ORIGIN_SECONDS):
                data = await facts.origin.chunk(asked.model, asked.version, asked.index)
        except (SourceUnavailable, TimeoutError) as exc:
            log.info("chunk not read", gateway="origin", reason=repr(exc))
            return None
        self.origin_bytes += len(data)
        return data if self._keep(held, asked.index, data, "origin") else None

    def _keep(self, held: _Version, index: int, data: bytes, source: str) -> bool:
        if held.chunks.add(index, data):
            return True
        manifest = held.chunks.manifest
        damaged = held.damaged[index] = held.damaged.get(index, 0) + 1
        log.warning("chunk damaged", version=manifest.key, index=index, source=source)
        if damaged >= DOUBT_AFTER:
            self._versions.pop((manifest.model, manifest.version), None)
        return False

    def _upstreams(
        self, asked: ChunkRequest, *, count: int, index: int
    ) -> list[GatewayPlace]:
        """Return the gateways to ask before the origin, at most two.

        A read that another gateway relays goes to the origin, so no read goes
        round in circles.
        """
        facts = self._origin()
        if asked.is_relayed or facts is None:
            return []
        region = facts.region or self._me.region
        places = {place.name: place for place in self._gateways()}
        if self._me.region == region:
            places[self._me.name] = self._me
        names = [name for name, place in places.items() if place.region == region]
        key = f"{asked.model}/{asked.version}"
        order = reading_order(key, count, index, names)[:2]
        if self._me.name in order:
            order = order[: order.index(self._me.name)]
        return [places[name] for name in order]

    def _known_origin(self) -> OriginFacts:
        facts = self._origin()
        if facts is None:
            raise SourceUnavailable("no origin is configured")
        return facts


def _forget(reads: dict, key: object, done: "asyncio.Task") -> None:
    """Drop a read that ended; its readers may all have left before it failed."""
    reads.pop(key, None)
    if not done.cancelled():
        done.exception()
