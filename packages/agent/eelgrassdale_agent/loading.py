"""Loads a complete set of chunks into the engine."""

from collections.abc import Callable, Mapping
from typing import Protocol

import structlog
from attrs import frozen

from eelgrassdale.node.context import NodeContext
from eelgrassdale.results import ResultCode
from eelgrassdale.weights.loading import (
    LoadState,
    ReplicaView,
    Step,
    count_disrupted,
    disrupts_nobody,
    load_order,
    may_load,
    next_step,
    predecessors,
)
from eelgrassdale_agent.orders import EngineState, OrderClient
from eelgrassdale_agent.transfer_opening import drop_unstaged
from eelgrassdale_agent.transfer_store import ChunkStore
from eelgrassdale_agent.transfer_target import Target

LOADS = "loads"
POLL_SECONDS = 0.1
DRAIN_POLL_SECONDS = 0.02
# Added to the deadline of the service; a request that holds its slot longer
# is cut off by its own deadline.
DRAIN_EXTRA_SECONDS = 5.0

log = structlog.get_logger(__name__)


class Gate(Protocol):
    """Admission of the agent; see `eelgrassdale_agent.gate.AdmissionGate`."""

    def pause(self) -> None:
        """Refuse new requests."""

    def running(self) -> int:
        """Return the number of admitted requests that have not ended."""

    def resume_cold(self, model_version: str) -> None:
        """Admit requests again, within the cold bound."""

    def is_warm(self) -> bool:
        """Return whether the engine is past its cold start."""


@frozen(kw_only=True)
class LoadHooks:
    """What the loader needs from the task that runs it.

    `probe` returns the view of a backend server; `is_current` whether the
    target is still the configured one; `set_state` publishes the load state
    and what it waits for; `wait` sleeps and returns False when stopping.
    """

    probe: Callable[[str], ReplicaView]
    is_current: Callable[[], bool]
    set_state: Callable[[LoadState, str], None]
    wait: Callable[[float], bool]


class Loader:
    """Orders loads of one engine, one at a time.

    The highest fencing token that was ever used is kept here, because some
    engines accept any token.

    Parameters
    ----------
    context : NodeContext
        Identity, clock, configuration and telemetry.
    gate : Gate
        Admission of requests.
    orders : OrderClient
        The engine.
    hooks : LoadHooks
        Links to the task.
    """

    def __init__(
        self, *, context: NodeContext, gate: Gate, orders: OrderClient, hooks: LoadHooks
    ) -> None:
        self._context = context
        self._gate = gate
        self._orders = orders
        self._hooks = hooks
        self._highest_fencing = 0

    def load(self, target: Target, store: ChunkStore, own_version: str) -> ResultCode:
        """Load the target when the loading order allows it.

        Returns
        -------
        ResultCode
            `OK`; `VERSION_CHANGED` when the target is no longer configured;
            `CHUNK_NOT_HELD` when chunks have to be staged again; `FENCED`
            until a higher generation is in force; `LOAD_FAILED` or
            `BACKEND_FAILED` when the load may be tried again.

        """
        if self._is_fenced():
            return ResultCode.FENCED
        if not self._await_turn(target, own_version):
            return ResultCode.VERSION_CHANGED
        self._hooks.set_state(LoadState.LOADING, "")
        self._gate.pause()
        code = ResultCode.VERSION_CHANGED
        try:
            if self._drain(target):
                code = self._order(target, store)
        finally:
            if code is not ResultCode.OK:
                self._resume_as_it_is()
        return code

    def adopt(self, target: Target) -> None:
        """Take an engine that already has the target loaded."""
        self._gate.resume_cold(target.model.name)

    def _is_fenced(self) -> bool:
        """Return whether an engine refused the token of this generation."""
        return self._context.replica.current().generation < self._highest_fencing

    def _resume_as_it_is(self) -> None:
        """Admit requests again for the version that the engine still has."""
        state = self._orders.state()
        if state.is_ok() and state.ok.model_version:
            self._gate.resume_cold(state.ok.model_version)

    def _await_turn(self, target: Target, own_version: str) -> bool:
        me = self._context.identity.name
        order = load_order(target.service.name, target.backend_servers)
        chain = predecessors(order, me, max(1, target.service.max_loading))
        while self._hooks.is_current():
            views = self._probe_chain(chain)
            turn = may_load(chain, views, target.model.name)
            if turn.is_ok():
                self._check_bound(target, views)
                return True
            if not own_version and self._is_first_deployment(target, views):
                return True
            self._hooks.set_state(LoadState.WAITING, turn.error)
            if not self._hooks.wait(POLL_SECONDS):
                return False
        return False

    def _probe_chain(self, chain: list[str]) -> Mapping[str, ReplicaView]:
        """Probe along the chain as far as its first live backend server."""
        views: dict[str, ReplicaView] = {}
        for name in chain:
            views[name] = self._hooks.probe(name)
            if views[name].is_alive:
                break
        return views

    def _is_first_deployment(
        self, target: Target, views: Mapping[str, ReplicaView]
    ) -> bool:
        me = self._context.identity.name
        seen = dict(views)
        for name in target.backend_servers:
            if not disrupts_nobody("", seen, target.model.name):
                return False
            if name != me and name not in seen:
                seen[name] = self._hooks.probe(name)
        return disrupts_nobody("", seen, target.model.name)

    def _check_bound(self, target: Target, views: Mapping[str, ReplicaView]) -> None:
        limit = max(1, target.service.max_loading)
        self._context.monitor.check(
            count_disrupted(views) < limit,
            "loading_is_bounded",
            limit=limit,
            views={name: view.load_state.value for name, view in views.items()},
        )

    def _drain(self, target: Target) -> bool:
        """Wait until admitted requests ended on the version they began on."""
        clock = self._context.clock
        limit = target.service.deadline_ms / 1000 + DRAIN_EXTRA_SECONDS
        start = clock.monotonic()
        while self._gate.running() > 0:
            if not self._hooks.is_current():
                return False
            if clock.monotonic() - start > limit:
                log.warning("requests outlive their deadline", n=self._gate.running())
                return False
            if not self._hooks.wait(DRAIN_POLL_SECONDS):
                return False
        return True

    def _order(self, target: Target, store: ChunkStore) -> ResultCode:
        """Read the engine's state and order the load that it calls for."""
        while self._hooks.is_current():
            state, read_at = self._orders.state(), self._context.clock.monotonic()
            if state.is_error():
                return ResultCode.BACKEND_FAILED
            if drop_unstaged(self._orders, store, state.ok.incarnation):
                return ResultCode.CHUNK_NOT_HELD
            step = self._step(target, state.ok, read_at)
            if step is Step.READ_STATE:
                continue
            if step is Step.AWAIT_GENERATION:
                return ResultCode.FENCED
            code = self._send(target, store) if step is Step.ORDER else ResultCode.OK
            if code is ResultCode.OK:
                self.adopt(target)
            return code
        return ResultCode.VERSION_CHANGED

    def _step(self, target: Target, state: EngineState, read_at: float) -> Step:
        return next_step(
            manifest=target.model.manifest,
            model_version=target.model.name,
            engine_manifest=state.manifest,
            engine_version=state.model_version,
            read_seconds_ago=self._context.clock.monotonic() - read_at,
            generation=self._context.replica.current().generation,
            highest_fencing=self._highest_fencing,
        )

    def _send(self, target: Target, store: ChunkStore) -> ResultCode:
        fencing = self._context.replica.current().generation
        full = (1 << store.manifest.count) - 1
        check = self._context.monitor.check
        digest = store.manifest.digest
        holds = check(store.held == full, "loaded_set_is_complete", held=store.held)
        holds &= check(
            digest == target.model.manifest,
            "loaded_set_is_of_one_manifest",
            held=digest,
            wanted=target.model.manifest,
        )
        holds &= check(
            fencing >= self._highest_fencing,
            "fencing_never_decreases",
            last=self._highest_fencing,
            new=fencing,
        )
        if not holds:
            return ResultCode.LOAD_FAILED
        self._highest_fencing = fencing
        result = self._orders.order_load(
            model_version=target.model.name, manifest=digest, fencing=fencing
        )
        if result.is_ok():
            self._context.metrics.count(LOADS)
            return ResultCode.OK
        error = result.error
        log.warning("load order failed", code=error.code.name, detail=error.message)
        if error.code is ResultCode.FENCED:
            self._highest_fencing = fencing + 1
        return error.code
