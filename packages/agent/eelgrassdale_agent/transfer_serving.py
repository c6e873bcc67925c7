"""Serves manifests and chunks to peers."""

import threading

from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics
from eelgrassdale.wire import ChunkAnswer, ChunkRequest, ManifestAnswer
from eelgrassdale_agent.sources import mask_to_bytes
from eelgrassdale_agent.transfer_pacing import RateLimitedLink
from eelgrassdale_agent.transfer_store import ChunkStore

BYTES_SENT = "weights_bytes_sent"
# Concurrent sends that share the link; further reads are refused as busy. A transfer to
# 20 agents took 1.44x the ideal time with 2 sends, 1.14x with 8.
MAX_CONCURRENT_SENDS = 8
MAX_WAITING_READS = 32
MAX_WAIT_SECONDS = 5.0


class ChunkServer:
    """Serves the chunks of one store, with bounded sends and waiting reads.

    Parameters
    ----------
    link : RateLimitedLink
        Link of the VM.
    metrics : Metrics
        Counts the bytes sent.
    incarnation : int
        Incarnation of the agent, sent with every answer.
    """

    def __init__(
        self, *, link: RateLimitedLink, metrics: Metrics, incarnation: int
    ) -> None:
        self._link = link
        self._metrics = metrics
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._store: ChunkStore | None = None
        self._priority = 1
        self._waiting_reads = 0
        self._active_sends = 0
        self._fetching = True

    def set_fetching(self, fetching: bool) -> None:
        """Set whether this agent still fetches the chunks that it lacks.

        An agent whose engine was already loaded does not. Reads of chunks that it
        lacks then fail with `SOURCE_UNAVAILABLE`, so that peers skip it instead of
        asking it again without end.
        """
        self._fetching = fetching

    def serve(self, store: ChunkStore | None, *, priority: int = 1) -> None:
        """Serve only the chunks of `store` from now on, none if it is None."""
        self._store, self._priority = store, priority

    def is_sending(self) -> bool:
        """Return whether a chunk is being sent to a peer."""
        return self._active_sends > 0

    def read_manifest(self, digest: str) -> ManifestAnswer:
        """Return the manifest with this digest and the mask of its chunks held."""
        store = self._store
        if store is None or store.manifest.digest != digest:
            return ManifestAnswer(code=int(ResultCode.CHUNK_NOT_HELD), manifest=b"")
        return ManifestAnswer(
            code=int(ResultCode.OK),
            manifest=store.manifest.body,
            held=_held_mask(store),
        )

    def read_chunk(self, req: ChunkRequest) -> ChunkAnswer:
        """Return a chunk, waiting for it up to the request's `wait_ms`.

        The wait is at most `MAX_WAIT_SECONDS`.
        """
        store = self._store
        if store is None or store.manifest.digest != req.manifest:
            return self._answer(None, ResultCode.CHUNK_NOT_HELD)
        if not 0 <= req.index < store.manifest.count:
            return self._answer(store, ResultCode.CHUNK_NOT_HELD)
        if not store.held >> req.index & 1:
            if not self._fetching:
                return self._answer(store, ResultCode.SOURCE_UNAVAILABLE)
            if not self._wait_for_chunk(store, req):
                return self._answer(store, ResultCode.CHUNK_NOT_HELD)
        with self._lock:
            if self._active_sends >= MAX_CONCURRENT_SENDS:
                return self._answer(store, ResultCode.HOLDER_BUSY)
            self._active_sends += 1
        try:
            return self._send(store, req.index)
        finally:
            with self._lock:
                self._active_sends -= 1

    def _wait_for_chunk(self, store: ChunkStore, req: ChunkRequest) -> bool:
        seconds = min((req.wait_ms or 0) / 1000, MAX_WAIT_SECONDS)
        with self._lock:
            if seconds <= 0 or self._waiting_reads >= MAX_WAITING_READS:
                return False
            self._waiting_reads += 1
        try:
            return store.wait_for(req.index, seconds)
        finally:
            with self._lock:
                self._waiting_reads -= 1

    def _send(self, store: ChunkStore, index: int) -> ChunkAnswer:
        data = store.read(index)
        if data is None:
            return self._answer(store, ResultCode.CHUNK_NOT_HELD)
        model = store.manifest.digest
        if not self._link.acquire(len(data), model=model, priority=self._priority):
            return self._answer(store, ResultCode.HOLDER_BUSY)
        self._metrics.count(BYTES_SENT, len(data))
        return self._answer(store, ResultCode.OK, data)

    def _answer(
        self, store: ChunkStore | None, code: ResultCode, data: bytes = b""
    ) -> ChunkAnswer:
        return ChunkAnswer(
            code=int(code),
            incarnation=self._incarnation,
            data=data,
            detail="",
            held=_held_mask(store) if store is not None else b"",
        )


def _held_mask(store: ChunkStore) -> bytes:
    return mask_to_bytes(store.held, store.manifest.count)
