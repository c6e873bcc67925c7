"""Assembly of an entry node and its graceful stop."""

import sys

import click
import structlog

from eelgrassdale.clock import Clock
from eelgrassdale.identity import Role
from eelgrassdale.membership.members import Member
from eelgrassdale.node.context import NodeContext, new_context
from eelgrassdale.node.peerclient import LEAVING
from eelgrassdale.node.runtime import NodeRuntime
from eelgrassdale.results import ResultCode
from eelgrassdale.routing.choice import Location
from eelgrassdale.routing.regions import RegionBudget
from eelgrassdale.settings import EXIT_SETTINGS_INVALID
from eelgrassdale.stopping import catch_stop_signals
from eelgrassdale.telemetry import configure_logs
from eelgrassdale.wire import NodeServer, NodeService, ProbeAnswer
from eelgrassdale.wire.client import parse_address
from eelgrassdale_entry.admin import AdminContext, AdminServer
from eelgrassdale_entry.agents import AgentTable
from eelgrassdale_entry.bulkheads import Bulkheads
from eelgrassdale_entry.callerapi import CallerContext, new_application
from eelgrassdale_entry.dispatcher import Dispatcher
from eelgrassdale_entry.dispatchercontext import DispatcherContext
from eelgrassdale_entry.entrynodes import EntryNodeDirectory
from eelgrassdale_entry.handler import EntryHandler
from eelgrassdale_entry.httpserver import CallerServer
from eelgrassdale_entry.intake import RequestIntake
from eelgrassdale_entry.linkcontext import LinkContext
from eelgrassdale_entry.links import AgentLink
from eelgrassdale_entry.messages import AgentReport, TopologyChanged
from eelgrassdale_entry.readermemory import ReaderMemoryBudget
from eelgrassdale_entry.settings import EntrySettings
from eelgrassdale_entry.writer import Writer

DRAIN_CHECK_INTERVAL_SECONDS = 0.05
# Time until other entry nodes no longer list this node after it starts to leave. They
# learn of it from a probe or a comparison of generations.
LEAVE_PROPAGATION_SECONDS = 5.0
# Switch interval of the interpreter. With Python's default of 5 ms, a thread that
# writes one response waits that long for each thread that computes.
THREAD_SWITCH_SECONDS = 0.0005
# Counters that `status` reports from the start, even while they are 0.
COUNTERS = (
    "requests",
    "requests_refused",
    "requests_failed",
    "retries",
    "frames_dropped",
    "slow_readers_cut",
)

log = structlog.get_logger(__name__)


class EntryNode:
    """The tasks and servers of one entry node."""

    def __init__(self, *, cfg: EntrySettings, context: NodeContext) -> None:
        self._cfg = cfg
        self._context = context
        for name in COUNTERS:
            context.metrics.count(name, 0)
        self.runtime = NodeRuntime(cfg=cfg, context=context)
        self.memory = ReaderMemoryBudget(
            bound_bytes=cfg.reader_memory_bytes,
            metrics=context.metrics,
            monitor=context.monitor,
        )
        self.writer = Writer(
            clock=context.clock,
            metrics=context.metrics,
            slow_reader_seconds=cfg.slow_reader_seconds,
        )
        self.dispatcher = self._new_dispatcher()
        self.intake = RequestIntake(
            clock=context.clock,
            replica=context.replica,
            metrics=context.metrics,
            tracer=context.tracer,
            memory=self.memory,
            writer=self.writer,
            post=self.dispatcher.post,
            may_serve=self.runtime.may_serve,
        )
        self.node_server = NodeServer(
            service=NodeService,
            handler=EntryHandler(runtime=self.runtime, memory=self.memory),
            address=cfg.node_address,
            on_bytes=self.runtime.count_served_bytes,
        )
        self.caller_server = self._new_caller_server()
        self.admin_server = self._new_admin_server()

    def start(self) -> None:
        """Bind all addresses, then start the tasks.

        Raises
        ------
        OSError
            An address cannot be bound.

        """
        self.node_server.start()
        self.caller_server.start_serving()
        if self.admin_server is not None:
            self._start_admin_server()
        self.writer.start()
        self.dispatcher.start()
        self.runtime.start()
        # Subscribed last, since the callbacks post to the dispatcher.
        self.runtime.subscribe_probes(self._on_probed)
        self._context.replica.subscribe(self._on_topology_changed)
        self._context.members.subscribe(self._on_topology_changed)
        self._on_topology_changed()

    def _start_admin_server(self) -> None:
        try:
            self.admin_server.start_serving()
        except OSError:
            # Otherwise the threads of the callers' server would keep the process
            # running.
            self.caller_server.stop()
            raise

    def stop(self) -> None:
        """Stop at once; a graceful stop calls `drain` first."""
        if self.admin_server is not None:
            self.admin_server.stop()
        self.caller_server.stop()
        self.dispatcher.stop()
        self.writer.stop()
        self.node_server.stop()
        self.runtime.stop()
        self._context.tracer.close()

    def drain(self) -> None:
        """Drain the node before it stops.

        Announce that the node is leaving and keep serving until callers' lists of
        entry nodes have expired. Then refuse new requests and wait for open ones.
        """
        clock = self._context.clock
        self.runtime.announce_leaving()
        log.info(
            "node is leaving; serving until lists expire",
            keep_seconds=self._cfg.keep_seconds,
        )
        list_expiry_seconds = self._cfg.keep_seconds + LEAVE_PROPAGATION_SECONDS
        clock.sleep(min(list_expiry_seconds, self._cfg.drain_seconds))
        self.intake.refuse_new()
        deadline = clock.monotonic() + self._cfg.finish_seconds
        while self._is_busy() and clock.monotonic() < deadline:
            clock.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
        log.info("drain ended", still_held=self.dispatcher.open_requests())

    def _is_busy(self) -> bool:
        return bool(self.dispatcher.open_requests() or self.writer.open_callers())

    def _on_topology_changed(self, _: object = None) -> None:
        self.dispatcher.post(TopologyChanged())

    def _on_probed(self, member: Member, answer: ProbeAnswer) -> None:
        if answer.headroom:
            self.dispatcher.post(
                AgentReport(
                    agent=member.name,
                    incarnation=answer.incarnation,
                    headroom=answer.headroom,
                    from_poll=False,
                )
            )

    def _location(self) -> Location:
        return Location(data_centre=self._cfg.data_centre, region=self._cfg.region)

    def _new_dispatcher(self) -> Dispatcher:
        context = self._context
        links = LinkContext(
            clock=context.clock,
            metrics=context.metrics,
            monitor=context.monitor,
            post=lambda message: self.dispatcher.post(message),
            envelope=self.runtime.envelope,
        )
        agents = AgentTable(
            node=self._cfg.name,
            location=self._location(),
            clock=context.clock,
            new_link=lambda agent, address: AgentLink(
                agent=agent, address=address, context=links
            ),
            subset_size=self._cfg.subset_size,
            max_links=self._cfg.max_links,
        )
        return Dispatcher(
            context=DispatcherContext(
                clock=context.clock,
                metrics=context.metrics,
                monitor=context.monitor,
                replica=context.replica,
                members=context.members,
                location=self._location(),
            ),
            agents=agents,
            region_budget=RegionBudget(
                bytes_per_second=self._cfg.region_bytes_per_second
            ),
        )

    def _new_caller_server(self) -> CallerServer:
        context = self._context
        entry_node_directory = EntryNodeDirectory(
            name=self._cfg.name,
            location=self._location(),
            clock=context.clock,
            replica=context.replica,
            members=context.members,
            key_agents=self.dispatcher.key_agents,
            is_leaving=lambda: self.runtime.state() == LEAVING,
            keep_seconds=self._cfg.keep_seconds,
            key_seconds=self._cfg.key_seconds,
        )
        application = new_application(
            CallerContext(
                intake=self.intake,
                entry_node_directory=entry_node_directory,
                bulkheads=Bulkheads(limit=self._cfg.service_threads),
                max_body_bytes=self._cfg.max_body_bytes,
                health=self._health,
            )
        )
        address = parse_address(self._cfg.caller_address)
        return CallerServer(
            address=(address.host, address.port),
            application=application,
            threads=self._cfg.caller_threads,
            sender_seconds=self._cfg.sender_seconds,
        )

    def _new_admin_server(self) -> AdminServer | None:
        if not self._cfg.admin_address:
            return None
        return AdminServer(
            address=self._cfg.admin_address,
            context=AdminContext(
                node=self._context,
                store=self.runtime.store,
                operator_tokens=self._cfg.operator_tokens,
            ),
        )

    def _health(self) -> tuple[bool, dict]:
        state = self.runtime.state()
        generation = self._context.replica.current().generation
        body = {"name": self._cfg.name, "state": state, "generation": generation}
        return self.runtime.may_serve(), body


def run(cfg: EntrySettings, clock: Clock | None = None) -> None:
    """Run an entry node until SIGTERM or SIGINT, then stop it gracefully."""
    configure_logs(log_format=cfg.log_format, level=cfg.log_level, node=cfg.name)
    sys.setswitchinterval(THREAD_SWITCH_SECONDS)
    wait_for_stop = catch_stop_signals()
    context = new_context(cfg=cfg, role=Role.ENTRY, clock=clock)
    node = EntryNode(cfg=cfg, context=context)
    try:
        node.start()
    except OSError as exc:
        code = ResultCode.ADDRESS_UNAVAILABLE
        click.echo(f"{int(code)} {code.name} {exc}", err=True)
        sys.exit(EXIT_SETTINGS_INVALID)
    log.info("entry node is serving", caller_address=cfg.caller_address)
    wait_for_stop()
    node.drain()
    node.stop()
    log.info("stopped")
