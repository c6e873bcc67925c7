"""Stand-ins of the platform for the review's scripts, and starts of the programs.

Everything listens on loopback addresses. The programs under test are started with the
commands of `deploy/system.toml`, each with a settings file of its own.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
REGIONS = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
METRICS_PORT = 9102
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played on this machine."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8", buffering=1)
        self._started_at = time.monotonic()

    def __call__(self, text):
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:9.3f} {text}\n")


# HTTP


async def read_head(reader):
    """Return the first line and the headers, lower case; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks; None if it was cut off."""
    try:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return b""
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def response(status, headers=(), body=b""):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers)]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class HttpStandIn:
    """Accepts connections and passes each request to `answer`."""

    def __init__(self):
        self.address = None
        self._server = None
        self.writers = set()

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=512, limit=1 << 22
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if body is None:
                    return
                method, target, _ = head[0].split(" ")
                await self.answer(method, target, head[1], body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, method, target, headers, body, writer):
        raise NotImplementedError


class Store(HttpStandIn):
    """The platform's metadata store: lists, watches and changes of objects."""

    def __init__(self):
        super().__init__()
        self.objects = {}
        self.revision = 10
        self._history = []
        self._changed = asyncio.Event()

    def write(self, kind, name, spec):
        self.revision += 1
        item = {"Metadata": {"Name": name, "Revision": self.revision}, "Spec": spec}
        self.objects[kind, name] = item
        self._note(kind, item, False)

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind, item, is_deleted):
        event = {"Object": item, "Deleted": is_deleted}
        self._history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, headers, body, writer):
        parts = urlsplit(target)
        kind, _, name = parts.path.removeprefix("/v1/objects/").partition("/")
        kind, name = unquote(kind), unquote(name)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if method == "GET" and "Watch" in query:
            await self._watch(kind, query, writer)
            return
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            self._send(writer, 200 if item else 404, item or {"At": self.revision})
            return
        if method == "GET":
            items = [v for (k, _), v in sorted(self.objects.items()) if k == kind]
            listing = {"Items": items, "HasMore": False, "At": self.revision}
            self._send(writer, 200, listing)
            return
        if method == "DELETE":
            known = (kind, name) in self.objects
            self.remove(kind, name)
            self._send(writer, 200 if known else 404, {})
            return
        given = json.loads(body)
        name = name or given["Metadata"]["Name"]
        if method == "POST" and (kind, name) in self.objects:
            self._send(writer, 409, self.objects[kind, name])
            return
        self.write(kind, name, given["Spec"])
        self._send(writer, 201 if method == "POST" else 200, {})

    async def _watch(self, kind, query, writer):
        since = int(query["Watch"])
        until = time.monotonic() + int(query.get("WaitMs", "30000")) / 1000
        while True:
            events = [e for r, k, e in self._history if r > since and k == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
        self._send(writer, 200, {"events": events, "At": self.revision})

    def _send(self, writer, status, value):
        # ASCII with escapes, as JSON encoders write by default.
        body = json.dumps(value).encode("ascii")
        writer.write(response(status, [("content-type", "application/json")], body))


# Programs under test


def command_of(role):
    """Return the command of a role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"][role]["run"].split()


class Program:
    """One process of the system."""

    def __init__(self, role, name, settings, folder, record):
        path = Path(folder) / f"{name}.toml"
        path.write_text(settings)
        self.name = name
        self.log_path = Path(folder) / f"{name}.log"
        self._command = command_of(role)
        self._environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "EELGRASSDALE_CONFIG": str(path),
        }
        self._record = record
        self.process = None
        self.start_count = 0

    def start(self):
        self.start_count += 1
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=self._environment, stdout=log, stderr=log
            )
        self._record(f"start {self.name} pid={self.process.pid}")

    def signal(self, number):
        self._record(f"signal {self.name} {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """A folder, a store and programs on loopback addresses of their own."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        self.store = Store()
        self.gateways = []
        self.programs = []
        self._next_host = 10

    def next_ip(self):
        self._next_host += 1
        return f"{self.network}.{self._next_host}"

    async def start_store(self):
        await self.store.start(f"{self.network}.1")

    def plan_gateways(self, count):
        """Reserve the addresses of the gateways, spread over the zones."""
        zones = list(REGIONS)
        self.gateways = [
            {"name": f"front-{n}", "zone": zones[n % len(zones)], "ip": self.next_ip()}
            for n in range(count)
        ]
        for gateway in self.gateways:
            ports = free_ports(gateway["ip"], 4)
            names = ("Frontend", "Readiness", "Control", "Directory")
            gateway["ports"] = dict(zip(names, ports, strict=True))
        # The ports between gateways are the same on all machines.
        self.peer_port = free_ports(self.gateways[0]["ip"], 1)[0]
        for gateway in self.gateways:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                check_free(gateway["ip"], self.peer_port, kind)
            check_free(gateway["ip"], METRICS_PORT, socket.SOCK_STREAM)

    def start_gateways(self):
        for gateway in self.gateways:
            settings = self._settings(gateway)
            program = Program(
                "gateway", gateway["name"], settings, self.folder, self.record
            )
            gateway["program"] = program
            self.programs.append(program)
            program.start()

    def _settings(self, gateway):
        seeds = [f"{g['ip']}:{g['ports']['Control']}" for g in self.gateways[:3]]
        listen = {n: f"{gateway['ip']}:{p}" for n, p in gateway["ports"].items()}
        lines = [
            f'NodeName = "{gateway["name"]}"',
            'Role = "gateway"',
            'MachineClass = "front"',
            'Serves = ["front","directory"]',
            f'Ip = "{gateway["ip"]}"',
            f'Zone = "{gateway["zone"]}"',
            f'Region = "{REGIONS[gateway["zone"]]}"',
            f"PortRange = [{self.peer_port},{self.peer_port}]",
            f"SeedNodes = {json.dumps(seeds)}",
            "Bootstrap = true",
            "HeartbeatMs = 1200",
            "[Zones]",
            *(f'{zone} = "{region}"' for zone, region in REGIONS.items()),
            "[Listen]",
            *(f'{name} = "{address}"' for name, address in listen.items()),
            "[Limits]",
            "MemoryMb = 300",
            "MaxFds = 4100",
            "LinkMbps = 1000.0",
            "[Bounds]",
            "ContactMs = 3000",
            "DrainMs = 2000",
            "GraceS = 8",
            "LossSlackMs = 200",
            "ConfigApplyMs = 2000",
            "RetryRatio = 0.2",
            "RetryWindowS = 10",
            "RetrySlack = 106",
            "version_ms = 8000",
            "ttl_max_s = 5",
            "[Platform]",
            f'Address = "{self.store.address[0]}:{self.store.address[1]}"',
            'form = "objects"',
        ]
        return "\n".join(lines) + "\n"

    async def wait_until_ready(self, seconds=30.0):
        until = time.monotonic() + seconds
        for gateway in self.gateways:
            while await get_status(gateway, "Readiness", "/v1/ready") != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{gateway['name']} is not ready")
                await asyncio.sleep(0.1)
        self.record("all gateways are ready")

    def stop(self):
        for program in self.programs:
            program.end()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def get_status(gateway, listener, target):
    """Return the status of a GET at a gateway, 0 without an answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                gateway["ip"], gateway["ports"][listener]
            )
            try:
                writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                head = await read_head(reader)
                return int(head[0].split(" ")[1]) if head else 0
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return 0


def free_ports(ip, count):
    """Return ports that are free for TCP and UDP at an address."""
    found, held = [], []
    try:
        while len(found) < count:
            tcp = socket.socket()
            held.append(tcp)
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            udp = socket.socket(type=socket.SOCK_DGRAM)
            held.append(udp)
            try:
                udp.bind((ip, port))
            except OSError:
                continue
            found.append(port)
    finally:
        for sock in held:
            sock.close()
    return found


def check_free(ip, port, kind):
    with socket.socket(type=kind) as sock:
        if kind == socket.SOCK_STREAM:
            # As servers bind: connections that are closing do not matter.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError as exc:
            raise CannotRun(f"{ip}:{port} is not free: {exc}") from exc


def run_case(play, record_path, *, limit_seconds=115):
    """Play a case, write its record and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(record_path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"disruption: {'yes' if has_trouble else 'no'}")

    async def bounded():
        # A script that is told to stop ends its processes first.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(limit_seconds):
                return await play(deployment, has_trouble)
        finally:
            deployment.stop()

    try:
        result = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as exc:
        record(f"could not run: {exc!r}")
        result = NOT_RUN
    record(f"result: {['held', 'broken', 'could not run'][result]}")
    sys.exit(result)
