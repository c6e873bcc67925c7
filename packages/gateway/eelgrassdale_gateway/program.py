"""The gateway process: builds the parts, runs them, and stops gracefully."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence

import structlog
from attrs import evolve, frozen

from eelgrassdale.clock import Clock, SystemClock
from eelgrassdale.http1 import CallerLimits, ConnectionPool, Exchange, HttpServer
from eelgrassdale.pauses import BEAT_SECONDS, PauseDetector
from eelgrassdale_gateway.attempts import Attempts
from eelgrassdale_gateway.copies import Copies
from eelgrassdale_gateway.dispatcher import Dispatcher
from eelgrassdale_gateway.events import RequestEvents
from eelgrassdale_gateway.fleet import Fleet
from eelgrassdale_gateway.following import SharedSource, Surroundings
from eelgrassdale_gateway.forwarding import Forwarder
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.objects import ObjectSource
from eelgrassdale_gateway.objectserving import ObjectServer
from eelgrassdale_gateway.peers import Address, NodeFacts, Peers
from eelgrassdale_gateway.repeats import RepeatBudgets
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

# A backend server in another region is 4 ms away. An opening packet that was
# dropped is sent again after a second, too late for most objectives.
CONNECT_SECONDS = 0.4
HOUSEKEEPING_SECONDS = 0.5
# Callers with an older list of nodes still come for a while after it.
LINGER_SECONDS = 2.0
# Left of the time that the platform gives to a stopping process.
EXIT_MARGIN_SECONDS = 1.2
# Requests that come late in a stop are refused, so that others can end.
LAST_ADMISSION_SECONDS = 3.5
DRAIN_POLL_SECONDS = 0.05

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class GatewaySettings:
    """Settings of one gateway; times in seconds.

    `version_grace` is how long an older model version may serve after a newer
    one was named; `start_grace` the same for a process that just started.
    `repeat_ratio` and `repeat_slack` bound the repeats of all gateways.
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
    """Forwards requests, and knows its peers; the adapter feeds its beliefs."""

    def __init__(
        self,
        *,
        cfg: GatewaySettings,
        names: WireNames,
        new_origin: Callable[[Address], WeightsOrigin],
        clock: Clock | None = None,
    ) -> None:
        self.cfg = cfg
        self._new_origin = new_origin
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
            live_nodes=self._live_nodes,
            sharers=self._sharers,
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
            on_change=self.dispatcher.pump,
            revisions=lambda: self._copies.revisions() if self._copies else {},
        )
        for seed in cfg.seeds:
            self.peers.introduce(seed)
        self._pool = ConnectionPool(connect_seconds=CONNECT_SECONDS)
        self.events = RequestEvents()
        self.events.gauge(
            "waiting_requests",
            "Requests that wait for a backend server.",
            self.dispatcher.waiting,
        )
        self.events.gauge(
            "live_gateways", "Live gateways, this one included.", self._live_nodes
        )
        self._budgets = RepeatBudgets(
            ratio=cfg.repeat_ratio,
            slack=cfg.repeat_slack,
            sharers=self._sharers,
        )
        self.forwarder = Forwarder(
            clock=self._clock,
            fleet=self.fleet,
            dispatcher=self.dispatcher,
            attempts=Attempts(clock=self._clock, pool=self._pool, names=names),
            budgets=self._budgets,
            names=names,
            events=self.events,
        )
        self.server = HttpServer(handler=self._handle, limits=self._limits)
        self.relay = ChunkRelay(
            me=_place_of(self.peers.me, cfg.peer_address),
            gateways=self._live_places,
            origin=self._origin_facts,
        )
        self._copies: Copies | None = None
        self._weights = WeightsServer(read=self.relay.read)
        self._objects = ObjectServer(
            logs=lambda: self._copies.logs() if self._copies else {},
            is_direct=lambda kind: self._copies.source.is_direct(kind),
            gateways=self._places,
        )
        self._peer_server = HttpServer(handler=self._handle_peer)
        self._refuses = False
        self._prefetching: dict[str, asyncio.Future[None]] = {}

    def follow(
        self,
        store: ObjectSource,
        new_mirrors: Callable[[ObjectSource], Sequence[Mirror]],
    ) -> None:
        """Keep copies of the store's kinds, read from it or from other gateways."""
        source = SharedSource(
            store=store,
            here=self._surroundings,
            known=self._known_revision,
            clock=self._clock,
        )
        self._copies = Copies(
            source=source,
            mirrors=new_mirrors(source),
            newest=self.peers.newest_revisions,
        )

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Take over settings that may change while the process runs.

        Name, place and addresses stay as they were at the start.
        """
        self._budgets.ratio = cfg.repeat_ratio
        self._budgets.slack = cfg.repeat_slack
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
        """Return whether callers should come to this node."""
        return self.fleet.is_ready() and not self.is_stopping

    def offer_servers(self, listed: Mapping[str, BackendServer]) -> None:
        """Take the platform's list of backend servers."""
        now = self._clock.monotonic()
        self._set_servers(self.servers.update(listed, now=now))
        delay = self.servers.next_check(now=now)
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self._recheck_servers)

    def name_versions(self, versions: Mapping[str, int]) -> None:
        """Take the named version of each model, and fetch it for agents."""
        # Versions from before the start are loaded nearly everywhere.
        is_first = not self.fleet.has_versions
        known = self.fleet.named_versions()
        self.fleet.set_named_versions(
            versions,
            self._clock.monotonic(),
            unaware=self._pauses.unaware_seconds(),
        )
        for model, version in versions.items():
            if not is_first and version > known.get(model, 0):
                self._prefetch(model, version)

    def _prefetch(self, model: str, version: int) -> None:
        before = self._prefetching.get(model)
        if before is not None:
            before.cancel()
        self._prefetching[model] = asyncio.ensure_future(
            self.relay.prefetch(model, version)
        )

    def store_returned(self, outage: float) -> None:
        """Note the end of an outage of the platform's store."""
        self.servers.store_returned(outage, now=self._clock.monotonic())

    def live_nodes(self) -> list[NodeFacts]:
        """Return the live gateways, this one included unless it leaves."""
        nodes = [peer.facts for peer in self.peers.live()]
        if self.is_ready():
            nodes.append(self.peers.me)
        return sorted(nodes, key=lambda node: node.name)

    async def start(self) -> None:
        """Bind the addresses and begin to serve."""
        await self.server.start(*self.cfg.caller_address)
        await self._peer_server.start(*self.cfg.peer_address)
        await self.peers.start()

    async def run(self) -> None:
        """Do the periodic work until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._note_pauses())
            group.create_task(self.peers.run())
            group.create_task(self._keep_house())
            if self._copies is not None:
                group.create_task(self._copies.run())

    async def stop(self) -> None:
        """Leave gracefully: no answer that was begun is lost."""
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        self.is_stopping = True
        self.server.leave()
        self.peers.leave()
        last = begun_at + self.cfg.stop_seconds - EXIT_MARGIN_SECONDS
        log.info("stopping", handling=self.server.handling)
        while loop.time() < last:
            elapsed = loop.time() - begun_at
            self._refuses = elapsed > LAST_ADMISSION_SECONDS
            if elapsed > LINGER_SECONDS and not self.server.handling:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self.server.stop_listening()
        log.info("stopped", handling=self.server.handling)

    async def _handle(self, exchange: Exchange) -> None:
        if self._refuses:
            await self.forwarder.refuse_leaving(exchange)
            return
        await self.forwarder.handle(exchange)

    def _limits(self) -> CallerLimits:
        table = self.fleet.table
        return table.limits if table else CallerLimits()

    def _live_nodes(self) -> int:
        # The dispatcher is built before the peers, which report to it.
        return self.peers.live_nodes()

    def _sharers(self) -> Sharers:
        return self.peers.sharers()

    def _origin_facts(self) -> OriginFacts | None:
        """Return the origin that the configuration names, or None."""
        table = self.fleet.table
        services = table.services.values() if table else ()
        found = next((s.origin for s in services if s.origin is not None), None)
        if found is None:
            return None
        if self._origin is None or self._origin[0] != found.address:
            facts = OriginFacts(
                origin=self._new_origin(found.address), region=found.region
            )
            self._origin = (found.address, facts)
        return self._origin[1]

    def _live_places(self) -> list[GatewayPlace]:
        return [_place_of(peer.facts, peer.address) for peer in self.peers.live()]

    def _places(self) -> list[GatewayPlace]:
        return [_place_of(self.peers.me, self.cfg.peer_address), *self._live_places()]

    def _surroundings(self) -> Surroundings:
        return Surroundings(
            name=self.cfg.name,
            data_centre=self.cfg.data_centre,
            gateways=tuple(self._live_places()),
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
        self.dispatcher.health.keep(set(servers))
        self.fleet.set_servers(servers)

    async def _note_pauses(self) -> None:
        while True:
            seconds = self._pauses.beat()
            if seconds:
                log.warning("process stood still", seconds=round(seconds, 3))
            await asyncio.sleep(BEAT_SECONDS)

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self._pool.drop_unused()


def _place_of(facts: NodeFacts, address: Address) -> GatewayPlace:
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
    """Run a program until SIGTERM or SIGINT, then stop it; SIGHUP reloads."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    running = asyncio.ensure_future(run())
    waiting = asyncio.ensure_future(stopped.wait())
    await asyncio.wait((running, waiting), return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        waiting.cancel()
        await running
        return
    try:
        await stop()
    finally:
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
