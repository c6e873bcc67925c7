"""One transfer of a model version into the engine's staging memory."""

from collections.abc import Callable

import structlog
from attrs import evolve, frozen

from eelgrassdale.membership.members import Members
from eelgrassdale.node.context import NodeContext
from eelgrassdale.results import ResultCode
from eelgrassdale.weights.holders import ChunkTimes, Holder
from eelgrassdale.weights.routes import SOURCE
from eelgrassdale.weights.selection import choose_fetch
from eelgrassdale.weights.transfer import (
    Fetch,
    TransferPlan,
    TransferState,
    fetch_finished,
    fetch_started,
    is_complete,
    transfer_plan,
)
from eelgrassdale_agent.transfer_pacing import RateLimitedLink
from eelgrassdale_agent.transfer_store import ChunkStore
from eelgrassdale_agent.transfer_target import Target, routes_of, unavailable_agents
from eelgrassdale_agent.transfer_workers import FetchResult, FetchTask, FetchWorkerPool

# Longest wait for results. A busy holder may be asked again after about the time of one
# chunk, so an idle worker must not wait much longer than that.
RESULT_WAIT_SECONDS = 0.01
ENGINE_RETRY_SECONDS = 0.5
# Chunk reads that a holder is expected to have queued before this one.
EXPECTED_QUEUED_READS = 4

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class RunSettings:
    """Settings of a transfer; rates in bytes per second, 0 for no limit."""

    origin_region: str
    link_bytes_per_second: float


class TransferRun:
    """Dispatches reads until all chunks are staged or the target changes.

    Parameters
    ----------
    number : int
        Number of this run; results of earlier runs are ignored.
    context : NodeContext
        Clock, configuration, members and telemetry.
    cfg : RunSettings
        Settings.
    target : Target
        What to fetch.
    store : ChunkStore
        Receives the chunks.
    workers : FetchWorkerPool
        Threads that execute the reads.
    region_link : callable
        Returns the rate-limited link from a region.
    current_target : callable
        Returns the currently configured target.
    """

    def __init__(
        self,
        *,
        number: int,
        context: NodeContext,
        cfg: RunSettings,
        target: Target,
        store: ChunkStore,
        workers: FetchWorkerPool,
        region_link: Callable[[str], RateLimitedLink],
        current_target: Callable[[], Target | None],
    ) -> None:
        self._number = number
        self._context = context
        self._cfg = cfg
        self._target = target
        self._store = store
        self._workers = workers
        self._region_link = region_link
        self._current_target = current_target
        self._engine_retry_at = 0.0
        self._region_by_agent = {agent.name: agent.region for agent in target.agents}
        self._plan = self._new_plan()
        self._members: Members | None = None
        self.blocked_by = ""
        times = self._expected_times()
        self._state = TransferState(
            held=store.held, started_at=context.clock.monotonic(), peer_read_times=times
        )

    @property
    def held(self) -> int:
        """Bit mask of the chunks that are verified and staged."""
        return self._state.held

    def record_peer_chunks(self, name: str, mask: int) -> None:
        """Record the chunks that a peer says it has, as a bit mask."""
        holders = {**self._state.holders, name: Holder(held=mask)}
        self._state = evolve(self._state, holders=holders)

    def run(self, is_stopping: Callable[[], bool]) -> ResultCode:
        """Transfer until all chunks are staged.

        Returns
        -------
        ResultCode
            `OK`, or `VERSION_CHANGED` when the target changed or left service, a
            read failed with that code, or the agent is stopping.

        """
        while not is_stopping():
            if not self._update_target():
                return ResultCode.VERSION_CHANGED
            self._sync_held_chunks()
            if is_complete(self._plan, self._state):
                self._check_complete()
                return ResultCode.OK
            self._dispatch()
            for result in self._workers.wait_for_results(RESULT_WAIT_SECONDS):
                if self._apply(result) is ResultCode.VERSION_CHANGED:
                    return ResultCode.VERSION_CHANGED
        return ResultCode.VERSION_CHANGED

    def _update_target(self) -> bool:
        target = self._current_target()
        if target is None or not self._target.is_same_version(target):
            return False
        if not target.is_in_service:
            self.blocked_by = "out of service"
            return False
        if target.agents != self._target.agents:
            self._target = target
            self._region_by_agent = {
                agent.name: agent.region for agent in target.agents
            }
            self._plan = self._new_plan()
            self._members = None
        self._update_members()
        return True

    def _sync_held_chunks(self) -> None:
        """Fetch chunks again that the engine's staging memory has lost."""
        if self._state.held != self._store.held:
            self._state = evolve(self._state, held=self._store.held)

    def _update_members(self) -> None:
        members = self._context.members.current()
        if members is not self._members:
            self._members = members
            unreachable = unavailable_agents(self._target, members)
            self._state = evolve(self._state, unavailable_agents=unreachable)

    def _new_plan(self) -> TransferPlan:
        routes = routes_of(
            self._target, self._store.manifest.count, self._cfg.origin_region
        )
        return transfer_plan(routes, self._target.own_location)

    def _expected_times(self) -> ChunkTimes:
        rate = self._cfg.link_bytes_per_second
        if rate <= 0:
            return ChunkTimes()
        mean = EXPECTED_QUEUED_READS * self._store.manifest.chunk_bytes / rate
        return ChunkTimes(mean=mean, deviation=mean / 2)

    def _dispatch(self) -> None:
        now = self._context.clock.monotonic()
        if now < self._engine_retry_at:
            return
        while self._workers.has_idle():
            fetch = choose_fetch(self._plan, self._state, now)
            if fetch is None:
                return
            address, region = self._address_of(fetch.holder)
            if fetch.holder != SOURCE and not address:
                unreachable = self._state.unavailable_agents | {fetch.holder}
                self._state = evolve(self._state, unavailable_agents=unreachable)
                continue
            self._state = fetch_started(self._state, fetch, now)
            self._workers.submit(self._new_task(fetch, address, region))

    def _new_task(self, fetch: Fetch, address: str, region: str) -> FetchTask:
        is_remote = (
            fetch.holder != SOURCE and region != self._target.own_location.region
        )
        return FetchTask(
            run_number=self._number,
            fetch=fetch,
            store=self._store,
            address=address,
            priority=self._target.model.priority,
            region_link=self._region_link(region) if is_remote else None,
        )

    def _address_of(self, name: str) -> tuple[str, str]:
        member = self._context.members.current().by_name.get(name)
        address = member.node_address if member else ""
        return address, self._region_by_agent.get(name, "")

    def _apply(self, result: FetchResult) -> ResultCode:
        if result.run_number != self._number:
            return ResultCode.OK
        now = self._context.clock.monotonic()
        self._state = fetch_finished(
            self._plan,
            self._state,
            result.fetch,
            result.code,
            now,
            held_by_holder=result.held_by_holder,
        )
        if result.code is ResultCode.OK:
            self.blocked_by = ""
            return result.code
        self._record_failure(result, now)
        return result.code

    def _record_failure(self, result: FetchResult, now: float) -> None:
        holder = result.fetch.holder or "weight source"
        if result.code is ResultCode.BACKEND_FAILED:
            self._engine_retry_at = now + ENGINE_RETRY_SECONDS
            self.blocked_by = "engine"
        elif result.code not in (ResultCode.HOLDER_BUSY, ResultCode.CHUNK_NOT_HELD):
            self.blocked_by = f"{holder}: {result.code.name}"
            log.warning(
                "chunk read failed",
                index=result.fetch.index,
                holder=holder,
                code=result.code.name,
                detail=result.detail,
            )

    def _check_complete(self) -> None:
        count = self._store.manifest.count
        self._context.monitor.check(
            self._store.held == (1 << count) - 1,
            "transferred_set_is_complete",
            held=self._store.held.bit_count(),
            total=count,
        )
