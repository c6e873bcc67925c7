"""Several weights tasks in one process, with engines and a source beside them."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from attrs import Factory, define, evolve

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
from eelgrassdale.hashing import digest_of
from eelgrassdale.identity import Identity, Role
from eelgrassdale.membership.members import Member, Members
from eelgrassdale.node.context import NodeContext
from eelgrassdale.telemetry import InvariantMonitor, Metrics, new_tracer
from eelgrassdale.tests.ports import free_address
from eelgrassdale.weights import Manifest, manifest_of
from eelgrassdale.wire import AgentService, Headroom, NodeServer, ProbeAnswer
from eelgrassdale_agent.transfer import WeightsSettings, WeightsTask

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


class WebServer:
    """HTTP server that passes each request to `answer(method, path, body, headers)`."""

    def __init__(self, answer) -> None:
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # Separate small writes of header and body would wait for the
            # delayed acknowledgement of the client, 40 ms each.
            disable_nagle_algorithm = True
            wbufsize = -1

            def _reply(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                status, data = answer(self.command, self.path, body, self.headers)
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_PUT = do_POST = _reply

            def log_message(self, *_args) -> None:
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.url = f"http://127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class FakeSource:
    """Weight source; `outage` and `corrupt` (indices) are its faults."""

    def __init__(self) -> None:
        self.models: dict[str, tuple[Manifest, bytes]] = {}
        self.outage = False
        self.delay = 0.0
        self.corrupt: set[int] = set()
        self.reads: list[int] = []
        self.web = WebServer(self._answer)

    def add(self, version: str, data: bytes, chunk_bytes: int) -> Manifest:
        """Serve `data` as a version."""
        manifest = manifest_of(version=version, data=data, chunk_bytes=chunk_bytes)
        self.models[version] = (manifest, data)
        return manifest

    def _answer(self, _method, path, _body, headers):
        _, _, version, part = path.split("/")
        if self.outage or version not in self.models:
            return 503, b""
        manifest, data = self.models[version]
        if part == "manifest":
            return 200, manifest.body
        if headers["If-Match"].strip('"') != manifest.digest:
            return 412, b""
        time.sleep(self.delay)
        start, end = headers["Range"].removeprefix("bytes=").split("-")
        piece = data[int(start) : int(end) + 1]
        index = int(start) // manifest.chunk_bytes
        self.reads.append(index)
        if index in self.corrupt:
            self.corrupt.discard(index)
            return 206, bytes(len(piece))
        return 206, piece


class FakeEngine:
    """Model engine that records what it loaded; `checks_fencing` may be off."""

    def __init__(self, *, checks_fencing: bool = True) -> None:
        self.staged: dict[str, dict[int, bytes]] = {}
        self.version = self.manifest = ""
        self.incarnation = 1
        self.loaded: list[tuple[str, str, int]] = []
        self.checks_fencing = checks_fencing
        self.lists_staging = True
        self.fail_loads = 0
        self.load_seconds = 0.05
        self.web = WebServer(self._answer)

    def clear(self) -> None:
        """Lose staged and loaded weights, as a restarted VM does."""
        self.staged.clear()
        self.version = self.manifest = ""
        self.incarnation += 1

    def _answer(self, method, path, body, _headers):
        parts = path.strip("/").split("/")
        if parts[0] == "load":
            state = {
                "incarnation": self.incarnation,
                "model_version": self.version,
                "manifest": self.manifest,
            }
            return 200, json.dumps(state).encode()
        if parts[0] == "orders":
            return self._order(json.loads(body)), b""
        chunks = self.staged.setdefault(parts[1], {})
        if method == "PUT":
            chunks[int(parts[2])] = body
            return 200, b""
        if len(parts) == 2 and not self.lists_staging:
            return 404, b""
        if len(parts) == 2:
            return 200, json.dumps({"chunks": list(chunks)}).encode()
        data = chunks.get(int(parts[2]))
        return (404, b"") if data is None else (200, data)

    def _order(self, order) -> int:
        highest = max((fencing for _, _, fencing in self.loaded), default=0)
        if self.checks_fencing and order["fencing"] < highest:
            return 409
        if self.fail_loads:
            self.fail_loads -= 1
            return 500
        time.sleep(self.load_seconds)
        chunks = self.staged[order["manifest"]]
        data = b"".join(chunks[index] for index in sorted(chunks))
        self.loaded.append((order["manifest"], digest_of(data), order["fencing"]))
        self.version, self.manifest = order["model_version"], order["manifest"]
        return 200


@define
class FakeGate:
    """Admission gate that is warm at once; `in_flight` is set by a test."""

    in_flight: int = 0
    version: str = ""
    paused: bool = False
    resumed: list[str] = Factory(list)

    def pause(self) -> None:
        """Record the pause."""
        self.paused = True

    def running(self) -> int:
        """Return the set number."""
        return self.in_flight

    def resume_cold(self, model_version: str) -> None:
        """Record the version."""
        self.paused, self.version = False, model_version
        self.resumed.append(model_version)

    def is_warm(self) -> bool:
        """Return whether a version is served."""
        return bool(self.version) and not self.paused


class Shared:
    """Configuration and members that all nodes of a fleet see at once."""

    def __init__(self, value) -> None:
        self._value = value
        self._callbacks = []

    def current(self):
        """Return the value."""
        return self._value

    def set(self, value) -> None:
        """Replace the value."""
        self._value = value
        for callback in self._callbacks:
            callback(value)

    def subscribe(self, callback) -> None:
        """Call `callback` with later values."""
        self._callbacks.append(callback)

    def report(self, name: str, reachable: bool) -> None:
        """Ignore the report."""


class FleetAgent:
    """One weights task with its engine, gate and node server."""

    def __init__(self, name: str, place: DataCentre, fleet: "Fleet") -> None:
        self.name, self.address = name, free_address()
        self.place, self.fleet = place, fleet
        self.engine = FakeEngine()
        self.life = 0
        self.server = None

    def start(self, **settings) -> None:
        """Start a new life of the agent."""
        self.life += 1
        self.gate = FakeGate()
        self.metrics = Metrics()
        self.context = NodeContext(
            identity=Identity(
                name=self.name,
                role=Role.BACKEND,
                data_centre=self.place.name,
                region=self.place.region,
                node_address=self.address,
                incarnation=self.life,
            ),
            clock=SystemClock(),
            replica=self.fleet.replica,
            members=self.fleet.members,
            metrics=self.metrics,
            monitor=InvariantMonitor(metrics=self.metrics),
            tracer=new_tracer(otlp_endpoint="", node=self.name),
        )
        self.task = WeightsTask(
            context=self.context,
            gate=self.gate,
            cfg=WeightsSettings(
                backend_url=self.engine.web.url,
                weight_sources=(self.fleet.source.web.url,),
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
        """End this life; connections to it are refused."""
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
        """Return a counter of this life."""
        return self.metrics.totals().get(counter, 0)


class Fleet:
    """Agents in three regions, one data centre each."""

    def __init__(self, size: int, *, max_loading: int = 1) -> None:
        self.source = FakeSource()
        centres = {
            f"{region}-1": DataCentre(name=f"{region}-1", region=region)
            for region in REGIONS
        }
        names = [f"vm-{number}" for number in range(size)]
        places = {
            name: list(centres.values())[number % len(centres)]
            for number, name in enumerate(names)
        }
        self.replica = Shared(
            Configuration(
                generation=1,
                services={
                    SERVICE: Service(
                        name=SERVICE, kind=ServiceKind.MODEL, max_loading=max_loading
                    )
                },
                data_centres=centres,
                vms={
                    name: Vm(name=name, data_centre=places[name].name, service=SERVICE)
                    for name in names
                },
            )
        )
        self.members = Shared(Members())
        self.agents = [FleetAgent(name, places[name], self) for name in names]
        self.members.set(
            Members(
                version=1,
                by_name={
                    agent.name: Member(
                        name=agent.name,
                        role=Role.BACKEND,
                        data_centre=agent.place.name,
                        region=agent.place.region,
                        node_address=agent.address,
                    )
                    for agent in self.agents
                },
            )
        )

    def push(self, manifest: Manifest) -> None:
        """Point the service at a version in a new generation."""
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
        """Take a VM out of service or return it in a new generation."""
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
            pool.map(FleetAgent.kill, self.agents)
            pool.map(lambda agent: agent.engine.web.stop(), self.agents)
        self.source.web.stop()

    def all_ready(self, version: str) -> bool:
        """Return whether all running agents serve a version."""
        running = [agent for agent in self.agents if agent.server is not None]
        return all(agent.is_ready(version) for agent in running)

    def violations(self) -> int:
        """Return the invariant violations of all agents."""
        return sum(agent.context.monitor.count for agent in self.agents)
