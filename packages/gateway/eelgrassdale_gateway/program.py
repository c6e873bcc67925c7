"""The gateway process: builds the components, runs them and shuts down gracefully."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence

import structlog
from attrs import evolve, frozen

from eelgrassdale.clock import Clock, SystemClock
from eelgrassdale.http1 import CallerLimits, ConnectionPool, Exchange, HttpServer
from eelgrassdale.pauses import BEAT_SECONDS, PauseDetector
from eelgrassdale_gateway.attempts import AttemptRunner
from eelgrassdale_gateway.copies import Copies
from eelgrassdale_gateway.dispatcher import Dispatcher
from eelgrassdale_gateway.events import RequestTelemetry
from eelgrassdale_gateway.fleet import Fleet
from eelgrassdale_gateway.following import SharedSource, Surroundings
from eelgrassdale_gateway.forwarding import Forwarder
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.objects import ObjectSource
from eelgrassdale_gateway.objectserving import ObjectServer
from eelgrassdale_gateway.peers import Address, NodeFacts, Peers
from eelgrassdale_gateway.repeats import RetryBudgets
from eelgrassdale_gateway.serverlist import ServerList
from eelgrassdale_gateway.shares import Sharers
from eelgrassdale_gateway.staging import (
    ChunkRelay,
    GatewayPlace,
    OriginFacts,
    WeightsOrigin,
    WeightsServer,
)
from eelgrassdale_gateway.wirenames import WireNames

# A backend server in another region is 4 ms away. A lost SYN packet is retransmitted
# only after one second, too late for most objectives.
CONNECT_SECONDS = 0.4
POOL_CLEANUP_SECONDS = 0.5
# Shortest time of serving during shutdown: callers with an older list of gateways
# still connect for a while.
MIN_DRAIN_SECONDS = 2.0
# Reserve at the end of the time that the platform gives a process to stop.
EXIT_MARGIN_SECONDS = 1.2
# Requests arriving later than this in a shutdown are refused, so that earlier ones
# can finish.
ADMISSION_CUTOFF_SECONDS = 3.5
DRAIN_POLL_SECONDS = 0.05

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class GatewaySettings:
    """Settings of one gateway; times in seconds.

    `version_grace` is how long an older model version may serve after operators set
    a newer one; `start_grace` is the same for versions set before this process
    started. `repeat_ratio` and `repeat_slack` limit the retries of all gateways
    together. `stop_seconds` is the time that the platform gives the process to stop.
    """

    name: str
    incarnation: int
    data_centre: str
    region: str
    caller_address: Address
    peer_address: Address
    seeds: tuple[Address, ...] = ()
    version_grace: float = 6.5
    start_grace: float = 2.5
    repeat_ratio: float = 0.1
    repeat_slack: float = 20.0
    stop_seconds: float = 8.0


class Gateway:
    """Forwards requests and exchanges heartbeats with its peers.

    The platform adapter supplies configuration, backend servers and model versions.
    """

    def __init__(
        self,
        *,
        cfg: GatewaySettings,
        names: WireNames,
        new_origin: Callable[[Address], WeightsOrigin],
        clock: Clock | None = None,
    ) -> None:
        self.cfg = cfg
        self._make_origin = new_origin
        self._origin: tuple[Address, OriginFacts] | None = None
        self.is_stopping = False
        self._clock = clock or SystemClock()
        self.fleet = Fleet(grace=cfg.version_grace, start_grace=cfg.start_grace)
        self.servers = ServerList()
        self._pauses = PauseDetector(clock=self._clock)
        self.dispatcher = Dispatcher(
            clock=self._clock,
            fleet=self.fleet,
            data_centre=cfg.data_centre,
            live_gateway_count=self._live_gateway_count,
            gateway_group=self._gateway_group,
        )
        self.peers = Peers(
            clock=self._clock,
            me=NodeFacts(
                name=cfg.name,
                incarnation=cfg.incarnation,
                caller_address=cfg.caller_address,
                data_centre=cfg.data_centre,
                region=cfg.region,
            ),
            address=cfg.peer_address,
            loads=self.dispatcher.loads,
            notices=self.dispatcher.notices,
            on_change=self.dispatcher.dispatch_waiting,
            revisions=lambda: self._copies.revisions() if self._copies else {},
        )
        for seed in cfg.seeds:
            self.peers.introduce(seed)
        self._pool = ConnectionPool(connect_seconds=CONNECT_SECONDS)
        self.events = RequestTelemetry()
        self.events.gauge(
            "waiting_requests",
            "Requests that wait for a backend server.",
            self.dispatcher.waiting_count,
        )
        self.events.gauge(
            "live_gateways",
            "Live gateways, this one included.",
            self._live_gateway_count,
        )
        self._retry_budgets = RetryBudgets(
            ratio=cfg.repeat_ratio,
            slack=cfg.repeat_slack,
            gateway_group=self._gateway_group,
        )
        self.forwarder = Forwarder(
            clock=self._clock,
            fleet=self.fleet,
            dispatcher=self.dispatcher,
            attempt_runner=AttemptRunner(
                clock=self._clock, pool=self._pool, header_names=names
            ),
            retry_budgets=self._retry_budgets,
            header_names=names,
            telemetry=self.events,
        )
        self.server = HttpServer(handler=self._handle, limits=self._caller_limits)
        self.relay = ChunkRelay(
            me=_gateway_endpoint(self.peers.me, cfg.peer_address),
            gateways=self._live_gateway_endpoints,
            origin=self._origin_facts,
        )
        self._copies: Copies | None = None
        self._weights = WeightsServer(read=self.relay.read)
        self._objects = ObjectServer(
            logs=lambda: self._copies.logs() if self._copies else {},
            is_direct=lambda kind: self._copies.source.is_direct(kind),
            gateways=self._all_gateway_endpoints,
        )
        self._peer_server = HttpServer(handler=self._handle_peer)
        self._refuses_requests = False
        self._prefetching: dict[str, asyncio.Future[None]] = {}

    def follow(
        self,
        store: ObjectSource,
        make_mirrors: Callable[[ObjectSource], Sequence[Mirror]],
    ) -> None:
        """Mirror the store's objects, read from it or from other gateways."""
        source = SharedSource(
            store=store,
            here=self._topology,
            known=self._known_revision,
            clock=self._clock,
        )
        self._copies = Copies(
            source=source,
            mirrors=make_mirrors(source),
            newest=self.peers.newest_revisions,
        )

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Apply the settings that may change while the process runs.

        Name, data centre, region, addresses and `start_grace` keep their values.
        """
        self._retry_budgets.ratio = cfg.repeat_ratio
        self._retry_budgets.slack = cfg.repeat_slack
        self.fleet.grace = cfg.version_grace
        for seed in cfg.seeds:
            self.peers.introduce(seed)
        self.cfg = evolve(
            self.cfg,
            repeat_ratio=cfg.repeat_ratio,
            repeat_slack=cfg.repeat_slack,
            version_grace=cfg.version_grace,
            stop_seconds=cfg.stop_seconds,
            seeds=cfg.seeds,
        )

    def is_ready(self) -> bool:
        """Return whether callers may send requests to this gateway."""
        return self.fleet.is_ready() and not self.is_stopping

    def offer_servers(self, listed: Mapping[str, BackendServer]) -> None:
        """Apply the platform's list of backend servers."""
        now = self._clock.monotonic()
        self._set_servers(self.servers.update(listed, now=now))
        delay = self.servers.next_check(now=now)
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self._recheck_servers)

    def name_versions(self, versions: Mapping[str, int]) -> None:
        """Apply the version set by operators for each model, and prefetch new ones."""
        # Versions set before this process started are already loaded nearly everywhere.
        is_first_list = not self.fleet.has_versions
        previous_versions = self.fleet.named_versions()
        self.fleet.set_named_versions(
            versions,
            self._clock.monotonic(),
            unaware=self._pauses.unaware_seconds(),
        )
        for model, version in versions.items():
            if not is_first_list and version > previous_versions.get(model, 0):
                self._prefetch(model, version)

    def _prefetch(self, model: str, version: int) -> None:
        previous_prefetch = self._prefetching.get(model)
        if previous_prefetch is not None:
            previous_prefetch.cancel()
        self._prefetching[model] = asyncio.ensure_future(
            self.relay.prefetch(model, version)
        )

    def store_returned(self, outage: float) -> None:
        """Record the end of an outage of the platform's store; `outage` in seconds."""
        self.servers.store_returned(outage, now=self._clock.monotonic())

    def live_nodes(self) -> list[NodeFacts]:
        """Return the live gateways by name, this one included if it is ready."""
        nodes = [peer.facts for peer in self.peers.live()]
        if self.is_ready():
            nodes.append(self.peers.me)
        return sorted(nodes, key=lambda node: node.name)

    async def start(self) -> None:
        """Bind the addresses and start serving."""
        await self.server.start(*self.cfg.caller_address)
        await self._peer_server.start(*self.cfg.peer_address)
        await self.peers.start()

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._log_pauses())
            group.create_task(self.peers.run())
            group.create_task(self._clean_up_pool())
            if self._copies is not None:
                group.create_task(self._copies.run())

    async def stop(self) -> None:
        """Announce the shutdown, then serve until all requests ended or time is up."""
        loop = asyncio.get_running_loop()
        stop_started_at = loop.time()
        self.is_stopping = True
        self.server.leave()
        self.peers.leave()
        exit_at = stop_started_at + self.cfg.stop_seconds - EXIT_MARGIN_SECONDS
        log.info("stopping", handling=self.server.handling)
        while loop.time() < exit_at:
            elapsed_seconds = loop.time() - stop_started_at
            self._refuses_requests = elapsed_seconds > ADMISSION_CUTOFF_SECONDS
            if elapsed_seconds > MIN_DRAIN_SECONDS and not self.server.handling:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self.server.stop_listening()
        log.info("stopped", handling=self.server.handling)

    async def _handle(self, exchange: Exchange) -> None:
        if self._refuses_requests:
            await self.forwarder.refuse_for_shutdown(exchange)
            return
        await self.forwarder.handle(exchange)

    def _caller_limits(self) -> CallerLimits:
        table = self.fleet.table
        return table.limits if table else CallerLimits()

    def _live_gateway_count(self) -> int:
        # Looked up on each call: the dispatcher is built before `self.peers`.
        return self.peers.live_nodes()

    def _gateway_group(self) -> Sharers:
        return self.peers.sharers()

    def _origin_facts(self) -> OriginFacts | None:
        """Return the origin of weights in the configuration, or None."""
        table = self.fleet.table
        services = table.services.values() if table else ()
        configured_origin = next(
            (s.origin for s in services if s.origin is not None), None
        )
        if configured_origin is None:
            return None
        if self._origin is None or self._origin[0] != configured_origin.address:
            facts = OriginFacts(
                origin=self._make_origin(configured_origin.address),
                region=configured_origin.region,
            )
            self._origin = (configured_origin.address, facts)
        return self._origin[1]

    def _live_gateway_endpoints(self) -> list[GatewayPlace]:
        return [
            _gateway_endpoint(peer.facts, peer.address) for peer in self.peers.live()
        ]

    def _all_gateway_endpoints(self) -> list[GatewayPlace]:
        return [
            _gateway_endpoint(self.peers.me, self.cfg.peer_address),
            *self._live_gateway_endpoints(),
        ]

    def _topology(self) -> Surroundings:
        return Surroundings(
            name=self.cfg.name,
            data_centre=self.cfg.data_centre,
            gateways=tuple(self._live_gateway_endpoints()),
        )

    def _known_revision(self, kind: str) -> int:
        return self._copies.revisions().get(kind, 0) if self._copies else 0

    async def _handle_peer(self, exchange: Exchange) -> None:
        if exchange.request.target.startswith("/weights/"):
            await self._weights.handle(exchange)
        else:
            await self._objects.handle(exchange)

    def _recheck_servers(self) -> None:
        self._set_servers(self.servers.current(now=self._clock.monotonic()))

    def _set_servers(self, servers: Mapping[str, BackendServer]) -> None:
        self.dispatcher.health.retain(set(servers))
        self.fleet.set_servers(servers)

    async def _log_pauses(self) -> None:
        while True:
            seconds = self._pauses.beat()
            if seconds:
                log.warning("process stood still", seconds=round(seconds, 3))
            await asyncio.sleep(BEAT_SECONDS)

    async def _clean_up_pool(self) -> None:
        while True:
            await asyncio.sleep(POOL_CLEANUP_SECONDS)
            self._pool.drop_unused()


def _gateway_endpoint(facts: NodeFacts, address: Address) -> GatewayPlace:
    return GatewayPlace(
        name=facts.name,
        data_centre=facts.data_centre,
        region=facts.region,
        address=address,
    )


async def run_until_stopped(
    *,
    run: Callable[[], Awaitable[None]],
    stop: Callable[[], Awaitable[None]],
    on_reload: Callable[[], None] = lambda: None,
) -> None:
    """Run a program until SIGTERM or SIGINT, then stop it; SIGHUP calls `on_reload`."""
    loop = asyncio.get_running_loop()
    stop_event = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_event.set)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    run_task = asyncio.ensure_future(run())
    stop_requested = asyncio.ensure_future(stop_event.wait())
    await asyncio.wait((run_task, stop_requested), return_when=asyncio.FIRST_COMPLETED)
    if run_task.done():
        stop_requested.cancel()
        await run_task
        return
    try:
        await stop()
    finally:
        run_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await run_task
