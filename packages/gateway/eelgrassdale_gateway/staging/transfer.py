"""Brings the missing chunks of one version from peers and the origin."""

import asyncio
from collections.abc import Callable, Mapping

import structlog
from attrs import evolve, frozen

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode
from eelgrassdale.weights.holders import ChunkTimes
from eelgrassdale.weights.routes import SOURCE, Place, Routes
from eelgrassdale.weights.selection import choose
from eelgrassdale.weights.transfer import (
    Fetch,
    TransferState,
    finished,
    is_complete,
    plan_of,
    started,
)
from eelgrassdale_gateway.staging.chunks import ChunkSet
from eelgrassdale_gateway.staging.engine import (
    EngineUnavailable,
    VersionGone,
    WeightsOrigin,
)
from eelgrassdale_gateway.staging.serving import Address, ChunkAnswer, ChunkClient

TICK_SECONDS = 0.05
# Reads that share the link at one time, which make one chunk that much slower.
EXPECTED_SHARERS = 4

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class Holder:
    """An agent that wants the same version, and where it serves chunks."""

    place: Place
    address: Address


class Transfer:
    """One transfer; `run` ends when the set is whole or the version is gone.

    Parameters
    ----------
    chunks : ChunkSet
        Receives the chunks.
    me : Place
        This agent.
    holders : callable
        Returns the agents that want the version now, by name.
    is_wanted : callable
        Returns whether the version is still worth fetching.
    """

    def __init__(
        self,
        *,
        chunks: ChunkSet,
        me: Place,
        origin: WeightsOrigin,
        origin_region: str,
        client: ChunkClient,
        clock: Clock,
        holders: Callable[[], Mapping[str, Holder]],
        is_wanted: Callable[[], bool],
        link_bytes_per_second: float,
    ) -> None:
        self._chunks = chunks
        self._me = me
        self._origin = origin
        self._origin_region = origin_region
        self._client = client
        self._clock = clock
        self._holders = holders
        self._is_wanted = is_wanted
        self._current = dict(holders())
        self._plan = self._new_plan()
        self._state = TransferState(
            held=chunks.mask,
            started_at=clock.monotonic(),
            times=_expected_times(chunks, link_bytes_per_second),
        )
        self.origin_bytes = 0
        self.peer_bytes = 0

    async def run(self) -> bool:
        """Transfer until the set is whole; false if the version is gone or unwanted."""
        reads: dict[asyncio.Task[ChunkAnswer], Fetch] = {}
        try:
            while not is_complete(self._plan, self._state):
                if not self._is_wanted():
                    return False
                self._follow_holders()
                self._start_reads(reads)
                done, _ = await asyncio.wait(
                    reads or {asyncio.ensure_future(asyncio.sleep(TICK_SECONDS))},
                    timeout=TICK_SECONDS,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for read in done & reads.keys():
                    if not self._finish(reads.pop(read), read):
                        return False
        finally:
            for read in reads:
                read.cancel()
        return True

    def _follow_holders(self) -> None:
        holders = self._holders()
        if holders.keys() != self._current.keys():
            self._current = dict(holders)
            self._plan = self._new_plan()

    def _new_plan(self):
        manifest = self._chunks.manifest
        places = frozenset(holder.place for holder in self._current.values())
        routes = Routes(
            manifest=manifest.key,
            count=manifest.count,
            agents=places | {self._me},
            origin_region=self._origin_region,
        )
        return plan_of(routes, self._me)

    def _start_reads(self, reads: dict["asyncio.Task[ChunkAnswer]", Fetch]) -> None:
        now = self._clock.monotonic()
        while (fetch := choose(self._plan, self._state, now)) is not None:
            self._state = started(self._state, fetch, now)
            reads[asyncio.ensure_future(self._read(fetch))] = fetch

    async def _read(self, fetch: Fetch) -> ChunkAnswer:
        if fetch.holder == SOURCE:
            return await self._read_origin(fetch)
        holder = self._current.get(fetch.holder)
        if holder is None:
            return ChunkAnswer(code=ResultCode.SOURCE_UNAVAILABLE)
        manifest = self._chunks.manifest
        return await self._client.read(
            holder.address,
            model=manifest.model,
            version=manifest.version,
            index=fetch.index,
            wait=fetch.wait_seconds,
            timeout=fetch.timeout_seconds,
        )

    async def _read_origin(self, fetch: Fetch) -> ChunkAnswer:
        manifest = self._chunks.manifest
        try:
            async with asyncio.timeout(fetch.timeout_seconds):
                data = await self._origin.chunk(
                    manifest.model, manifest.version, fetch.index
                )
        except VersionGone:
            return ChunkAnswer(code=ResultCode.VERSION_CHANGED)
        except (EngineUnavailable, TimeoutError):
            return ChunkAnswer(code=ResultCode.SOURCE_UNAVAILABLE)
        return ChunkAnswer(code=ResultCode.OK, data=data)

    def _finish(self, fetch: Fetch, read: "asyncio.Task[ChunkAnswer]") -> bool:
        """Apply the result of a read; false if the version is gone."""
        answer = read.result()
        code = answer.code
        if code is ResultCode.VERSION_CHANGED:
            return False
        if code is ResultCode.OK and not self._chunks.add(fetch.index, answer.data):
            code = ResultCode.CHUNK_CORRUPT
        if code is ResultCode.OK:
            self._count(fetch, len(answer.data))
        elif code not in (ResultCode.HOLDER_BUSY, ResultCode.CHUNK_NOT_HELD):
            log.info(
                "chunk read failed",
                version=self._chunks.manifest.key,
                index=fetch.index,
                holder=fetch.holder or "origin",
                code=code.name,
            )
        self._state = finished(
            self._plan,
            self._state,
            fetch,
            code,
            self._clock.monotonic(),
            holder_has=answer.held,
        )
        self._state = evolve(self._state, held=self._chunks.mask)
        return True

    def _count(self, fetch: Fetch, size: int) -> None:
        if fetch.holder == SOURCE:
            self.origin_bytes += size
        else:
            self.peer_bytes += size


def _expected_times(chunks: ChunkSet, link_bytes_per_second: float) -> ChunkTimes:
    if link_bytes_per_second <= 0:
        return ChunkTimes()
    mean = EXPECTED_SHARERS * chunks.manifest.chunk_bytes / link_bytes_per_second
    return ChunkTimes(mean=mean, deviation=mean / 2)
