"""Keeps the engine beside this process on the version that operators named.

One task reads the digests of named versions, another fetches their chunks, a
third stages what came, and a fourth loads what is held whole, so that a version
named during a transfer or a load waits for neither. What is staged outlives
this process, so a restart continues a transfer where it was.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Collection, Mapping

import structlog
from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.staging.chunks import ChunkSet
from eelgrassdale_gateway.staging.engine import (
    Engine,
    EngineState,
    EngineUnavailable,
    OrderAnswer,
    SourceUnavailable,
    VersionGone,
)
from eelgrassdale_gateway.staging.fetching import Fetcher
from eelgrassdale_gateway.staging.turns import load_at, turn_of
from eelgrassdale_gateway.staging.versions import HeldVersions, Transfer

POLL_SECONDS = 0.5
LOADING_POLL_SECONDS = 0.1
RETRY_SECONDS = 0.3
# Time for gateways to hear that the engine takes no new work for now.
CLOSE_NOTICE_SECONDS = 0.03
# A transfer without a new chunk for this time makes way for another version.
# While its source answers, chunks follow each other within 0.2 s on the
# slowest links.
STALL_SECONDS = 1.0
STALL_POLL_SECONDS = 0.25
# A version that a newer one replaces sooner than this is not loaded any more: a
# load takes 0.3 s or more, and requests that wait at the engine could begin
# after the newer version became binding.
MIN_SERVING_SECONDS = 1.5

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class KeeperSettings:
    """The engine's name among its neighbours, and the time for a version.

    `version_grace` is how long, in seconds after the naming of a version,
    gateways still send requests to older ones.
    """

    engine_name: str
    version_grace: float = 6.5


class Keeper:
    """Fetches, stages and loads; used from the event loop's thread only.

    Parameters
    ----------
    engine : Engine
        The engine beside this process.
    fetcher : Fetcher
        Reads manifests and chunks.
    neighbours : callable
        Returns the names of the service's engines in this data centre.
    announce : callable
        Called with whether the engine takes new work, the model and the
        version that it holds, whenever one of these changes.
    before_transfer : callable
        Coroutine function that reads gateways and neighbours anew.
    """

    def __init__(
        self,
        *,
        cfg: KeeperSettings,
        engine: Engine,
        fetcher: Fetcher,
        clock: Clock,
        neighbours: Callable[[], Collection[str]],
        announce: Callable[[bool, str, int], None],
        before_transfer: Callable[[], Awaitable[None]],
    ) -> None:
        self._cfg = cfg
        self._engine = engine
        self._fetcher = fetcher
        self._clock = clock
        self._neighbours = neighbours
        self._announce = announce
        self._before_transfer = before_transfer
        self._models: dict[str, HeldVersions] = {}
        self._state = EngineState()
        self._engine_seen = False
        # Held while chunks are written, or checked and loaded.
        self._staging = asyncio.Lock()
        self._changed = asyncio.Event()

    def set_named(self, versions: Mapping[str, int]) -> None:
        """Note the named version of each model."""
        now = self._clock.monotonic()
        for name, version in versions.items():
            model = self._models.setdefault(name, HeldVersions())
            if model.name(version, now=now, grace=self._cfg.version_grace):
                log.info("model version named", model=name, version=version)
        self._notify()

    def find(self, model: str, version: int) -> ChunkSet | None:
        """Return the chunks of a version as far as they are held."""
        held = self._models.get(model)
        return held.sets.get(version) if held else None

    async def run(self) -> None:
        """Keep the engine on the named versions until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._repeat(self._load_step))
            group.create_task(self._repeat(self._manifest_step))
            group.create_task(self._repeat(self._fetch_step))
            group.create_task(self._repeat(self._stage_step))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            changed = self._changed
            try:
                await step()
            except (EngineUnavailable, SourceUnavailable) as exc:
                log.debug("engine or source unavailable", reason=str(exc))
                await asyncio.sleep(RETRY_SECONDS)
            try:
                async with asyncio.timeout(POLL_SECONDS):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _manifest_step(self) -> None:
        for name, model in list(self._models.items()):
            if not self._needs(name, model) or model.newest in model.sets:
                continue
            await self._before_transfer()
            manifest = await self._fetcher.manifest(name, model.newest)
            chunks = ChunkSet(manifest=manifest)
            await self._take_staged(chunks)
            model.keep(chunks)
            self._notify()

    async def _fetch_step(self) -> None:
        for name, model in list(self._models.items()):
            chunks = model.next_to_fetch(self._state.versions.get(name, 0))
            if chunks is not None and self._needs(name, model):
                await self._fetch(model, chunks)

    def _needs(self, name: str, model: HeldVersions) -> bool:
        loaded = self._state.versions.get(name, 0)
        return self._engine_seen and loaded < model.newest

    async def _take_staged(self, chunks: ChunkSet) -> None:
        """Take over what the engine kept through a restart of this process."""
        manifest = chunks.manifest
        try:
            staged = await self._engine.staged(manifest.model)
            for index in sorted(staged):
                data = await self._engine.read(manifest.model, index)
                # Others are of another version, or damaged.
                if data is not None and index < manifest.count:
                    chunks.add(index, data)
        except EngineUnavailable as exc:
            log.info("staged chunks not read", reason=str(exc))

    async def _fetch(self, model: HeldVersions, chunks: ChunkSet) -> None:
        begun_at = self._clock.monotonic()
        try:
            outcome = await self._fetch_while_moving(model, chunks)
        except* VersionGone:
            outcome = Transfer.USELESS
        log.info(
            "transfer ended",
            version=chunks.manifest.key,
            is_whole=chunks.is_whole,
            outcome=outcome.value,
            held=chunks.count,
            seconds=round(self._clock.monotonic() - begun_at, 3),
        )
        if outcome is Transfer.USELESS:
            model.drop(chunks)
        self._notify()

    async def _fetch_while_moving(
        self, model: HeldVersions, chunks: ChunkSet
    ) -> Transfer:
        """Fetch until the set is whole or gives way to another version."""
        fetching = asyncio.ensure_future(
            self._fetcher.fetch(chunks, lambda: model.is_wanted(chunks))
        )
        held, moved_at = chunks.count, self._clock.monotonic()
        try:
            while not (
                self._clock.monotonic() - moved_at >= STALL_SECONDS
                and model.may_give_way(chunks)
            ):
                await asyncio.wait({fetching}, timeout=STALL_POLL_SECONDS)
                if fetching.done():
                    return _outcome(model, chunks, is_whole=fetching.result())
                if chunks.count > held:
                    held, moved_at = chunks.count, self._clock.monotonic()
            model.stalled = chunks.manifest.version
            return Transfer.STALLED
        finally:
            await _cancel(fetching)

    async def _load_step(self) -> None:
        try:
            state = await self._engine.state()
        except EngineUnavailable:
            self._engine_seen = False
            raise
        self._state = state
        self._engine_seen = True
        if state.is_busy:
            return
        for name, model in list(self._models.items()):
            chunks = model.whole()
            loaded = state.versions.get(name, 0)
            if chunks is None or chunks.manifest.version <= loaded:
                continue
            if not self._may_serve_long(model, chunks):
                continue
            if await self._is_my_turn(model, chunks, is_empty=not loaded):
                await self._load(chunks)

    def _may_serve_long(self, model: HeldVersions, chunks: ChunkSet) -> bool:
        if chunks.manifest.version == model.newest:
            return True
        binding_at = model.named_at(model.newest) + self._cfg.version_grace
        return binding_at - self._clock.monotonic() >= MIN_SERVING_SECONDS

    async def _is_my_turn(
        self, model: HeldVersions, chunks: ChunkSet, *, is_empty: bool
    ) -> bool:
        named_at = model.named_at(chunks.manifest.version)
        at = load_at(
            turn=turn_of(self._cfg.engine_name, self._neighbours()),
            ready_at=chunks.whole_at,
            binding_at=named_at + self._cfg.version_grace,
            is_empty=is_empty,
        )
        wait = at - self._clock.monotonic()
        if wait > POLL_SECONDS:
            return False
        await asyncio.sleep(max(0.0, wait))
        return True

    async def _stage_step(self) -> None:
        """Stage what came since the last step."""
        for name, model in list(self._models.items()):
            chunks = model.next_to_stage(self._state.versions.get(name, 0))
            if chunks is None or not self._needs(name, model):
                continue
            for index in model.unstaged(chunks):
                async with self._staging:
                    await self._engine.stage(name, index, chunks.get(index))
                model.staged.add(index)

    async def _stage(self, chunks: ChunkSet) -> None:
        """Compare every staged chunk with its digest, and stage what differs."""
        manifest = chunks.manifest
        held = await self._engine.staged(manifest.model)
        for index in range(manifest.count):
            staged = None
            if index in held:
                staged = await self._engine.read(manifest.model, index)
            if staged is None or not manifest.matches(index, staged):
                await self._engine.stage(manifest.model, index, chunks.get(index))

    async def _load(self, chunks: ChunkSet) -> None:
        try:
            async with self._staging:
                await self._stage(chunks)
                is_begun = await self._order(chunks)
            if is_begun:
                await self._await_loaded(chunks)
        finally:
            await self._announce_state(chunks.manifest.model)

    async def _order(self, chunks: ChunkSet) -> bool:
        """Close the engine and order the load; return whether it may have begun."""
        manifest = chunks.manifest
        state = await self._engine.state()
        loaded = state.versions.get(manifest.model, 0)
        if state.is_busy or loaded >= manifest.version:
            return False
        self._announce(False, manifest.model, loaded)
        await asyncio.sleep(CLOSE_NOTICE_SECONDS)
        answer = await self._engine.load(
            manifest.model, manifest.version, state.sequence
        )
        log.info(
            "load ordered",
            version=manifest.key,
            answer=answer.value,
            running=state.running,
        )
        return answer is not OrderAnswer.REFUSED

    async def _await_loaded(self, chunks: ChunkSet) -> None:
        manifest = chunks.manifest
        begun_at = self._clock.monotonic()
        while True:
            state = self._state = await self._engine.state()
            is_loaded = state.versions.get(manifest.model, 0) >= manifest.version
            if not state.is_busy:
                log.info(
                    "load ended",
                    version=manifest.key,
                    is_loaded=is_loaded,
                    seconds=round(self._clock.monotonic() - begun_at, 3),
                )
                return
            self._announce(False, manifest.model, 0)
            await asyncio.sleep(LOADING_POLL_SECONDS)

    async def _announce_state(self, model: str) -> None:
        try:
            state = self._state = await self._engine.state()
        except EngineUnavailable:
            return
        self._announce(not state.is_busy, model, state.versions.get(model, 0))


def _outcome(model: HeldVersions, chunks: ChunkSet, *, is_whole: bool) -> Transfer:
    if is_whole:
        return Transfer.WHOLE
    # A transfer of a wanted version ends early when its digests are in doubt.
    return Transfer.USELESS if model.is_wanted(chunks) else Transfer.SUPERSEDED


async def _cancel(fetching: "asyncio.Future[bool]") -> None:
    fetching.cancel()
    with contextlib.suppress(asyncio.CancelledError, ExceptionGroup):
        await fetching
