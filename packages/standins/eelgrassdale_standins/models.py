"""Deterministic weights, their manifest, and the tokens generated from them."""

import json
import random
from collections.abc import Iterable

import attrs
import xxhash

from eelgrassdale.hashing import digest_of

_SYLLABLES = ("ba", "ré", "to", "lid", "ñu", "kap", "so", "mën", "di", "ox")


@attrs.frozen(kw_only=True)
class Weights:
    """All bytes of a model version; `manifest` is the served JSON document."""

    data: bytes
    manifest: bytes

    @property
    def manifest_digest(self) -> str:
        """Digest that identifies the model version."""
        return digest_of(self.manifest)

    @property
    def chunk_digests(self) -> list[str]:
        """Digest of each chunk in order."""
        return json.loads(self.manifest)["chunks"]

    def chunks(self) -> list[bytes]:
        """Return the chunks in order."""
        chunk_bytes = json.loads(self.manifest)["chunk_bytes"]
        return [
            self.data[start : start + chunk_bytes]
            for start in range(0, len(self.data), chunk_bytes)
        ]

    @property
    def loaded_digest(self) -> str:
        """Digest that an engine reports after loading exactly these weights."""
        return loaded_digest(enumerate(self.chunk_digests))


def make_weights(
    *, version: str, seed: int, size_bytes: int, chunk_bytes: int
) -> Weights:
    """Return the weights of a version; the same arguments give the same bytes.

    Examples
    --------
    >>> first = make_weights(version="v1", seed=1, size_bytes=100, chunk_bytes=40)
    >>> len(first.data), len(first.chunk_digests)
    (100, 3)

    """
    data = random.Random(f"{version}/{seed}").randbytes(size_bytes)
    chunk_digests = [
        digest_of(data[start : start + chunk_bytes])
        for start in range(0, size_bytes, chunk_bytes)
    ]
    manifest = {
        "version": version,
        "size_bytes": size_bytes,
        "chunk_bytes": chunk_bytes,
        "chunks": chunk_digests,
    }
    return Weights(data=data, manifest=json.dumps(manifest, sort_keys=True).encode())


def loaded_digest(chunks: Iterable[tuple[int, str]]) -> str:
    """Return the digest of loaded weights from the index and digest of each chunk."""
    text = ";".join(f"{index}={digest}" for index, digest in sorted(chunks))
    return digest_of(text.encode())


def token_text(*, weights: str, prompt: str, index: int) -> str:
    """Return the token at `index`, which depends on the loaded weights and prompt.

    Examples
    --------
    >>> one = token_text(weights="w1", prompt="a lid", index=0)
    >>> one == token_text(weights="w2", prompt="a lid", index=0)
    False

    """
    hash_bits = xxhash.xxh3_64_intdigest(f"{weights}|{prompt}|{index}".encode())
    word = (
        _SYLLABLES[hash_bits % 10]
        + _SYLLABLES[hash_bits // 10 % 10][: 1 + hash_bits // 100 % 3]
    )
    return f"{word}{hash_bits // 1000 % 10_000} "


def answer_text(*, weights: str, prompt: str, max_tokens: int) -> str:
    """Return the complete answer that an engine gives to a prompt."""
    return "".join(
        token_text(weights=weights, prompt=prompt, index=index)
        for index in range(max_tokens)
    )
