"""In-memory engines and origin, with agents and gateways that use loopback HTTP."""

import asyncio
import contextlib

from attrs import define, field

from eelgrassdale.clock import SystemClock
from eelgrassdale.http1 import HttpServer
from eelgrassdale_gateway.staging.chunks import WeightsManifest, manifest_of
from eelgrassdale_gateway.staging.engine import (
    EngineState,
    EngineUnavailable,
    LoadOrderResult,
    SourceUnavailable,
    VersionGone,
)
from eelgrassdale_gateway.staging.fetching import Fetcher
from eelgrassdale_gateway.staging.reconciler import (
    ReconcilerSettings,
    WeightsReconciler,
)
from eelgrassdale_gateway.staging.relay import ChunkRelay, GatewayEndpoint, OriginInfo
from eelgrassdale_gateway.staging.serving import WeightsServer

MODEL = "m"
CHUNK_COUNT = 12
# A chunk takes several slices of a paced answer, so that a slow link slows a
# transfer.
BYTE_PAIRS_PER_CHUNK = 24_000


def weights(version: int) -> list[bytes]:
    """Return the chunks of a version."""
    return [
        bytes([version, index]) * BYTE_PAIRS_PER_CHUNK for index in range(CHUNK_COUNT)
    ]


@define(kw_only=True, eq=False, slots=False)
class FakeOrigin:
    """Origin that serves the two newest versions.

    `corrupt_next_reads` maps the index of a chunk to the number of its next
    reads that return damaged data. With `serves_manifests_only`, reads of chunks
    fail. `delay` is the time of a chunk read in seconds.
    """

    newest: int = 2
    reads: int = 0
    corrupt_next_reads: dict[int, int] = field(factory=dict)
    is_down: bool = False
    serves_manifests_only: bool = False
    delay: float = 0.0

    async def read_manifest(self, model: str, version: int) -> WeightsManifest:
        """Return the digests of a version."""
        self._check(version)
        return manifest_of(model, version, weights(version))

    async def read_chunk(
        self, model: str, version: int, index: int, *, max_bytes: int
    ) -> bytes:
        """Return a chunk, damaged according to `corrupt_next_reads`."""
        self._check(version)
        if self.serves_manifests_only:
            raise SourceUnavailable("origin serves manifests only")
        await asyncio.sleep(self.delay)
        self.reads += 1
        if self.corrupt_next_reads.get(index, 0) > 0:
            self.corrupt_next_reads[index] -= 1
            return b"damaged"
        return weights(version)[index]

    def _check(self, version: int) -> None:
        if self.is_down:
            raise SourceUnavailable("origin is down")
        if version < self.newest - 1:
            raise VersionGone(str(version))


@define(kw_only=True, eq=False, slots=False)
class FakeEngine:
    """An engine that records each loaded version and whether its chunks were valid."""

    version: int = 1
    chunks: dict[int, bytes] = field(factory=dict)
    sequence: int = 0
    load_seconds: float = 0.02
    loaded: list[tuple[int, bool]] = field(factory=list)
    corrupt_after_stage: set[int] = field(factory=set)
    is_down: bool = False
    _busy_until: float = 0.0

    async def read_state(self) -> EngineState:
        """Return the present state."""
        self._check()
        return EngineState(
            versions={MODEL: self.version} if self.version else {},
            is_busy=asyncio.get_running_loop().time() < self._busy_until,
            sequence=self.sequence,
        )

    async def staged_chunks(self, model: str) -> frozenset[int]:
        """Return the staged indexes."""
        self._check()
        return frozenset(self.chunks)

    async def read_chunk(
        self, model: str, index: int, *, max_bytes: int
    ) -> bytes | None:
        """Return a staged chunk."""
        self._check()
        return self.chunks.get(index)

    async def stage_chunk(self, model: str, index: int, data: bytes) -> None:
        """Stage a chunk."""
        self._check()
        self.chunks[index] = data

    async def load(self, model: str, version: int, sequence: int) -> LoadOrderResult:
        """Load the staged chunks without checking them."""
        self._check()
        if sequence != self.sequence:
            return LoadOrderResult.REFUSED
        self.sequence += 1
        expected = dict(enumerate(weights(version)))
        self.loaded.append((version, self.chunks == expected))
        self.version = version
        self._busy_until = asyncio.get_running_loop().time() + self.load_seconds
        return LoadOrderResult.STARTED

    def restart(self) -> None:
        """Lose the loaded version; staged chunks survive."""
        self.version = 0
        self.sequence = 0

    def _check(self) -> None:
        if self.is_down:
            raise EngineUnavailable("engine is down")


class Cluster:
    """Two gateways and two agents in each of three data centres.

    Parameters
    ----------
    link_bytes_per_second : float
        Link of each agent; 0 for no limit.
    version_grace : float
        Time in which older versions may serve, in seconds.
    """

    def __init__(
        self, *, link_bytes_per_second: float = 0.0, version_grace: float = 0.2
    ) -> None:
        self._link_bytes_per_second = link_bytes_per_second
        self._version_grace = version_grace
        self.origin = FakeOrigin()
        self.gateways: dict[str, GatewayEndpoint] = {}
        self.engines: dict[str, FakeEngine] = {}
        self.notices: list[tuple[str, bool, int]] = []
        self.reconcilers: dict[str, WeightsReconciler] = {}
        self._relays: list[ChunkRelay] = []
        self._tasks: dict[str, asyncio.Future] = {}
        self._servers: dict[str, HttpServer] = {}

    async def start(self) -> None:
        """Start all gateways and agents."""
        for data_centre, region in DATA_CENTRES.items():
            for number in (1, 2):
                await self._start_gateway(f"{data_centre}-{number}", region)
        for data_centre in DATA_CENTRES:
            for number in (1, 2):
                name = f"{data_centre}-{number}"
                self.engines[name] = FakeEngine()
                self.start_agent(name)

    async def _start_gateway(self, name: str, region: str) -> None:
        relays: list[ChunkRelay] = []
        server = HttpServer(
            handler=WeightsServer(
                read=lambda chunk_request: relays[0].read(chunk_request)
            ).handle
        )
        gateway = GatewayEndpoint(
            name=name,
            data_centre=name[0],
            region=region,
            address=await server.start("127.0.0.1", 0),
        )
        relays.append(
            ChunkRelay(
                me=gateway,
                gateways=lambda: [
                    other for other in self.gateways.values() if other.name != name
                ],
                origin=lambda: OriginInfo(origin=self.origin, region="north"),
            )
        )
        self.gateways[name] = gateway
        self._relays.append(relays[0])
        self._servers[name] = server

    def start_agent(self, name: str) -> None:
        """Start the agent of an engine, without any target version."""
        reconciler = self.reconcilers[name] = WeightsReconciler(
            cfg=ReconcilerSettings(engine_name=name, version_grace=self._version_grace),
            engine=self.engines[name],
            fetcher=Fetcher(
                name=name,
                data_centre=name[0],
                region=DATA_CENTRES[name[0]],
                clock=SystemClock(),
                gateways=lambda: list(self.gateways.values()),
                origin=lambda: self.origin,
                link_bytes_per_second=self._link_bytes_per_second,
            ),
            clock=SystemClock(),
            peer_engines=lambda: [n for n in self.engines if n[0] == name[0]],
            announce=lambda is_open, _model, version: self.notices.append(
                (name, is_open, version)
            ),
            before_transfer=self._skip_refresh,
        )
        self._tasks[name] = asyncio.ensure_future(reconciler.run())

    async def kill_agent(self, name: str) -> None:
        """Stop an agent; its engine keeps running."""
        task = self._tasks.pop(name)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def prefetch(self, version: int) -> None:
        """Prefetch a version at all gateways."""
        async with asyncio.TaskGroup() as group:
            for relay in self._relays:
                group.create_task(relay.prefetch(MODEL, version))

    def set_target_version(self, version: int) -> None:
        """Set the target version of all agents."""
        self.origin.newest = max(self.origin.newest, version)
        for reconciler in self.reconcilers.values():
            reconciler.set_target_versions({MODEL: version})

    def kill_gateway(self, name: str) -> None:
        """Stop a gateway's server; other nodes still count it as live."""
        self._servers[name].stop_listening()
        self._servers[name].abort_all()

    async def wait_for(self, version: int) -> None:
        """Wait until all engines have loaded a version."""
        for engine in self.engines.values():
            while engine.version != version:
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop all gateways and agents."""
        for name in self._servers:
            self.kill_gateway(name)
        for name in list(self._tasks):
            await self.kill_agent(name)

    async def _skip_refresh(self) -> None:
        return None


DATA_CENTRES = {"a": "north", "b": "south", "c": "west"}


def run_scenario(scenario, **options):
    """Run a scenario with a cluster whose engines have loaded version 1."""

    async def run():
        cluster = Cluster(**options)
        await cluster.start()
        try:
            async with asyncio.timeout(30):
                return await scenario(cluster)
        finally:
            await cluster.stop()

    return asyncio.run(run())
