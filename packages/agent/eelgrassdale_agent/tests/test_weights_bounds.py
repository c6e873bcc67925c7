"""Tests of the bounds on cached chunks, waiting reads and link bandwidth."""

import threading

from eelgrassdale.clock import ManualClock, SystemClock
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics
from eelgrassdale.weights import manifest_of
from eelgrassdale.wire import ChunkRequest
from eelgrassdale_agent.transfer_pacing import RateLimitedLink
from eelgrassdale_agent.transfer_serving import MAX_CONCURRENT_SENDS, ChunkServer
from eelgrassdale_agent.transfer_store import CACHE_TTL_SECONDS, ChunkStore

DATA = bytes(range(40))
MANIFEST = manifest_of(version="m-1", data=DATA, chunk_bytes=10)


def chunk(index: int) -> bytes:
    """Return the data of one chunk."""
    return DATA[index * 10 : index * 10 + 10]


def new_store(clock=None, *, memory_bytes: int = 20, staged=chunk) -> ChunkStore:
    """Return a store that reads evicted chunks back with `staged`."""
    return ChunkStore(
        manifest=MANIFEST,
        clock=clock or ManualClock(),
        memory_bytes=memory_bytes,
        read_staged=staged,
    )


def new_chunk_server(store: ChunkStore, rate: float = 0.0) -> ChunkServer:
    """Return a chunk server for a store."""
    link = RateLimitedLink(clock=SystemClock(), bytes_per_second=rate)
    serving = ChunkServer(link=link, metrics=Metrics(), incarnation=1)
    serving.serve(store)
    return serving


def read(serving: ChunkServer, index: int, wait_ms: int = 0) -> int:
    """Read a chunk and return the result code."""
    request = ChunkRequest(
        manifest=MANIFEST.digest, index=index, wait_ms=wait_ms, as_owner=False
    )
    return serving.read_chunk(request).code


def test_cached_chunks_stay_within_the_memory_bound():
    store = new_store()
    for index in range(4):
        store.add(index, chunk(index))
    assert store.cached_bytes() <= 20
    assert store.held == 0b1111


def test_evicted_chunk_is_read_back_from_staging():
    store = new_store()
    for index in range(4):
        store.add(index, chunk(index))
    assert store.read(0) == chunk(0)


def test_chunk_that_staging_lost_is_no_longer_held():
    store = new_store(staged=lambda _index: None)
    for index in range(4):
        store.add(index, chunk(index))
    assert store.read(0) is None
    assert store.held == 0b1110


def test_chunk_read_back_corrupt_is_not_served():
    store = new_store(staged=lambda _index: b"x" * 10)
    store.add_staged(0b1)
    assert store.read(0) is None


def test_unread_chunks_are_evicted_after_their_time_to_live():
    clock = ManualClock()
    store = new_store(clock, memory_bytes=100)
    store.add(0, chunk(0))
    clock.advance(seconds=CACHE_TTL_SECONDS + 1)
    store.evict_expired()
    assert store.cached_bytes() == 0


def test_late_chunk_is_not_added_twice():
    store = new_store()
    assert store.add(0, chunk(0))
    assert not store.add(0, chunk(0))


def test_chunk_is_staged_by_one_worker_at_a_time():
    store = new_store()
    assert store.begin_write(0)
    assert not store.begin_write(0)
    store.end_write(0)
    assert store.begin_write(0)


def test_reads_beyond_the_bound_are_refused_as_busy():
    store = new_store(SystemClock(), memory_bytes=100)
    store.add(0, chunk(0))
    serving = new_chunk_server(store, rate=5.0)  # two seconds for one chunk
    threads = [
        threading.Thread(target=read, args=(serving, 0), daemon=True)
        for _ in range(MAX_CONCURRENT_SENDS + 1)
    ]
    for thread in threads:
        thread.start()
    threads[0].join(0.2)
    assert read(serving, 0) == ResultCode.HOLDER_BUSY


def test_read_waits_for_a_chunk_that_is_being_fetched():
    store = new_store(SystemClock())
    serving = new_chunk_server(store)
    timer = threading.Timer(0.05, store.add, (2, chunk(2)))
    timer.start()
    assert read(serving, 2, wait_ms=5000) == ResultCode.OK


def test_read_outside_the_manifest_is_not_held():
    assert read(new_chunk_server(new_store()), 99) == ResultCode.CHUNK_NOT_HELD


def test_agent_that_no_longer_fetches_refuses_chunks_that_it_lacks():
    # An agent whose engine was already loaded may have no staged chunks. Guards against
    # peers of another region that waited for its chunks and never read the weight
    # source.
    store = new_store()
    store.add(0, chunk(0))
    serving = new_chunk_server(store)
    serving.set_fetching(False)
    assert read(serving, 0) == ResultCode.OK
    assert read(serving, 1, wait_ms=5000) == ResultCode.SOURCE_UNAVAILABLE


def test_waiting_transfers_end_when_the_link_stops():
    link = RateLimitedLink(clock=SystemClock(), bytes_per_second=1.0)
    assert link.acquire(100, model="m", priority=1)
    timer = threading.Timer(0.05, link.stop)
    timer.start()
    assert not link.acquire(100, model="m", priority=1)
