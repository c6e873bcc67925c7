"""The verified chunks of one model version, held in memory for peers."""

import hashlib
from collections.abc import Sequence

from attrs import define, field, frozen

from eelgrassdale.clock import steady_seconds


@frozen(kw_only=True)
class WeightsManifest:
    """SHA-256 digests of the chunks of one model version.

    Examples
    --------
    >>> manifest = manifest_of("m", 1, [b"abc", b"de"])
    >>> manifest.matches(1, b"de"), manifest.matches(0, b"de")
    (True, False)

    """

    model: str
    version: int
    chunk_bytes: int
    digests: tuple[str, ...]

    @property
    def count(self) -> int:
        """Number of chunks."""
        return len(self.digests)

    @property
    def key(self) -> str:
        """What distinguishes this version from every other."""
        return f"{self.model}/{self.version}"

    def matches(self, index: int, data: bytes) -> bool:
        """Return whether `data` is the chunk with this index."""
        return hashlib.sha256(data).hexdigest() == self.digests[index]


def manifest_of(model: str, version: int, chunks: Sequence[bytes]) -> WeightsManifest:
    """Return the manifest of whole weights."""
    return WeightsManifest(
        model=model,
        version=version,
        chunk_bytes=max(len(chunk) for chunk in chunks),
        digests=tuple(hashlib.sha256(chunk).hexdigest() for chunk in chunks),
    )


@define(kw_only=True, eq=False)
class ChunkSet:
    """Verified chunks of one version.

    `whole_at` is the steady moment at which the last chunk came.
    """

    manifest: WeightsManifest
    whole_at: float = float("inf")
    _chunks: dict[int, bytes] = field(factory=dict)

    def add(self, index: int, data: bytes) -> bool:
        """Keep a chunk if it matches its digest."""
        if not self.manifest.matches(index, data):
            return False
        self._chunks[index] = data
        if self.is_whole:
            self.whole_at = min(self.whole_at, steady_seconds())
        return True

    def get(self, index: int) -> bytes | None:
        """Return a chunk, or None if it is not held."""
        return self._chunks.get(index)

    def held(self) -> frozenset[int]:
        """Return the indexes of the chunks held."""
        return frozenset(self._chunks)

    @property
    def count(self) -> int:
        """Number of chunks held."""
        return len(self._chunks)

    @property
    def is_whole(self) -> bool:
        """Whether every chunk is held."""
        return len(self._chunks) == self.manifest.count
