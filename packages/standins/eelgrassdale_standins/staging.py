"""Staged chunks and the loaded weights of a stand-in engine."""

import attrs

from eelgrassdale.hashing import digest_of
from eelgrassdale_standins.models import loaded_digest

MAX_STAGED_MANIFESTS = 3


@attrs.frozen(kw_only=True)
class LoadedWeights:
    """Identity of loaded weights; `weights` is the digest over the staged chunks."""

    model_version: str = ""
    manifest: str = ""
    weights: str = ""


@attrs.frozen(kw_only=True)
class LoadOrder:
    """An order to load the staged chunks of a manifest."""

    model_version: str
    manifest: str
    fencing: int


class StagingArea:
    """Chunks by manifest and index, and the highest fencing token seen.

    An order loads whatever is staged, even when chunks are missing or wrong:
    the digest of the loaded weights, and therefore every token, then differs
    from that of the complete weights.
    """

    def __init__(self, *, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._chunks: dict[str, dict[int, bytes]] = {}
        self._highest_fencing = -1

    def put(self, manifest: str, index: int, data: bytes) -> None:
        """Stage one chunk, evicting the oldest manifest above the limit."""
        if manifest not in self._chunks:
            while len(self._chunks) >= MAX_STAGED_MANIFESTS:
                del self._chunks[next(iter(self._chunks))]
        self._chunks.setdefault(manifest, {})[index] = data

    def get(self, manifest: str, index: int) -> bytes | None:
        """Return a staged chunk, None when it is not staged."""
        return self._chunks.get(manifest, {}).get(index)

    def indices(self, manifest: str) -> list[int]:
        """Return the indices of the staged chunks of a manifest."""
        return sorted(self._chunks.get(manifest, {}))

    def clear(self) -> None:
        """Drop all chunks, as the restart of a VM does."""
        self._chunks.clear()

    def is_fenced(self, order: LoadOrder) -> bool:
        """Return whether to refuse an order for its stale fencing token.

        A token is stale when it is lower than the highest one seen. Any other
        token becomes the highest. Without fencing checks, no order is refused.
        """
        if order.fencing < self._highest_fencing:
            return self._checks_fencing
        self._highest_fencing = order.fencing
        return False

    def load_staged(self, order: LoadOrder) -> LoadedWeights | None:
        """Return the weights that an order loads, None when nothing is staged."""
        chunks = self._chunks.get(order.manifest)
        if not chunks:
            return None
        pairs = ((index, digest_of(data)) for index, data in chunks.items())
        return LoadedWeights(
            model_version=order.model_version,
            manifest=order.manifest,
            weights=loaded_digest(pairs),
        )
