"""Background task of the agent that fetches, serves and loads model weights."""

import threading
from collections.abc import Callable, Mapping

import structlog

from eelgrassdale.catalog import Configuration
from eelgrassdale.node.context import NodeContext
from eelgrassdale.platform.weightsource import WeightSourceClient
from eelgrassdale.results import ResultCode
from eelgrassdale.weights.loading import LoadState
from eelgrassdale.weights.pacing import backoff_seconds, region_rate
from eelgrassdale.weights.selection import MAX_OWNER_FETCHES, MAX_PEER_FETCHES
from eelgrassdale.wire import ChunkAnswer, ChunkRequest, ManifestAnswer
from eelgrassdale_agent.loading import LOADS, Gate, Loader, LoadHooks
from eelgrassdale_agent.orders import EngineState, EngineWeightsClient
from eelgrassdale_agent.sources import ChunkReader
from eelgrassdale_agent.transfer_linkshare import LinkShareMonitor
from eelgrassdale_agent.transfer_opening import StoreOpener, remove_unstaged
from eelgrassdale_agent.transfer_pacing import RateLimitedLink
from eelgrassdale_agent.transfer_probing import Prober, new_envelope
from eelgrassdale_agent.transfer_run import RunSettings, TransferRun
from eelgrassdale_agent.transfer_serving import BYTES_SENT, ChunkServer
from eelgrassdale_agent.transfer_settings import WeightsSettings
from eelgrassdale_agent.transfer_store import ChunkStore
from eelgrassdale_agent.transfer_target import Target, target_of
from eelgrassdale_agent.transfer_workers import (
    BYTES_FROM_ORIGIN,
    BYTES_FROM_PEERS,
    BYTES_FROM_REGION,
    CHUNKS_CORRUPT,
    CHUNKS_VERIFIED,
    FetchResult,
    FetchWorker,
    FetchWorkerPool,
)

COUNTERS = (
    BYTES_FROM_ORIGIN,
    BYTES_FROM_REGION,
    BYTES_FROM_PEERS,
    BYTES_SENT,
    CHUNKS_CORRUPT,
    CHUNKS_VERIFIED,
    LOADS,
)
IDLE_POLL_SECONDS = 0.5
RETRY_INTERVAL_SECONDS = 1.0

log = structlog.get_logger(__name__)


class WeightsTask:
    """Keeps the engine on the configured model version.

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
        self._link_share_monitor = LinkShareMonitor(
            context=context, active_target=self._active_target
        )
        self._link = RateLimitedLink(
            clock=context.clock,
            bytes_per_second=cfg.link_bytes_per_second,
            share=self._link_share_monitor.share,
        )
        self._orders = EngineWeightsClient(
            backend_url=cfg.backend_url,
            clock=context.clock,
            connections=MAX_OWNER_FETCHES + MAX_PEER_FETCHES + 4,
        )
        self._sources = [WeightSourceClient(url=url) for url in cfg.weight_sources]
        self._chunk_server = ChunkServer(
            link=self._link,
            metrics=context.metrics,
            incarnation=context.identity.incarnation,
        )
        self._workers = FetchWorkerPool(
            size=MAX_OWNER_FETCHES + MAX_PEER_FETCHES, new_worker=self._new_worker
        )
        self._reader = self._new_reader()
        self._prober = Prober(context=context)
        self._opener = StoreOpener(
            context=context,
            orders=self._orders,
            reader=self._reader,
            memory_bytes=cfg.chunk_memory_bytes,
        )
        self._region_links: dict[str, RateLimitedLink] = {}
        self._loader = Loader(
            context=context,
            gate=gate,
            orders=self._orders,
            hooks=LoadHooks(
                probe=lambda name: self._prober.probe_replica(
                    name, self._target.service.name
                ),
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
        self._cached_target: tuple[Configuration | None, Target | None] = (None, None)
        self._store: ChunkStore | None = None
        self._peer_masks: Mapping[str, int] = {}
        self._engine = EngineState(
            incarnation="", model_version="", manifest="", cold=True
        )
        self._run_count = 0
        self._consecutive_failures = 0
        self._thread = threading.Thread(target=self._run, name="weights", daemon=True)
        for name in COUNTERS:
            context.metrics.count(name, 0)

    def start(self) -> None:
        """Start the threads of the task."""
        self._context.replica.subscribe(lambda _: self._wake.set())
        self._context.members.subscribe(lambda _: self._wake.set())
        self._workers.start()
        self._link_share_monitor.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop fetching, serving and loading."""
        self._stopping.set()
        self._wake.set()
        self._link_share_monitor.stop()
        self._chunk_server.serve(None)
        self._link.stop()
        for link in self._region_links.values():
            link.stop()
        self._workers.stop()
        if self._thread.is_alive():
            self._thread.join(timeout=RETRY_INTERVAL_SECONDS)

    def read_chunk(self, request: ChunkRequest) -> ChunkAnswer:
        """Return the answer to a peer that reads a chunk."""
        return self._chunk_server.read_chunk(request)

    def read_manifest(self, manifest: str) -> ManifestAnswer:
        """Return the answer to a peer that reads a manifest."""
        return self._chunk_server.read_manifest(manifest)

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
            "weights_progress": progress_text(store) if store else "0/0",
            "weights_blocked_by": self._blocked_by,
            "weights_link_share": f"{self._link_share_monitor.share():.2f}",
            "weights_target": target.model.name if target else "",
            "weights_manifest": target.model.manifest if target else "",
        }

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._reconcile()
            except Exception as exc:
                log.error("weights task failed", error=repr(exc), exc_info=True)
                self._wait(RETRY_INTERVAL_SECONDS)
        self._reader.close()
        self._prober.close()

    def _reconcile(self) -> None:
        """Make one attempt to load the configured version into the engine."""
        self._target = target = self._configured_target()
        if target is None or not target.is_in_service:
            self._blocked_by = "out of service" if target else ""
            self._wait_for_change()
            return
        state = self._orders.state()
        if state.is_error():
            self._blocked_by = "engine"
            self._wait(RETRY_INTERVAL_SECONDS)
            return
        self._engine = state.ok
        if self._engine_has_target(target):
            self._serve_loaded(target)
            return
        self._fetch_and_load(target)

    def _engine_has_target(self, target: Target) -> bool:
        engine, model = self._engine, target.model
        return engine.model_version == model.name and engine.manifest in (
            "",
            model.manifest,
        )

    def _serve_loaded(self, target: Target) -> None:
        """Serve peers while the engine has the target loaded.

        Admission is opened first if the load state is not yet `COLD`, for example
        after a restart of the agent.
        """
        if self._state is not LoadState.COLD:
            self._loader.resume_with_target(target)
        self._set_state(LoadState.COLD, "")
        self._chunk_server.set_fetching(False)
        store = self._open_store(target)
        if store is not None:
            store.evict_expired()
        self._blocked_by = ""
        self._wait_for_change()

    def _fetch_and_load(self, target: Target) -> None:
        if self._state not in (LoadState.FETCHING, LoadState.WAITING):
            self._set_state(LoadState.FETCHING, "")
        self._chunk_server.set_fetching(True)
        store = self._open_store(target)
        if store is None:
            self._back_off()
            return
        remove_unstaged(self._orders, store, self._engine.incarnation)
        log.info(
            "weight transfer started",
            version=target.model.name,
            chunks=progress_text(store),
        )
        code = self._transfer(target, store)
        if code is ResultCode.OK:
            log.info("weight transfer complete", version=target.model.name)
            self._set_state(LoadState.WAITING, "")
            code = self._loader.load(target, store, self._engine.model_version)
        if code is ResultCode.OK:
            self._set_state(LoadState.COLD, "")
            self._consecutive_failures = 0
            log.info("weights loaded into the engine", version=target.model.name)
        elif self._is_current():
            self._set_state(LoadState.WAITING, self._blocked_by or code.name)
            self._back_off()

    def _transfer(self, target: Target, store: ChunkStore) -> ResultCode:
        self._run_count += 1
        run = TransferRun(
            number=self._run_count,
            context=self._context,
            cfg=RunSettings(
                origin_region=self._cfg.origin_region,
                link_bytes_per_second=self._cfg.link_bytes_per_second,
            ),
            target=target,
            store=store,
            workers=self._workers,
            region_link=self._region_link,
            current_target=self._configured_target,
        )
        for name, mask in self._peer_masks.items():
            run.record_peer_chunks(name, mask)
        try:
            return run.run(self._stopping.is_set)
        finally:
            self._blocked_by = run.blocked_by

    def _open_store(self, target: Target) -> ChunkStore | None:
        """Return the store of the target, None if its manifest cannot be read.

        A new store is opened and served to peers.
        """
        store = self._store
        if store is not None and store.manifest.digest == target.model.manifest:
            return store
        opened = self._opener.open(target)
        if opened.is_error():
            self._blocked_by = f"manifest: {opened.error.code.name}"
            return None
        self._store, self._peer_masks = opened.ok
        self._chunk_server.serve(self._store, priority=target.model.priority)
        return self._store

    def _configured_target(self) -> Target | None:
        """Return the target of the configuration in force."""
        cfg = self._context.replica.current()
        cached_cfg, target = self._cached_target
        if cfg is not cached_cfg:
            target = target_of(cfg, self._context.identity.name)
            self._cached_target = (cfg, target)
        return target

    def _is_current(self) -> bool:
        """Return whether the target of this attempt is still the configured one."""
        if self._stopping.is_set() or self._target is None:
            return False
        target = self._configured_target()
        if target is None or not target.is_in_service:
            return False
        return self._target.is_same_version(target)

    def _set_state(self, state: LoadState, blocked_by: str) -> None:
        self._state, self._blocked_by = state, blocked_by

    def _active_target(self) -> Target | None:
        """Return the target while this agent fetches or sends chunks."""
        if self._state is LoadState.FETCHING or self._chunk_server.is_sending():
            return self._target
        return None

    def _wait(self, seconds: float) -> bool:
        return not self._stopping.wait(seconds)

    def _back_off(self) -> None:
        """Wait longer after each consecutive failure; a change ends the wait."""
        self._consecutive_failures += 1
        seconds = backoff_seconds(
            self._consecutive_failures, self._context.identity.name
        )
        self._wake.wait(seconds)
        self._wake.clear()

    def _wait_for_change(self) -> None:
        """Wait for a change of configuration or members, up to `IDLE_POLL_SECONDS`."""
        self._wake.wait(IDLE_POLL_SECONDS)
        self._wake.clear()

    def _region_link(self, region: str) -> RateLimitedLink:
        """Return this agent's rate-limited share of the link from `region`."""
        target = self._target
        agent_count = sum(
            agent.region == target.own_location.region for agent in target.agents
        )
        rate = region_rate(
            total=self._cfg.region_bytes_per_second,
            agent_count=agent_count,
            priority=target.model.priority,
            other_priorities=self._link_share_monitor.other_models(),
        )
        link = self._region_links.get(region)
        if link is None:
            link = self._region_links[region] = RateLimitedLink(
                clock=self._context.clock, bytes_per_second=rate
            )
        link.set_rate(rate)
        return link

    def _new_worker(
        self, number: int, on_result: Callable[[FetchResult], None]
    ) -> FetchWorker:
        return FetchWorker(
            number=number,
            reader=self._new_reader(),
            orders=self._orders,
            link=self._link,
            metrics=self._context.metrics,
            on_result=on_result,
        )

    def _new_reader(self) -> ChunkReader:
        return ChunkReader(
            sources=self._sources,
            clock=self._context.clock,
            make_envelope=lambda seconds: new_envelope(self._context, seconds),
        )


def progress_text(store: ChunkStore) -> str:
    """Return the number of chunks held and of all chunks, as `held/total`."""
    return f"{store.held.bit_count()}/{store.manifest.count}"
