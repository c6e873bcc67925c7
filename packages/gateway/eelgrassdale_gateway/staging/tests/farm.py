"""Agents with engines and an origin in memory, and chunk reads over loopback."""

import asyncio
import contextlib

from attrs import define, field

from eelgrassdale.clock import SystemClock
from eelgrassdale.http1 import HttpServer
from eelgrassdale_gateway.staging.chunks import WeightsManifest, manifest_of
from eelgrassdale_gateway.staging.engine import (
    EngineState,
    EngineUnavailable,
    OrderAnswer,
    SourceUnavailable,
    VersionGone,
)
from eelgrassdale_gateway.staging.fetching import Fetcher
from eelgrassdale_gateway.staging.keeper import Keeper, KeeperSettings
from eelgrassdale_gateway.staging.relay import ChunkRelay, GatewayPlace, OriginFacts
from eelgrassdale_gateway.staging.serving import WeightsServer

MODEL = "m"
COUNT = 12
# Several slices of a paced answer, so that a slow link slows a transfer.
CHUNK_PAIRS = 24_000


def weights(version: int) -> list[bytes]:
    """Return the chunks of a version."""
    return [bytes([version, index]) * CHUNK_PAIRS for index in range(COUNT)]


@define(kw_only=True, eq=False, slots=False)
class FakeOrigin:
    """Serves the newest versions; `spoil` damages the next reads of a chunk.

    With `gives_manifests_only`, reads of chunks fail.
    """

    newest: int = 2
    reads: int = 0
    spoil: dict[int, int] = field(factory=dict)
    is_down: bool = False
    gives_manifests_only: bool = False
    delay: float = 0.0

    async def manifest(self, model: str, version: int) -> WeightsManifest:
        """Return the digests of a version."""
        self._check(version)
        return manifest_of(model, version, weights(version))

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        """Return a chunk, damaged while `spoil` says so."""
        self._check(version)
        if self.gives_manifests_only:
            raise SourceUnavailable("origin gives manifests only")
        await asyncio.sleep(self.delay)
        self.reads += 1
        if self.spoil.get(index, 0) > 0:
            self.spoil[index] -= 1
            return b"damaged"
        return weights(version)[index]

    def _check(self, version: int) -> None:
        if self.is_down:
            raise SourceUnavailable("origin is down")
        if version < self.newest - 1:
            raise VersionGone(str(version))


@define(kw_only=True, eq=False)
class FakeEngine:
    """An engine that loads what is staged, and notes what it loaded."""

    version: int = 1
    chunks: dict[int, bytes] = field(factory=dict)
    sequence: int = 0
    load_seconds: float = 0.02
    loaded: list[tuple[int, bool]] = field(factory=list)
    rot_after_stage: set[int] = field(factory=set)
    is_down: bool = False
    _busy_until: float = 0.0

    async def state(self) -> EngineState:
        """Return the present state."""
        self._check()
        return EngineState(
            versions={MODEL: self.version} if self.version else {},
            is_busy=asyncio.get_running_loop().time() < self._busy_until,
            sequence=self.sequence,
        )

    async def staged(self, model: str) -> frozenset[int]:
        """Return the staged indexes."""
        self._check()
        return frozenset(self.chunks)

    async def read(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk."""
        self._check()
        return self.chunks.get(index)

    async def stage(self, model: str, index: int, data: bytes) -> None:
        """Stage a chunk."""
        self._check()
        self.chunks[index] = data

    async def load(self, model: str, version: int, sequence: int) -> OrderAnswer:
        """Load what is staged, right or wrong."""
        self._check()
        if sequence != self.sequence:
            return OrderAnswer.REFUSED
        self.sequence += 1
        expected = dict(enumerate(weights(version)))
        self.loaded.append((version, self.chunks == expected))
        self.version = version
        self._busy_until = asyncio.get_running_loop().time() + self.load_seconds
        return OrderAnswer.BEGUN

    def restart(self) -> None:
        """Lose the loaded layers; what is staged survives."""
        self.version = 0
        self.sequence = 0

    def _check(self) -> None:
        if self.is_down:
            raise EngineUnavailable("engine is down")


class Farm:
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
        self._link = link_bytes_per_second
        self._grace = version_grace
        self.origin = FakeOrigin()
        self.gateways: dict[str, GatewayPlace] = {}
        self.engines: dict[str, FakeEngine] = {}
        self.notices: list[tuple[str, bool, int]] = []
        self.keepers: dict[str, Keeper] = {}
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
            handler=WeightsServer(read=lambda asked: relays[0].read(asked)).handle
        )
        place = GatewayPlace(
            name=name,
            data_centre=name[0],
            region=region,
            address=await server.start("127.0.0.1", 0),
        )
        relays.append(
            ChunkRelay(
                me=place,
                gateways=lambda: [
                    other for other in self.gateways.values() if other.name != name
                ],
                origin=lambda: OriginFacts(origin=self.origin, region="north"),
            )
        )
        self.gateways[name] = place
        self._relays.append(relays[0])
        self._servers[name] = server

    def start_agent(self, name: str) -> None:
        """Start the agent of an engine, which knows nothing yet."""
        keeper = self.keepers[name] = Keeper(
            cfg=KeeperSettings(engine_name=name, version_grace=self._grace),
            engine=self.engines[name],
            fetcher=Fetcher(
                data_centre=name[0],
                region=DATA_CENTRES[name[0]],
                clock=SystemClock(),
                gateways=lambda: list(self.gateways.values()),
                origin=lambda: self.origin,
                link_bytes_per_second=self._link,
            ),
            clock=SystemClock(),
            neighbours=lambda: [n for n in self.engines if n[0] == name[0]],
            announce=lambda is_open, _model, version: self.notices.append(
                (name, is_open, version)
            ),
            before_transfer=self._nothing,
        )
        self._tasks[name] = asyncio.ensure_future(keeper.run())

    async def kill_agent(self, name: str) -> None:
        """End an agent; its engine goes on."""
        task = self._tasks.pop(name)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def prefetch(self, version: int) -> None:
        """Bring a version to the gateways."""
        async with asyncio.TaskGroup() as group:
            for relay in self._relays:
                group.create_task(relay.prefetch(MODEL, version))

    def name_version(self, version: int) -> None:
        """Name a version to all agents."""
        self.origin.newest = max(self.origin.newest, version)
        for keeper in self.keepers.values():
            keeper.set_named({MODEL: version})

    def kill_gateway(self, name: str) -> None:
        """End a gateway; others still take it for alive."""
        self._servers[name].stop_listening()
        self._servers[name].abort_all()

    async def wait_for(self, version: int) -> None:
        """Wait until all engines hold a version."""
        for engine in self.engines.values():
            while engine.version != version:
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """End all parts."""
        for name in self._servers:
            self.kill_gateway(name)
        for name in list(self._tasks):
            await self.kill_agent(name)

    async def _nothing(self) -> None:
        return None


DATA_CENTRES = {"a": "north", "b": "south", "c": "west"}


def play(scene, **values):
    """Run a scene with a farm whose engines hold version 1."""

    async def run():
        farm = Farm(**values)
        await farm.start()
        try:
            async with asyncio.timeout(30):
                return await scene(farm)
        finally:
            await farm.stop()

    return asyncio.run(run())
