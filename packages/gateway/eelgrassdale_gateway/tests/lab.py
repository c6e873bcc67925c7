"""A forwarder between a raw caller and backend servers, all on loopback."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, evolve, field

from eelgrassdale.clock import SystemClock
from eelgrassdale.http1 import ConnectionPool, HttpServer, Request, connect
from eelgrassdale_gateway.attempts import Attempts
from eelgrassdale_gateway.dispatcher import Dispatcher
from eelgrassdale_gateway.events import RequestEvents
from eelgrassdale_gateway.fleet import Fleet
from eelgrassdale_gateway.forwarding import Forwarder
from eelgrassdale_gateway.model import (
    Account,
    BackendServer,
    EngineProfile,
    Route,
    RouteTable,
    Service,
    Split,
)
from eelgrassdale_gateway.repeats import RepeatBudgets
from eelgrassdale_gateway.shares import alone
from eelgrassdale_gateway.wirenames import WireNames

SECONDS = 10
NAMES = WireNames(
    request_id="t-request",
    answer_signature="t-signature",
    not_run="t-not-run",
    time_left="t-time-left",
    api_key="t-key",
    account="t-account",
    expected_server="t-server",
    model="t-model",
    token_counts="t-tokens",
    length_hint="t-length",
    last_event="t-last-event",
)
ENGINE = EngineProfile(slots=4, read_rate=20_000.0, step=0.01, stride=5)

Reply = Callable[[dict, asyncio.StreamWriter], Awaitable[None]]


@define(kw_only=True, eq=False)
class Backend:
    """A backend server whose answers a test writes as raw bytes."""

    reply: Reply
    seen: list[dict] = field(factory=list)
    closed: asyncio.Event = field(factory=asyncio.Event)
    address: tuple[str, int] = ("", 0)

    async def start(self) -> None:
        """Listen on a port of the operating system's choice."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                req = parse(head)
                length = int(req.get("content-length", 0))
                req["body"] = await reader.readexactly(length)
                self.seen.append(req)
                await self.reply(req, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()


def parse(head: bytes) -> dict:
    """Return a request's line under `line` and its headers by lower-case name."""
    lines = head.decode().split("\r\n")
    found = {"line": lines[0]}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        found[name.lower()] = value.strip()
    return found


def answer(
    req: dict, body: bytes = b"ok", status: str = "200 OK", *extra: str
) -> bytes:
    """Return a signed answer to a request."""
    lines = [
        f"HTTP/1.1 {status}",
        f"T-Request: {req['t-request']}",
        "T-Signature: seal",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(req: dict) -> bytes:
    """Return the head of a signed stream without a length."""
    return (
        f"HTTP/1.1 200 OK\r\nT-Request: {req['t-request']}\r\nT-Signature: seal\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; the empty one ends it."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {number}\n\n".encode()


def replying(make: Callable[[dict], bytes]) -> Reply:
    """Return a reply that writes the bytes of `make`."""

    async def reply(req, writer):
        writer.write(make(req))

    return reply


ROUTES = (
    Route(
        name="unsafe",
        host="h",
        prefix="/unsafe/",
        splits=(Split(service="plain"),),
        timeout=2.0,
        objective=0.2,
    ),
    Route(
        name="safe",
        host="h",
        prefix="/safe/",
        splits=(Split(service="plain"),),
        is_idempotent=True,
        timeout=2.0,
        objective=0.2,
        max_attempts=2,
    ),
    Route(
        name="stream",
        host="h",
        prefix="/stream/",
        splits=(Split(service="engine"),),
        is_stream=True,
        is_idempotent=True,
        is_resumable=True,
        timeout=6.0,
        objective=0.5,
        max_attempts=2,
    ),
    Route(
        name="once",
        host="h",
        prefix="/once/",
        splits=(Split(service="engine"),),
        is_stream=True,
        timeout=6.0,
        objective=0.5,
    ),
)
TABLE = RouteTable(
    version=1,
    routes=ROUTES,
    services={
        "plain": Service(name="plain"),
        "engine": Service(name="engine", engine=ENGINE),
    },
    accounts_by_key={"key-1": Account(name="acme")},
    has_accounts=True,
)


class Lab:
    """The parts of a gateway, with backend servers of one service."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.fleet = Fleet(grace=5.0, start_grace=2.0)
        self.dispatcher = Dispatcher(
            clock=clock,
            fleet=self.fleet,
            data_centre="n1",
            live_nodes=lambda: 1,
            sharers=alone,
            seed=1,
        )
        self.forwarder = Forwarder(
            clock=clock,
            fleet=self.fleet,
            dispatcher=self.dispatcher,
            attempts=Attempts(
                clock=clock, pool=ConnectionPool(connect_seconds=0.5), names=NAMES
            ),
            budgets=RepeatBudgets(ratio=0.2, slack=40.0, sharers=alone),
            names=NAMES,
            events=RequestEvents(),
            seed=1,
        )
        self.server = HttpServer(handler=self.forwarder.handle)
        self.address = ("", 0)

    async def start(self, service: str, *backends: Backend, **changes) -> None:
        """Serve, with the backend servers listed under `s-0`, `s-1` and so on."""
        self.fleet.offer_table(TABLE)
        self.fleet.set_servers({})
        for number, backend in enumerate(backends):
            await self.add(service, f"s-{number}", backend, **changes)
        self.address = await self.server.start("127.0.0.1", 0)

    async def add(self, service: str, name: str, backend: Backend, **changes) -> None:
        """Start a backend server and list it."""
        await backend.start()
        server = BackendServer(
            id=name,
            service=service,
            address=backend.address,
            data_centre="n1",
            region="n",
            slots=4,
            versions={"m": 1},
        )
        listed = {**self.fleet.servers, name: evolve(server, **changes)}
        self.fleet.set_servers(listed)

    async def ask(
        self, path: str, *, method: str = "POST", seconds: float = 2.0, **more
    ):
        """Send one request and return the head and the body of its answer."""
        conn = await connect(self.address, timeout=1)
        headers = {
            "host": "h",
            "t-request": "r-1",
            "t-key": "key-1",
            "t-time-left": str(int(seconds * 1000)),
        } | {name.replace("_", "-"): value for name, value in more.items()}
        await conn.send(
            Request(
                method=method,
                target=path,
                headers=tuple(headers.items()),
                body=b"body" if method == "POST" else b"",
            )
        )
        head = await conn.head(timeout=SECONDS)
        return head, await conn.body(limit=1_000_000, timeout=SECONDS)


def play(scene: Callable[[Lab], Awaitable[object]]) -> object:
    """Run a scene with a new lab."""

    async def run():
        lab = Lab()
        try:
            async with asyncio.timeout(SECONDS):
                return await scene(lab)
        finally:
            lab.server.stop_listening()
            lab.server.abort_all()

    return asyncio.run(run())
