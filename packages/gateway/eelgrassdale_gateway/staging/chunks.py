"""Manifests of model versions, and verified chunks held in memory."""

import hashlib
from collections.abc import Sequence

from attrs import define, field, frozen

from eelgrassdale.clock import boottime_seconds


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
        """Identifier of this version, unique over all models."""
        return f"{self.model}/{self.version}"

    def matches(self, index: int, data: bytes) -> bool:
        """Return whether `data` is the chunk with this index."""
        return hashlib.sha256(data).hexdigest() == self.digests[index]


def manifest_of(model: str, version: int, chunks: Sequence[bytes]) -> WeightsManifest:
    """Return the manifest of a complete list of chunks."""
    return WeightsManifest(
        model=model,
        version=version,
        chunk_bytes=max(len(chunk) for chunk in chunks),
        digests=tuple(hashlib.sha256(chunk).hexdigest() for chunk in chunks),
    )


@define(kw_only=True, eq=False)
class ChunkSet:
    """Verified chunks of one version.

    `completed_at` is the `boottime_seconds` reading at which the last missing
    chunk was added, infinity until then.
    """

    manifest: WeightsManifest
    completed_at: float = float("inf")
    _chunks: dict[int, bytes] = field(factory=dict)

    def add(self, index: int, data: bytes) -> bool:
        """Store a chunk if it matches its digest; return whether it did."""
        if not self.manifest.matches(index, data):
            return False
        self._chunks[index] = data
        if self.is_complete:
            self.completed_at = min(self.completed_at, boottime_seconds())
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
    def is_complete(self) -> bool:
        """Whether every chunk is held."""
        return len(self._chunks) == self.manifest.count
