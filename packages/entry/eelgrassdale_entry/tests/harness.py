"""An entry node in the test process, with fake agents that tests script."""

import http.client
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import xxhash
from attrs import define, field

from eelgrassdale.catalog import (
    ClientAccount,
    Configuration,
    DataCentre,
    ModelVersion,
    Service,
    ServiceKind,
    Vm,
)
from eelgrassdale.catalog.encoding import encode_object, objects_of
from eelgrassdale.hashing import digest_of
from eelgrassdale.identity import Role
from eelgrassdale.node.context import new_context
from eelgrassdale.results import ResultCode
from eelgrassdale.spread.replica import head_digest_of
from eelgrassdale.tests.ports import free_address
from eelgrassdale.wire import (
    AgentService,
    ConfigDelta,
    ConfigObject,
    Frame,
    Headroom,
    NodeServer,
    PollAnswer,
    ProbeAnswer,
    SubmitAnswer,
)
from eelgrassdale.wire.client import parse_address
from eelgrassdale_entry.program import EntryNode
from eelgrassdale_entry.settings import EntrySettings

MEBIBYTE = 1024 * 1024
MODEL_VERSION = "lid-1"


def wait_until(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    """Wait until a condition holds; fail the test after `seconds`."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition did not hold in time"
        time.sleep(0.005)


@define(kw_only=True, eq=False)
class AgentScript:
    """How a fake agent answers one request.

    `stop_at` ends the data after that many bytes without a last frame.
    `extra_frames` returns frames to send before the correct one.
    """

    text: bytes = b"a lid for the pot"
    code: int = int(ResultCode.OK)
    end_code: int = int(ResultCode.OK)
    http_status: int = 200
    headers: dict = field(factory=dict)
    stop_at: int | None = None
    corrupt_digest: bool = False
    extra_frames: Callable | None = None
    fail_submit: bool = False


class FakeAgent:
    """Serves `AgentService` by scripts; by default every request succeeds."""

    def __init__(self, *, name: str, data_centre: str, service: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.service = service
        self.address = free_address()
        self.incarnation = 7
        self.slots = 8
        self.accepting = True
        self.model_version = MODEL_VERSION
        self.script: Callable[..., AgentScript] = lambda request: AgentScript()
        self.submitted: list = []
        self.cancelled: list = []
        self.scripts: dict = {}
        self.lock = threading.Lock()
        self.server = None

    def start(self) -> None:
        """Start serving."""
        self.server = NodeServer(
            service=AgentService, handler=self, address=self.address
        )
        self.server.start()

    def stop(self) -> None:
        """Stop serving; connections are refused afterwards."""
        if self.server is not None:
            self.server.stop()
        self.server = None

    def headroom(self) -> Headroom:
        """Return the headroom that every answer carries."""
        return Headroom(
            slots=self.slots,
            limit=8,
            memory_bytes=64 * MEBIBYTE,
            cold=False,
            accepting=self.accepting,
            model_version=self.model_version,
            running=0,
        )

    def probe(self, envelope) -> ProbeAnswer:
        """Answer as a ready agent."""
        return ProbeAnswer(
            incarnation=self.incarnation,
            name=self.name,
            role="backend",
            state="ready",
            generation=1,
            headroom={self.service: self.headroom()},
            load_state="ready",
        )

    def push(self, envelope, delta) -> int:
        """Acknowledge a generation without applying it."""
        return delta.generation

    def submit(self, envelope, request) -> SubmitAnswer:
        """Admit or refuse a request as its script says."""
        script = self.script(request)
        with self.lock:
            self.submitted.append(request)
            self.scripts[request.request_id, request.attempt] = (script, request)
        if script.fail_submit:
            raise RuntimeError("scripted failure of submit")
        return SubmitAnswer(
            code=script.code,
            incarnation=self.incarnation,
            headroom=self.headroom(),
            model_version=self.model_version,
            detail="",
        )

    def poll(self, envelope, cursors, wait_ms) -> PollAnswer:
        """Return the scripted frames for the cursors."""
        frames = [frame for cursor in cursors for frame in self._frames(cursor)]
        if not frames:
            time.sleep(min(wait_ms, 20) / 1000)
        return PollAnswer(
            incarnation=self.incarnation,
            frames=frames,
            headroom={self.service: self.headroom()},
        )

    def cancel(self, envelope, request_id, attempt) -> None:
        """Record a cancellation."""
        self.cancelled.append((request_id, attempt))

    def _frames(self, cursor) -> list[Frame]:
        script, _ = self.scripts[cursor.request_id, cursor.attempt]
        extra_frames = script.extra_frames(cursor, self) if script.extra_frames else []
        end = len(script.text) if script.stop_at is None else script.stop_at
        data = script.text[
            cursor.offset : min(end, cursor.offset + cursor.window_bytes)
        ]
        position = cursor.offset + len(data)
        is_last = script.stop_at is None and position == len(script.text)
        if not data and not is_last:
            return extra_frames
        frame = self.frame(cursor, data, is_last=is_last, script=script)
        return [*extra_frames, frame]

    def frame(self, cursor, data, *, is_last, script) -> Frame:
        """Return a frame at the position of a cursor."""
        digest = xxhash.xxh3_128_hexdigest(script.text)
        return Frame(
            request_id=cursor.request_id,
            attempt=cursor.attempt,
            incarnation=self.incarnation,
            offset=cursor.offset,
            data=data,
            is_last=is_last,
            total_length=len(script.text) if is_last else 0,
            digest="0" * 32 if script.corrupt_digest else digest,
            code=script.end_code if is_last else 0,
            http_status=script.http_status,
            headers=script.headers,
            model_version=self.model_version,
        )


def script_that_stops_at(at: int) -> Callable:
    """Return a script function whose answers stop after `at` bytes."""
    return lambda request: AgentScript(stop_at=at)


def configuration(agents: list[FakeAgent], generation: int = 1, **changes):
    """Return a configuration with one model service, two plain ones and the agents."""
    services = {
        "lids": Service(
            name="lids",
            kind=ServiceKind.MODEL,
            model_version=MODEL_VERSION,
            deadline_ms=8000,
        ),
        "desk": Service(
            name="desk", kind=ServiceKind.PLAIN, idempotent=False, deadline_ms=8000
        ),
        "portal": Service(name="portal", kind=ServiceKind.PLAIN, deadline_ms=8000),
    }
    fields = {
        "services": services,
        "model_versions": {
            MODEL_VERSION: ModelVersion(
                name=MODEL_VERSION, manifest="0" * 32, size_bytes=1
            )
        },
        "data_centres": {
            name: DataCentre(name=name, region=name[:1]) for name in ("n1", "n2", "s1")
        },
        "vms": {
            agent.name: Vm(
                name=agent.name, data_centre=agent.data_centre, service=agent.service
            )
            for agent in agents
        },
        "accounts": {
            "acme": ClientAccount(name="acme"),
            "bolt": ClientAccount(name="bolt"),
        },
    }
    return Configuration(generation=generation, **{**fields, **changes})


def delta_of(cfg: Configuration) -> ConfigDelta:
    """Return the delta from an empty configuration to `cfg`."""
    encoded = [encode_object(obj) for obj in objects_of(cfg)]
    digests = {obj.name: digest_of(obj.body) for obj in encoded}
    return ConfigDelta(
        base=0,
        generation=cfg.generation,
        head_digest=head_digest_of(digests),
        changed=[
            ConfigObject(name=obj.name, digest=digests[obj.name], body=obj.body)
            for obj in encoded
        ],
        removed=[],
    )


def vm_list(agents: list[FakeAgent], entry: EntrySettings, version: int = 1) -> bytes:
    """Return the VM list of the agents and one entry node."""
    vms = [
        {
            "name": agent.name,
            "role": "backend",
            "data_centre": agent.data_centre,
            "region": agent.data_centre[:1],
            "node_address": agent.address,
            "caller_address": "",
            "state": "live",
        }
        for agent in agents
    ]
    vms.append(
        {
            "name": entry.name,
            "role": "entry",
            "data_centre": entry.data_centre,
            "region": entry.region,
            "node_address": entry.node_address,
            "caller_address": entry.caller_address,
            "state": "live",
        }
    )
    return json.dumps({"version": version, "vms": vms}).encode()


@define(kw_only=True)
class Harness:
    """A running entry node and its agents."""

    node: EntryNode
    context: object
    cfg: EntrySettings
    agents: list[FakeAgent]

    def request(self, method, path, body=None, headers=None):
        """Send one request on a new connection; return status, headers, body."""
        address = parse_address(self.cfg.caller_address)
        conn = http.client.HTTPConnection(address.host, address.port, timeout=20)
        try:
            conn.request(
                method, path, body, {"X-Client-Account": "acme", **(headers or {})}
            )
            answer = conn.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            conn.close()

    def generate(self, prompt="suggest", headers=None, service="lids"):
        """Send a request for text."""
        body = json.dumps({"prompt": prompt, "max_tokens": 16})
        path = f"/v1/services/{service}/generate"
        return self.request("POST", path, body, headers)

    def call(self, service="desk", path="orders/1", headers=None, method="POST"):
        """Send a request to a plain service."""
        url = f"/v1/services/{service}/call/{path}"
        return self.request(method, url, b"{}", headers)

    def open_stream(self, prompt="suggest", receive_buffer=None) -> socket.socket:
        """Send a request for text on a raw socket and return the socket."""
        address = parse_address(self.cfg.caller_address)
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.settimeout(20)
        sock.connect((address.host, address.port))
        body = json.dumps({"prompt": prompt, "max_tokens": 16}).encode()
        sock.sendall(
            b"POST /v1/services/lids/generate HTTP/1.1\r\nHost: e\r\n"
            b"X-Client-Account: acme\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        return sock

    def agent(self, name: str) -> FakeAgent:
        """Return an agent by name."""
        return next(agent for agent in self.agents if agent.name == name)

    def keys(self, service: str, count: int = 1) -> list[str]:
        """Wait until the node issues keys for a service, and return them."""
        found = []

        def issued() -> bool:
            path = f"/v1/entries?service={service}&keys={count}"
            status, _, body = self.request("GET", path)
            found[:] = json.loads(body).get("keys", [])
            return status == 200

        wait_until(issued)
        return found

    def wait_for_headroom(self, *names: str) -> None:
        """Wait until each agent has reported its headroom to the dispatcher."""
        table = self.node.dispatcher._agents

        def known() -> bool:
            states = [table.get(name) for name in names]
            return all(state is not None and state.headroom for state in states)

        wait_until(known)

    def counters(self) -> dict[str, int]:
        """Return the counters of `status`."""
        return self.context.metrics.totals()

    def apply_configuration(self, cfg: Configuration) -> None:
        """Put a configuration in force."""
        assert self.context.replica.apply_if_newer(delta_of(cfg))


@contextmanager
def entry_node(agents: list[FakeAgent], **settings) -> Iterator[Harness]:
    """Run an entry node in `n1` that knows the agents and their headroom."""
    cfg = EntrySettings(
        **{
            "name": "entry-1",
            "data_centre": "n1",
            "region": "n",
            "node_address": free_address(),
            "caller_address": free_address(),
            "object_api_url": f"http://{free_address()}",
            "vm_list_url": f"http://{free_address()}",
            "caller_threads": 16,
            **settings,
        }
    )
    context = new_context(cfg=cfg, role=Role.ENTRY)
    node = EntryNode(cfg=cfg, context=context)
    harness = Harness(node=node, context=context, cfg=cfg, agents=agents)
    for agent in agents:
        agent.start()
    node.start()
    try:
        context.replica.apply_if_newer(delta_of(configuration(agents)))
        context.members.apply_vm_list(vm_list(agents, cfg))
        wait_until(node.runtime.may_serve)
        wait_until(lambda: harness.request("GET", "/v1/health")[0] == 200)
        harness.wait_for_headroom(*(agent.name for agent in agents))
        yield harness
    finally:
        node.stop()
        for agent in agents:
            agent.stop()
