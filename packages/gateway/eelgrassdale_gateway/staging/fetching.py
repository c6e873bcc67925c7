"""Brings the missing chunks of one version from gateways to an agent."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence

import structlog

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.staging.chunks import ChunkSet, WeightsManifest
from eelgrassdale_gateway.staging.engine import SourceUnavailable, WeightsOrigin
from eelgrassdale_gateway.staging.relay import GatewayPlace, reading_order
from eelgrassdale_gateway.staging.serving import (
    ChunkRequest,
    WeightsClient,
    decode_manifest,
)

# Reads at one time. The second one hides the time for the first to reach its
# gateway; more would only share the link.
READS = 2
# Share of the agent's link that chunks may fill; the rest carries requests.
LINK_SHARE = 0.95
# A gateway that failed is asked last for this time.
SKIP_SECONDS = 3.0
# Time for a chunk beyond that at the paced rate, in which the gateway may
# have to fetch it itself.
SLACK_SECONDS = 2.5
MANIFEST_SECONDS = 2.0
PAUSE_SECONDS = 0.2
# Damaged copies of one chunk after which the digests themselves are in doubt.
DOUBT_AFTER = 3

log = structlog.get_logger(__name__)


class Fetcher:
    """Reads manifests and chunks for one agent.

    Parameters
    ----------
    data_centre : str
        Where the agent is; gateways there are asked first.
    gateways : callable
        Returns the known gateways.
    origin : callable
        Returns the origin or None; it is asked when no gateway answers.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        region: str,
        clock: Clock,
        gateways: Callable[[], Sequence[GatewayPlace]],
        origin: Callable[[], WeightsOrigin | None],
        link_bytes_per_second: float,
    ) -> None:
        self._data_centre = data_centre
        self._region = region
        self._clock = clock
        self._gateways = gateways
        self._origin = origin
        self._rate = LINK_SHARE * link_bytes_per_second / READS
        self._client = WeightsClient()
        self._skip_until: dict[str, float] = {}
        self._damaged: Counter[int] = Counter()

    async def manifest(self, model: str, version: int) -> WeightsManifest:
        """Return the digests of a version; raises `SourceUnavailable`."""
        asked = ChunkRequest(model=model, version=version)
        for gateway in self._order(f"{model}/{version}", 1, 0)[:READS]:
            try:
                data = await self._client.read(
                    gateway.address, asked, timeout=MANIFEST_SECONDS
                )
                return decode_manifest(model, version, data)
            except SourceUnavailable as exc:
                self._note_failure(gateway, exc)
        origin = self._origin()
        if origin is None:
            raise SourceUnavailable("no gateway and no origin")
        try:
            async with asyncio.timeout(MANIFEST_SECONDS):
                return await origin.manifest(model, version)
        except TimeoutError as exc:
            raise SourceUnavailable("no manifest in time") from exc

    async def fetch(self, chunks: ChunkSet, is_wanted: Callable[[], bool]) -> bool:
        """Fetch until the set is whole.

        False if it is no longer wanted, or if chunks do not match its digests
        again and again.

        Raises
        ------
        VersionGone
            If the origin has dropped the version.
        """
        self._damaged.clear()
        missing = iter(
            [
                index
                for index in range(chunks.manifest.count)
                if chunks.get(index) is None
            ]
        )
        async with asyncio.TaskGroup() as group:
            for _ in range(READS):
                group.create_task(self._drain(chunks, missing, is_wanted))
        return chunks.is_whole

    async def _drain(self, chunks, missing, is_wanted) -> None:
        for index in missing:
            while chunks.get(index) is None:
                if not is_wanted() or self._damaged[index] >= DOUBT_AFTER:
                    return
                if not await self._fetch_one(chunks, index):
                    await asyncio.sleep(PAUSE_SECONDS)

    async def _fetch_one(self, chunks: ChunkSet, index: int) -> bool:
        manifest = chunks.manifest
        asked = ChunkRequest(
            model=manifest.model,
            version=manifest.version,
            index=index,
            bytes_per_second=self._rate,
        )
        seconds = manifest.chunk_bytes / self._rate if self._rate else 0.0
        for gateway in self._order(manifest.key, manifest.count, index)[:READS]:
            try:
                data = await self._client.read(
                    gateway.address, asked, timeout=2 * seconds + SLACK_SECONDS
                )
            except SourceUnavailable as exc:
                self._note_failure(gateway, exc)
                continue
            if chunks.add(index, data):
                return True
            self._damaged[index] += 1
            log.warning("chunk damaged", version=manifest.key, source=gateway.name)
        return await self._fetch_from_origin(chunks, index)

    async def _fetch_from_origin(self, chunks: ChunkSet, index: int) -> bool:
        origin = self._origin()
        if origin is None or self._near():
            return False
        manifest = chunks.manifest
        try:
            async with asyncio.timeout(SLACK_SECONDS):
                data = await origin.chunk(manifest.model, manifest.version, index)
        except (SourceUnavailable, TimeoutError) as exc:
            log.info("chunk not read", source="origin", reason=repr(exc))
            return False
        if chunks.add(index, data):
            return True
        self._damaged[index] += 1
        return False

    def _near(self) -> list[GatewayPlace]:
        """Return the nearest gateways that did not fail lately."""
        now = self._clock.monotonic()
        sound = [
            gateway
            for gateway in self._gateways()
            if self._skip_until.get(gateway.name, now) <= now
        ]
        here = [g for g in sound if g.data_centre == self._data_centre]
        in_region = [g for g in sound if g.region == self._region]
        return here or in_region or sound

    def _order(self, key: str, count: int, index: int) -> list[GatewayPlace]:
        places = {gateway.name: gateway for gateway in self._near()}
        return [places[name] for name in reading_order(key, count, index, places)]

    def _note_failure(self, gateway: GatewayPlace, exc: SourceUnavailable) -> None:
        self._skip_until[gateway.name] = self._clock.monotonic() + SKIP_SECONDS
        log.info("chunk not read", source=gateway.name, reason=str(exc))
