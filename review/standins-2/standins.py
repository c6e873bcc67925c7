"""Stand-ins for the scripts of this review: store, runners, clients, processes.

They use the standard library alone. Every address is a loopback address.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "key-of-the-tenant"
TENANT = "tenant-1"
# A case has 120 s.
CASE_SECONDS = 115.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"zone-a": "region-1", "zone-b": "region-2"}


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = Path(path).open("w")
        self._start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._start:8.3f}  {text}"
        print(line, flush=True)
        print(line, file=self._file, flush=True)


def free_port(host="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def loopback_ip():
    """Return a loopback address at which the port for metrics is free."""
    while True:
        ip = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.7"
        with socket.socket() as sock:
            try:
                sock.bind((ip, 9102))
                return ip
            except OSError:
                continue


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    return lines[0], headers, body


def message(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} x", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP server; `respond` writes the answer to one request."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                await self.respond(method, target, headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self, reset=False):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: objects, listings and watches."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.era = None
        self.objects = {}
        self.history = []
        self.oldest = 0
        self.changed = asyncio.Event()
        self.on_call = lambda method, target: None

    def write(self, kind, name, spec):
        self.revision += 1
        item = {"Metadata": {"Name": name, "Revision": self.revision}, "Spec": spec}
        self.objects[kind, name] = item
        self._notify(kind, item, False)

    def remove(self, kind, name):
        self.revision += 1
        self._notify(kind, self.objects.pop((kind, name)), True)

    def _notify(self, kind, item, is_deleted):
        self.history.append((self.revision, kind, item, is_deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def respond(self, method, target, headers, body, writer):
        self.on_call(method, target)
        status, value = await self._answer(method, target, body)
        extra = [("content-type", "application/json")]
        if self.era is not None:
            extra.append(("Store-Era", str(self.era)))
        writer.write(message(status, extra, json.dumps(value).encode()))

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        kind, _, name = parts.path.removeprefix("/v1/objects/").partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if method == "GET" and "Watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "GET":
            after = query.get("After", "")
            items = [
                item
                for (item_kind, item_name), item in sorted(self.objects.items())
                if item_kind == kind and item_name > after
            ]
            page = {"Items": items[:500], "HasMore": len(items) > 500}
            return 200, page | {"At": self.revision}
        value = json.loads(body) if body else {}
        if method == "DELETE":
            if (kind, name) in self.objects:
                self.remove(kind, name)
            return 200, {}
        name = name or value["Metadata"]["Name"]
        current = self.objects.get((kind, name))
        expected = value["Metadata"].get("Revision")
        if method == "POST" and current is not None:
            return 409, current
        if method == "PUT" and current is None:
            return 404, {}
        if expected is not None and expected != current["Metadata"]["Revision"]:
            return 409, current
        if current is None or current["Spec"] != value["Spec"]:
            self.write(kind, name, value["Spec"])
        return 200, self.objects[kind, name]

    async def _watch(self, kind, query):
        since = int(query["Watch"])
        until = time.monotonic() + int(query.get("WaitMs", "30000")) / 1000
        while True:
            if not self.oldest <= since <= self.revision:
                return 410, {}
            events = [
                {"Object": item, "Deleted": is_deleted}
                for revision, item_kind, item, is_deleted in self.history
                if revision > since and item_kind == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "At": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass


class Runner(Server):
    """A server of one service. `work` returns status, headers and body."""

    def __init__(self, name, service, host="127.0.0.1"):
        super().__init__(host)
        self.name = name
        self.service = service
        self.runs = []
        self.born = int(time.time() * 1000)
        self.work_s = 0.01

    def entry(self, state="ready", zone="zone-a", slots=16):
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": zone,
            "Version": "v1",
            "Slots": slots,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
            "born": self.born,
        }

    async def respond(self, method, target, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        echo = [("Attempt-Id", attempt)]
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(message(421, [*echo, ("Instance-Id", self.name)]))
            return
        self.runs.append(attempt)
        await self.run(attempt, method, target, headers, body, writer)

    async def run(self, attempt, method, target, headers, body, writer):
        await asyncio.sleep(self.work_s)
        answer = [("Attempt-Id", attempt), ("Response-Seal", f"seal.{self.name}")]
        writer.write(message(200, answer, f"done {attempt}".encode()))


def route(name, prefix, service, kind="unsafe", **fields):
    value = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 2000,
        "SloMs": 200,
        "Priority": 1,
        "MaxAttempts": 1,
        "Service": service,
        "Sticky": False,
    }
    return value | fields


def configuration(version, routes, services, **fields):
    value = {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConns": 100, "ColdS": 0.0}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }
    return value | fields


SETTINGS = """
NodeName = "{name}"
Role = "{role}"
MachineClass = "{machine}"
Serves = {serves}
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
PortRange = [{peer}, {peer}]
SeedNodes = {seeds}
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","pressure","platform","chunks"]
{more}
[Zones]
zone-a = "region-1"
zone-b = "region-2"
[Listen]
{listen}
[Limits]
CpuShare = 0.537
CpuCores = 2
MemoryMb = {memory_mb}
MaxFds = {max_fds}
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
SyncS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeMs = 250
MaxStretchMs = 5000
StrictRevoke = false
RevokeMs = 5000
RetryRatio = 0.2
RetryWindowS = 10
RetrySlack = 106
ColdExcess = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
PassMs = 120
AgainS = 0
version_ms = 8000
version_all_ms = 0
ttl_max_s = 5
[Platform]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


def _run_words(role):
    with (REPOSITORY / "deploy" / "system.toml").open("rb") as file:
        return tomllib.load(file)["roles"][role]["run"].split()


class Program:
    """A process of the deploy file, with the variables that the platform gives it."""

    role = ""

    def __init__(self, name, folder):
        self.name = name
        self.ip = loopback_ip()
        self.folder = Path(folder) / name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.process = None

    def spawn(self):
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["EELGRASSDALE_CONFIG"] = str(self.folder / "settings.toml")
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                _run_words(self.role), cwd=REPOSITORY, env=env, stdout=log, stderr=log
            )

    def signal(self, signum):
        if self.process.poll() is None:
            self.process.send_signal(signum)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log(self):
        return (self.folder / "log").read_text(errors="replace")

    def peak_mb(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        # Of 1,048,576 bytes: the smaller number of the two readings of `MemoryMb`.
        return int(line.split()[1]) / 1024


class Front(Program):
    role = "gateway"

    def __init__(self, name, folder, store, *, zone="zone-a", memory_mb=300):
        super().__init__(name, folder)
        self.zone = zone
        self.ports = {x: free_port(self.ip) for x in ("front", "ready", "dir")}
        self.peer_port = free_port(self.ip)
        self.control_port = free_port(self.ip)
        self.memory_mb = memory_mb
        self._store = store

    @property
    def address(self):
        return self.ip, self.ports["front"]

    def write_settings(self, peer_port, seeds=(), **changes):
        listen = (
            f'Frontend = "{self.ip}:{self.ports["front"]}"\n'
            f'Readiness = "{self.ip}:{self.ports["ready"]}"\n'
            f'Directory = "{self.ip}:{self.ports["dir"]}"'
        )
        text = SETTINGS.format(
            name=self.name,
            role="gateway",
            machine="front",
            serves='["front", "directory"]',
            ip=self.ip,
            zone=self.zone,
            region=ZONES[self.zone],
            peer=peer_port,
            seeds=json.dumps([f"{ip}:{peer_port}" for ip in seeds]),
            more="",
            listen=listen,
            memory_mb=self.memory_mb,
            max_fds=4100,
            store=self._store.address,
        )
        for old, new in changes.items():
            text = text.replace(f"{old} = ", f"{old} = {new} #", 1)
        (self.folder / "settings.toml").write_text(text)

    async def ready(self, timeout=2.0):
        """Return the status of a question for readiness, 0 without an answer."""
        answer = await ask(
            (self.ip, self.ports["ready"]), "GET", "/v1/ready", timeout=timeout
        )
        return answer.status

    async def wait_ready(self, seconds=20.0):
        until = time.monotonic() + seconds
        while await self.ready() != 200:
            if self.process.poll() is not None or time.monotonic() > until:
                raise CannotRun(f"{self.name} is not ready: {self.log()[-2000:]}")
            await asyncio.sleep(0.05)


class CannotRun(Exception):
    """The case could not be run."""


class Answer:
    def __init__(self, status, headers=None, body=b"", error=""):
        self.status, self.headers = status, headers or {}
        self.body, self.error = body, error


async def ask(address, method, target, headers=(), body=b"", timeout=2.0):
    """Send a request on a connection of its own, as a sound client does."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            line, names, data = await read_message(reader)
            return Answer(int(line.split(" ")[1]), names, data)
    except TimeoutError:
        return Answer(0, error="no answer in time")
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as exc:
        return Answer(0, error=repr(exc))
    finally:
        if writer is not None:
            writer.transport.abort()


_attempts = iter(range(1, 1 << 30))


def attempt_id():
    return f"{next(_attempts):08x}{random.getrandbits(32):08x}"


def request_headers(attempt, deadline_ms=2000, *more):
    return (
        ("Attempt-Id", attempt),
        ("Deadline-Ms", str(deadline_ms)),
        ("X-Api-Key", KEY),
        *more,
    )


def main(case, record_path):
    """Run `case(record, temporary folder)`; it returns whether the rule was broken."""
    # So that a case that is stopped ends what it started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(record_path)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(_within_limit(case(record, temporary)))
        except CannotRun as exc:
            record(f"cannot run: {exc}")
            raise SystemExit(2) from None
    record("the rule was broken" if is_broken else "the rule held")
    raise SystemExit(1 if is_broken else 0)


async def _within_limit(case):
    try:
        async with asyncio.timeout(CASE_SECONDS):
            return await case
    except TimeoutError:
        raise CannotRun(f"not done after {CASE_SECONDS:.0f} s") from None


class StreamRunner(Runner):
    """A model runner: each answer is a stream of events."""

    model = "model-1"
    events = 5
    gap_s = 0.1

    def entry(self, state="ready", zone="zone-a", slots=16):
        layers = [{"From": 0, "Target": 16, "Version": 1}]
        models = [{"Name": self.model, "Version": 1, "Adapters": [], "layers": layers}]
        return super().entry(state, zone, slots) | {"Stage": "both", "Models": models}

    async def run(self, attempt, method, target, headers, body, writer):
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Attempt-Id: {attempt}\r\nResponse-Seal: seal.{self.name}\r\n"
                "Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def stream_route(name, prefix, service, **fields):
    return route(
        name,
        prefix,
        service,
        "stream",
        **{"TimeoutMs": 6000, "SloMs": 505, "GapAimMs": 400, "Resumable": True}
        | {"Sticky": True, "MaxAttempts": 2}
        | fields,
    )


def stream_configuration(version, routes, services, **fields):
    """Return a configuration whose services are model runners."""
    value = configuration(version, routes, services, **fields)
    engine = {
        "Slots": 16,
        "KvTokens": 317000,
        "Stride": 5,
        "step_ms": 9.27,
        "per_seq_ms": 0.0232,
        "read_per_s": 20700.0,
        "layers": 16,
        "Models": [{"Name": StreamRunner.model}],
    }
    for service in value["Services"]:
        service["Engine"] = engine
    return value


class Kept:
    """Sound callers of one front, each with a connection that it keeps.

    Each sends one unsafe request after the other. `lost` are the attempts on a connection
    that had carried others before, which a runner received, and whose connection ended
    without a byte of an answer: those that LOST counts "at any time".
    """

    def __init__(self, front, runners, record, *, callers=20, target="/desk/x"):
        self.sent = 0
        self.answers = {}
        self.lost = []
        self._front = front
        self._runners = runners
        self._record = record
        self._target = target
        # They begin one after the other within a second, so as not to go in step.
        self._tasks = [
            asyncio.ensure_future(self._call(number / callers))
            for number in range(callers)
        ]

    def stop(self):
        for task in self._tasks:
            task.cancel()

    def report(self):
        runs = sum(len(runner.runs) for runner in self._runners)
        self._record(f"kept connections: {self.sent} sent, answers {self.answers}")
        self._record(f"run by the runners: {runs}; LOST: {len(self.lost)}")

    async def _call(self, delay):
        await asyncio.sleep(delay)
        while True:
            writer = None
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self._front.address)
                await self._use(reader, writer)
            except (OSError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.transport.abort()
            await asyncio.sleep(0.2)

    async def _use(self, reader, writer):
        for number in range(1_000_000):
            attempt = attempt_id()
            lines = [f"POST {self._target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{n}: {v}" for n, v in request_headers(attempt, 5000)]
            lines.append("Content-Length: 2")
            writer.write(("\r\n".join(lines) + "\r\n\r\n{}").encode())
            self.sent += 1
            try:
                async with asyncio.timeout(5.0):
                    line, headers, _ = await read_message(reader)
            except TimeoutError:
                self._count("none in time")
                return
            except (OSError, asyncio.IncompleteReadError) as exc:
                has_part = bool(getattr(exc, "partial", b""))
                self._count("cut" if has_part else "closed without an answer")
                if number and not has_part and self._has_run(attempt):
                    self.lost.append(attempt)
                    self._record(f"LOST: {attempt}, at a runner, closed without answer")
                return
            self._count(line.split(" ")[1])
            if headers.get("connection", "").lower() == "close":
                return

    def _count(self, end):
        self.answers[end] = self.answers.get(end, 0) + 1

    def _has_run(self, attempt):
        return any(attempt in runner.runs for runner in self._runners)


class MemoryLimit:
    """The platform's limit: a process that exceeds `MemoryMb` is killed.

    It is started again after a short delay.
    """

    def __init__(self, front, record):
        self.kills = 0
        self._front = front
        self._record = record
        self._task = asyncio.ensure_future(self._watch())

    def stop(self):
        self._task.cancel()

    async def _watch(self):
        while True:
            await asyncio.sleep(0.02)
            peak_mb = self._front.peak_mb()
            if peak_mb <= self._front.memory_mb:
                continue
            self.kills += 1
            limit = self._front.memory_mb
            self._record(
                f"the process has {peak_mb:.0f} MB of {limit} MB: it is killed"
            )
            self._front.kill()
            await asyncio.sleep(0.5)
            self._front.spawn()


class Ordinary:
    """Sound callers of one front, each on a connection of its own.

    They send unsafe requests, which sound callers await to their deadline. `late` are
    those without an answer at the route's `TimeoutMs`, `silent` those of them without one
    half a second later.
    """

    timeout_s = 1.0
    deadline_s = 6.0

    def __init__(self, front, runners, record):
        self.sent = self.late = self.silent = 0
        self.answers = {}
        self._front = front
        self._runners = runners
        self._record = record

    async def run(self, seconds, per_second=5):
        until = time.monotonic() + seconds
        jobs = []
        while time.monotonic() < until:
            jobs.append(asyncio.ensure_future(self._send()))
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*jobs)

    @property
    def is_config_broken(self):
        """Of those unanswered at `TimeoutMs`, over half have none 0.5 s later."""
        return 2 * self.silent > self.late

    async def _send(self):
        attempt = attempt_id()
        headers = request_headers(attempt, int(self.deadline_s * 1000))
        started_at = time.monotonic()
        self.sent += 1
        answer = await ask(
            self._front.address,
            "POST",
            "/desk/x",
            headers,
            b"{}",
            timeout=self.deadline_s,
        )
        seconds = time.monotonic() - started_at
        self.late += seconds > self.timeout_s
        self.silent += seconds > self.timeout_s + 0.5
        self.answers[answer.status] = self.answers.get(answer.status, 0) + 1
        has_run = any(attempt in runner.runs for runner in self._runners)
        self._record(
            f"{attempt}: answer {answer.status or 'none'} after {seconds:.2f} s, "
            f"{'run' if has_run else 'not run'}"
        )

    def report(self, when):
        self._record(
            f"{when}: {self.sent} sent, answers (0: none) {self.answers}, {self.late} "
            f"unanswered at TimeoutMs, {self.silent} of these half a second later"
        )


async def crowd_case(record, folder, *, connections, behaviour, crowd_file):
    """Serve ordinary callers beside a crowd; return whether CONFIG was broken."""
    store = Store()
    await store.start()
    runners = [Runner(f"i-{number}", "desk") for number in range(2)]
    for runner in runners:
        await runner.start()
        store.write("servers", runner.name, runner.entry())
    timeout_ms = int(Ordinary.timeout_s * 1000)
    routes = [route("desk", "/desk/", "desk", "unsafe", TimeoutMs=timeout_ms)]
    store.write("config", "main", configuration(7, routes, ["desk"]))
    front = Front("front-1", folder, store)
    front.write_settings(front.peer_port)
    front.spawn()
    crowd = None
    try:
        await front.wait_ready()
        # More than `ContactMs`.
        before = Ordinary(front, runners, record)
        await before.run(4)
        before.report("before")
        if before.late:
            raise CannotRun("the machine is too busy")
        if TROUBLE:
            record(f"a crowd of {connections} callers: {behaviour}")
            words = (front.ip, str(front.ports["front"]), str(connections), "15")
            crowd = await asyncio.create_subprocess_exec(
                "python3", str(crowd_file), *words, stdout=subprocess.PIPE
            )
        beside = Ordinary(front, runners, record)
        await beside.run(14)
        if crowd is not None:
            text, _ = await crowd.communicate()
            record(f"the crowd: {text.decode().strip()}")
        beside.report("beside it" if TROUBLE else "without a crowd")
        record(f"run by the runners: {sum(len(r.runs) for r in runners)}")
        record(f"the process is still there: {front.process.poll() is None}")
        return beside.is_config_broken
    finally:
        if crowd is not None and crowd.returncode is None:
            crowd.kill()
        front.kill()
        for server in (store, *runners):
            server.stop()
