"""Gives chunks to peers over HTTP, and reads them from peers."""

import asyncio
from collections.abc import Callable
from urllib.parse import quote, unquote

from attrs import frozen

from eelgrassdale.http1 import (
    ConnectFailed,
    ConnectionPool,
    Exchange,
    ExchangeBroken,
    Request,
)
from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.staging.chunks import ChunkSet

# Chunks sent at one time; more would only share the link's rate. Two keep the
# link busy while one of them ends.
MAX_SENDING = 2
# Reads that wait for their turn or for their chunk.
MAX_WAITING = 64
MAX_WAIT_SECONDS = 2.0
HELD_HEADER = "x-held-chunks"
CONNECT_SECONDS = 0.5
MAX_CHUNK_BYTES = 67_108_864

Address = tuple[str, int]


@frozen(kw_only=True)
class ChunkAnswer:
    """Result of a read from a peer; `held` is its bit mask of chunks, if known."""

    code: ResultCode
    data: bytes = b""
    held: int | None = None


class ChunkServer:
    """Answers `GET /chunks/MODEL/VERSION/INDEX?wait=SECONDS`."""

    def __init__(self, *, find: Callable[[str, int], ChunkSet | None]) -> None:
        self._find = find
        self._turn = asyncio.Semaphore(MAX_SENDING)
        self._waiting = 0
        self.bytes_sent = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one read."""
        asked = _parse_target(exchange.request.target)
        if asked is None:
            await exchange.respond(400)
            return
        model, version, index, wait = asked
        chunks = self._find(model, version)
        if chunks is None or index >= chunks.manifest.count:
            await exchange.respond(404)
            return
        if self._waiting >= MAX_WAITING:
            await exchange.respond(503, _held(chunks))
            return
        self._waiting += 1
        try:
            data = await chunks.wait_for(index, min(wait, MAX_WAIT_SECONDS))
            if data is None:
                await exchange.respond(404, _held(chunks))
                return
            async with self._turn:
                await exchange.respond(200, _held(chunks), data)
        finally:
            self._waiting -= 1
        self.bytes_sent += len(data)


class ChunkClient:
    """Reads chunks from peers."""

    def __init__(self) -> None:
        self._pool = ConnectionPool(connect_seconds=CONNECT_SECONDS)

    async def read(
        self,
        address: Address,
        *,
        model: str,
        version: int,
        index: int,
        wait: float,
        timeout: float,
    ) -> ChunkAnswer:
        """Return a chunk of a peer; the caller checks its digest."""
        target = f"/chunks/{quote(model, safe='')}/{version}/{index}?wait={wait:g}"
        req = Request(
            method="GET",
            target=target,
            headers=(("host", f"{address[0]}:{address[1]}"),),
        )
        try:
            async with asyncio.timeout(timeout):
                return await self._read(address, req)
        except (ConnectFailed, ExchangeBroken, TimeoutError):
            return ChunkAnswer(code=ResultCode.SOURCE_UNAVAILABLE)

    async def _read(self, address: Address, req: Request) -> ChunkAnswer:
        head, data = await self._pool.call(address, req, limit=MAX_CHUNK_BYTES)
        held = head.header(HELD_HEADER)
        mask = int(held, 16) if held else None
        if head.status == 200:
            return ChunkAnswer(code=ResultCode.OK, data=data, held=mask)
        if head.status == 503:
            return ChunkAnswer(code=ResultCode.HOLDER_BUSY, held=mask)
        return ChunkAnswer(code=ResultCode.CHUNK_NOT_HELD, held=mask or 0)


def _held(chunks: ChunkSet) -> tuple[tuple[str, str], ...]:
    return ((HELD_HEADER, f"{chunks.mask:x}"),)


def _parse_target(target: str) -> tuple[str, int, int, float] | None:
    """Return model, version, index and wait of a target, or None.

    Examples
    --------
    >>> _parse_target("/chunks/m/2/5?wait=0.5")
    ('m', 2, 5, 0.5)
    >>> _parse_target("/chunks/m") is None
    True

    """
    path, _, query = target.partition("?")
    parts = path.split("/")
    name, _, wait = query.partition("=")
    if len(parts) != 5 or parts[1] != "chunks" or name not in ("", "wait"):
        return None
    try:
        return unquote(parts[2]), int(parts[3]), int(parts[4]), float(wait or 0)
    except ValueError:
        return None
