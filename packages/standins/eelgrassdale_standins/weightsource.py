"""Stand-in of the weight store and of the origin of weights."""

import json
import threading
import time
from collections.abc import Iterator

import attrs
import cherrypy
import click

from eelgrassdale_standins.models import Weights, make_weights
from eelgrassdale_standins.serving import (
    StandIn,
    close_connection,
    current_connection,
    json_response,
    read_body,
    run,
)

PIECE_BYTES = 32 * 1024


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of the weight source.

    The next `corrupt_reads` reads deliver a wrong byte, and the next
    `stall_reads` reads stall halfway for `stall_seconds`. `corrupt_chunk` is the
    index of a chunk that is corrupt in every read, or -1 for none.
    """

    outage: bool = False
    corrupt_reads: int = 0
    corrupt_chunk: int = -1
    stall_reads: int = 0
    stall_seconds: float = 30.0


class LinkLimiter:
    """Rate limiter whose bandwidth is shared by the pieces of all reads."""

    def __init__(self, *, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0
        self._lock = threading.Lock()

    def transmit(self, size: int) -> None:
        """Block until the link has transmitted `size` bytes."""
        if self._bytes_per_second <= 0:
            return
        with self._lock:
            self._free_at = (
                max(self._free_at, time.monotonic()) + size / self._bytes_per_second
            )
            transmitted_at = self._free_at
        time.sleep(max(0.0, transmitted_at - time.monotonic()))


class WeightSource(StandIn):
    """CherryPy root of a weight source."""

    def __init__(self, *, link: LinkLimiter, chunk_bytes: int) -> None:
        super().__init__(Faults())
        self._link = link
        self._chunk_bytes = chunk_bytes
        self._weights: dict[str, Weights] = {}

    def add_version(self, *, version: str, seed: int, size_bytes: int) -> Weights:
        """Generate the weights of a version, replacing earlier ones of that name."""
        weights = make_weights(
            version=version,
            seed=seed,
            size_bytes=size_bytes,
            chunk_bytes=self._chunk_bytes,
        )
        self._weights[version] = weights
        return weights

    @cherrypy.expose
    def models(self, version: str, part: str = "") -> bytes | Iterator[bytes]:
        """Add a version by PUT; serve its manifest and ranges of its weights."""
        if cherrypy.request.method == "PUT":
            fields = json.loads(read_body())
            weights = self.add_version(
                version=version, seed=fields["seed"], size_bytes=fields["size_bytes"]
            )
            return json_response({"manifest": weights.manifest_digest})
        if self.current_faults.outage:
            return json_response({"error": "outage"}, 503)
        weights = self._weights.get(version)
        if weights is None:
            return json_response({"error": "no such version"}, 404)
        if part == "manifest":
            self.count("manifests")
            cherrypy.response.headers["Content-Type"] = "application/json"
            cherrypy.response.headers["ETag"] = f'"{weights.manifest_digest}"'
            return weights.manifest
        return self._serve_range(version, weights)

    def _serve_range(self, version: str, weights: Weights) -> bytes | Iterator[bytes]:
        headers = cherrypy.request.headers
        if headers.get("If-Match", "").strip('"') != weights.manifest_digest:
            self.count("version_changed")
            return json_response({"error": "another manifest is served"}, 412)
        size = len(weights.data)
        start, stop = parse_range(headers.get("Range", ""), size)
        if start >= stop:
            return json_response({"error": "range is empty"}, 416)
        data = self._apply_corruption(weights.data[start:stop], start)
        response = cherrypy.response
        response.status = 206
        response.stream = True
        response.headers["Content-Type"] = "application/octet-stream"
        response.headers["Content-Length"] = str(len(data))
        response.headers["Content-Range"] = f"bytes {start}-{stop - 1}/{size}"
        self.count("reads")
        stall_seconds = (
            self.current_faults.stall_seconds
            if self.consume_fault("stall_reads")
            else 0.0
        )
        return self._stream_pieces(version, weights, data, stall_seconds)

    def _apply_corruption(self, data: bytes, start: int) -> bytes:
        corrupt_index = self.current_faults.corrupt_chunk
        is_corrupt_chunk = (
            corrupt_index >= 0 and start // self._chunk_bytes == corrupt_index
        )
        if not is_corrupt_chunk and not self.consume_fault("corrupt_reads"):
            return data
        self.count("corrupted")
        return bytes([data[0] ^ 0xFF]) + data[1:]

    def _stream_pieces(
        self, version: str, weights: Weights, data: bytes, stall_seconds: float
    ) -> Iterator[bytes]:
        conn = current_connection()
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            if stall_seconds and start + PIECE_BYTES >= len(data) // 2:
                time.sleep(stall_seconds)
                stall_seconds = 0.0
            self._link.transmit(len(piece))
            if self._weights[version] is not weights:
                close_connection(conn)
                return
            self.count("bytes_sent", len(piece))
            self.count(f"bytes_sent/{version}", len(piece))
            yield piece


def parse_range(text: str, size: int) -> tuple[int, int]:
    """Return the start and the exclusive end of the byte range in a `Range` header.

    Examples
    --------
    >>> parse_range("bytes=10-19", 100)
    (10, 20)
    >>> parse_range("", 100)
    (0, 100)

    """
    if not text:
        return 0, size
    first, _, last = text.removeprefix("bytes=").partition("-")
    stop = int(last) + 1 if last else size
    return int(first), min(stop, size)


@click.command()
@click.option("--address", required=True)
@click.option("--link-bytes-per-second", default=0.0, help="0 for no limit")
@click.option("--chunk-bytes", default=256 * 1024, show_default=True)
@click.option("--model", "models", multiple=True, help="version:size_bytes:seed")
@click.option("--threads", default=64, show_default=True)
def main(
    address: str,
    link_bytes_per_second: float,
    chunk_bytes: int,
    models: tuple[str, ...],
    threads: int,
) -> None:
    """Serve weights that are generated from their name, size and seed."""
    root = WeightSource(
        link=LinkLimiter(bytes_per_second=link_bytes_per_second),
        chunk_bytes=chunk_bytes,
    )
    for text in models:
        version, size, seed = text.rsplit(":", 2)
        root.add_version(version=version, seed=int(seed), size_bytes=int(size))
    run(root, address=address, threads=threads)


if __name__ == "__main__":
    main()
