"""Test harness: a forwarder between a raw caller and backend servers on loopback."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, evolve, field

from eelgrassdale.clock import SystemClock
from eelgrassdale.http1 import ConnectionPool, HttpServer, Request, connect
from eelgrassdale_gateway.attempts import AttemptRunner
from eelgrassdale_gateway.dispatcher import Dispatcher
from eelgrassdale_gateway.forwarding import Forwarder
from eelgrassdale_gateway.headernames import HeaderNames
from eelgrassdale_gateway.model import (
    Account,
    BackendServer,
    EngineProfile,
    Route,
    RouteTable,
    Service,
    TrafficSplit,
)
from eelgrassdale_gateway.retrybudgets import RetryBudgets
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.shares import single_gateway_group
from eelgrassdale_gateway.telemetry import RequestTelemetry

TIMEOUT_SECONDS = 10
HEADER_NAMES = HeaderNames(
    request_id="t-request",
    response_signature="t-signature",
    not_run="t-not-run",
    remaining_ms="t-time-left",
    api_key="t-key",
    account="t-account",
    expected_server="t-server",
    model="t-model",
    token_counts="t-tokens",
    prompt_parts="t-parts",
    output_tokens_hint="t-length",
    last_event_id="t-last-event",
    leaving="t-leaving",
    rate_limit="t-limit",
    priority="t-rank",
)
ENGINE = EngineProfile(
    slots=4,
    prefill_tokens_per_second=20_000.0,
    decode_step_seconds=0.01,
    steps_per_event=5,
)

Reply = Callable[[dict, asyncio.StreamWriter], Awaitable[None]]


@define(kw_only=True, eq=False)
class ScriptedBackend:
    """A backend server whose responses a test writes as raw bytes."""

    reply: Reply
    received: list[dict] = field(factory=list)
    closed: asyncio.Event = field(factory=asyncio.Event)
    address: tuple[str, int] = ("", 0)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def start(self) -> None:
        """Listen on a port chosen by the operating system."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()

    def end(self) -> None:
        """End as a process that crashes: close the port and all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                req = parse(head)
                length = int(req.get("content-length", 0))
                req["body"] = await reader.readexactly(length)
                self.received.append(req)
                await self.reply(req, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            self._writers.discard(writer)
            writer.close()


def parse(head: bytes) -> dict:
    """Return the request line under `line`, and the headers by lower-case name."""
    lines = head.decode().split("\r\n")
    fields = {"line": lines[0]}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return fields


def signed_response(
    req: dict, body: bytes = b"ok", status: str = "200 OK", *extra: str
) -> bytes:
    """Return a signed response to a request."""
    lines = [
        f"HTTP/1.1 {status}",
        f"T-Request: {req['t-request']}",
        "T-Signature: seal",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(req: dict) -> bytes:
    """Return the head of a signed stream with chunked encoding."""
    return (
        f"HTTP/1.1 200 OK\r\nT-Request: {req['t-request']}\r\nT-Signature: seal\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; an empty chunk ends the body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {number}\n\n".encode()


def reply_with(make: Callable[[dict], bytes]) -> Reply:
    """Return a reply function that writes the bytes returned by `make`."""

    async def reply(req, writer):
        writer.write(make(req))

    return reply


ROUTES = (
    Route(
        name="unsafe",
        host="h",
        prefix="/unsafe/",
        splits=(TrafficSplit(service="plain"),),
        timeout_seconds=2.0,
        objective_seconds=0.2,
    ),
    Route(
        name="safe",
        host="h",
        prefix="/safe/",
        splits=(TrafficSplit(service="plain"),),
        is_idempotent=True,
        timeout_seconds=2.0,
        objective_seconds=0.2,
        max_attempts=2,
    ),
    Route(
        name="stream",
        host="h",
        prefix="/stream/",
        splits=(TrafficSplit(service="engine"),),
        is_stream=True,
        is_idempotent=True,
        is_resumable=True,
        timeout_seconds=6.0,
        objective_seconds=0.5,
        max_attempts=2,
    ),
    Route(
        name="once",
        host="h",
        prefix="/once/",
        splits=(TrafficSplit(service="engine"),),
        is_stream=True,
        timeout_seconds=6.0,
        objective_seconds=0.5,
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
    requires_account=True,
)


class GatewayHarness:
    """The components of a gateway, with backend servers of one service."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.routing_state = RoutingState(version_grace_seconds=5.0, start_grace=2.0)
        self.dispatcher = Dispatcher(
            clock=clock,
            routing_state=self.routing_state,
            data_centre="n1",
            live_gateway_count=lambda: 1,
            gateway_group=single_gateway_group,
            seed=1,
        )
        self.forwarder = Forwarder(
            clock=clock,
            routing_state=self.routing_state,
            dispatcher=self.dispatcher,
            attempt_runner=AttemptRunner(
                clock=clock,
                pool=ConnectionPool(connect_seconds=0.5),
                header_names=HEADER_NAMES,
            ),
            retry_budgets=RetryBudgets(
                clock=clock,
                ratio=0.2,
                slack=40.0,
                window_seconds=0.0,
                gateway_group=single_gateway_group,
            ),
            header_names=HEADER_NAMES,
            telemetry=RequestTelemetry(),
            seed=1,
        )
        self.server = HttpServer(handler=self.forwarder.handle)
        self.address = ("", 0)

    async def start(
        self, service: str, *backends: ScriptedBackend, **server_changes
    ) -> None:
        """Start serving, with the backend servers listed as `s-0`, `s-1` and so on."""
        self.routing_state.apply_table(TABLE)
        self.routing_state.set_servers({})
        for number, backend in enumerate(backends):
            await self.add_backend(service, f"s-{number}", backend, **server_changes)
        self.address = await self.server.start("127.0.0.1", 0)

    async def add_backend(
        self, service: str, name: str, backend: ScriptedBackend, **server_changes
    ) -> None:
        """Start a backend server and add it to the list."""
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
        listed = {**self.routing_state.servers, name: evolve(server, **server_changes)}
        self.routing_state.set_servers(listed)

    async def send_request(
        self, path: str, *, method: str = "POST", seconds: float = 2.0, **extra_headers
    ):
        """Send one request and return the head and the body of the response."""
        conn = await connect(self.address, timeout=1)
        headers = {
            "host": "h",
            "t-request": "r-1",
            "t-key": "key-1",
            "t-time-left": str(int(seconds * 1000)),
        } | {name.replace("_", "-"): value for name, value in extra_headers.items()}
        req = Request(
            method=method,
            target=path,
            headers=tuple(headers.items()),
            body=b"body" if method == "POST" else b"",
        )
        try:
            await conn.send(req)
            head = await conn.head(timeout=TIMEOUT_SECONDS)
            return head, await conn.body(limit=1_000_000, timeout=TIMEOUT_SECONDS)
        finally:
            conn.close()


def run_scenario(scenario: Callable[[GatewayHarness], Awaitable[object]]) -> object:
    """Run a scenario with a new harness."""

    async def run():
        harness = GatewayHarness()
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await scenario(harness)
        finally:
            harness.server.stop_listening()
            harness.server.abort_all()

    return asyncio.run(run())
