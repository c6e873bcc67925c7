"""Fetches manifests and missing chunks from gateways for one agent."""

import asyncio
import zlib
from collections import Counter, deque
from collections.abc import Callable, Sequence

import structlog

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.staging.chunks import ChunkSet, WeightsManifest
from eelgrassdale_gateway.staging.engine import (
    DataUnavailable,
    SourceUnavailable,
    VersionGone,
    WeightsOrigin,
)
from eelgrassdale_gateway.staging.relay import GatewayEndpoint, reading_order
from eelgrassdale_gateway.staging.serving import (
    ChunkRequest,
    WeightsClient,
    decode_manifest,
)

# The second read hides the latency of the first; more would only divide the
# bandwidth of the link. Also the number of gateways tried for one read.
CONCURRENT_READS = 2
# Share of the agent's link that chunks may use; the rest carries requests.
LINK_SHARE = 0.95
# A gateway that failed is not asked for this time.
GATEWAY_COOLDOWN_SECONDS = 3.0
# Added to twice the transfer time at the paced rate, since the gateway may have
# to fetch the chunk first. It is the whole time limit of a read from the origin.
TIMEOUT_MARGIN_SECONDS = 2.5
MANIFEST_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.2
# Agents begin in the first one of this many equal parts of the chunks: the wider they
# are spread, the more of them begin with chunks that the gateways do not have yet.
START_SPREAD = 2
# After this many copies of one chunk that do not match its digest, the manifest
# itself may be wrong.
MAX_CORRUPT_COPIES = 3

log = structlog.get_logger(__name__)


def chunk_order(reader: str, count: int) -> list[int]:
    """Return the order in which an agent reads the chunks of a version.

    Each chunk comes from one gateway of the data centre. If all agents read in the
    same order, all of them read from the same two gateways at a time, whose links
    are narrower than those of the agents together. So each agent begins elsewhere in
    the first part of the chunks, which the gateways have first.

    Examples
    --------
    >>> sorted(chunk_order("a", 8)) == list(range(8))
    True
    >>> chunk_order("a", 0)
    []

    """
    offset = zlib.crc32(reader.encode()) % max(1, count // START_SPREAD)
    return [(offset + position) % count for position in range(count)]


class Fetcher:
    """Reads manifests and chunks for one agent.

    Parameters
    ----------
    name : str
        Name of the agent, which determines the order in which it reads chunks.
    data_centre : str
        Data centre of the agent; its gateways are asked first.
    region : str
        Region of the agent; its gateways are asked when none of the data
        centre is available.
    gateways : callable
        Returns the known gateways.
    origin : callable
        Returns the origin or None. Manifests are read from it when no gateway
        answers, chunks when every gateway has failed recently.
    link_bytes_per_second : float
        Bandwidth of the agent's link; 0 for no limit.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        region: str,
        clock: Clock,
        gateways: Callable[[], Sequence[GatewayEndpoint]],
        origin: Callable[[], WeightsOrigin | None],
        link_bytes_per_second: float,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._region = region
        self._clock = clock
        self._gateways = gateways
        self._origin = origin
        self._bytes_per_second = LINK_SHARE * link_bytes_per_second / CONCURRENT_READS
        self._client = WeightsClient()
        self._cooldown_until: dict[str, float] = {}
        self._corrupt_copies: Counter[int] = Counter()

    async def manifest(self, model: str, version: int) -> WeightsManifest:
        """Return the digests of a version; raises `SourceUnavailable`."""
        chunk_request = ChunkRequest(model=model, version=version)
        for gateway in self._gateways_in_order(f"{model}/{version}", 1, 0)[
            :CONCURRENT_READS
        ]:
            try:
                data = await self._client.read(
                    gateway.address, chunk_request, timeout=MANIFEST_TIMEOUT_SECONDS
                )
                return decode_manifest(model, version, data)
            except SourceUnavailable as exc:
                self._record_failure(gateway, exc)
        origin = self._origin()
        if origin is None:
            raise SourceUnavailable("no gateway answered and no origin is known")
        try:
            async with asyncio.timeout(MANIFEST_TIMEOUT_SECONDS):
                return await origin.read_manifest(model, version)
        except TimeoutError as exc:
            raise SourceUnavailable(
                "the origin did not return the manifest in time"
            ) from exc

    async def fetch(self, chunks: ChunkSet, is_wanted: Callable[[], bool]) -> bool:
        """Fetch the missing chunks; return whether the set is complete.

        Ends early if the version is no longer wanted, or if copies of one
        chunk repeatedly do not match its digest.

        Raises
        ------
        VersionGone
            If the origin no longer has the version.
        """
        self._corrupt_copies.clear()
        order = chunk_order(self._name, chunks.manifest.count)
        missing = deque(index for index in order if chunks.get(index) is None)
        async with asyncio.TaskGroup() as group:
            for _ in range(CONCURRENT_READS):
                group.create_task(self._fetch_missing(chunks, missing, is_wanted))
        return chunks.is_complete

    async def _fetch_missing(
        self, chunks: ChunkSet, missing: deque[int], is_wanted: Callable[[], bool]
    ) -> None:
        """Fetch chunks until none is missing; one without a source is put off."""
        while missing:
            index = missing.popleft()
            if not is_wanted() or self._corrupt_copies[index] >= MAX_CORRUPT_COPIES:
                return
            if not await self._fetch_one(chunks, index):
                missing.append(index)
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _fetch_one(self, chunks: ChunkSet, index: int) -> bool:
        manifest = chunks.manifest
        chunk_request = ChunkRequest(
            model=manifest.model,
            version=manifest.version,
            index=index,
            bytes_per_second=self._bytes_per_second,
        )
        transfer_seconds = (
            manifest.chunk_bytes / self._bytes_per_second
            if self._bytes_per_second
            else 0.0
        )
        for gateway in self._gateways_in_order(manifest.key, manifest.count, index)[
            :CONCURRENT_READS
        ]:
            try:
                data = await self._client.read(
                    gateway.address,
                    chunk_request,
                    timeout=2 * transfer_seconds + TIMEOUT_MARGIN_SECONDS,
                )
            except SourceUnavailable as exc:
                self._record_failure(gateway, exc)
                continue
            if chunks.add(index, data):
                return True
            self._corrupt_copies[index] += 1
            log.warning(
                "chunk does not match its digest",
                version=manifest.key,
                source=gateway.name,
            )
        return await self._fetch_from_origin(chunks, index)

    async def _fetch_from_origin(self, chunks: ChunkSet, index: int) -> bool:
        origin = self._origin()
        if origin is None or self._nearest_gateways():
            return False
        manifest = chunks.manifest
        try:
            async with asyncio.timeout(TIMEOUT_MARGIN_SECONDS):
                data = await origin.read_chunk(
                    manifest.model,
                    manifest.version,
                    index,
                    max_bytes=manifest.chunk_bytes,
                )
        except VersionGone:
            raise
        except (SourceUnavailable, TimeoutError) as exc:
            log.info("reading a chunk failed", source="origin", reason=repr(exc))
            return False
        if chunks.add(index, data):
            return True
        self._corrupt_copies[index] += 1
        return False

    def _nearest_gateways(self) -> list[GatewayEndpoint]:
        """Return the gateways that did not fail recently, nearest ones only.

        Those of the agent's data centre, else of its region, else all.
        """
        now = self._clock.monotonic()
        healthy = [
            gateway
            for gateway in self._gateways()
            if self._cooldown_until.get(gateway.name, now) <= now
        ]
        in_data_centre = [g for g in healthy if g.data_centre == self._data_centre]
        in_region = [g for g in healthy if g.region == self._region]
        return in_data_centre or in_region or healthy

    def _gateways_in_order(
        self, key: str, count: int, index: int
    ) -> list[GatewayEndpoint]:
        by_name = {gateway.name: gateway for gateway in self._nearest_gateways()}
        return [by_name[name] for name in reading_order(key, count, index, by_name)]

    def _record_failure(self, gateway: GatewayEndpoint, exc: SourceUnavailable) -> None:
        # A gateway without a copy of one version may have the other chunks that this
        # agent needs, so only one that does not answer is left alone for a while.
        if not isinstance(exc, DataUnavailable):
            now = self._clock.monotonic()
            self._cooldown_until = {
                name: until
                for name, until in self._cooldown_until.items()
                if until > now
            }
            self._cooldown_until[gateway.name] = now + GATEWAY_COOLDOWN_SECONDS
        log.info("reading a chunk failed", source=gateway.name, reason=str(exc))
