"""The agent's task that fetches, serves and loads model weights."""

import threading
from collections.abc import Callable, Mapping

import structlog
from attrs import frozen

from eelgrassdale.catalog import Configuration
from eelgrassdale.node.context import NodeContext
from eelgrassdale.platform.weightsource import WeightSourceClient
from eelgrassdale.results import ResultCode
from eelgrassdale.weights.loading import LoadState
from eelgrassdale.weights.pacing import backoff_seconds, region_rate
from eelgrassdale.weights.selection import FEED_LANES, PEER_LANES
from eelgrassdale.wire import ChunkAnswer, ChunkRequest, ManifestAnswer
from eelgrassdale_agent.loading import LOADS, Gate, Loader, LoadHooks
from eelgrassdale_agent.orders import EngineState, OrderClient
from eelgrassdale_agent.sources import ChunkReader
from eelgrassdale_agent.transfer_lanes import (
    BYTES_FROM_ORIGIN,
    BYTES_FROM_PEERS,
    BYTES_FROM_REGION,
    CHUNKS_CORRUPT,
    CHUNKS_VERIFIED,
    Lane,
    LanePool,
    LaneResult,
)
from eelgrassdale_agent.transfer_live import LiveWatch
from eelgrassdale_agent.transfer_opening import StoreOpener, drop_unstaged
from eelgrassdale_agent.transfer_pacing import PacedLink
from eelgrassdale_agent.transfer_probing import Prober, envelope_of
from eelgrassdale_agent.transfer_run import RunSettings, TransferRun
from eelgrassdale_agent.transfer_serving import BYTES_SENT, ChunkServing
from eelgrassdale_agent.transfer_store import ChunkStore
from eelgrassdale_agent.transfer_target import Target, target_of

COUNTERS = (
    BYTES_FROM_ORIGIN,
    BYTES_FROM_REGION,
    BYTES_FROM_PEERS,
    BYTES_SENT,
    CHUNKS_CORRUPT,
    CHUNKS_VERIFIED,
    LOADS,
)
IDLE_SECONDS = 0.5
RETRY_SECONDS = 1.0
DEFAULT_REGION_BYTES_PER_SECOND = 1_500_000.0
DEFAULT_CHUNK_MEMORY_BYTES = 64 * 1024 * 1024

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class WeightsSettings:
    """Settings of the weights task; rates in bytes per second, 0 for no limit.

    `region_bytes_per_second` is what weights may use of the link from one
    region to another, shared by the agents that fetch over it.
    """

    backend_url: str
    weight_sources: tuple[str, ...] = ()
    link_bytes_per_second: float = 0.0
    chunk_memory_bytes: int = DEFAULT_CHUNK_MEMORY_BYTES
    origin_region: str = ""
    region_bytes_per_second: float = DEFAULT_REGION_BYTES_PER_SECOND


class WeightsTask:
    """Keeps the engine on the model version that the configuration names.

    Parameters
    ----------
    context : NodeContext
        Identity, clock, configuration, members and telemetry.
    gate : Gate
        Admission of requests, paused during a load.
    cfg : WeightsSettings
        Settings.
    """

    def __init__(
        self, *, context: NodeContext, gate: Gate, cfg: WeightsSettings
    ) -> None:
        self._context = context
        self._gate = gate
        self._cfg = cfg
        self._live = LiveWatch(context=context, is_active=self._is_active)
        self._link = PacedLink(
            clock=context.clock,
            bytes_per_second=cfg.link_bytes_per_second,
            share=self._live.share,
        )
        self._orders = OrderClient(
            backend_url=cfg.backend_url,
            clock=context.clock,
            connections=FEED_LANES + PEER_LANES + 4,
        )
        self._sources = [WeightSourceClient(url=url) for url in cfg.weight_sources]
        self._serving = ChunkServing(
            link=self._link,
            metrics=context.metrics,
            incarnation=context.identity.incarnation,
        )
        self._lanes = LanePool(size=FEED_LANES + PEER_LANES, new_lane=self._new_lane)
        self._reader = self._new_reader()
        self._prober = Prober(context=context)
        self._opener = StoreOpener(
            context=context,
            orders=self._orders,
            reader=self._reader,
            memory_bytes=cfg.chunk_memory_bytes,
        )
        self._region_links: dict[str, PacedLink] = {}
        self._loader = Loader(
            context=context,
            gate=gate,
            orders=self._orders,
            hooks=LoadHooks(
                probe=lambda name: self._prober.view(name, self._target.service.name),
                is_current=self._is_current,
                set_state=self._set_state,
                wait=self._wait,
            ),
        )
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._state = LoadState.EMPTY
        self._blocked_by = ""
        self._target: Target | None = None
        self._derived: tuple[Configuration | None, Target | None] = (None, None)
        self._store: ChunkStore | None = None
        self._peer_masks: Mapping[str, int] = {}
        self._engine = EngineState(
            incarnation="", model_version="", manifest="", cold=True
        )
        self._runs = 0
        self._failures = 0
        self._thread = threading.Thread(target=self._run, name="weights", daemon=True)
        for name in COUNTERS:
            context.metrics.count(name, 0)

    def start(self) -> None:
        """Start the task and its lanes."""
        self._context.replica.subscribe(lambda _: self._wake.set())
        self._context.members.subscribe(lambda _: self._wake.set())
        self._lanes.start()
        self._live.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop fetching, serving and loading."""
        self._stopping.set()
        self._wake.set()
        self._live.stop()
        self._serving.serve(None)
        self._link.stop()
        for link in self._region_links.values():
            link.stop()
        self._lanes.stop()
        if self._thread.is_alive():
            self._thread.join(timeout=RETRY_SECONDS)

    def read_chunk(self, request: ChunkRequest) -> ChunkAnswer:
        """Answer a peer that reads a chunk."""
        return self._serving.read_chunk(request)

    def read_manifest(self, manifest: str) -> ManifestAnswer:
        """Answer a peer that reads a manifest."""
        return self._serving.read_manifest(manifest)

    def load_state(self) -> str:
        """Return the load state for `ProbeAnswer`."""
        if self._state is LoadState.COLD and self._gate.is_warm():
            return LoadState.READY.value
        return self._state.value

    def facts(self) -> dict[str, str]:
        """Return the facts for `status`."""
        target, store = self._target, self._store
        return {
            "load_state": self.load_state(),
            "weights_progress": held_text(store) if store else "0/0",
            "weights_blocked_by": self._blocked_by,
            "weights_link_share": f"{self._live.share():.2f}",
            "weights_target": target.model.name if target else "",
            "weights_manifest": target.model.manifest if target else "",
        }

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._pursue()
            except Exception as exc:
                log.error("weights task failed", error=repr(exc), exc_info=True)
                self._wait(RETRY_SECONDS)
        self._reader.close()
        self._prober.close()

    def _pursue(self) -> None:
        """Make one attempt to bring the engine to the configured version."""
        self._target = target = self._configured()
        if target is None or not target.is_in_service:
            self._blocked_by = "out of service" if target else ""
            self._pause()
            return
        state = self._orders.state()
        if state.is_error():
            self._blocked_by = "engine"
            self._wait(RETRY_SECONDS)
            return
        self._engine = state.ok
        if self._has_target(target):
            self._rest(target)
            return
        self._fetch_and_load(target)

    def _has_target(self, target: Target) -> bool:
        engine, model = self._engine, target.model
        return engine.model_version == model.name and engine.manifest in (
            "",
            model.manifest,
        )

    def _rest(self, target: Target) -> None:
        """Serve peers from a loaded engine; adopt it if another process loaded it."""
        if self._state is not LoadState.COLD:
            self._loader.adopt(target)
        self._set_state(LoadState.COLD, "")
        self._serving.set_filling(False)
        store = self._store_of(target)
        if store is not None:
            store.expire()
        self._blocked_by = ""
        self._pause()

    def _fetch_and_load(self, target: Target) -> None:
        if self._state not in (LoadState.FETCHING, LoadState.WAITING):
            self._set_state(LoadState.FETCHING, "")
        self._serving.set_filling(True)
        store = self._store_of(target)
        if store is None:
            self._back_off()
            return
        drop_unstaged(self._orders, store, self._engine.incarnation)
        log.info("weights wanted", version=target.model.name, chunks=held_text(store))
        code = self._transfer(target, store)
        if code is ResultCode.OK:
            log.info("weights complete", version=target.model.name)
            self._set_state(LoadState.WAITING, "")
            code = self._loader.load(target, store, self._engine.model_version)
        if code is ResultCode.OK:
            self._set_state(LoadState.COLD, "")
            self._failures = 0
            log.info("weights loaded", version=target.model.name)
        elif self._is_current():
            self._set_state(LoadState.WAITING, self._blocked_by or code.name)
            self._back_off()

    def _transfer(self, target: Target, store: ChunkStore) -> ResultCode:
        self._runs += 1
        run = TransferRun(
            number=self._runs,
            context=self._context,
            cfg=RunSettings(
                origin_region=self._cfg.origin_region,
                link_bytes_per_second=self._cfg.link_bytes_per_second,
            ),
            target=target,
            store=store,
            lanes=self._lanes,
            region_link=self._region_link,
            current_target=self._configured,
        )
        for name, mask in self._peer_masks.items():
            run.peer_has(name, mask)
        try:
            return run.run(self._stopping.is_set)
        finally:
            self._blocked_by = run.blocked_by

    def _store_of(self, target: Target) -> ChunkStore | None:
        """Return the store of the target; open it and serve it if it is new."""
        store = self._store
        if store is not None and store.manifest.digest == target.model.manifest:
            return store
        opened = self._opener.open(target)
        if opened.is_error():
            self._blocked_by = f"manifest: {opened.error.code.name}"
            return None
        self._store, self._peer_masks = opened.ok
        self._serving.serve(self._store, priority=target.model.priority)
        return self._store

    def _configured(self) -> Target | None:
        """Return the target of the configuration in force."""
        cfg = self._context.replica.current()
        known, target = self._derived
        if cfg is not known:
            target = target_of(cfg, self._context.identity.name)
            self._derived = (cfg, target)
        return target

    def _is_current(self) -> bool:
        """Return whether the pursued target is still the configured one."""
        if self._stopping.is_set() or self._target is None:
            return False
        target = self._configured()
        if target is None or not target.is_in_service:
            return False
        return self._target.is_same_version(target)

    def _set_state(self, state: LoadState, blocked_by: str) -> None:
        self._state, self._blocked_by = state, blocked_by

    def _is_active(self) -> Target | None:
        """Return the target while this agent fetches or sends chunks."""
        if self._state is LoadState.FETCHING or self._serving.is_sending():
            return self._target
        return None

    def _wait(self, seconds: float) -> bool:
        return not self._stopping.wait(seconds)

    def _back_off(self) -> None:
        """Wait longer after each failure in a row; a change ends the wait."""
        self._failures += 1
        seconds = backoff_seconds(self._failures, self._context.identity.name)
        self._wake.wait(seconds)
        self._wake.clear()

    def _pause(self) -> None:
        """Wait for a change of configuration or members, or for a while."""
        self._wake.wait(IDLE_SECONDS)
        self._wake.clear()

    def _region_link(self, region: str) -> PacedLink:
        """Return the paced part of the link from `region` for this agent."""
        target = self._target
        fetchers = sum(place.region == target.me.region for place in target.agents)
        rate = region_rate(
            total=self._cfg.region_bytes_per_second,
            fetchers=fetchers,
            priority=target.model.priority,
            others=self._live.other_models(),
        )
        link = self._region_links.get(region)
        if link is None:
            link = self._region_links[region] = PacedLink(
                clock=self._context.clock, bytes_per_second=rate
            )
        link.set_rate(rate)
        return link

    def _new_lane(self, number: int, deliver: Callable[[LaneResult], None]) -> Lane:
        return Lane(
            number=number,
            reader=self._new_reader(),
            orders=self._orders,
            link=self._link,
            metrics=self._context.metrics,
            deliver=deliver,
        )

    def _new_reader(self) -> ChunkReader:
        return ChunkReader(
            sources=self._sources,
            clock=self._context.clock,
            envelope=lambda seconds: envelope_of(self._context, seconds),
        )


def held_text(store: ChunkStore) -> str:
    """Return the number of chunks held and of all chunks, as `held/total`."""
    return f"{store.held.bit_count()}/{store.manifest.count}"
