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
from eelgrassdale_agent.orders import STAGE_TIMEOUT_SECONDS, EngineWeightsClient
from eelgrassdale_agent.sources import ChunkReader, ReadResult
from eelgrassdale_agent.transfer_pacing import RateLimitedLink
from eelgrassdale_agent.transfer_store import ChunkStore

BYTES_FROM_ORIGIN = "weights_bytes_from_origin"
BYTES_FROM_REGION = "weights_bytes_from_region"
BYTES_FROM_PEERS = "weights_bytes_from_peers"
CHUNKS_CORRUPT = "chunks_corrupt"
CHUNKS_VERIFIED = "chunks_verified"

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class FetchTask:
    """One chunk to read.

    `region_link` limits the rate of a read from another region, None within the region.
    """

    run_number: int
    fetch: Fetch
    store: ChunkStore
    address: str
    priority: int
    region_link: RateLimitedLink | None


@frozen(kw_only=True)
class FetchResult:
    """Result of one `FetchTask`; `worker` is the number of its thread."""

    worker: int
    run_number: int
    fetch: Fetch
    code: ResultCode
    held_by_holder: int | None
    detail: str


class FetchWorker:
    """Thread that reads, verifies and stages one chunk at a time.

    Parameters
    ----------
    number : int
        Number of this worker, returned with its results.
    reader : ChunkReader
        Reader owned by this worker.
    orders : EngineWeightsClient
        Client of the engine that chunks are staged in.
    link : RateLimitedLink
        Link of the VM.
    metrics : Metrics
        Counts bytes and chunks.
    on_result : callable
        Called with the `FetchResult` of each read.
    """

    def __init__(
        self,
        *,
        number: int,
        reader: ChunkReader,
        orders: EngineWeightsClient,
        link: RateLimitedLink,
        metrics: Metrics,
        on_result: Callable[[FetchResult], None],
    ) -> None:
        self._number = number
        self._reader = reader
        self._orders = orders
        self._link = link
        self._metrics = metrics
        self._on_result = on_result
        self._queue: queue.Queue[FetchTask | None] = queue.Queue(maxsize=2)
        self._thread = threading.Thread(
            target=self._run, name=f"weights-fetch-{number}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end after its current read."""
        self._queue.put(None)

    def submit(self, task: FetchTask) -> None:
        """Queue the next read; the worker must be idle."""
        self._queue.put(task)

    def _run(self) -> None:
        while (task := self._queue.get()) is not None:
            try:
                result = self._execute(task)
            except Exception as exc:
                log.error("chunk read failed", error=repr(exc), exc_info=True)
                result = ReadResult(code=ResultCode.OUTCOME_UNKNOWN, detail=repr(exc))
            self._on_result(
                FetchResult(
                    worker=self._number,
                    run_number=task.run_number,
                    fetch=task.fetch,
                    code=result.code,
                    held_by_holder=result.held_by_holder,
                    detail=result.detail,
                )
            )
        self._reader.close()

    def _execute(self, task: FetchTask) -> ReadResult:
        fetch, store = task.fetch, task.store
        model = store.manifest.digest
        size = store.manifest.length_of(fetch.index)
        if task.region_link is not None:
            task.region_link.acquire(size, model=model, priority=task.priority)
        if fetch.holder == SOURCE:
            result = self._reader.read_from_source(store.manifest, fetch)
        else:
            result = self._reader.read_from_peer(store.manifest, fetch, task.address)
        if result.data:
            self._metrics.count(_byte_metric(task), len(result.data))
            self._link.acquire(len(result.data), model=model, priority=task.priority)
        if result.code is not ResultCode.OK:
            return result
        return self._verify_and_stage(task, result)

    def _verify_and_stage(self, task: FetchTask, result: ReadResult) -> ReadResult:
        fetch, store = task.fetch, task.store
        if not store.manifest.matches(fetch.index, result.data):
            self._metrics.count(CHUNKS_CORRUPT)
            log.warning("chunk corrupt", index=fetch.index, sender=fetch.holder)
            return ReadResult(code=ResultCode.CHUNK_CORRUPT)
        self._metrics.count(CHUNKS_VERIFIED)
        code, detail = self._stage_once(store, fetch.index, result.data)
        return ReadResult(
            code=code, held_by_holder=result.held_by_holder, detail=detail
        )

    def _stage_once(
        self, store: ChunkStore, index: int, data: bytes
    ) -> tuple[ResultCode, str]:
        """Stage a verified chunk, unless another worker has done or is doing so."""
        if not store.begin_write(index):
            held = store.wait_for(index, STAGE_TIMEOUT_SECONDS)
            return (ResultCode.OK if held else ResultCode.BACKEND_FAILED), ""
        try:
            staged = self._orders.stage_chunk(store.manifest.digest, index, data)
            if staged.is_error():
                return ResultCode.BACKEND_FAILED, staged.error.message
            store.add(index, data)
            return ResultCode.OK, ""
        finally:
            store.end_write(index)


class FetchWorkerPool:
    """Pool of fetch workers, used only by the thread that runs transfers.

    Parameters
    ----------
    size : int
        Number of workers.
    new_worker : callable
        Returns a worker, given its number and its `on_result` callback.
    """

    def __init__(
        self,
        *,
        size: int,
        new_worker: Callable[[int, Callable[[FetchResult], None]], FetchWorker],
    ) -> None:
        self._results: queue.Queue[FetchResult] = queue.Queue(maxsize=size)
        self._workers = [
            new_worker(number, self._results.put) for number in range(size)
        ]
        self._idle = list(range(size))

    def start(self) -> None:
        """Start all threads."""
        for worker in self._workers:
            worker.start()

    def stop(self) -> None:
        """Ask all threads to end."""
        for worker in self._workers:
            worker.stop()

    def has_idle(self) -> bool:
        """Return whether a worker is idle."""
        return bool(self._idle)

    def submit(self, task: FetchTask) -> None:
        """Pass a read to an idle worker."""
        self._workers[self._idle.pop()].submit(task)

    def wait_for_results(self, seconds: float) -> list[FetchResult]:
        """Return the results available, waiting at most `seconds` for the first."""
        results = []
        try:
            results.append(self._results.get(timeout=seconds))
            while True:
                results.append(self._results.get_nowait())
        except queue.Empty:
            self._idle.extend(result.worker for result in results)
            return results


def _byte_metric(task: FetchTask) -> str:
    if task.fetch.holder == SOURCE:
        return BYTES_FROM_ORIGIN
    if task.region_link is not None:
        return BYTES_FROM_REGION
    return BYTES_FROM_PEERS
