"""Store of the chunks that the agent serves to its peers."""

import threading
from collections import OrderedDict
from collections.abc import Callable

from eelgrassdale.clock import Clock
from eelgrassdale.weights import Manifest

CACHE_TTL_SECONDS = 60.0


class ChunkStore:
    """Verified chunks of one manifest, all staged in the engine, some cached in memory.

    Parameters
    ----------
    manifest : Manifest
        Manifest of the chunks; chunks of other manifests are never added.
    clock : Clock
        Monotonic time.
    memory_bytes : int
        Upper bound on the chunks cached in memory.
    read_staged : callable
        Returns the bytes of a staged chunk, None if it cannot be read.

    Attributes
    ----------
    engine_incarnation : str
        Incarnation of the engine in which the chunks are staged.
    """

    def __init__(
        self,
        *,
        manifest: Manifest,
        clock: Clock,
        memory_bytes: int,
        read_staged: Callable[[int], bytes | None],
    ) -> None:
        self.manifest = manifest
        self._clock = clock
        self._memory_bytes = memory_bytes
        self._read_staged = read_staged
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
        """Reserve a chunk for staging; return False if it is staged or reserved."""
        with self._cond:
            if self._held >> index & 1 or index in self._writing:
                return False
            self._writing.add(index)
            return True

    def end_write(self, index: int) -> None:
        """Release a reservation, whether or not the chunk was added."""
        with self._cond:
            self._writing.discard(index)

    def add(self, index: int, data: bytes) -> bool:
        """Add a verified and staged chunk; return False if it is already held."""
        with self._cond:
            if self._held >> index & 1:
                return False
            self._held |= 1 << index
            self._cache(index, data)
            self._cond.notify_all()
            return True

    def add_staged(self, mask: int) -> None:
        """Add chunks that are staged in the engine but not cached in memory."""
        with self._cond:
            self._held |= mask
            self._cond.notify_all()

    def remove(self, index: int) -> None:
        """Remove a chunk that the engine no longer has staged."""
        with self._cond:
            self._held &= ~(1 << index)
            self._evict(index)

    def wait_for(self, index: int, seconds: float) -> bool:
        """Wait at most `seconds` for a chunk; return whether it is held."""
        with self._cond:
            return self._cond.wait_for(lambda: self._held >> index & 1, seconds)

    def read(self, index: int) -> bytes | None:
        """Return a held chunk, read back from the engine if it is not cached.

        Returns None if the chunk is not held. A chunk that cannot be read back or
        fails verification is removed.
        """
        with self._cond:
            entry = self._cached.get(index)
            if entry is not None:
                self._cached.move_to_end(index)
                self._cached[index] = (self._clock.monotonic(), entry[1])
                return entry[1]
            if not self._held >> index & 1:
                return None
        data = self._read_staged(index)
        if data is None or not self.manifest.matches(index, data):
            self.remove(index)
            return None
        with self._cond:
            self._cache(index, data)
        return data

    def evict_expired(self) -> None:
        """Evict cached chunks that were not read for `CACHE_TTL_SECONDS`."""
        limit = self._clock.monotonic() - CACHE_TTL_SECONDS
        with self._cond:
            for index in [
                key for key, (read_at, _) in self._cached.items() if read_at < limit
            ]:
                self._evict(index)

    def cached_bytes(self) -> int:
        """Return the number of bytes cached in memory."""
        return self._cached_bytes

    def _cache(self, index: int, data: bytes) -> None:
        self._evict(index)
        self._cached[index] = (self._clock.monotonic(), data)
        self._cached_bytes += len(data)
        while self._cached_bytes > self._memory_bytes and self._cached:
            self._evict(next(iter(self._cached)))

    def _evict(self, index: int) -> None:
        entry = self._cached.pop(index, None)
        if entry is not None:
            self._cached_bytes -= len(entry[1])
