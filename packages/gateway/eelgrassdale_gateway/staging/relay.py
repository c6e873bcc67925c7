"""Relay of chunks through gateways, each fetched once and cached for all readers.

The links of the backend servers' VMs are narrow and carry the answers of their
engines, while gateways have wide links. So each chunk goes from the origin to
one gateway of the origin's region, from there to the gateways of other regions
that serve it, and to each agent from a gateway near it. Agents serve no chunks.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Collection, Sequence
from functools import lru_cache

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

# Concurrent reads of one gateway from the origin, whose link all gateways share.
MAX_ORIGIN_READS = 4
ORIGIN_TIMEOUT_SECONDS = 4.0
GATEWAY_TIMEOUT_SECONDS = 5.0
MAX_ATTEMPTS = 3
RETRY_DELAY_SECONDS = 0.15
PREFETCH_RETRY_DELAY_SECONDS = 0.3
# After this many copies of one chunk that do not match its digest, the manifest
# itself may be wrong, and the version is dropped and read again.
MAX_CORRUPT_COPIES = 3
# Versions cached for each model: the newest, and the one before it while agents
# switch to the newest.
MAX_VERSIONS = 2

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class GatewayEndpoint:
    """Name, location and peer address of a live gateway."""

    name: str
    data_centre: str
    region: str
    address: Address


@frozen(kw_only=True)
class OriginInfo:
    """The origin and its region, which is empty if unknown."""

    origin: WeightsOrigin
    region: str = ""


def reading_order(key: str, count: int, index: int, names: Collection[str]) -> list:
    """Return the names of the gateways to ask for a chunk, its owner first.

    Owners have equal numbers of chunks. All nodes that know the same names
    compute the same order.

    Examples
    --------
    >>> order = reading_order("m/2", 4, 0, ["a", "b"])
    >>> sorted(order)
    ['a', 'b']

    """
    if not names:
        return []
    members = tuple(sorted(names))
    owner = _owners(key, count, members)[index]
    order = candidates(manifest=key, index=index, members=members)
    return [owner, *(name for name in order if name != owner)]


# Two versions, in the data centre and in the origin's region, and after the last
# changes of their gateways.
@lru_cache(maxsize=32)
def _owners(key: str, count: int, members: tuple[str, ...]) -> tuple[str, ...]:
    return assign_owners(manifest=key, count=count, members=members)


@define(kw_only=True, eq=False)
class _CachedVersion:
    chunks: ChunkSet
    pending_reads: dict[int, "asyncio.Task[bytes]"] = field(factory=dict)
    damaged: dict[int, int] = field(factory=dict)


class ChunkRelay:
    """Fetches each requested chunk and manifest once, and serves it to all readers.

    Parameters
    ----------
    me : GatewayEndpoint
        This gateway.
    gateways : callable
        Returns the live gateways, this one included or not.
    origin : callable
        Returns `OriginInfo`, or None while none is known.
    """

    def __init__(
        self,
        *,
        me: GatewayEndpoint,
        gateways: Callable[[], Sequence[GatewayEndpoint]],
        origin: Callable[[], OriginInfo | None],
    ) -> None:
        self._me = me
        self._gateways = gateways
        self._origin = origin
        self._client = WeightsClient()
        self._versions: dict[tuple[str, int], _CachedVersion] = {}
        self._manifest_reads: dict[tuple[str, int], asyncio.Task[WeightsManifest]] = {}
        self._origin_slots = asyncio.Semaphore(MAX_ORIGIN_READS)
        self.origin_bytes = 0

    async def read(self, chunk_request: ChunkRequest) -> bytes:
        """Return a chunk or an encoded manifest.

        Raises
        ------
        SourceUnavailable
            If no source returned a valid copy, or no such chunk exists.
        """
        cached = await self._cached_version(chunk_request)
        manifest = cached.chunks.manifest
        if chunk_request.index is None:
            return encode_manifest(manifest)
        if not 0 <= chunk_request.index < manifest.count:
            raise SourceUnavailable(
                f"{manifest.key} has no chunk {chunk_request.index}"
            )
        data = cached.chunks.get(chunk_request.index)
        if data is not None:
            return data
        read = cached.pending_reads.get(chunk_request.index)
        if read is None:
            read = asyncio.ensure_future(self._fetch(cached, chunk_request))
            cached.pending_reads[chunk_request.index] = read
            read.add_done_callback(
                lambda done: _drop_finished(
                    cached.pending_reads, chunk_request.index, done
                )
            )
        # A reader that is cancelled must not cancel the read for the others.
        return await asyncio.shield(read)

    def retain_models(self, models: Collection[str]) -> None:
        """Drop the cached chunks of all other models."""
        for key in list(self._versions):
            if key[0] not in models:
                del self._versions[key]

    async def prefetch(self, model: str, version: int) -> None:
        """Fetch the chunks that agents of this data centre will ask this gateway for.

        Agents then wait only for their own link, not for other gateways on the
        path from the origin. Retries until the last chunk is cached; the caller
        cancels it when the version is no longer wanted.
        """
        manifest_request = ChunkRequest(model=model, version=version)
        missing = deque(await self._owned_indexes(manifest_request))
        while missing:
            index = missing.popleft()
            if not await self._try_prefetch(evolve(manifest_request, index=index)):
                # The origin or another gateway may have the other chunks.
                missing.append(index)
                await asyncio.sleep(PREFETCH_RETRY_DELAY_SECONDS)

    async def _owned_indexes(self, manifest_request: ChunkRequest) -> list[int]:
        """Return the chunks that this gateway owns in its data centre."""
        while not await self._try_prefetch(manifest_request):
            await asyncio.sleep(PREFETCH_RETRY_DELAY_SECONDS)
        manifest = (await self._cached_version(manifest_request)).chunks.manifest
        in_data_centre = {self._me.name} | {
            gateway.name
            for gateway in self._gateways()
            if gateway.data_centre == self._me.data_centre
        }
        return [
            index
            for index in range(manifest.count)
            if reading_order(manifest.key, manifest.count, index, in_data_centre)[0]
            == self._me.name
        ]

    async def _try_prefetch(self, chunk_request: ChunkRequest) -> bool:
        try:
            await self.read(chunk_request)
        except SourceUnavailable as exc:
            log.info(
                "prefetch failed; retrying", index=chunk_request.index, reason=str(exc)
            )
            return False
        return True

    async def _cached_version(self, chunk_request: ChunkRequest) -> _CachedVersion:
        key = (chunk_request.model, chunk_request.version)
        cached = self._versions.get(key)
        if cached is not None:
            return cached
        manifest_read = self._manifest_reads.get(key)
        if manifest_read is None:
            manifest_read = asyncio.ensure_future(self._read_manifest(chunk_request))
            self._manifest_reads[key] = manifest_read
            manifest_read.add_done_callback(
                lambda done: _drop_finished(self._manifest_reads, key, done)
            )
        manifest = await asyncio.shield(manifest_read)
        cached = self._versions.get(key)
        if cached is None:
            cached = self._versions[key] = _CachedVersion(
                chunks=ChunkSet(manifest=manifest)
            )
            self._drop_old_versions(chunk_request.model)
        return cached

    def _drop_old_versions(self, model: str) -> None:
        versions = sorted(key for key in self._versions if key[0] == model)
        for key in versions[:-MAX_VERSIONS]:
            del self._versions[key]

    async def _read_manifest(self, chunk_request: ChunkRequest) -> WeightsManifest:
        for upstream in self._upstreams(chunk_request, count=1, index=0):
            upstream_request = ChunkRequest(
                model=chunk_request.model,
                version=chunk_request.version,
                is_relayed=True,
            )
            try:
                data = await self._client.read(
                    upstream.address, upstream_request, timeout=GATEWAY_TIMEOUT_SECONDS
                )
                return decode_manifest(chunk_request.model, chunk_request.version, data)
            except SourceUnavailable as exc:
                log.info(
                    "reading a manifest failed", gateway=upstream.name, reason=str(exc)
                )
        return await self._origin_manifest(chunk_request)

    async def _origin_manifest(self, chunk_request: ChunkRequest) -> WeightsManifest:
        origin_info = self._require_origin()
        try:
            async with asyncio.timeout(ORIGIN_TIMEOUT_SECONDS):
                return await origin_info.origin.read_manifest(
                    chunk_request.model, chunk_request.version
                )
        except TimeoutError as exc:
            raise SourceUnavailable(
                "the origin did not return the manifest in time"
            ) from exc

    async def _fetch(
        self, cached: _CachedVersion, chunk_request: ChunkRequest
    ) -> bytes:
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
            data = await self._try_sources(cached, chunk_request)
            if data is not None:
                return data
        raise SourceUnavailable(
            f"{cached.chunks.manifest.key}: no source returned a valid chunk"
        )

    async def _try_sources(
        self, cached: _CachedVersion, chunk_request: ChunkRequest
    ) -> bytes | None:
        """Ask each upstream gateway, then the origin."""
        manifest = cached.chunks.manifest
        for upstream in self._upstreams(
            chunk_request, count=manifest.count, index=chunk_request.index
        ):
            upstream_request = ChunkRequest(
                model=chunk_request.model,
                version=chunk_request.version,
                index=chunk_request.index,
                is_relayed=True,
            )
            try:
                data = await self._client.read(
                    upstream.address, upstream_request, timeout=GATEWAY_TIMEOUT_SECONDS
                )
            except SourceUnavailable as exc:
                log.info(
                    "reading a chunk failed", gateway=upstream.name, reason=str(exc)
                )
                continue
            if self._add_if_valid(cached, chunk_request.index, data, upstream.name):
                return data
        return await self._try_origin(cached, chunk_request)

    async def _try_origin(
        self, cached: _CachedVersion, chunk_request: ChunkRequest
    ) -> bytes | None:
        origin_info = self._require_origin()
        try:
            async with self._origin_slots, asyncio.timeout(ORIGIN_TIMEOUT_SECONDS):
                data = await origin_info.origin.read_chunk(
                    chunk_request.model,
                    chunk_request.version,
                    chunk_request.index,
                    max_bytes=cached.chunks.manifest.chunk_bytes,
                )
        except (SourceUnavailable, TimeoutError) as exc:
            log.info("reading a chunk failed", gateway="origin", reason=repr(exc))
            return None
        self.origin_bytes += len(data)
        return (
            data
            if self._add_if_valid(cached, chunk_request.index, data, "origin")
            else None
        )

    def _add_if_valid(
        self, cached: _CachedVersion, index: int, data: bytes, source: str
    ) -> bool:
        if cached.chunks.add(index, data):
            return True
        manifest = cached.chunks.manifest
        damaged = cached.damaged[index] = cached.damaged.get(index, 0) + 1
        log.warning(
            "chunk does not match its digest",
            version=manifest.key,
            index=index,
            source=source,
        )
        if damaged >= MAX_CORRUPT_COPIES:
            self._versions.pop((manifest.model, manifest.version), None)
        return False

    def _upstreams(
        self, chunk_request: ChunkRequest, *, count: int, index: int
    ) -> list[GatewayEndpoint]:
        """Return the gateways to ask before the origin, at most two.

        A request that another gateway relayed goes straight to the origin, so
        requests cannot loop between gateways.
        """
        origin_info = self._origin()
        if chunk_request.is_relayed or origin_info is None:
            return []
        region = origin_info.region or self._me.region
        by_name = {gateway.name: gateway for gateway in self._gateways()}
        if self._me.region == region:
            by_name[self._me.name] = self._me
        names = [name for name, gateway in by_name.items() if gateway.region == region]
        key = f"{chunk_request.model}/{chunk_request.version}"
        order = reading_order(key, count, index, names)[:2]
        if self._me.name in order:
            order = order[: order.index(self._me.name)]
        return [by_name[name] for name in order]

    def _require_origin(self) -> OriginInfo:
        origin_info = self._origin()
        if origin_info is None:
            raise SourceUnavailable("no origin is configured")
        return origin_info


def _drop_finished(pending_reads: dict, key: object, done: "asyncio.Task") -> None:
    """Remove a finished read, and retrieve its exception.

    All readers may have been cancelled before it failed; asyncio would then
    log an exception that was never retrieved.
    """
    pending_reads.pop(key, None)
    if not done.cancelled():
        done.exception()
