"""Chunks that the agent holds for its peers."""

import threading
from collections import OrderedDict
from collections.abc import Callable

from eelgrassdale.clock import Clock
from eelgrassdale.weights import Manifest

HOLD_SECONDS = 60.0


class ChunkStore:
    """Verified chunks of one manifest, in memory or in the engine's staging.

    Parameters
    ----------
    manifest : Manifest
        Manifest of the chunks; chunks of another one never enter.
    clock : Clock
        Source of monotonic time.
    memory_bytes : int
        Bound on the chunks in memory.
    read_back : callable
        Returns the bytes of a staged chunk, or None.

    Attributes
    ----------
    engine_incarnation : str
        Life of the engine whose staging has the chunks.
    """

    def __init__(
        self,
        *,
        manifest: Manifest,
        clock: Clock,
        memory_bytes: int,
        read_back: Callable[[int], bytes | None],
    ) -> None:
        self.manifest = manifest
        self._clock = clock
        self._memory_bytes = memory_bytes
        self._read_back = read_back
        self._cond = threading.Condition()
        self._cached: OrderedDict[int, tuple[float, bytes]] = OrderedDict()
        self._cached_bytes = 0
        self._held = 0
        self._writing: set[int] = set()
        self.engine_incarnation = ""

    @property
    def held(self) -> int:
        """Bit mask of the chunks that are verified and staged."""
        return self._held

    def begin_write(self, index: int) -> bool:
        """Reserve the staging of a chunk; False if it is staged or being staged."""
        with self._cond:
            if self._held >> index & 1 or index in self._writing:
                return False
            self._writing.add(index)
            return True

    def end_write(self, index: int) -> None:
        """End a reservation, whether or not the chunk was added."""
        with self._cond:
            self._writing.discard(index)

    def add(self, index: int, data: bytes) -> bool:
        """Add a verified and staged chunk; False if it was there before."""
        with self._cond:
            if self._held >> index & 1:
                return False
            self._held |= 1 << index
            self._cache(index, data)
            self._cond.notify_all()
            return True

    def add_staged(self, mask: int) -> None:
        """Add chunks that are in the engine's staging only."""
        with self._cond:
            self._held |= mask
            self._cond.notify_all()

    def drop(self, index: int) -> None:
        """Forget a chunk that the engine's staging lost."""
        with self._cond:
            self._held &= ~(1 << index)
            self._forget(index)

    def wait_for(self, index: int, seconds: float) -> bool:
        """Wait until a chunk is held, at most `seconds`."""
        with self._cond:
            return self._cond.wait_for(lambda: self._held >> index & 1, seconds)

    def read(self, index: int) -> bytes | None:
        """Return a held chunk, from staging if it left the memory."""
        with self._cond:
            entry = self._cached.get(index)
            if entry is not None:
                self._cached.move_to_end(index)
                self._cached[index] = (self._clock.monotonic(), entry[1])
                return entry[1]
            if not self._held >> index & 1:
                return None
        data = self._read_back(index)
        if data is None or not self.manifest.matches(index, data):
            self.drop(index)
            return None
        with self._cond:
            self._cache(index, data)
        return data

    def expire(self) -> None:
        """Remove chunks from memory that no peer read for `HOLD_SECONDS`."""
        limit = self._clock.monotonic() - HOLD_SECONDS
        with self._cond:
            for index in [key for key, (at, _) in self._cached.items() if at < limit]:
                self._forget(index)

    def cached_bytes(self) -> int:
        """Return the bytes in memory."""
        return self._cached_bytes

    def _cache(self, index: int, data: bytes) -> None:
        self._forget(index)
        self._cached[index] = (self._clock.monotonic(), data)
        self._cached_bytes += len(data)
        while self._cached_bytes > self._memory_bytes and self._cached:
            self._forget(next(iter(self._cached)))

    def _forget(self, index: int) -> None:
        entry = self._cached.pop(index, None)
        if entry is not None:
            self._cached_bytes -= len(entry[1])
