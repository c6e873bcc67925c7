"""Starts the programs of the deploy file and the stand-ins, and ends them by their ids."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

import httpmini

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
FRONT_PORT, READY_PORT, DIRECTORY_PORT, CONTROL_PORT = 8005, 8002, 8009, 8000
METRICS_PORT = 9102
PEER_PORT = 7700

BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "SyncS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "DowngradeMs": 250,
    "MaxStretchMs": 5000,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 106,
    "ColdExcess": 1.5,
    "ColdSlack": 5,
    "EvacuateMs": 5000,
    "RecoveryS": 12,
    "PassMs": 120,
    "version_ms": 8000,
    "ttl_max_s": 5,
}


class CannotRun(Exception):
    """The case could not run; it says nothing of the rule."""


def trouble():
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_address(ports):
    """Return a loopback address at which all these ports are free, for TCP and UDP."""
    for _ in range(200):
        host = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((host, port))
            return host
        except OSError:
            continue
    raise CannotRun("no free loopback address")


class Scene:
    """The processes of one case, its folder and its record."""

    def __init__(self, record):
        self.record_path = Path(record)
        self.record = open(self.record_path, "w", encoding="utf-8")
        self.folder = tempfile.TemporaryDirectory(prefix="review3-")
        self.path = Path(self.folder.name)
        self.processes = {}
        self.events = []
        self.begun_at = time.monotonic()
        self.lock = threading.Lock()
        self.store = None
        # Lines of runners that don't go into the record.
        self.left_out = set()

    def say(self, text, at=None):
        """Write a line into the record, with seconds since the start."""
        seconds = (time.monotonic() if at is None else at) - self.begun_at
        with self.lock:
            self.record.write(f"{seconds:9.3f} {text}\n")

    def spawn(self, name, command, env=None, *, on_line=None):
        """Start a process; `on_line` gets its lines of JSON."""
        log = open(self.path / f"{name}.log", "wb")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
            | (env or {}),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if on_line else log,
            stderr=log,
        )
        self.processes[name] = process
        if on_line:
            threading.Thread(
                target=self._read_lines, args=(process, on_line), daemon=True
            ).start()
        return process

    def _read_lines(self, process, on_line):
        for line in process.stdout:
            try:
                on_line(json.loads(line))
            except ValueError:
                continue

    def start_store(self):
        """Start the store."""
        host = free_address([8007])
        self.store = (host, 8007)
        self.spawn("store", [sys.executable, str(HERE / "store.py"), host, "8007"])
        wait_for_port(self.store)

    def start_runner(self, name, **cfg):
        """Start a runner; its lines go to `events` and to the record."""
        host = free_address([8080])
        cfg = {"id": name, "host": host, "port": 8080, "store": list(self.store)} | cfg

        def on_line(event):
            with self.lock:
                self.events.append(event)
            at = event["at"]
            if event["event"] not in self.left_out:
                fields = {k: v for k, v in event.items() if k != "at"}
                self.say(json.dumps(fields), at=at)

        command = [sys.executable, str(HERE / "runner.py"), json.dumps(cfg)]
        self.spawn(name, command, on_line=on_line)
        return (host, 8080)

    def start_gateways(self, names, *, zones, zone_of, store_of=None, limits=None):
        """Start gateways; return their addresses by name."""
        ports = [FRONT_PORT, READY_PORT, DIRECTORY_PORT, METRICS_PORT, PEER_PORT]
        hosts = {name: free_address(ports) for name in names}
        seeds = [f"{hosts[name]}:{CONTROL_PORT}" for name in names[:3]]
        self.gateway_env = {}
        for name in names:
            store = (store_of or {}).get(name, self.store)
            path = self.path / f"{name}.toml"
            path.write_text(
                settings(name, hosts[name], zone_of[name], zones, seeds, store, limits)
            )
            self.gateway_env[name] = {
                "EELGRASSDALE_CONFIG": str(path),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            }
            self.start_gateway(name)
        return hosts

    def start_gateway(self, name):
        """Start a gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        return self.spawn(name, command, self.gateway_env[name])

    async def write(self, kind, name, spec):
        """Write as the operator; return the time of the acknowledgement."""
        status, value = await httpmini.call(
            self.store, "POST", f"/x/write/{kind}/{name}", spec
        )
        if status != 200:
            raise CannotRun(f"store answered {status}")
        self.say(f"operator: {kind}/{name} acknowledged", at=value["at"])
        return value["at"]

    async def remove(self, kind, name):
        """Remove an object; return the time of the acknowledgement."""
        _, value = await httpmini.call(
            self.store, "POST", f"/x/remove/{kind}/{name}", {}
        )
        self.say(f"{kind}/{name} removed, acknowledged", at=value["at"])
        return value["at"]

    async def wait_ready(self, host, seconds=25.0):
        """Wait until a gateway says that it is ready."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            try:
                status, _ = await httpmini.call(
                    (host, READY_PORT), "GET", "/v1/ready", timeout=1.0
                )
                if status == 200:
                    return
            except (OSError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway at {host} is not ready")

    def kill(self, name, signum=signal.SIGKILL):
        """Send a signal to a process that this scene started."""
        self.say(f"signal {signum} to {name}")
        self.processes[name].send_signal(signum)

    async def stop_and_start(self, name, *, grace_seconds=8.0, delay=0.3):
        """Stop a gateway as the platform does, and start it again after its end."""
        process = self.processes[name]
        self.kill(name, signal.SIGTERM)
        ends_at = time.monotonic() + grace_seconds
        while process.poll() is None:
            if time.monotonic() > ends_at:
                self.kill(name)
                ends_at = float("inf")
            await asyncio.sleep(0.02)
        self.say(f"{name} has ended with status {process.returncode}")
        await asyncio.sleep(delay)
        self.start_gateway(name)

    def died(self, name):
        """Return whether a process has ended."""
        return self.processes[name].poll() is not None

    def close(self):
        """End all processes that were started, and the record."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            for log in self.path.glob("*.log"):
                (Path(os.environ["KEEP"]) / log.name).write_bytes(log.read_bytes())
        self.folder.cleanup()
        self.record.close()


def settings(name, host, zone, zones, seeds, store, limits):
    """Return the settings file of a gateway."""
    lines = [
        f'NodeName = "{name}"',
        'Role = "gateway"',
        'MachineClass = "front"',
        'Serves = ["front", "directory"]',
        f'Ip = "{host}"',
        f'Zone = "{zone}"',
        f'Region = "{zones[zone]}"',
        f"PortRange = [{PEER_PORT}, {PEER_PORT + 15}]",
        f"SeedNodes = {json.dumps(seeds)}",
        "Bootstrap = true",
        'Discovery = "platform"',
        'Entry = "directory"',
        "HeartbeatMs = 1200",
        "[Zones]",
        *(f'{z} = "{region}"' for z, region in zones.items()),
        "[Listen]",
        f'Frontend = "{host}:{FRONT_PORT}"',
        f'Readiness = "{host}:{READY_PORT}"',
        f'Directory = "{host}:{DIRECTORY_PORT}"',
        f'Control = "{host}:{CONTROL_PORT}"',
        "[Limits]",
        *(
            f"{key} = {value}"
            for key, value in (
                {"MemoryMb": 300, "MaxFds": 4100, "LinkMbps": 1000.0} | (limits or {})
            ).items()
        ),
        "[Bounds]",
        *(f"{key} = {value}" for key, value in BOUNDS.items()),
        "[Platform]",
        f'Address = "{store[0]}:{store[1]}"',
        'form = "objects"',
    ]
    return "\n".join(lines) + "\n"


def wait_for_port(address, seconds=10.0):
    """Wait until something listens at an address."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        with socket.socket() as sock:
            sock.settimeout(0.5)
            if sock.connect_ex(address) == 0:
                return
        time.sleep(0.05)
    raise CannotRun(f"nothing listens at {address}")


def route(name, host, prefix, service, kind, **fields):
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 6000,
        "SloMs": 500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Anonymous": True,
        "Sticky": kind == "stream",
        "Resumable": kind == "stream",
        "GapAimMs": 400,
        "AllowedRegions": [],
    } | fields


def configuration(routes, services, version=1):
    """Return a configuration with the limits of the sheet."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def plain_service(name):
    """Return a service without engines."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConns": 110,
        "Protocol": "h1",
        "Tls": False,
        "ColdS": 0.0,
        "ColdPerS": 0.0,
    }


def engine_service(name, model="m0"):
    """Return a service of model engines, with the figures of the sheet."""
    return plain_service(name) | {
        "MaxConns": 434,
        "Engine": {
            "Slots": 16,
            "KvTokens": 317000,
            "KvBytes": 262144,
            "Stride": 5,
            "Models": [{"Name": model, "pace": 1.0, "LoadS": 4.0, "WarmS": 0.3}],
            "Mb": 149000.0,
            "step_ms": 9.27,
            "per_seq_ms": 0.0232,
            "context_per_k": 0.0322,
            "read_per_s": 20700.0,
            "pairs_per_m": 1.18,
            "chunk": 2048,
            "layers": 16,
            "layer_mb": 4090.0,
            "Chunks": 48,
            "ChunkBytes": 49152,
        },
    }


class Answer:
    """What a client has seen of one request."""

    def __init__(self, request_id):
        self.id = request_id
        self.sent_at = 0.0
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.end = ""


async def send(scene, host, target, *, method="GET", headers=None, body=b"", deadline_ms=6000, vhost="app.example"):
    """Send one request on a new connection, and read its answer."""
    answer = Answer(f"{random.getrandbits(64):016x}")
    fields = {"Host": vhost, "Attempt-Id": answer.id, "Deadline-Ms": str(deadline_ms)}
    fields |= headers or {}
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{n}: {v}\r\n" for n, v in fields.items())

    async def run():
        reader, writer = await asyncio.open_connection(host, FRONT_PORT, limit=1 << 20)
        try:
            answer.sent_at = time.monotonic()
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            message = await httpmini.read_head(reader)
            if message is None:
                answer.end = "connection ended without an answer"
                return
            answer.status = int(message.start.split()[1])
            answer.headers = message.headers
            await read_answer(reader, message, answer)
        finally:
            writer.close()

    try:
        await asyncio.wait_for(run(), deadline_ms / 1000)
    except TimeoutError:
        answer.end = "client's deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.end = f"broken off: {type(exc).__name__}"
    scene.say(
        f"client: {method} {target} {answer.id} -> {answer.status or '-'} "
        f"{'complete' if answer.is_complete else answer.end} "
        f"({len(answer.body)} bytes, seal {answer.headers.get('response-seal', '-')})"
    )
    return answer


async def read_answer(reader, message, answer):
    """Read the body of an answer as it comes."""
    if "chunked" not in message.get("transfer-encoding"):
        length = int(message.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
        answer.is_complete = True
        return
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            answer.end = "broken off within its body"
            return
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        answer.body += data[:-2]
        if not size:
            answer.is_complete = True
            return


def main(case, record):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it could not run."""
    scene = Scene(record)
    status = 2
    try:
        status = asyncio.run(asyncio.wait_for(case(scene), 110))
    except CannotRun as exc:
        scene.say(f"could not run: {exc}")
    except (OSError, TimeoutError) as exc:
        scene.say(f"could not run: {exc!r}")
    finally:
        verdict = {0: "rule held", 1: "RULE BROKEN", 2: "could not run"}[status]
        scene.say(f"verdict: {verdict}")
        print(verdict)
        scene.close()
    sys.exit(status)
