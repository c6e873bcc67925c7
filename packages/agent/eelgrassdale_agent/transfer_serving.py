"""Answers to peers that read manifests and chunks."""

import threading

from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics
from eelgrassdale.wire import ChunkAnswer, ChunkRequest, ManifestAnswer
from eelgrassdale_agent.sources import mask_to_bytes
from eelgrassdale_agent.transfer_pacing import PacedLink
from eelgrassdale_agent.transfer_store import ChunkStore

BYTES_SENT = "weights_bytes_sent"
# Reads that share the link before others are refused. With 2, 20 agents took
# 1.44x the ideal time in a trial, with 8 they took 1.14x.
MAX_SENDING = 8
MAX_WAITING = 32
MAX_WAIT_SECONDS = 5.0


class ChunkServing:
    """Serves the chunks of the current store within bounds.

    Parameters
    ----------
    link : PacedLink
        Link of the VM.
    metrics : Metrics
        Counts the bytes sent.
    incarnation : int
        Incarnation of the agent.
    """

    def __init__(self, *, link: PacedLink, metrics: Metrics, incarnation: int) -> None:
        self._link = link
        self._metrics = metrics
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._store: ChunkStore | None = None
        self._priority = 1
        self._waiting = 0
        self._sending = 0
        self._filling = True

    def set_filling(self, filling: bool) -> None:
        """State whether this agent still fetches the chunks that it lacks.

        An agent that adopted a loaded engine does not. Peers that wait for its
        chunks have to pass it over, or they would ask it for ever.
        """
        self._filling = filling

    def serve(self, store: ChunkStore | None, *, priority: int = 1) -> None:
        """Serve the chunks of `store` from now on, and of no other."""
        self._store, self._priority = store, priority

    def is_sending(self) -> bool:
        """Return whether a chunk is on its way to a peer."""
        return self._sending > 0

    def read_manifest(self, digest: str) -> ManifestAnswer:
        """Return the manifest with this digest and the chunks held of it."""
        store = self._store
        if store is None or store.manifest.digest != digest:
            return ManifestAnswer(code=int(ResultCode.CHUNK_NOT_HELD), manifest=b"")
        return ManifestAnswer(
            code=int(ResultCode.OK), manifest=store.manifest.body, held=_held(store)
        )

    def read_chunk(self, req: ChunkRequest) -> ChunkAnswer:
        """Return a chunk, waiting for it as long as the request allows."""
        store = self._store
        if store is None or store.manifest.digest != req.manifest:
            return self._answer(None, ResultCode.CHUNK_NOT_HELD)
        if not 0 <= req.index < store.manifest.count:
            return self._answer(store, ResultCode.CHUNK_NOT_HELD)
        if not store.held >> req.index & 1:
            if not self._filling:
                return self._answer(store, ResultCode.SOURCE_UNAVAILABLE)
            if not self._wait(store, req):
                return self._answer(store, ResultCode.CHUNK_NOT_HELD)
        with self._lock:
            if self._sending >= MAX_SENDING:
                return self._answer(store, ResultCode.HOLDER_BUSY)
            self._sending += 1
        try:
            return self._send(store, req.index)
        finally:
            with self._lock:
                self._sending -= 1

    def _wait(self, store: ChunkStore, req: ChunkRequest) -> bool:
        seconds = min((req.wait_ms or 0) / 1000, MAX_WAIT_SECONDS)
        with self._lock:
            if seconds <= 0 or self._waiting >= MAX_WAITING:
                return False
            self._waiting += 1
        try:
            return store.wait_for(req.index, seconds)
        finally:
            with self._lock:
                self._waiting -= 1

    def _send(self, store: ChunkStore, index: int) -> ChunkAnswer:
        data = store.read(index)
        if data is None:
            return self._answer(store, ResultCode.CHUNK_NOT_HELD)
        model = store.manifest.digest
        if not self._link.use(len(data), model=model, priority=self._priority):
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
            held=_held(store) if store is not None else b"",
        )


def _held(store: ChunkStore) -> bytes:
    return mask_to_bytes(store.held, store.manifest.count)
