"""Prompts with one part crash each runner that begins to write an answer on it.

A runner that crashes so has sent nothing yet. With HEAD=1, it has sent the head of its
answer before; that is a comparison, not the case.
"""

import asyncio
import itertools
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import BROKEN, HELD, NOT_RUN, HttpStandIn, read_head, response, run_case

HOST, KEY, MODEL = "match.example", "key-1", "m-1"
GATEWAYS, RUNNERS, SLOTS = 3, 6, 16
SOUND_PER_SECOND, DEADLY_PER_SECOND = 12, 2
SECONDS = 40.0
DOWN_SECONDS = 4.0
HEARTBEAT_SECONDS = 1.2
CONTACT_SECONDS = 3.0
# The rule: after the fifth crash and `ContactMs`, more than three.
CRASHES, ALLOWED = 5, 3
SHARED_PART, DEADLY_PART = "aa01", "dead01"
SUBJECTS = [f"bb{number:02x}" for number in range(12)]
READ_SECONDS, EVENT_SECONDS, EVENTS = 0.04, 0.05, 6
SENDS_HEAD_FIRST = os.environ.get("HEAD") == "1"


class Engine(HttpStandIn):
    """A model runner, which registers itself in the store."""

    def __init__(self, number, deployment, log):
        super().__init__()
        self.number = number
        self.log = log
        self._deployment = deployment
        self._starts = itertools.count(1)
        self.name = ""
        self._is_up = False
        self._sequence = 0

    async def come_up(self):
        await self.start(f"{self._deployment.network}.{100 + self.number}")
        self.name = f"i-{self.number}-{next(self._starts)}"
        self._born = int(time.time() * 1000)
        self._is_up = True
        self._write_entry()
        self._deployment.record(f"up {self.name}")

    def _write_entry(self):
        models = {"Name": MODEL, "Version": 1, "Adapters": []}
        models["layers"] = [{"From": 0, "Target": 16, "Version": 1}]
        entry = {
            "Service": "model",
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": ["zone-a", "zone-b", "zone-c"][self.number % 3],
            "Version": "v1",
            "Slots": SLOTS,
            "State": "ready",
            "ColdLeftMs": 0,
            "Sequence": 1,
            "Models": [models],
            "born": self._born,
        }
        self._deployment.store.write("servers", self.name, entry)

    def crash(self):
        """End at once; the entry lapses, and a new incarnation comes later."""
        if not self._is_up:
            return
        self._is_up = False
        self._deployment.record(f"CRASH {self.name}")
        self.log["crashes"].append(time.monotonic())
        loop = asyncio.get_running_loop()
        lapsed = self.name
        loop.call_later(
            3 * HEARTBEAT_SECONDS,
            lambda: self._deployment.store.remove("servers", lapsed),
        )
        loop.call_later(DOWN_SECONDS, lambda: asyncio.ensure_future(self.come_up()))
        self.close()

    async def answer(self, method, target, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance") != self.name:
            writer.write(response(421, [("attempt-id", attempt)]))
            return
        is_deadly = DEADLY_PART in headers.get("prompt-prefix", "")
        self._deployment.record(
            f"arrives {attempt} at {self.name}{' DEADLY' if is_deadly else ''}"
        )
        if is_deadly:
            self.log["deadly"].append((attempt, time.monotonic()))
        await asyncio.sleep(READ_SECONDS)
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {attempt}",
            f"Response-Seal: seal.{attempt}",
            "Content-Type: text/event-stream",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        ]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        crashes = is_deadly and self.log["crash"]
        if crashes and SENDS_HEAD_FIRST:
            writer.write(head)
            await writer.drain()
            await asyncio.sleep(0.01)
        if crashes:
            self.crash()
            raise ConnectionError("crashed")
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write(head)
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")


def configuration():
    return {
        "Version": 3,
        "Routes": [
            {
                "Name": "match",
                "Host": HOST,
                "PathPrefix": "/match/",
                "Kind": "stream",
                "TimeoutMs": 6_000,
                "SloMs": 500,
                "GapAimMs": 400,
                "Priority": 1,
                "MaxAttempts": 2,
                "Sticky": True,
                "Resumable": True,
                "Service": "model",
            }
        ],
        "Services": [
            {
                "Name": "model",
                "MaxConns": 434,
                "HealthPath": "/health",
                "Engine": {
                    "Slots": SLOTS,
                    "KvTokens": 317000,
                    "Stride": 5,
                    "step_ms": 9.27,
                    "read_per_s": 20700.0,
                    "layers": 16,
                    "Models": [{"Name": MODEL}],
                },
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "t-1", "ApiKeys": [KEY]}],
    }


async def ask(record, gateway, attempt, parts, outcomes):
    prefix = ",".join(f"{part}:{tokens}" for part, tokens in parts)
    status = 0
    try:
        async with asyncio.timeout(7.0):
            reader, writer = await asyncio.open_connection(
                gateway["ip"], gateway["ports"]["Frontend"]
            )
            try:
                head = (
                    f"POST /match/{attempt} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Attempt-Id: {attempt}\r\nDeadline-Ms: 6000\r\nModel: {MODEL}\r\n"
                    f"Token-Counts: {sum(n for _, n in parts)},30\r\n"
                    f"Prompt-Prefix: {prefix}\r\nX-Api-Key: {KEY}\r\n"
                    "Content-Length: 4\r\n\r\nlid?"
                )
                writer.write(head.encode())
                answer = await read_head(reader)
                if answer is not None:
                    status = int(answer[0].split(" ")[1])
                    while status == 200 and await reader.read(65_536):
                        if reader.at_eof():
                            break
                        if await ends_soon(reader):
                            break
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError) as exc:
        record(f"answer {attempt}: {exc!r}")
    record(f"answer {attempt} of {gateway['name']}: {status}")
    outcomes[status] = outcomes.get(status, 0) + 1


async def ends_soon(reader):
    """Return whether nothing more has come for longer than between two events."""
    try:
        async with asyncio.timeout(1.0):
            return not await reader.read(65_536)
    except TimeoutError:
        return True


async def play(deployment, has_trouble):
    record = deployment.record
    log = {"crashes": [], "deadly": [], "crash": has_trouble}
    await deployment.start_store()
    deployment.store.write("config", "main", configuration())
    deployment.store.write("versions", MODEL, {"Model": MODEL, "Version": 1})
    engines = [Engine(number, deployment, log) for number in range(RUNNERS)]
    for engine in engines:
        await engine.come_up()
    deployment.plan_gateways(GATEWAYS)
    deployment.start_gateways()
    await deployment.wait_until_ready()
    await asyncio.sleep(4.0)
    rng = random.Random(7)
    outcomes, deadly_outcomes, tasks, sent_at = {}, {}, set(), {}
    started_at = time.monotonic()

    def send(kind, number):
        attempt = f"{kind}{number:06x}"
        subject = rng.choice(SUBJECTS)
        parts = [(SHARED_PART, 40), (subject, 100)]
        if kind == "d":
            parts.append((DEADLY_PART, 300))
        parts.append((f"cc{kind}{number:06x}", 400))
        sent_at[attempt] = time.monotonic()
        gateway = rng.choice(deployment.gateways)
        counts = deadly_outcomes if kind == "d" else outcomes
        task = asyncio.ensure_future(ask(record, gateway, attempt, parts, counts))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    sound = deadly = 0
    while (elapsed := time.monotonic() - started_at) < SECONDS:
        if sound < elapsed * SOUND_PER_SECOND:
            send("s", sound := sound + 1)
        # The first ones come after the sound ones have run for a while.
        if deadly < (elapsed - 3.0) * DEADLY_PER_SECOND:
            send("d", deadly := deadly + 1)
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    for engine in engines:
        engine.close()
    record(f"sound requests by status: {outcomes}")
    record(f"deadly requests by status: {deadly_outcomes}")
    crashes = sorted(log["crashes"])
    record(f"{len(crashes)} crashes, {len(log['deadly'])} deadly arrivals")
    if not has_trouble:
        return HELD if not crashes else NOT_RUN
    if len(crashes) < CRASHES:
        return HELD
    bound = crashes[CRASHES - 1] + CONTACT_SECONDS
    # Both the sending by the client and the arrival have to be later.
    late = [a for a, at in log["deadly"] if at > bound and sent_at[a] > bound]
    record(f"{len(late)} arrivals later than {CONTACT_SECONDS} s after the fifth crash")
    return BROKEN if len(late) > ALLOWED else HELD


if __name__ == "__main__":
    run_case(play, sys.argv[1] if sys.argv[1:] else FOLDER / "record.txt")
