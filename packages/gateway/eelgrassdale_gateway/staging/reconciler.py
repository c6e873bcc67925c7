"""Reconciles the engine on this VM with the target versions of its models.

One task reads the manifests of target versions, another fetches their chunks,
a third stages the chunks at the engine, and a fourth loads complete versions.
So a target that is set during a transfer or a load waits for neither. Staged
chunks survive this process, so a transfer resumes after a restart.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Collection, Mapping

import structlog
from attrs import frozen

from eelgrassdale.clock import Clock, boottime_seconds
from eelgrassdale_gateway.staging.chunks import ChunkSet
from eelgrassdale_gateway.staging.engine import (
    Engine,
    EngineState,
    EngineUnavailable,
    LoadOrderResult,
    SourceUnavailable,
    VersionGone,
)
from eelgrassdale_gateway.staging.fetching import Fetcher
from eelgrassdale_gateway.staging.turns import load_at, turn_of
from eelgrassdale_gateway.staging.versions import HeldVersions, TransferOutcome

POLL_SECONDS = 0.5
LOADING_POLL_SECONDS = 0.1
RETRY_SECONDS = 0.3
# Time for the notice that the engine is closed to new requests to reach the
# gateways before the load begins.
CLOSE_PROPAGATION_SECONDS = 0.03
# A transfer that got no chunk for this time is interrupted in favour of another
# version. While the source answers, chunks arrive at most 0.2 s apart on the
# slowest links.
STALL_SECONDS = 1.0
STALL_POLL_SECONDS = 0.25
# A version that becomes obsolete sooner than this is not loaded any more: a load
# takes 0.3 s or more, and requests that are queued at the engine could begin
# after the newer version became mandatory.
MIN_SERVING_SECONDS = 1.5
# A load must not take what turned bad more than 3 s before. What was compared longer
# ago than this is compared anew before the order.
MAX_COMPARISON_AGE_SECONDS = 2.0

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class ReconcilerSettings:
    """Settings of one agent.

    `engine_name` identifies the engine among the `peer_engines` of `WeightsReconciler`.
    `version_grace` is the time in seconds, after a version became the target,
    in which gateways still send requests to older versions.
    """

    engine_name: str
    version_grace: float = 6.5


class WeightsReconciler:
    """Fetches, stages and loads target versions; not thread-safe.

    Parameters
    ----------
    engine : Engine
        The engine on this VM.
    fetcher : Fetcher
        Reads manifests and chunks.
    peer_engines : callable
        Returns the names of the service's engines in this data centre.
    announce : callable
        Called before, during and after a load with whether the engine accepts
        new requests, the model, and its loaded version (0 for none).
    before_transfer : callable
        Coroutine function called while the manifest of a version is read, to
        refresh the data behind the other callables.
    boottime : callable
        Returns the time in seconds by a clock that also runs while the VM is suspended.
    """

    def __init__(
        self,
        *,
        cfg: ReconcilerSettings,
        engine: Engine,
        fetcher: Fetcher,
        clock: Clock,
        peer_engines: Callable[[], Collection[str]],
        announce: Callable[[bool, str, int], None],
        before_transfer: Callable[[], Awaitable[None]],
        boottime: Callable[[], float] = boottime_seconds,
    ) -> None:
        self._cfg = cfg
        self._boottime = boottime
        self._engine = engine
        self._fetcher = fetcher
        self._clock = clock
        self._peer_engines = peer_engines
        self._announce = announce
        self._before_transfer = before_transfer
        self._models: dict[str, HeldVersions] = {}
        self._state = EngineState()
        self._is_engine_reachable = False
        # Held while one chunk is staged, and while the staged chunks are verified
        # and their load is ordered, so that no chunk changes in between.
        self._staging_lock = asyncio.Lock()
        self._changed = asyncio.Event()

    def set_target_versions(self, versions: Mapping[str, int]) -> None:
        """Set the target version of each model; lower versions are ignored.

        What is held of other models is dropped.
        """
        now = self._clock.monotonic()
        for name in self._models.keys() - versions.keys():
            del self._models[name]
        for name, version in versions.items():
            model = self._models.setdefault(name, HeldVersions())
            if model.add_target(version, now=now, grace=self._cfg.version_grace):
                log.info("target version set", model=name, version=version)
        self._notify()

    def find(self, model: str, version: int) -> ChunkSet | None:
        """Return the chunk set of a version, or None if none is held."""
        held = self._models.get(model)
        return held.sets.get(version) if held else None

    async def run(self) -> None:
        """Reconcile the engine with the target versions until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_step(self._load_step))
            group.create_task(self._run_step(self._manifest_step))
            group.create_task(self._run_step(self._fetch_step))
            group.create_task(self._run_step(self._stage_step))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _run_step(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            changed = self._changed
            try:
                await step()
            except EngineUnavailable as exc:
                # Nothing announces that the engine answers again.
                log.debug("engine unavailable; retrying", reason=str(exc))
                await asyncio.sleep(RETRY_SECONDS)
                continue
            except SourceUnavailable as exc:
                log.debug("source unavailable; retrying", reason=str(exc))
                await asyncio.sleep(RETRY_SECONDS)
            try:
                async with asyncio.timeout(POLL_SECONDS):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _manifest_step(self) -> None:
        for name, model in list(self._models.items()):
            if not self._needs_update(name, model) or model.newest_target in model.sets:
                continue
            manifest, _ = await asyncio.gather(
                self._fetcher.manifest(name, model.newest_target),
                self._before_transfer(),
            )
            chunks = ChunkSet(manifest=manifest)
            await self._recover_staged(chunks)
            model.add_set(chunks)
            self._notify()

    async def _fetch_step(self) -> None:
        for name, model in list(self._models.items()):
            chunks = model.next_to_fetch(self._state.versions.get(name, 0))
            if chunks is not None and self._needs_update(name, model):
                await self._fetch(model, chunks)

    def _needs_update(self, name: str, model: HeldVersions) -> bool:
        loaded = self._state.versions.get(name, 0)
        return self._is_engine_reachable and loaded < model.newest_target

    async def _recover_staged(self, chunks: ChunkSet) -> None:
        """Read back the chunks that were staged before this process started."""
        manifest = chunks.manifest
        try:
            staged = await self._engine.staged_chunks(manifest.model)
            for index in sorted(staged):
                data = await self._engine.read_chunk(
                    manifest.model, index, max_bytes=manifest.chunk_bytes
                )
                # `add` ignores chunks that are damaged or of another version.
                if data is not None and index < manifest.count:
                    chunks.add(index, data)
        except EngineUnavailable as exc:
            log.info("staged chunks could not be read back", reason=str(exc))

    async def _fetch(self, model: HeldVersions, chunks: ChunkSet) -> None:
        started_at = self._clock.monotonic()
        try:
            outcome = await self._fetch_until_stalled(model, chunks)
        except* VersionGone:
            outcome = TransferOutcome.USELESS
        log.info(
            "transfer ended",
            version=chunks.manifest.key,
            is_whole=chunks.is_complete,
            outcome=outcome.value,
            held=chunks.count,
            seconds=round(self._clock.monotonic() - started_at, 3),
        )
        if outcome is TransferOutcome.USELESS:
            model.drop_set(chunks)
        self._notify()

    async def _fetch_until_stalled(
        self, model: HeldVersions, chunks: ChunkSet
    ) -> TransferOutcome:
        """Fetch until the transfer ends, or stalls while another set could go on."""
        fetching = asyncio.ensure_future(
            self._fetcher.fetch(chunks, lambda: model.is_wanted(chunks))
        )
        held_count, progress_at = chunks.count, self._clock.monotonic()
        try:
            while not (
                self._clock.monotonic() - progress_at >= STALL_SECONDS
                and model.has_alternative(chunks)
            ):
                await asyncio.wait({fetching}, timeout=STALL_POLL_SECONDS)
                if fetching.done():
                    return model.outcome_of(chunks, is_complete=fetching.result())
                if chunks.count > held_count:
                    held_count, progress_at = chunks.count, self._clock.monotonic()
            model.stalled = chunks.manifest.version
            return TransferOutcome.STALLED
        finally:
            await _cancel(fetching)

    async def _load_step(self) -> None:
        try:
            state = await self._engine.read_state()
        except EngineUnavailable:
            self._is_engine_reachable = False
            raise
        self._state = state
        if not self._is_engine_reachable:
            self._is_engine_reachable = True
            self._notify()
        if state.is_busy:
            return
        for name, model in list(self._models.items()):
            chunks = model.completed()
            loaded = state.versions.get(name, 0)
            if chunks is None or chunks.manifest.version <= loaded:
                continue
            if not self._serves_long_enough(model, chunks):
                continue
            if await self._wait_for_turn(model, chunks, has_no_version=not loaded):
                await self._load(model, chunks)

    def _serves_long_enough(self, model: HeldVersions, chunks: ChunkSet) -> bool:
        if chunks.manifest.version == model.newest_target:
            return True
        mandatory_at = (
            model.target_set_at(model.newest_target) + self._cfg.version_grace
        )
        return mandatory_at - self._clock.monotonic() >= MIN_SERVING_SECONDS

    async def _wait_for_turn(
        self, model: HeldVersions, chunks: ChunkSet, *, has_no_version: bool
    ) -> bool:
        target_set_at = model.target_set_at(chunks.manifest.version)
        at = load_at(
            turn=turn_of(self._cfg.engine_name, self._peer_engines()),
            ready_at=chunks.completed_at,
            mandatory_at=target_set_at + self._cfg.version_grace,
            has_no_version=has_no_version,
        )
        wait = at - self._clock.monotonic()
        if wait > POLL_SECONDS:
            return False
        await asyncio.sleep(max(0.0, wait))
        return True

    async def _stage_step(self) -> None:
        """Stage the chunks that arrived since the last step."""
        for name, model in list(self._models.items()):
            chunks = model.next_to_stage(self._state.versions.get(name, 0))
            if chunks is None or not self._needs_update(name, model):
                continue
            for index in model.unstaged_indexes(chunks):
                async with self._staging_lock:
                    await self._engine.stage_chunk(name, index, chunks.get(index))
                model.staged_indexes.add(index)

    async def _restage_mismatched(self, chunks: ChunkSet) -> None:
        """Compare every staged chunk with its digest; stage missing or wrong ones."""
        manifest = chunks.manifest
        held = await self._engine.staged_chunks(manifest.model)
        for index in range(manifest.count):
            staged = None
            if index in held:
                staged = await self._engine.read_chunk(
                    manifest.model, index, max_bytes=manifest.chunk_bytes
                )
            if staged is None or not manifest.matches(index, staged):
                await self._engine.stage_chunk(manifest.model, index, chunks.get(index))

    async def _load(self, model: HeldVersions, chunks: ChunkSet) -> None:
        try:
            async with self._staging_lock:
                compared_at = self._boottime()
                await self._restage_mismatched(chunks)
                may_have_started = await self._order_load(
                    model, chunks, compared_at=compared_at
                )
            if may_have_started:
                await self._await_loaded(chunks)
        finally:
            await self._announce_state(chunks.manifest.model)

    async def _order_load(
        self, model: HeldVersions, chunks: ChunkSet, *, compared_at: float
    ) -> bool:
        """Announce the engine as closed and order the load.

        Return whether the load may have begun. The version, and the comparison of the
        staged chunks that began at `compared_at`, are judged again right before the
        order: this process may have been paused since, or waited long for the engine.
        What is not ordered is tried again in the next step.
        """
        manifest = chunks.manifest
        state = await self._engine.read_state()
        loaded = state.versions.get(manifest.model, 0)
        if state.is_busy or loaded >= manifest.version:
            return False
        self._announce(False, manifest.model, loaded)
        await asyncio.sleep(CLOSE_PROPAGATION_SECONDS)
        if not self._serves_long_enough(model, chunks):
            log.info("load not ordered: version is obsolete", version=manifest.key)
            return False
        age_seconds = self._boottime() - compared_at
        if age_seconds > MAX_COMPARISON_AGE_SECONDS:
            log.warning(
                "load not ordered: chunks were compared too long ago",
                version=manifest.key,
                seconds=round(age_seconds, 3),
            )
            self._notify()
            return False
        answer = await self._engine.load(
            manifest.model, manifest.version, state.sequence
        )
        log.info(
            "load ordered",
            version=manifest.key,
            answer=answer.value,
            running=state.running_requests,
        )
        return answer is not LoadOrderResult.REFUSED

    async def _await_loaded(self, chunks: ChunkSet) -> None:
        manifest = chunks.manifest
        started_at = self._clock.monotonic()
        while True:
            state = self._state = await self._engine.read_state()
            is_loaded = state.versions.get(manifest.model, 0) >= manifest.version
            if not state.is_busy:
                log.info(
                    "load ended",
                    version=manifest.key,
                    is_loaded=is_loaded,
                    seconds=round(self._clock.monotonic() - started_at, 3),
                )
                return
            self._announce(False, manifest.model, 0)
            await asyncio.sleep(LOADING_POLL_SECONDS)

    async def _announce_state(self, model: str) -> None:
        try:
            state = self._state = await self._engine.read_state()
        except EngineUnavailable:
            return
        self._announce(not state.is_busy, model, state.versions.get(model, 0))


async def _cancel(fetching: "asyncio.Future[bool]") -> None:
    fetching.cancel()
    with contextlib.suppress(asyncio.CancelledError, ExceptionGroup):
        await fetching
