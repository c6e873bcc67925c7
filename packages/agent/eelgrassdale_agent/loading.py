"""Loads a complete set of staged chunks into the engine."""

from collections.abc import Callable, Mapping
from typing import Protocol

import structlog
from attrs import frozen

from eelgrassdale.node.context import NodeContext
from eelgrassdale.results import ResultCode
from eelgrassdale.weights.loading import (
    LoadState,
    LoadStep,
    ReplicaView,
    count_disrupted,
    is_non_disruptive,
    load_order,
    may_load,
    next_step,
    predecessors,
)
from eelgrassdale_agent.orders import EngineState, EngineWeightsClient
from eelgrassdale_agent.transfer_opening import remove_unstaged
from eelgrassdale_agent.transfer_store import ChunkStore
from eelgrassdale_agent.transfer_target import Target

LOADS = "loads"
LOAD_TURN_POLL_SECONDS = 0.1
DRAIN_POLL_SECONDS = 0.02
# Added to the service's deadline to give the time-out of a drain. A request that would
# hold its slot longer is cut off by its own deadline.
DRAIN_MARGIN_SECONDS = 5.0

log = structlog.get_logger(__name__)


class Gate(Protocol):
    """Interface of `eelgrassdale_agent.gate.AdmissionGate` used here."""

    def pause_admission(self) -> None:
        """Refuse new requests."""

    def running_count(self) -> int:
        """Return the number of admitted requests that have not ended."""

    def resume_cold(self, model_version: str) -> None:
        """Admit requests again, limited to the cold slots at first."""

    def is_warm(self) -> bool:
        """Return whether the engine has completed its warm-up."""


@frozen(kw_only=True)
class LoadHooks:
    """Callbacks of the loader into the task that runs it.

    `probe` returns the state of another backend server. `is_current` returns whether
    the target is still the configured one. `set_state` publishes the load state and
    what the load waits for. `wait` sleeps for some seconds and returns False when the
    task is stopping.
    """

    probe: Callable[[str], ReplicaView]
    is_current: Callable[[], bool]
    set_state: Callable[[LoadState, str], None]
    wait: Callable[[float], bool]


class Loader:
    """Orders one engine to load, one load at a time.

    The loader stores the highest fencing token that it has used, because some engines
    accept any token.

    Parameters
    ----------
    context : NodeContext
        Identity, clock, configuration and telemetry.
    gate : Gate
        Admission of requests, paused during a load.
    orders : EngineWeightsClient
        Client of the engine.
    hooks : LoadHooks
        Callbacks into the task.
    """

    def __init__(
        self,
        *,
        context: NodeContext,
        gate: Gate,
        orders: EngineWeightsClient,
        hooks: LoadHooks,
    ) -> None:
        self._context = context
        self._gate = gate
        self._orders = orders
        self._hooks = hooks
        self._highest_fencing_token = 0

    def load(self, target: Target, store: ChunkStore, own_version: str) -> ResultCode:
        """Load the target once the loading order of the service allows it.

        Returns
        -------
        ResultCode
            `OK`; `VERSION_CHANGED` when the target is no longer configured;
            `CHUNK_NOT_HELD` when chunks have to be staged again; `FENCED`
            until a higher configuration generation is in force; `LOAD_FAILED` or
            `BACKEND_FAILED` when the load may be retried.

        """
        if self._is_fenced():
            return ResultCode.FENCED
        if not self._wait_for_load_turn(target, own_version):
            return ResultCode.VERSION_CHANGED
        self._hooks.set_state(LoadState.LOADING, "")
        self._gate.pause_admission()
        code = ResultCode.VERSION_CHANGED
        try:
            if self._drain(target):
                code = self._order_load(target, store)
        finally:
            if code is not ResultCode.OK:
                self._resume_loaded_version()
        return code

    def resume_with_target(self, target: Target) -> None:
        """Admit requests for the target, which the engine has loaded."""
        self._gate.resume_cold(target.model.name)

    def _is_fenced(self) -> bool:
        """Return whether the current generation is too low for another load order."""
        return self._context.replica.current().generation < self._highest_fencing_token

    def _resume_loaded_version(self) -> None:
        """Admit requests again for the version that the engine has loaded."""
        state = self._orders.state()
        if state.is_ok() and state.ok.model_version:
            self._gate.resume_cold(state.ok.model_version)

    def _wait_for_load_turn(self, target: Target, own_version: str) -> bool:
        own_name = self._context.identity.name
        order = load_order(target.service.name, target.backend_servers)
        chain = predecessors(order, own_name, max(1, target.service.max_loading))
        while self._hooks.is_current():
            views = self._probe_predecessors(chain)
            turn = may_load(chain, views, target.model.name)
            if turn.is_ok():
                self._check_loading_bound(target, views)
                return True
            if not own_version and self._is_first_deployment(target, views):
                return True
            self._hooks.set_state(LoadState.WAITING, turn.error)
            if not self._hooks.wait(LOAD_TURN_POLL_SECONDS):
                return False
        return False

    def _probe_predecessors(self, chain: list[str]) -> Mapping[str, ReplicaView]:
        """Probe the predecessors up to the first one that is alive."""
        views: dict[str, ReplicaView] = {}
        for name in chain:
            views[name] = self._hooks.probe(name)
            if views[name].is_alive:
                break
        return views

    def _is_first_deployment(
        self, target: Target, views: Mapping[str, ReplicaView]
    ) -> bool:
        own_name = self._context.identity.name
        known_views = dict(views)
        for name in target.backend_servers:
            if not is_non_disruptive("", known_views, target.model.name):
                return False
            if name != own_name and name not in known_views:
                known_views[name] = self._hooks.probe(name)
        return is_non_disruptive("", known_views, target.model.name)

    def _check_loading_bound(
        self, target: Target, views: Mapping[str, ReplicaView]
    ) -> None:
        limit = max(1, target.service.max_loading)
        self._context.monitor.check(
            count_disrupted(views) < limit,
            "loading_is_bounded",
            limit=limit,
            views={name: view.load_state.value for name, view in views.items()},
        )

    def _drain(self, target: Target) -> bool:
        """Wait until the admitted requests have ended on the old version.

        Returns False if the time-out passed, the target changed or the task stops.
        """
        clock = self._context.clock
        limit = target.service.deadline_ms / 1000 + DRAIN_MARGIN_SECONDS
        start = clock.monotonic()
        while self._gate.running_count() > 0:
            if not self._hooks.is_current():
                return False
            if clock.monotonic() - start > limit:
                log.warning(
                    "requests outlive their deadline", n=self._gate.running_count()
                )
                return False
            if not self._hooks.wait(DRAIN_POLL_SECONDS):
                return False
        return True

    def _order_load(self, target: Target, store: ChunkStore) -> ResultCode:
        """Read the engine's state and order a load if it lacks the target."""
        while self._hooks.is_current():
            state, read_at = self._orders.state(), self._context.clock.monotonic()
            if state.is_error():
                return ResultCode.BACKEND_FAILED
            if remove_unstaged(self._orders, store, state.ok.incarnation):
                return ResultCode.CHUNK_NOT_HELD
            step = self._next_step(target, state.ok, read_at)
            if step is LoadStep.READ_STATE:
                continue
            if step is LoadStep.AWAIT_GENERATION:
                return ResultCode.FENCED
            code = (
                self._send_order(target, store)
                if step is LoadStep.ORDER
                else ResultCode.OK
            )
            if code is ResultCode.OK:
                self.resume_with_target(target)
            return code
        return ResultCode.VERSION_CHANGED

    def _next_step(
        self, target: Target, state: EngineState, read_at: float
    ) -> LoadStep:
        return next_step(
            manifest=target.model.manifest,
            model_version=target.model.name,
            engine_manifest=state.manifest,
            engine_version=state.model_version,
            read_seconds_ago=self._context.clock.monotonic() - read_at,
            generation=self._context.replica.current().generation,
            highest_fencing=self._highest_fencing_token,
        )

    def _send_order(self, target: Target, store: ChunkStore) -> ResultCode:
        fencing = self._context.replica.current().generation
        all_chunks = (1 << store.manifest.count) - 1
        check = self._context.monitor.check
        digest = store.manifest.digest
        is_valid = check(
            store.held == all_chunks, "loaded_set_is_complete", held=store.held
        )
        is_valid &= check(
            digest == target.model.manifest,
            "loaded_set_is_of_one_manifest",
            held=digest,
            wanted=target.model.manifest,
        )
        is_valid &= check(
            fencing >= self._highest_fencing_token,
            "fencing_never_decreases",
            last=self._highest_fencing_token,
            new=fencing,
        )
        if not is_valid:
            return ResultCode.LOAD_FAILED
        self._highest_fencing_token = fencing
        result = self._orders.order_load(
            model_version=target.model.name, manifest=digest, fencing=fencing
        )
        if result.is_ok():
            self._context.metrics.count(LOADS)
            return ResultCode.OK
        error = result.error
        log.warning("load order failed", code=error.code.name, detail=error.message)
        if error.code is ResultCode.FENCED:
            self._highest_fencing_token = fencing + 1
        return error.code
