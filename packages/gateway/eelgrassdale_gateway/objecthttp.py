"""HTTP server and client by which gateways pass on objects of the store.

Few gateways watch the store. The others, and the agents, read the objects from
a gateway near them, as Thrift messages in compressed bodies.
"""

import asyncio
import json
import zlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import parse_qs, quote, unquote

from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale.http1 import (
    ConnectFailed,
    ConnectionPool,
    Exchange,
    ExchangeFailed,
    Headers,
    Request,
    ResponseHead,
)
from eelgrassdale_gateway.changelog import ChangeLog
from eelgrassdale_gateway.eras import Position, parse_era, read_era
from eelgrassdale_gateway.messages import (
    MAX_INT32,
    GatewayEntry,
    GatewayList,
    ObjectPage,
    ObjectRecord,
    decode_struct,
    encode_struct,
)
from eelgrassdale_gateway.objects import (
    Change,
    Changes,
    HistoryGone,
    Listing,
    StoredObject,
    StoreUnavailable,
)
from eelgrassdale_gateway.staging.relay import GatewayEndpoint

Address = tuple[str, int]
# Kind, revision of the follower, position of the copy and outage in milliseconds.
_PageKey = tuple[str, int | None, Position, int]

OBJECTS_PATH = "/objects/"
GATEWAYS_PATH = "/gateways"
# A gateway that is alive answers in milliseconds.
CALL_TIMEOUT_SECONDS = 0.6
CONNECT_TIMEOUT_SECONDS = 0.4
MAX_WAIT_SECONDS = 5.0
MAX_ANSWER_BYTES = 16_777_216
# A configuration of a thousand routes has 400 KB, which one gateway sends to
# many others over a narrow link. The fastest level removes most of that.
COMPRESSION_LEVEL = 1
# Names the era of the store of which a copy is; absent in era 0.
ERA_HEADER = "copy-era"
# Encoded answers cached for other followers; the oldest is evicted first. The newest is
# cached whatever its size, as all followers ask for it at the same time.
MAX_CACHED_PAGES = 16
MAX_CACHED_BYTES = 2_097_152


@frozen(kw_only=True)
class ObjectQuery:
    """Query of a follower.

    With `since` None it asks for the whole kind, otherwise for the changes after
    that revision, waiting for one for at most `wait` seconds. With `direct_only`,
    a gateway answers only if it reads from the store itself, so that no two
    gateways follow each other. A gateway whose copy is of an earlier era than `era`
    does not answer.
    """

    kind: str
    since: int | None = None
    wait: float = 0.0
    direct_only: bool = False
    era: int = 0

    @property
    def target(self) -> str:
        """The request's path and query."""
        since = "" if self.since is None else str(self.since)
        era = f"&era={self.era}" if self.era else ""
        return (
            f"{OBJECTS_PATH}{quote(self.kind, safe='')}"
            f"?since={since}&wait={self.wait:.3f}&direct={int(self.direct_only)}{era}"
        )


def parse_query(target: str) -> ObjectQuery | None:
    """Return the query that a target encodes, or None if it is malformed.

    Examples
    --------
    >>> query = ObjectQuery(kind="a b", since=7, wait=2.0, direct_only=True, era=3)
    >>> parse_query(query.target) == query
    True
    >>> parse_query("/objects/k?since=x") is None
    True

    """
    path, _, query = target.partition("?")
    if not path.startswith(OBJECTS_PATH):
        return None
    fields = {name: values[0] for name, values in parse_qs(query).items()}
    try:
        return ObjectQuery(
            kind=unquote(path.removeprefix(OBJECTS_PATH)),
            since=int(fields["since"]) if "since" in fields else None,
            wait=min(MAX_WAIT_SECONDS, float(fields.get("wait", "0"))),
            direct_only=fields.get("direct") == "1",
            era=parse_era([fields.get("era", "0")]),
        )
    except ValueError:
        return None


class ObjectServer:
    """Answers followers from the mirrors of this gateway.

    Parameters
    ----------
    change_logs : callable
        Returns the copies by kind.
    reads_from_store : callable
        Returns whether the copy of a kind is read from the store itself.
    gateways : callable
        Returns the live gateways, this one included.
    clock : Clock
        Source of monotonic time, the same as that of the mirrors.
    """

    def __init__(
        self,
        *,
        change_logs: Callable[[], Mapping[str, ChangeLog]],
        reads_from_store: Callable[[str], bool],
        gateways: Callable[[], Sequence[GatewayEndpoint]],
        clock: Clock,
    ) -> None:
        self._change_logs = change_logs
        self._reads_from_store = reads_from_store
        self._gateways = gateways
        self._clock = clock
        self._page_cache: dict[_PageKey, bytes] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.request.target == GATEWAYS_PATH:
            await exchange.respond(200, (), encode_gateways(self._gateways()))
            return
        query = parse_query(exchange.request.target)
        log = self._change_logs().get(query.kind) if query else None
        if log is None:
            await exchange.respond(404)
        elif query.since is None:
            await self._answer_list(exchange, query, log)
        else:
            await self._answer_watch(exchange, query, log)

    def _can_answer(self, query: ObjectQuery, log: ChangeLog) -> bool:
        may_read_copy = not query.direct_only or self._reads_from_store(query.kind)
        is_usable = log.position is not None and log.position.era >= query.era
        return is_usable and may_read_copy

    async def _answer_list(
        self, exchange: Exchange, query: ObjectQuery, log: ChangeLog
    ) -> None:
        if not self._can_answer(query, log):
            await exchange.respond(503)
            return
        await exchange.respond(
            200, _era_headers(log), self._encoded_page(query, log, None)
        )

    async def _answer_watch(
        self, exchange: Exchange, query: ObjectQuery, log: ChangeLog
    ) -> None:
        deadline = asyncio.get_running_loop().time() + query.wait
        while True:
            if not self._can_answer(query, log):
                await exchange.respond(503)
                return
            changes = log.since(Position(query.era, query.since))
            if changes is None:
                await exchange.respond(410)
                return
            remaining = deadline - asyncio.get_running_loop().time()
            if changes or remaining <= 0:
                break
            try:
                async with asyncio.timeout(remaining):
                    await log.wait()
            except TimeoutError:
                continue
        await exchange.respond(
            200, _era_headers(log), self._encoded_page(query, log, changes)
        )

    def _encoded_page(
        self, query: ObjectQuery, log: ChangeLog, changes: Sequence[Change] | None
    ) -> bytes:
        """Return a whole kind or its changes, encoded once for all followers."""
        outage_seconds = log.recent_outage_seconds(now=self._clock.monotonic())
        outage_ms = min(MAX_INT32, int(outage_seconds * 1000))
        key = (query.kind, query.since, log.position, outage_ms)
        page = self._page_cache.get(key)
        if page is None:
            page = _encode_page(log, changes, outage_ms)
            self._cache_page(key, page)
        return page

    def _cache_page(self, key: _PageKey, page: bytes) -> None:
        """Cache a page in place of older ones, and of those of earlier positions."""
        kind, _, position, _ = key
        pages = self._page_cache
        for other in [k for k in pages if k[0] == kind and k[2] != position]:
            del pages[other]
        pages[key] = page
        while len(pages) > MAX_CACHED_PAGES or (
            len(pages) > 1 and sum(map(len, pages.values())) > MAX_CACHED_BYTES
        ):
            del pages[next(iter(pages))]


class ObjectClient:
    """Reads objects from gateways; methods raise `StoreUnavailable`."""

    def __init__(self) -> None:
        self._pool = ConnectionPool(connect_seconds=CONNECT_TIMEOUT_SECONDS)

    async def list(
        self, address: Address, query: ObjectQuery
    ) -> tuple[Listing, Position]:
        """Return a whole kind, and the position of its newest change."""
        page, era = await self._page(address, query)
        objects = tuple(_decode_record(record) for record in page.records)
        listing = Listing(
            objects=objects,
            revision=page.revision,
            outage_seconds=_outage_seconds(page),
            era=era,
        )
        return listing, Position(era, page.changed_at)

    async def watch(self, address: Address, query: ObjectQuery) -> Changes:
        """Return changes; raises `HistoryGone` if the gateway no longer has them."""
        page, era = await self._page(address, query)
        changes = tuple(
            Change(object=_decode_record(record), is_deleted=bool(record.is_deleted))
            for record in page.records
        )
        return Changes(
            changes=changes,
            revision=page.revision,
            outage_seconds=_outage_seconds(page),
            era=era,
        )

    async def gateways(self, address: Address) -> Sequence[GatewayEndpoint]:
        """Return the gateways that the gateway at `address` considers alive."""
        _, data = await self._call(address, GATEWAYS_PATH)
        gateway_list = decode_struct(data, GatewayList())
        if gateway_list is None or not _is_complete(gateway_list):
            raise StoreUnavailable(
                "the answer is not a valid gateway list", is_store_failure=False
            )
        return [
            GatewayEndpoint(
                name=entry.name,
                data_centre=entry.data_centre,
                region=entry.region,
                address=(entry.host, entry.port),
            )
            for entry in gateway_list.gateways
        ]

    async def _page(self, address: Address, query: ObjectQuery) -> tuple[Any, int]:
        """Return a page and its era."""
        head, data = await self._call(address, query.target, wait=query.wait)
        try:
            era = read_era(head.headers, ERA_HEADER) or 0
            page = decode_struct(zlib.decompress(data), ObjectPage())
        except (ValueError, zlib.error) as exc:
            raise StoreUnavailable(
                f"unreadable: {exc}", is_store_failure=False
            ) from exc
        if page is None or None in (page.records, page.revision, page.changed_at):
            raise StoreUnavailable(
                "the answer is not a valid object page", is_store_failure=False
            )
        return page, era

    async def _call(
        self, address: Address, target: str, wait: float = 0.0
    ) -> tuple[ResponseHead, bytes]:
        host = f"{address[0]}:{address[1]}"
        req = Request(method="GET", target=target, headers=(("host", host),))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS + wait):
                head, data = await self._pool.call(address, req, limit=MAX_ANSWER_BYTES)
        except (ConnectFailed, ExchangeFailed, TimeoutError) as exc:
            raise StoreUnavailable(f"{host}: {exc!r}", is_store_failure=False) from exc
        if head.status == 410:
            raise HistoryGone(target)
        if head.status != 200:
            reason = f"{host}: status {head.status}"
            raise StoreUnavailable(reason, is_store_failure=False)
        return head, data


def encode_gateways(gateways: Sequence[GatewayEndpoint]) -> bytes:
    """Return an encoded `GatewayList`."""
    entries = [
        GatewayEntry(
            name=gateway.name,
            host=gateway.address[0],
            port=gateway.address[1],
            data_centre=gateway.data_centre,
            region=gateway.region,
        )
        for gateway in gateways
    ]
    return encode_struct(GatewayList(gateways=entries))


def _encode_page(
    log: ChangeLog, changes: Sequence[Change] | None, outage_ms: int
) -> bytes:
    if changes is None:
        records = [_encode_record(item) for item in log.objects.values()]
    else:
        records = [_encode_record(c.object, is_deleted=c.is_deleted) for c in changes]
    page = ObjectPage(
        revision=log.position.revision,
        records=records,
        changed_at=log.last_change.revision,
        outage_ms=outage_ms or None,
    )
    return zlib.compress(encode_struct(page), COMPRESSION_LEVEL)


def _is_complete(gateway_list: Any) -> bool:
    entries = gateway_list.gateways
    return entries is not None and all(
        None not in (entry.name, entry.host, entry.port, entry.data_centre)
        and entry.region is not None
        for entry in entries
    )


def _era_headers(log: ChangeLog) -> Headers:
    return ((ERA_HEADER, str(log.era)),) if log.era else ()


def _outage_seconds(page: Any) -> float:
    return (page.outage_ms or 0) / 1000


def _encode_record(item: StoredObject, *, is_deleted: bool = False) -> Any:
    return ObjectRecord(
        name=item.name,
        revision=item.revision,
        spec=json.dumps(item.spec).encode(),
        status=json.dumps(item.status).encode(),
        is_deleted=is_deleted,
    )


def _decode_record(record: Any) -> StoredObject:
    if record.name is None or record.revision is None:
        raise StoreUnavailable(
            "object without a name or a revision", is_store_failure=False
        )
    try:
        return StoredObject(
            name=record.name,
            revision=record.revision,
            spec=json.loads(record.spec),
            status=json.loads(record.status),
        )
    except (TypeError, ValueError, RecursionError) as exc:
        raise StoreUnavailable(
            f"malformed object {record.name!r}: {exc}", is_store_failure=False
        ) from exc
