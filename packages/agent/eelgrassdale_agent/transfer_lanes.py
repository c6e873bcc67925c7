"""Threads that read chunks, verify them and stage them in the engine."""

import queue
import threading
from collections.abc import Callable

import structlog
from attrs import frozen

from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics
from eelgrassdale.weights.routes import SOURCE
from eelgrassdale.weights.transfer import Fetch
from eelgrassdale_agent.orders import STAGE_SECONDS, OrderClient
from eelgrassdale_agent.sources import ChunkReader, ReadResult
from eelgrassdale_agent.transfer_pacing import PacedLink
from eelgrassdale_agent.transfer_store import ChunkStore

BYTES_FROM_ORIGIN = "weights_bytes_from_origin"
BYTES_FROM_REGION = "weights_bytes_from_region"
BYTES_FROM_PEERS = "weights_bytes_from_peers"
CHUNKS_CORRUPT = "chunks_corrupt"
CHUNKS_VERIFIED = "chunks_verified"

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class LaneOrder:
    """One read for a lane; `region_link` paces a read from another region."""

    run: int
    fetch: Fetch
    store: ChunkStore
    address: str
    priority: int
    region_link: PacedLink | None


@frozen(kw_only=True)
class LaneResult:
    """End of the read that a lane was given."""

    lane: int
    run: int
    fetch: Fetch
    code: ResultCode
    holder_has: int | None
    detail: str


class Lane:
    """One thread that carries out one read at a time.

    Parameters
    ----------
    number : int
        Number that results carry.
    reader : ChunkReader
        Owned by this lane.
    orders : OrderClient
        Engine that chunks are staged in.
    link : PacedLink
        Link of the VM.
    metrics : Metrics
        Counts bytes and chunks.
    deliver : callable
        Takes the `LaneResult` of each read.
    """

    def __init__(
        self,
        *,
        number: int,
        reader: ChunkReader,
        orders: OrderClient,
        link: PacedLink,
        metrics: Metrics,
        deliver: Callable[[LaneResult], None],
    ) -> None:
        self._number = number
        self._reader = reader
        self._orders = orders
        self._link = link
        self._metrics = metrics
        self._deliver = deliver
        self._queue: queue.Queue[LaneOrder | None] = queue.Queue(maxsize=2)
        self._thread = threading.Thread(
            target=self._run, name=f"weights-lane-{number}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end after its current read."""
        self._queue.put(None)

    def give(self, order: LaneOrder) -> None:
        """Hand over the next read; the lane must be idle."""
        self._queue.put(order)

    def _run(self) -> None:
        while (order := self._queue.get()) is not None:
            try:
                result = self._carry_out(order)
            except Exception as exc:
                log.error("chunk read failed", error=repr(exc), exc_info=True)
                result = ReadResult(code=ResultCode.OUTCOME_UNKNOWN, detail=repr(exc))
            self._deliver(
                LaneResult(
                    lane=self._number,
                    run=order.run,
                    fetch=order.fetch,
                    code=result.code,
                    holder_has=result.holder_has,
                    detail=result.detail,
                )
            )
        self._reader.close()

    def _carry_out(self, order: LaneOrder) -> ReadResult:
        fetch, store = order.fetch, order.store
        model = store.manifest.digest
        size = store.manifest.length_of(fetch.index)
        if order.region_link is not None:
            order.region_link.use(size, model=model, priority=order.priority)
        if fetch.holder == SOURCE:
            result = self._reader.from_source(store.manifest, fetch)
        else:
            result = self._reader.from_peer(store.manifest, fetch, order.address)
        if result.data:
            self._metrics.count(_byte_counter(order), len(result.data))
            self._link.use(len(result.data), model=model, priority=order.priority)
        if result.code is not ResultCode.OK:
            return result
        return self._keep(order, result)

    def _keep(self, order: LaneOrder, result: ReadResult) -> ReadResult:
        fetch, store = order.fetch, order.store
        if not store.manifest.matches(fetch.index, result.data):
            self._metrics.count(CHUNKS_CORRUPT)
            log.warning("chunk corrupt", index=fetch.index, sender=fetch.holder)
            return ReadResult(code=ResultCode.CHUNK_CORRUPT)
        self._metrics.count(CHUNKS_VERIFIED)
        code, detail = self._stage(store, fetch.index, result.data)
        return ReadResult(code=code, holder_has=result.holder_has, detail=detail)

    def _stage(
        self, store: ChunkStore, index: int, data: bytes
    ) -> tuple[ResultCode, str]:
        """Write a verified chunk, unless another lane did or is doing so."""
        if not store.begin_write(index):
            held = store.wait_for(index, STAGE_SECONDS)
            return (ResultCode.OK if held else ResultCode.BACKEND_FAILED), ""
        try:
            staged = self._orders.stage(store.manifest.digest, index, data)
            if staged.is_error():
                return ResultCode.BACKEND_FAILED, staged.error.message
            store.add(index, data)
            return ResultCode.OK, ""
        finally:
            store.end_write(index)


class LanePool:
    """The lanes of one agent; owned by the thread that runs transfers.

    Parameters
    ----------
    size : int
        Number of lanes.
    new_lane : callable
        Makes a lane from its number and where it delivers its results.
    """

    def __init__(
        self,
        *,
        size: int,
        new_lane: Callable[[int, Callable[[LaneResult], None]], Lane],
    ) -> None:
        self._results: queue.Queue[LaneResult] = queue.Queue(maxsize=size)
        self._lanes = [new_lane(number, self._results.put) for number in range(size)]
        self._idle = list(range(size))

    def start(self) -> None:
        """Start all threads."""
        for lane in self._lanes:
            lane.start()

    def stop(self) -> None:
        """Ask all threads to end."""
        for lane in self._lanes:
            lane.stop()

    def has_idle(self) -> bool:
        """Return whether a lane is free."""
        return bool(self._idle)

    def give(self, order: LaneOrder) -> None:
        """Hand a read to a free lane."""
        self._lanes[self._idle.pop()].give(order)

    def collect(self, seconds: float) -> list[LaneResult]:
        """Return the ended reads, waiting at most `seconds` for the first."""
        found = []
        try:
            found.append(self._results.get(timeout=seconds))
            while True:
                found.append(self._results.get_nowait())
        except queue.Empty:
            self._idle.extend(result.lane for result in found)
            return found


def _byte_counter(order: LaneOrder) -> str:
    if order.fetch.holder == SOURCE:
        return BYTES_FROM_ORIGIN
    if order.region_link is not None:
        return BYTES_FROM_REGION
    return BYTES_FROM_PEERS
