"""Staged chunks and the loaded weights of a stand-in engine."""

import attrs

from eelgrassdale.hashing import digest_of
from eelgrassdale_standins.models import loaded_digest

MANIFESTS_KEPT = 3


@attrs.frozen(kw_only=True)
class Loaded:
    """The loaded weights; `weights` is the digest over the staged chunks."""

    model_version: str = ""
    manifest: str = ""
    weights: str = ""


@attrs.frozen(kw_only=True)
class LoadOrder:
    """An order to load the staged chunks of a manifest."""

    model_version: str
    manifest: str
    fencing: int


class Staging:
    """Chunks by manifest and index, and the highest fencing token seen.

    An order loads whatever is staged, also when chunks are missing or wrong:
    the digest of the loaded weights, and so every token, then differs from
    that of the whole weights.
    """

    def __init__(self, *, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._chunks: dict[str, dict[int, bytes]] = {}
        self._highest_fencing = -1

    def put(self, manifest: str, index: int, data: bytes) -> None:
        """Stage one chunk; the oldest manifest is dropped when there are too many."""
        if manifest not in self._chunks:
            while len(self._chunks) >= MANIFESTS_KEPT:
                del self._chunks[next(iter(self._chunks))]
        self._chunks.setdefault(manifest, {})[index] = data

    def get(self, manifest: str, index: int) -> bytes | None:
        """Return a staged chunk."""
        return self._chunks.get(manifest, {}).get(index)

    def indices(self, manifest: str) -> list[int]:
        """Return the indices of the staged chunks of a manifest."""
        return sorted(self._chunks.get(manifest, {}))

    def clear(self) -> None:
        """Forget all chunks, as the restart of a VM does."""
        self._chunks.clear()

    def is_stale(self, order: LoadOrder) -> bool:
        """Return whether a fencing token is lower than one seen before."""
        if order.fencing < self._highest_fencing:
            return self._checks_fencing
        self._highest_fencing = order.fencing
        return False

    def loaded_by(self, order: LoadOrder) -> Loaded | None:
        """Return the weights that an order loads, None when nothing is staged."""
        chunks = self._chunks.get(order.manifest)
        if not chunks:
            return None
        pairs = ((index, digest_of(data)) for index, data in chunks.items())
        return Loaded(
            model_version=order.model_version,
            manifest=order.manifest,
            weights=loaded_digest(pairs),
        )
