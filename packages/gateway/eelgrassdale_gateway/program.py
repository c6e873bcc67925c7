"""The gateway process: builds the components, runs them and shuts down gracefully."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

import structlog
from attrs import evolve

from eelgrassdale.clock import Clock, SystemClock
from eelgrassdale.http1 import (
    ByteBudget,
    CallerBudget,
    CallerLimits,
    ConnectionPool,
    Exchange,
    HttpServer,
)
from eelgrassdale.pauses import PAUSE_CHECK_INTERVAL_SECONDS, PauseDetector
from eelgrassdale_gateway.advisories import AdvisoryExchange
from eelgrassdale_gateway.attempts import AttemptRunner
from eelgrassdale_gateway.copycheck import CopyCheck
from eelgrassdale_gateway.dispatcher import Dispatcher
from eelgrassdale_gateway.duties import (
    Candidate,
    Duties,
    DutyKinds,
    DutySettings,
    DutyStore,
    MakeCloudCalls,
)
from eelgrassdale_gateway.eras import START, EraTracker, Position
from eelgrassdale_gateway.forwarding import Forwarder
from eelgrassdale_gateway.gatewaysettings import GatewaySettings
from eelgrassdale_gateway.gauges import add_gauges
from eelgrassdale_gateway.headernames import HeaderNames
from eelgrassdale_gateway.messages import DutyNotice
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.mirrorset import MirrorSet
from eelgrassdale_gateway.model import BackendServer, RouteTable
from eelgrassdale_gateway.objecthttp import ObjectServer
from eelgrassdale_gateway.objects import ObjectSource
from eelgrassdale_gateway.peers import Peers
from eelgrassdale_gateway.peertable import Address, NodeInfo
from eelgrassdale_gateway.quarantine import QuarantineArchive, QuarantineExchange
from eelgrassdale_gateway.quarantine.archive import ObjectStore
from eelgrassdale_gateway.restoration import DataCentreMemory
from eelgrassdale_gateway.retrybudgets import RetryBudgets
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.scaling import (
    FleetReader,
    LateShares,
    ScalingMetrics,
    ScalingRunner,
    WaitingRequests,
    autoscaled_services,
)
from eelgrassdale_gateway.scaling.runner import OrderServers, Permit
from eelgrassdale_gateway.serverlist import ServerList
from eelgrassdale_gateway.sharedsource import LocalTopology, SharedSource
from eelgrassdale_gateway.shares import GatewayGroup
from eelgrassdale_gateway.staging import (
    GatewayEndpoint,
    WeightsDistribution,
    WeightsOrigin,
)
from eelgrassdale_gateway.stopschedule import StopSchedule
from eelgrassdale_gateway.telemetry import RequestTelemetry

# A backend server in another region is 4 ms away. A lost SYN packet is retransmitted
# only after one second, too late for most objectives.
CONNECT_SECONDS = 0.4
# Shortest time of serving during shutdown: callers with an older list of gateways
# still connect for a while.
MIN_DRAIN_SECONDS = 2.0
# In a stop, requests end this long before the platform kills the process.
REQUEST_MARGIN_SECONDS = 1.3
# Responses to slow readers are sent until this long before it, the rest is its exit.
EXIT_MARGIN_SECONDS = 0.6
DRAIN_POLL_SECONDS = 0.05
# Parts of the limits of callers that other servers of the process cannot take.
CALLERS_PART = 0.4
PEERS_PART = 0.05
# Part of the connections that may be kept idle to backend servers.
IDLE_BACKEND_PART = 0.25

log = structlog.get_logger(__name__)


class Gateway:
    """Forwards requests and exchanges heartbeats with its peers.

    The platform adapter supplies configuration, backend servers and model versions.
    """

    def __init__(
        self,
        *,
        cfg: GatewaySettings,
        header_names: HeaderNames,
        make_origin: Callable[[Address], WeightsOrigin],
        clock: Clock | None = None,
    ) -> None:
        self.cfg = cfg
        self.is_stopping = False
        self._clock = clock or SystemClock()
        self.routing_state = RoutingState(
            version_grace_seconds=cfg.version_grace_seconds,
            start_grace=cfg.startup_grace_seconds,
            started_at=self._clock.monotonic(),
        )
        self.servers = ServerList()
        self._data_centres_out = DataCentreMemory()
        self._era_noticed_at = float("-inf")
        self._pauses = PauseDetector(clock=self._clock)
        self.dispatcher = Dispatcher(
            clock=self._clock,
            routing_state=self.routing_state,
            data_centre=cfg.data_centre,
            live_gateway_count=self._live_gateway_count,
            gateway_group=self._gateway_group,
        )
        self._waiting = WaitingRequests(
            data_centre=cfg.data_centre, read_own=self._autoscaled_waiting
        )
        self._scaling: ScalingRunner | None = None
        self._scaling_metrics: ScalingMetrics | None = None
        self.peers = Peers(
            clock=self._clock,
            me=NodeInfo(
                name=cfg.name,
                incarnation=cfg.incarnation,
                caller_address=cfg.caller_address,
                data_centre=cfg.data_centre,
                region=cfg.region,
            ),
            address=cfg.peer_address,
            loads=self.dispatcher.loads,
            notices=self.dispatcher.notices,
            on_notice=self.dispatcher.dispatch_waiting,
            positions=lambda: self._mirror_set.positions() if self._mirror_set else {},
            on_prompt_notice=lambda notice: self._quarantine_exchange.handle(notice),
            on_advisory_notice=lambda notice: self._advisory_exchange.handle(notice),
            on_duty_notice=self._on_duty_notice,
            on_new_process=self._on_new_gateway,
            waiting=self._waiting,
        )
        self._advisory_exchange = AdvisoryExchange(
            clock=self._clock,
            registry=self.dispatcher.advisories,
            peers=self.peers.addresses,
            send=self.peers.send,
            is_listed_as_leaving=self.routing_state.is_listed_as_leaving,
        )
        self._quarantine_exchange = QuarantineExchange(
            clock=self._clock,
            quarantine=self.dispatcher.quarantine,
            peers=self.peers.addresses,
            send=self.peers.send,
        )
        for seed in cfg.seed_addresses:
            self.peers.table.add(seed)
        self._pool = ConnectionPool(
            connect_seconds=CONNECT_SECONDS,
            max_idle=int(IDLE_BACKEND_PART * cfg.connection_limit),
        )
        self.caller_budget = CallerBudget(
            byte_limit=cfg.body_memory_bytes,
            connection_limit=cfg.connection_limit,
            idle_backend_connections=lambda: self._pool.idle_count,
            close_idle_backend_connections=self._pool.close_some,
        )
        self.telemetry = RequestTelemetry()
        add_gauges(
            self.telemetry,
            dispatcher=self.dispatcher,
            caller_budget=self.caller_budget,
            live_gateway_count=self._live_gateway_count,
            clock=self._clock,
        )
        self._retry_budgets = RetryBudgets(
            clock=self._clock,
            ratio=cfg.retry_ratio,
            slack=cfg.retry_slack,
            window_seconds=cfg.retry_window_seconds,
            gateway_group=self._gateway_group,
        )
        self.forwarder = Forwarder(
            clock=self._clock,
            routing_state=self.routing_state,
            dispatcher=self.dispatcher,
            attempt_runner=AttemptRunner(
                clock=self._clock,
                pool=self._pool,
                header_names=header_names,
                response_memory=ByteBudget(limit=cfg.body_memory_bytes),
            ),
            retry_budgets=self._retry_budgets,
            header_names=header_names,
            telemetry=self.telemetry,
        )
        self.server = HttpServer(
            handler=self.forwarder.handle,
            limits=self._caller_limits,
            share=self.caller_budget.share(reserved=CALLERS_PART, forwards=True),
            request_id_header=header_names.request_id,
        )
        self._weights = WeightsDistribution(
            me=_gateway_endpoint(self.peers.me, cfg.peer_address),
            gateways=self._live_gateway_endpoints,
            routing_state=self.routing_state,
            make_origin=make_origin,
        )
        # The configuration whose services were retained last.
        self._retained_table: RouteTable | None = None
        self.routing_state.subscribe(self._forget_removed_services)
        self._mirror_set: MirrorSet | None = None
        self._archive: QuarantineArchive | None = None
        self.duties: Duties | None = None
        self._objects = ObjectServer(
            change_logs=lambda: (
                self._mirror_set.change_logs() if self._mirror_set else {}
            ),
            reads_from_store=lambda kind: self._mirror_set.source.reads_from_store(
                kind
            ),
            gateways=self._all_gateway_endpoints,
            clock=self._clock,
        )
        self._peer_server = HttpServer(
            handler=self._handle_peer,
            share=self.caller_budget.share(reserved=PEERS_PART),
        )

    def mirror_store(
        self,
        store: ObjectSource,
        make_mirrors: Callable[[SharedSource], Sequence[Mirror]],
        *,
        eras: EraTracker,
    ) -> None:
        """Mirror the store's objects, read from it or from other gateways."""
        source = SharedSource(
            store=store,
            topology=self._topology,
            known_position=self._known_position,
            clock=self._clock,
            eras=eras,
        )
        eras.subscribe(self._on_new_era)
        mirrors = make_mirrors(source)
        self._mirror_set = MirrorSet(
            source=source,
            mirrors=mirrors,
            peer_positions=self.peers.newest_positions,
            copy_check=CopyCheck(
                store=store,
                mirrors=mirrors,
                reads_from_store=source.reads_from_store,
                clock=self._clock,
                interval_seconds=self.cfg.copy_check_seconds,
            ),
            eras=eras,
        )
        self.telemetry.gauge(
            "store_era", "Newest known era of the store.", lambda: eras.era
        )
        self.telemetry.gauge(
            "copy_silence_seconds",
            "Longest time since the source of a copy of objects answered.",
            self._mirror_set.longest_silence_seconds,
        )

    def keep_quarantines(
        self, store: ObjectStore, *, kind: str, eras: EraTracker
    ) -> None:
        """Keep the quarantines of prompts in the platform's store."""
        self._archive = QuarantineArchive(
            store=store,
            kind=kind,
            quarantine=self.dispatcher.quarantine,
            clock=self._clock,
            eras=eras,
            gateway_group=self._gateway_group,
        )

    def scale_services(
        self,
        *,
        current_permit: Callable[[], Permit | None],
        order_servers: OrderServers,
    ) -> None:
        """Order backend servers of services with autoscaling while permitted."""
        late_shares = LateShares()
        self.telemetry.on_placement = lambda service, is_late: late_shares.record(
            service, is_late=is_late, now=self._clock.monotonic()
        )
        fleet = FleetReader(
            clock=self._clock,
            routing_state=self.routing_state,
            loads=self.dispatcher.loads,
            waiting=self._waiting,
            late_shares=late_shares,
            peers=self.peers.table.all,
            list_silence_seconds=lambda: (
                self._mirror_set.longest_silence_seconds() if self._mirror_set else 0.0
            ),
        )
        self._scaling_metrics = ScalingMetrics(self.telemetry.registry)
        self._scaling = ScalingRunner(
            clock=self._clock,
            read_fleet=fleet.read,
            current_permit=current_permit,
            order_servers=order_servers,
            metrics=self._scaling_metrics,
        )

    def take_duties(
        self,
        cfg: DutySettings,
        *,
        store: DutyStore,
        kinds: DutyKinds,
        make_cloud_calls: MakeCloudCalls,
        eras: EraTracker,
    ) -> None:
        """Be a candidate for the duties that one gateway has for all."""
        self.duties = Duties(
            cfg=cfg,
            name=self.cfg.name,
            incarnation=self.cfg.incarnation,
            store=store,
            kinds=kinds,
            make_cloud_calls=make_cloud_calls,
            live_gateways=self._duty_candidates,
            send=self.peers.send,
            clock=self._clock,
            era=lambda: eras.era,
        )
        eras.subscribe(self.duties.on_new_era)
        self.duties.add_gauges(self.telemetry)
        if self.duties.exchange is not None:
            self.forwarder.on_run = self.duties.exchange.count
        if cfg.orders_servers:
            self.scale_services(
                current_permit=self.duties.current_permit,
                order_servers=self.duties.cloud_calls.order_servers,
            )

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Apply the settings that may change while the process runs.

        Name, data centre, region, addresses and `startup_grace_seconds` keep their
        values.
        """
        self._retry_budgets.ratio = cfg.retry_ratio
        self._retry_budgets.slack = cfg.retry_slack
        self._retry_budgets.window_seconds = cfg.retry_window_seconds
        self.routing_state.version_grace_seconds = cfg.version_grace_seconds
        for seed in cfg.seed_addresses:
            self.peers.table.add(seed)
        self.cfg = evolve(
            self.cfg,
            retry_ratio=cfg.retry_ratio,
            retry_slack=cfg.retry_slack,
            retry_window_seconds=cfg.retry_window_seconds,
            version_grace_seconds=cfg.version_grace_seconds,
            stop_seconds=cfg.stop_seconds,
            seed_addresses=cfg.seed_addresses,
        )

    def is_ready(self) -> bool:
        """Return whether callers may send requests to this gateway."""
        return self.routing_state.is_ready() and not self.is_stopping

    def update_servers(
        self, listed: Mapping[str, BackendServer], *, position: Position = START
    ) -> None:
        """Apply the platform's list of backend servers."""
        now = self._clock.monotonic()
        self._set_servers(self.servers.update(listed, now=now, position=position))
        delay = self.servers.seconds_until_expiry(now=now)
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self._recheck_servers)

    def update_data_centres_out(self, listed: frozenset[str], *, era: int) -> None:
        """Apply the platform's list of data centres that are out of service."""
        now = self._clock.monotonic()
        self.routing_state.set_data_centres_out(
            self._data_centres_out.update(
                listed, era=era, noticed_at=self._era_noticed_at, now=now
            )
        )
        delay = self._data_centres_out.seconds_until_expiry(now=now)
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self._recheck_data_centres)

    def set_target_versions(
        self, versions: Mapping[str, int], *, staleness_seconds: float = 0.0
    ) -> None:
        """Apply the versions of models, set at most so long ago; prefetch new ones."""
        # Versions set before this process started are already loaded nearly everywhere.
        is_first_list = not self.routing_state.has_target_versions
        previous_versions = self.routing_state.target_versions()
        self.routing_state.set_target_versions(
            versions,
            self._clock.monotonic(),
            staleness_seconds=max(
                staleness_seconds, self._pauses.stale_event_seconds()
            ),
        )
        self._weights.retain_models(versions.keys() | self._configured_models())
        for model, version in versions.items():
            if not is_first_list and version > previous_versions.get(model, 0):
                self._weights.prefetch(model, version)

    def _configured_models(self) -> set[str]:
        table = self.routing_state.table
        services = table.services.values() if table else ()
        return {
            name for s in services if s.engine is not None for name in s.engine.models
        }

    def record_store_recovery(self, outage: float) -> None:
        """Record the end of an outage of the platform's store; `outage` in seconds."""
        self.servers.record_store_recovery(outage, now=self._clock.monotonic())

    def live_gateways(self) -> list[NodeInfo]:
        """Return the live gateways by name, this one included if it is ready."""
        nodes = [peer.info for peer in self.peers.table.live()]
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
            group.create_task(self._quarantine_exchange.run())
            group.create_task(self._advisory_exchange.run())
            if self._archive is not None:
                group.create_task(self._archive.run())
            if self._scaling is not None:
                group.create_task(self._scaling.run())
            if self._mirror_set is not None:
                group.create_task(self._mirror_set.run())
            if self.duties is not None:
                group.create_task(self.duties.run())

    async def stop(self) -> None:
        """Announce the shutdown, then serve until all requests ended or time is up."""
        loop = asyncio.get_running_loop()
        stop_started_at = loop.time()
        self.is_stopping = True
        self.server.start_draining()
        self.peers.leave()
        request_seconds = max(0.0, self.cfg.stop_seconds - REQUEST_MARGIN_SECONDS)
        requests_end_at = stop_started_at + request_seconds
        exit_at = stop_started_at + self.cfg.stop_seconds - EXIT_MARGIN_SECONDS
        now = self._clock.monotonic()
        self.forwarder.start_stopping(
            StopSchedule(started_at=now, ends_at=now + request_seconds)
        )
        log.info("stopping", handling=self.server.active_requests)
        while loop.time() < requests_end_at:
            elapsed_seconds = loop.time() - stop_started_at
            if elapsed_seconds > MIN_DRAIN_SECONDS and not self.server.active_requests:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self.server.stop_listening_gracefully()
        while self.server.busy_connections and loop.time() < exit_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            self.server.close_unused()
        # The process ends now, and would cut off what it passed on.
        self.server.takes_requests = False
        if self.duties is not None:
            self.duties.send_final_counts()
        log.info("stopped", handling=self.server.active_requests)

    def _on_duty_notice(self, notice: DutyNotice) -> None:
        if self.duties is not None:
            self.duties.handle_notice(notice)

    def _duty_candidates(self) -> list[Candidate]:
        """Return the live gateways, this one included unless it stops."""
        me = Candidate(
            name=self.cfg.name, incarnation=self.cfg.incarnation, address=None
        )
        return [
            *([] if self.is_stopping else [me]),
            *(
                Candidate(
                    name=peer.info.name,
                    incarnation=peer.incarnation,
                    address=peer.address,
                )
                for peer in self.peers.table.live()
            ),
        ]

    def _on_new_gateway(self, address: Address) -> None:
        """Tell a gateway that has just started what it cannot know yet."""
        self._quarantine_exchange.send_states(address)
        self._advisory_exchange.send_all(address)

    def _autoscaled_waiting(self) -> dict[str, int]:
        services = autoscaled_services(self.routing_state)
        if not services:
            return {}
        waiting = self.dispatcher.waiting_by_service()
        return {name: waiting[name] for name in services.keys() & waiting.keys()}

    def _caller_limits(self) -> CallerLimits:
        table = self.routing_state.table
        return table.limits if table else CallerLimits()

    def _live_gateway_count(self) -> int:
        # Looked up on each call: the dispatcher is built before `self.peers`.
        return 1 + len(self.peers.table.live())

    def _gateway_group(self) -> GatewayGroup:
        return self.peers.table.gateway_group()

    def _live_gateway_endpoints(self) -> list[GatewayEndpoint]:
        return [
            _gateway_endpoint(peer.info, peer.address)
            for peer in self.peers.table.live()
        ]

    def _all_gateway_endpoints(self) -> list[GatewayEndpoint]:
        return [
            _gateway_endpoint(self.peers.me, self.cfg.peer_address),
            *self._live_gateway_endpoints(),
        ]

    def _topology(self) -> LocalTopology:
        return LocalTopology(
            name=self.cfg.name,
            data_centre=self.cfg.data_centre,
            gateways=tuple(self._live_gateway_endpoints()),
        )

    def _known_position(self, kind: str) -> Position:
        positions = self._mirror_set.positions() if self._mirror_set else {}
        return positions.get(kind, START)

    def _on_new_era(self, _old_era: int, _era: int) -> None:
        self._era_noticed_at = self._clock.monotonic()

    async def _handle_peer(self, exchange: Exchange) -> None:
        if exchange.request.target.startswith("/weights/"):
            await self._weights.handle(exchange)
        else:
            await self._objects.handle(exchange)

    def _forget_removed_services(self) -> None:
        """Drop what is kept of services that are no longer configured."""
        table = self.routing_state.table
        if table is None or table is self._retained_table:
            return
        self._retained_table = table
        self._retry_budgets.retain(table.services.keys())
        self.telemetry.retain_services(table.services.keys())
        if self._scaling_metrics is not None:
            self._scaling_metrics.retain_services(table.services.keys())

    def _recheck_servers(self) -> None:
        self._set_servers(self.servers.current(now=self._clock.monotonic()))

    def _recheck_data_centres(self) -> None:
        self.routing_state.set_data_centres_out(
            self._data_centres_out.current(now=self._clock.monotonic())
        )

    def _set_servers(self, servers: Mapping[str, BackendServer]) -> None:
        self.dispatcher.health.retain(set(servers))
        self.routing_state.set_servers(servers)

    async def _log_pauses(self) -> None:
        while True:
            seconds = self._pauses.record_tick()
            if seconds:
                log.warning("process was paused", seconds=round(seconds, 3))
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_SECONDS)


def _gateway_endpoint(info: NodeInfo, address: Address) -> GatewayEndpoint:
    return GatewayEndpoint(
        name=info.name,
        data_centre=info.data_centre,
        region=info.region,
        address=address,
    )
