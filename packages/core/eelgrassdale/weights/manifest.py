"""Manifest of a model version: the digest of each chunk of its weights."""

import json

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.hashing import digest_of
from eelgrassdale.results import ResultCode, ResultError

MAX_CHUNKS = 1_000_000


@frozen(kw_only=True)
class Manifest:
    """Chunk digests of one model version; `chunks` is in the order of offsets.

    `digest` identifies the model version on all nodes. It is the digest of
    `body`, the JSON document exactly as the source serves it. Peers forward
    `body` unchanged, so the source may format its JSON in any way.

    Examples
    --------
    >>> manifest = manifest_of(version="m-1", data=b"12345", chunk_bytes=4)
    >>> manifest.range_of(1)
    (4, 5)

    """

    body: bytes
    digest: str

    version: str
    size_bytes: int
    chunk_bytes: int
    chunks: tuple[str, ...]

    @property
    def count(self) -> int:
        """Number of chunks."""
        return len(self.chunks)

    def range_of(self, index: int) -> tuple[int, int]:
        """Return the offsets of a chunk's first byte and of the byte after its last."""
        start = index * self.chunk_bytes
        return start, min(start + self.chunk_bytes, self.size_bytes)

    def length_of(self, index: int) -> int:
        """Return the number of bytes of a chunk."""
        start, end = self.range_of(index)
        return end - start

    def matches(self, index: int, data: bytes) -> bool:
        """Return whether `data` is the chunk with this index."""
        return digest_of(data) == self.chunks[index]


def manifest_of(*, version: str, data: bytes, chunk_bytes: int) -> Manifest:
    """Return the manifest of the complete weights `data`.

    Examples
    --------
    >>> manifest_of(version="m-1", data=b"weights", chunk_bytes=4).count
    2

    """
    chunks_data = (
        data[at : at + chunk_bytes] for at in range(0, len(data), chunk_bytes)
    )
    fields = {
        "version": version,
        "size_bytes": len(data),
        "chunk_bytes": chunk_bytes,
        "chunks": [digest_of(chunk) for chunk in chunks_data],
    }
    body = json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()
    return _decode(body)


def parse_manifest(body: bytes, *, expected: str = "") -> Result[Manifest, ResultError]:
    """Return the manifest in `body`.

    Parameters
    ----------
    body : bytes
        JSON object with the fields of `Manifest`.
    expected : str
        Required manifest digest; empty accepts any.

    Returns
    -------
    Result of Manifest or ResultError
        `CHUNK_CORRUPT` for a malformed manifest, `VERSION_CHANGED` for a well
        formed one with another digest.

    """
    try:
        manifest = _decode(body)
    except (ValueError, KeyError, TypeError) as exc:
        return _error(ResultCode.CHUNK_CORRUPT, f"malformed manifest: {exc!r}")
    if expected and manifest.digest != expected:
        message = f"manifest digest is {manifest.digest}, expected {expected}"
        return _error(ResultCode.VERSION_CHANGED, message)
    return Ok(manifest)


def _decode(body: bytes) -> Manifest:
    fields = json.loads(body)
    manifest = Manifest(
        body=body,
        digest=digest_of(body),
        version=str(fields["version"]),
        size_bytes=int(fields["size_bytes"]),
        chunk_bytes=int(fields["chunk_bytes"]),
        chunks=tuple(str(digest) for digest in fields["chunks"]),
    )
    if manifest.chunk_bytes < 1 or manifest.size_bytes < 1:
        raise ValueError("size_bytes and chunk_bytes must be positive")
    if manifest.count != -(-manifest.size_bytes // manifest.chunk_bytes):
        raise ValueError("number of chunks does not match size_bytes and chunk_bytes")
    if manifest.count > MAX_CHUNKS:
        raise ValueError(f"more than {MAX_CHUNKS} chunks")
    return manifest


def _error(code: ResultCode, message: str) -> Result[Manifest, ResultError]:
    return Error(ResultError(code=code, message=message))
