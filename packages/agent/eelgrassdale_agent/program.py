"""Entry point of the agent: builds its components, runs and stops them in order."""

import sys
import threading
from collections.abc import Callable
from datetime import UTC, datetime

import click
import structlog

from eelgrassdale.admission import events as ev
from eelgrassdale.admission.machine import AdmissionController
from eelgrassdale.identity import Role
from eelgrassdale.node.context import NodeContext, new_context
from eelgrassdale.node.runtime import NodeRuntime
from eelgrassdale.pauses import PAUSE_CHECK_INTERVAL_SECONDS
from eelgrassdale.results import ResultCode
from eelgrassdale.stopping import catch_stop_signals
from eelgrassdale.telemetry import configure_logs
from eelgrassdale.wire import AgentService, NodeServer
from eelgrassdale_agent import enginewatcher, metrics
from eelgrassdale_agent.answers import BufferBudget
from eelgrassdale_agent.engine import EngineClient
from eelgrassdale_agent.enginewatcher import EngineWatcher
from eelgrassdale_agent.gate import AdmissionGate
from eelgrassdale_agent.handler import AgentHandler
from eelgrassdale_agent.jobrunner import JobRunner
from eelgrassdale_agent.pauses import PauseGuard
from eelgrassdale_agent.plainclient import PlainClient
from eelgrassdale_agent.requestadmission import RequestAdmission
from eelgrassdale_agent.settings import AgentSettings
from eelgrassdale_agent.streams import StreamTable
from eelgrassdale_agent.transfer import WeightsTask
from eelgrassdale_agent.transfer_settings import WeightsSettings

SWEEP_INTERVAL_SECONDS = 0.25
DRAIN_CHECK_INTERVAL_SECONDS = 0.05
EXIT_ADDRESS_UNAVAILABLE = 2

log = structlog.get_logger(__name__)


class Agent:
    """All components of one agent.

    Parameters
    ----------
    cfg : AgentSettings
        Settings of the process.
    """

    def __init__(self, *, cfg: AgentSettings) -> None:
        self._cfg = cfg
        self.context = new_context(cfg=cfg, role=Role.BACKEND)
        for name in metrics.UNITS:
            self.context.metrics.count(name, 0)
        self.runtime = NodeRuntime(cfg=cfg, context=self.context)
        self.gate = self._new_gate()
        self.engine = EngineClient(url=cfg.backend_url)
        self.job_runner = self._new_job_runner()
        self.weights = self._new_weights()
        self._build_request_handling()
        self.watch = EngineWatcher(
            engine=self.engine, gate=self.gate, clock=self.context.clock
        )
        self._stopping = threading.Event()
        self._server = NodeServer(
            service=AgentService,
            handler=self.handler,
            address=cfg.node_address,
            on_bytes=self.runtime.count_served_bytes,
        )

    def start(self) -> None:
        """Bind the node address and start all background threads.

        Raises
        ------
        OSError
            The address cannot be bound.

        """
        self.context.replica.subscribe(self._configure)
        self._server.start()
        self.runtime.start()
        self.weights.start()
        self._start_loop(
            "pause-guard", self.pause_guard.tick, PAUSE_CHECK_INTERVAL_SECONDS
        )
        self._start_loop(
            "engine-watch",
            self.watch.poll_load,
            enginewatcher.LOAD_REPORT_INTERVAL_SECONDS,
        )
        self._start_loop("sweep", self._sweep, SWEEP_INTERVAL_SECONDS)
        log.info("agent started", address=self._cfg.node_address)

    def stop(self) -> None:
        """Refuse new requests, let running ones end, then stop all threads."""
        stop_started_at = self.context.clock.monotonic()
        self.request_admission.refuse_new_requests()
        self.runtime.announce_leaving()
        drained = self._drain()
        self._linger(stop_started_at)
        log.info("agent stopping", drained=drained)
        self._stopping.set()
        self.weights.stop()
        self._server.stop()
        self.runtime.stop()
        self.context.tracer.close()

    def _drain(self) -> bool:
        clock = self.context.clock
        deadline = clock.monotonic() + self._cfg.drain_seconds
        while clock.monotonic() < deadline:
            if (
                not self.job_runner.unfinished_count()
                and not self.streams.unfinished_count()
            ):
                return True
            clock.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
        return False

    def _linger(self, stop_started_at: float) -> None:
        # Once the agent is gone, the outcome of its idempotency keys can only be
        # reported as `may have run`. While it still answers, an unused key is
        # refused as `not run` and a retry gets the answer of its key.
        cfg = self.context.replica.current()
        vm = cfg.vms.get(self.context.identity.name)
        service = cfg.services.get(vm.service) if vm else None
        if service is None or service.idempotent:
            return
        clock = self.context.clock
        remaining = stop_started_at + self._cfg.linger_seconds - clock.monotonic()
        clock.sleep(max(0.0, remaining))

    def _new_gate(self) -> AdmissionGate:
        context = self.context
        settings = ev.Settings(
            agent=context.identity.name,
            incarnation=context.identity.incarnation,
            wall_ms=int(datetime.now(UTC).timestamp() * 1000),
            monotonic=context.clock.monotonic(),
            max_keys=self._cfg.max_keys,
            max_key_bytes=self._cfg.key_bytes,
        )
        return AdmissionGate(
            admission=AdmissionController(settings=settings, monitor=context.monitor),
            clock=context.clock,
            metrics=context.metrics,
            write_trace=_write_line if self._cfg.trace_admissions else None,
        )

    def _new_job_runner(self) -> JobRunner:
        context = self.context
        return JobRunner(
            engine=self.engine,
            plain=PlainClient(url=self._cfg.backend_url),
            gate=self.gate,
            clock=context.clock,
            metrics=context.metrics,
            tracer=context.tracer,
            slow_reader_seconds=self._cfg.slow_reader_seconds,
        )

    def _new_weights(self) -> WeightsTask:
        cfg = self._cfg
        return WeightsTask(
            context=self.context,
            gate=self.gate,
            cfg=WeightsSettings(
                backend_url=cfg.backend_url,
                weight_sources=cfg.weight_sources,
                link_bytes_per_second=cfg.link_bytes_per_second,
                chunk_memory_bytes=cfg.chunk_memory_bytes,
                origin_region=cfg.origin_region,
                region_bytes_per_second=cfg.region_bytes_per_second,
            ),
        )

    def _build_request_handling(self) -> None:
        context = self.context
        settings = self.gate.settings
        self.streams = new_stream_table(context, settings)
        self.pause_guard = PauseGuard(
            gate=self.gate,
            engine=self.engine,
            is_current=self.runtime.may_serve,
            clock=context.clock,
            metrics=context.metrics,
        )
        self.request_admission = RequestAdmission(
            gate=self.gate,
            job_runner=self.job_runner,
            streams=self.streams,
            budget=BufferBudget(
                max_bytes=self._cfg.buffer_bytes, max_answers=settings.max_streams
            ),
            max_retained_bytes=settings.max_answer_bytes,
            incarnation=context.identity.incarnation,
            clock=context.clock,
            metrics=context.metrics,
            monitor=context.monitor,
        )
        self.handler = AgentHandler(
            runtime=self.runtime,
            gate=self.gate,
            pause_guard=self.pause_guard,
            request_admission=self.request_admission,
            streams=self.streams,
            weights=self.weights,
            incarnation=context.identity.incarnation,
            clock=context.clock,
        )

    def _configure(self, cfg: object) -> None:
        identity = self.context.identity
        self.gate.configure(cfg, agent=identity.name, data_centre=identity.data_centre)

    def _sweep(self) -> None:
        self.job_runner.sweep()
        self.streams.sweep()
        self.request_admission.sweep()

    def _start_loop(self, name: str, step: Callable[[], None], seconds: float) -> None:
        def run_steps() -> None:
            while not self._stopping.wait(seconds):
                try:
                    step()
                except Exception as exc:
                    log.error("task failed", task=name, exc_info=exc)

        threading.Thread(target=run_steps, name=name, daemon=True).start()


def new_stream_table(context: NodeContext, settings: ev.Settings) -> StreamTable:
    """Return the empty stream table of an agent."""
    return StreamTable(
        incarnation=context.identity.incarnation,
        clock=context.clock,
        monitor=context.monitor,
        max_streams=settings.max_streams,
    )


def run(cfg: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT, then stop it gracefully."""
    configure_logs(
        log_format=cfg.log_format, level=cfg.log_level, node=cfg.name, program="agent"
    )
    wait_for_stop = catch_stop_signals()
    agent = Agent(cfg=cfg)
    try:
        agent.start()
    except OSError as exc:
        code = ResultCode.ADDRESS_UNAVAILABLE
        click.echo(f"{int(code)} {code.name} {exc}", err=True)
        sys.exit(EXIT_ADDRESS_UNAVAILABLE)
    wait_for_stop()
    agent.stop()


def _write_line(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()
