"""HTTP transfer of chunks and manifests, paced to the reader's link."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, quote, unquote

from attrs import frozen

from eelgrassdale.http1 import (
    ConnectFailed,
    ConnectionPool,
    Exchange,
    ExchangeFailed,
    Request,
    ResponseHead,
)
from eelgrassdale_gateway.staging.chunks import WeightsManifest
from eelgrassdale_gateway.staging.engine import DataUnavailable, SourceUnavailable

# Unit of paced writes. The reader's link also carries requests to the engine on
# its VM, which are delayed by at most one slice.
SLICE_BYTES = 4096
# Concurrent answers to all readers; more reads are refused with status 503.
MAX_CONCURRENT_SENDS = 64
CONNECT_TIMEOUT_SECONDS = 0.5
MAX_ANSWER_BYTES = 67_108_864

Address = tuple[str, int]


@frozen(kw_only=True)
class ChunkRequest:
    """Request for one chunk, or for the manifest if `index` is None.

    `bytes_per_second` is the rate at which the answer is sent, 0 for no limit.
    `is_relayed` is true on requests between gateways; the receiver then reads
    from the origin only, not from a third gateway.
    """

    model: str
    version: int
    index: int | None = None
    bytes_per_second: float = 0.0
    is_relayed: bool = False

    @property
    def target(self) -> str:
        """The request's path and query."""
        resource = "manifest" if self.index is None else str(self.index)
        return (
            f"/weights/{quote(self.model, safe='')}/{self.version}/{resource}"
            f"?rate={self.bytes_per_second:.0f}&relayed={int(self.is_relayed)}"
        )


def parse_target(target: str) -> ChunkRequest | None:
    """Return the request that a target encodes, or None if it is malformed.

    Examples
    --------
    >>> sent = ChunkRequest(model="m/x", version=2, index=5, bytes_per_second=100.0)
    >>> parse_target(sent.target) == sent
    True
    >>> parse_target("/weights/m") is None
    True

    """
    path, _, query = target.partition("?")
    parts = path.split("/")
    if len(parts) != 5 or parts[1] != "weights":
        return None
    fields = parse_qs(query)
    try:
        return ChunkRequest(
            model=unquote(parts[2]),
            version=int(parts[3]),
            index=None if parts[4] == "manifest" else int(parts[4]),
            bytes_per_second=float(fields.get("rate", ["0"])[0]),
            is_relayed=fields.get("relayed", ["0"])[0] == "1",
        )
    except ValueError:
        return None


class WeightsServer:
    """Answers reads of chunks and manifests.

    Parameters
    ----------
    read : callable
        Coroutine function that returns the requested bytes, or raises
        `SourceUnavailable`.
    """

    def __init__(self, *, read: Callable[[ChunkRequest], Awaitable[bytes]]) -> None:
        self._read = read
        self._active_sends = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one read."""
        chunk_request = parse_target(exchange.request.target)
        if chunk_request is None:
            await exchange.respond(400)
            return
        if self._active_sends >= MAX_CONCURRENT_SENDS:
            await exchange.respond(503)
            return
        self._active_sends += 1
        try:
            await self._answer(exchange, chunk_request)
        finally:
            self._active_sends -= 1

    async def _answer(self, exchange: Exchange, chunk_request: ChunkRequest) -> None:
        try:
            data = await self._read(chunk_request)
        except SourceUnavailable:
            await exchange.respond(503)
            return
        await exchange.start(200, (("content-length", str(len(data))),))
        await send_paced(exchange, data, chunk_request.bytes_per_second)
        await exchange.finish()


async def send_paced(exchange: Exchange, data: bytes, bytes_per_second: float) -> None:
    """Write a body in slices at the given rate, or at once if it is 0."""
    if bytes_per_second <= 0:
        await exchange.write(data)
        return
    loop = asyncio.get_running_loop()
    due_at = loop.time()
    for start in range(0, len(data), SLICE_BYTES):
        await asyncio.sleep(due_at - loop.time())
        data_slice = data[start : start + SLICE_BYTES]
        await exchange.write(data_slice)
        due_at += len(data_slice) / bytes_per_second


class WeightsClient:
    """Reads chunks and manifests from gateways."""

    def __init__(self) -> None:
        self._pool = ConnectionPool(connect_seconds=CONNECT_TIMEOUT_SECONDS)

    async def read(
        self, address: Address, chunk_request: ChunkRequest, *, timeout: float
    ) -> bytes:
        """Return the requested bytes, not yet compared with a digest.

        Raises
        ------
        SourceUnavailable
            If the gateway does not answer in `timeout` seconds, or does not
            answer with status 200. `DataUnavailable` if it has no copy now.
        """
        host = f"{address[0]}:{address[1]}"
        req = Request(
            method="GET", target=chunk_request.target, headers=(("host", host),)
        )
        head: ResponseHead
        try:
            async with asyncio.timeout(timeout):
                head, data = await self._pool.call(address, req, limit=MAX_ANSWER_BYTES)
        except (ConnectFailed, ExchangeFailed, TimeoutError) as exc:
            raise SourceUnavailable(f"{host}: {exc!r}") from exc
        if head.status == 503:
            raise DataUnavailable(f"{host}: has no copy now")
        if head.status != 200:
            raise SourceUnavailable(f"{host}: status {head.status}")
        return data


def encode_manifest(manifest: WeightsManifest) -> bytes:
    """Return a manifest as bytes for `decode_manifest`."""
    fields = {"chunk_bytes": manifest.chunk_bytes, "digests": manifest.digests}
    return json.dumps(fields).encode()


def decode_manifest(model: str, version: int, data: bytes) -> WeightsManifest:
    """Return the manifest in `data`.

    Raises
    ------
    SourceUnavailable
        If the data is malformed.

    Examples
    --------
    >>> from eelgrassdale_gateway.staging.chunks import manifest_of
    >>> manifest = manifest_of("m", 1, [b"a", b"b"])
    >>> decode_manifest("m", 1, encode_manifest(manifest)) == manifest
    True

    """
    try:
        fields = json.loads(data)
        return WeightsManifest(
            model=model,
            version=version,
            chunk_bytes=int(fields["chunk_bytes"]),
            digests=tuple(str(digest) for digest in fields["digests"]),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise SourceUnavailable(f"manifest: {exc!r}") from exc
