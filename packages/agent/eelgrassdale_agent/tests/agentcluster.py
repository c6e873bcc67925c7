"""Several weights tasks in one process, with fake engines and a weight source."""

import time
from concurrent.futures import ThreadPoolExecutor

from attrs import evolve

from eelgrassdale.catalog import (
    Configuration,
    DataCentre,
    ModelVersion,
    Service,
    ServiceKind,
    Vm,
    VmState,
)
from eelgrassdale.clock import SystemClock
from eelgrassdale.identity import Identity, Role
from eelgrassdale.membership.members import Member, Members
from eelgrassdale.node.context import NodeContext
from eelgrassdale.telemetry import InvariantMonitor, Metrics, new_tracer
from eelgrassdale.tests.ports import free_address
from eelgrassdale.weights import Manifest
from eelgrassdale.wire import AgentService, Headroom, NodeServer, ProbeAnswer
from eelgrassdale_agent.tests.weights_fakes import FakeEngine, FakeGate, FakeSource
from eelgrassdale_agent.transfer import WeightsTask
from eelgrassdale_agent.transfer_settings import WeightsSettings

REGIONS = ("north", "central", "south")
SERVICE = "lids"


def wait_until(condition, seconds: float = 20.0) -> bool:
    """Return whether `condition` became true within `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False


class SharedValue:
    """Configuration or members, shared by all agents of a cluster."""

    def __init__(self, value) -> None:
        self._value = value
        self._callbacks = []

    def current(self):
        """Return the value."""
        return self._value

    def set(self, value) -> None:
        """Replace the value and notify the subscribers."""
        self._value = value
        for callback in self._callbacks:
            callback(value)

    def subscribe(self, callback) -> None:
        """Call `callback` with each later value."""
        self._callbacks.append(callback)

    def report_reachability(self, name: str, reachable: bool) -> None:
        """Ignore the report."""


class ClusterAgent:
    """One weights task with its fake engine, gate and node server."""

    def __init__(
        self, name: str, own_data_centre: DataCentre, cluster: "AgentCluster"
    ) -> None:
        self.name, self.address = name, free_address()
        self.own_data_centre, self.cluster = own_data_centre, cluster
        self.engine = FakeEngine()
        self.start_count = 0
        self.server = None

    def start(self, **settings) -> None:
        """Start a new incarnation of the agent."""
        self.start_count += 1
        self.gate = FakeGate()
        self.metrics = Metrics()
        self.context = NodeContext(
            identity=Identity(
                name=self.name,
                role=Role.BACKEND,
                data_centre=self.own_data_centre.name,
                region=self.own_data_centre.region,
                node_address=self.address,
                incarnation=self.start_count,
            ),
            clock=SystemClock(),
            replica=self.cluster.replica,
            members=self.cluster.members,
            metrics=self.metrics,
            monitor=InvariantMonitor(metrics=self.metrics),
            tracer=new_tracer(otlp_endpoint="", node=self.name),
        )
        self.task = WeightsTask(
            context=self.context,
            gate=self.gate,
            cfg=WeightsSettings(
                backend_url=self.engine.web.url,
                weight_sources=(self.cluster.source.web.url,),
                origin_region=REGIONS[0],
                region_bytes_per_second=0.0,
                **settings,
            ),
        )
        self.server = NodeServer(
            service=AgentService, handler=self, address=self.address
        )
        self.server.start()
        self.task.start()

    def kill(self) -> None:
        """Stop this incarnation; connections to it are refused."""
        if self.server is not None:
            self.server.stop()
            self.task.stop()
        self.server = None

    def probe(self, _envelope) -> ProbeAnswer:
        """Answer a probe as the agent program does."""
        headroom = Headroom(model_version=self.gate.version)
        return ProbeAnswer(
            name=self.name, headroom={SERVICE: headroom}, load_state=self.state()
        )

    def read_chunk(self, _envelope, request):
        """Pass the read to the task."""
        return self.task.read_chunk(request)

    def read_manifest(self, _envelope, manifest):
        """Pass the read to the task."""
        return self.task.read_manifest(manifest)

    def state(self) -> str:
        """Return the load state."""
        return self.task.load_state()

    def is_ready(self, version: str) -> bool:
        """Return whether the agent serves a version."""
        return self.state() == "ready" and self.gate.version == version

    def total(self, counter: str) -> int:
        """Return the value of a counter of this incarnation."""
        return self.metrics.totals().get(counter, 0)


class AgentCluster:
    """Agents in three regions with one data centre each."""

    def __init__(self, size: int, *, max_loading: int = 1) -> None:
        self.source = FakeSource()
        data_centres_by_name = {
            f"{region}-1": DataCentre(name=f"{region}-1", region=region)
            for region in REGIONS
        }
        names = [f"vm-{number}" for number in range(size)]
        data_centre_by_vm = {
            name: list(data_centres_by_name.values())[
                number % len(data_centres_by_name)
            ]
            for number, name in enumerate(names)
        }
        self.replica = SharedValue(
            Configuration(
                generation=1,
                services={
                    SERVICE: Service(
                        name=SERVICE, kind=ServiceKind.MODEL, max_loading=max_loading
                    )
                },
                data_centres=data_centres_by_name,
                vms={
                    name: Vm(
                        name=name,
                        data_centre=data_centre_by_vm[name].name,
                        service=SERVICE,
                    )
                    for name in names
                },
            )
        )
        self.members = SharedValue(Members())
        self.agents = [
            ClusterAgent(name, data_centre_by_vm[name], self) for name in names
        ]
        self.members.set(
            Members(
                version=1,
                by_name={
                    agent.name: Member(
                        name=agent.name,
                        role=Role.BACKEND,
                        data_centre=agent.own_data_centre.name,
                        region=agent.own_data_centre.region,
                        node_address=agent.address,
                    )
                    for agent in self.agents
                },
            )
        )

    def push(self, manifest: Manifest) -> None:
        """Configure the model version of `manifest` in a new generation."""
        cfg = self.replica.current()
        model = ModelVersion(
            name=manifest.version,
            manifest=manifest.digest,
            size_bytes=manifest.size_bytes,
        )
        service = evolve(cfg.services[SERVICE], model_version=model.name)
        self.replica.set(
            evolve(
                cfg,
                generation=cfg.generation + 1,
                model_versions={**cfg.model_versions, model.name: model},
                services={SERVICE: service},
            )
        )

    def set_in_service(self, name: str, in_service: bool) -> None:
        """Take a VM out of service, or back into it, in a new generation."""
        cfg = self.replica.current()
        state = VmState.IN_SERVICE if in_service else VmState.LEAVING
        vms = {**cfg.vms, name: evolve(cfg.vms[name], state=state)}
        self.replica.set(evolve(cfg, generation=cfg.generation + 1, vms=vms))

    def start(self, **settings) -> None:
        """Start all agents."""
        for agent in self.agents:
            agent.start(**settings)

    def stop(self) -> None:
        """Stop all servers and threads."""
        with ThreadPoolExecutor(max_workers=2 * len(self.agents)) as pool:
            pool.map(ClusterAgent.kill, self.agents)
            pool.map(lambda agent: agent.engine.web.stop(), self.agents)
        self.source.web.stop()

    def all_ready(self, version: str) -> bool:
        """Return whether all running agents serve a version."""
        running = [agent for agent in self.agents if agent.server is not None]
        return all(agent.is_ready(version) for agent in running)

    def violations(self) -> int:
        """Return the number of invariant violations of all agents."""
        return sum(agent.context.monitor.count for agent in self.agents)
