"""Chunks over HTTP between gateways and agents, paced to the reader's link."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, quote, unquote

from attrs import frozen

from eelgrassdale.http1 import (
    ConnectFailed,
    ConnectionPool,
    Exchange,
    ExchangeBroken,
    Head,
    Request,
)
from eelgrassdale_gateway.staging.chunks import WeightsManifest
from eelgrassdale_gateway.staging.engine import SourceUnavailable

# Bytes that are sent at once. The reader's link is shared with requests to the
# engine on its VM, which wait behind no more than this.
SLICE_BYTES = 4096
# Chunks sent to all readers at one time.
MAX_SENDING = 64
CONNECT_SECONDS = 0.5
MAX_ANSWER_BYTES = 67_108_864

Address = tuple[str, int]


@frozen(kw_only=True)
class ChunkRequest:
    """What a reader asks for; `index` None asks for the manifest.

    `bytes_per_second` is the rate that the reader's link bears, 0 for any.
    `is_relayed` is true between gateways, and then only the origin is asked.
    """

    model: str
    version: int
    index: int | None = None
    bytes_per_second: float = 0.0
    is_relayed: bool = False

    @property
    def target(self) -> str:
        """The request's path and query."""
        last = "manifest" if self.index is None else str(self.index)
        return (
            f"/weights/{quote(self.model, safe='')}/{self.version}/{last}"
            f"?rate={self.bytes_per_second:.0f}&relayed={int(self.is_relayed)}"
        )


def parse_target(target: str) -> ChunkRequest | None:
    """Return what a target asks for, or None.

    Examples
    --------
    >>> asked = ChunkRequest(model="m/x", version=2, index=5, bytes_per_second=100.0)
    >>> parse_target(asked.target) == asked
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
        Coroutine function that returns the bytes asked for; raises
        `SourceUnavailable`.
    """

    def __init__(self, *, read: Callable[[ChunkRequest], Awaitable[bytes]]) -> None:
        self._read = read
        self._sending = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one read."""
        asked = parse_target(exchange.request.target)
        if asked is None:
            await exchange.respond(400)
            return
        if self._sending >= MAX_SENDING:
            await exchange.respond(503)
            return
        self._sending += 1
        try:
            await self._answer(exchange, asked)
        finally:
            self._sending -= 1

    async def _answer(self, exchange: Exchange, asked: ChunkRequest) -> None:
        try:
            data = await self._read(asked)
        except SourceUnavailable:
            await exchange.respond(503)
            return
        await exchange.start(200, (("content-length", str(len(data))),))
        await send_paced(exchange, data, asked.bytes_per_second)
        await exchange.finish()


async def send_paced(exchange: Exchange, data: bytes, bytes_per_second: float) -> None:
    """Write a body in slices at a rate, or at once for the rate 0."""
    if bytes_per_second <= 0:
        await exchange.write(data)
        return
    loop = asyncio.get_running_loop()
    due = loop.time()
    for start in range(0, len(data), SLICE_BYTES):
        await asyncio.sleep(due - loop.time())
        part = data[start : start + SLICE_BYTES]
        await exchange.write(part)
        due += len(part) / bytes_per_second


class WeightsClient:
    """Reads chunks and manifests from gateways."""

    def __init__(self) -> None:
        self._pool = ConnectionPool(connect_seconds=CONNECT_SECONDS)

    async def read(
        self, address: Address, asked: ChunkRequest, *, timeout: float
    ) -> bytes:
        """Return the bytes asked for, unchecked.

        Raises
        ------
        SourceUnavailable
            If the gateway does not answer, or has no source itself.
        """
        host = f"{address[0]}:{address[1]}"
        req = Request(method="GET", target=asked.target, headers=(("host", host),))
        head: Head
        try:
            async with asyncio.timeout(timeout):
                head, data = await self._pool.call(address, req, limit=MAX_ANSWER_BYTES)
        except (ConnectFailed, ExchangeBroken, TimeoutError) as exc:
            raise SourceUnavailable(f"{host}: {exc!r}") from exc
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
        If it cannot be read.

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
