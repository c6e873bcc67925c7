"""One runner is in trouble: the bodies of its streams are short lines without end."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import BROKEN, HELD, HttpStandIn, read_head, response, run_case

KEY, MODEL = "key-1", "m-1"
GATEWAYS, ENGINES, DESKS = 3, 6, 3
STREAMS_PER_SECOND, LOOKS_PER_SECOND = 12, 30
BEFORE_SECONDS, AFTER_SECONDS = 5.0, 25.0
EVENTS, EVENT_SECONDS = 6, 0.05
LOOK_TIMEOUT_MS = 1_000
# The rule asks for an answer within this time after the route's timeout.
LATE_SECONDS = 0.5
GARBAGE = b"error\n\n" * 9_362


class Runner(HttpStandIn):
    """A runner that may be in trouble: its bodies are no answer then."""

    def __init__(self, name, record):
        super().__init__()
        self.name = name
        self.record = record
        self.is_in_trouble = False

    async def answer(self, method, target, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance") != self.name:
            writer.write(response(421, [("attempt-id", attempt)]))
            return
        self.record(f"run {attempt} at {self.name}")
        await asyncio.sleep(0.02)
        seal = [("attempt-id", attempt), ("response-seal", f"seal.{attempt}")]
        if target.startswith("/look/"):
            writer.write(response(200, seal, b"in stock"))
            return
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in seal)]
        lines += ["content-type: text/event-stream", "weight-versions: 1"]
        lines += ["transfer-encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        while self.is_in_trouble:
            # Until the caller closes.
            write_chunk(writer, GARBAGE)
            await writer.drain()
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            write_chunk(writer, f"id: {number}\ndata: {attempt}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")


def write_chunk(writer, data):
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def configuration():
    match = {
        "Name": "match",
        "Host": "match.example",
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
    look = {
        "Name": "look",
        "Host": "desk.example",
        "PathPrefix": "/look/",
        "Kind": "safe",
        "TimeoutMs": LOOK_TIMEOUT_MS,
        "SloMs": 130,
        "Priority": 2,
        "MaxAttempts": 2,
        "Service": "desk",
    }
    engine = {
        "Slots": 16,
        "KvTokens": 317000,
        "Stride": 5,
        "step_ms": 9.27,
        "read_per_s": 20700.0,
        "layers": 16,
        "Models": [{"Name": MODEL}],
    }
    return {
        "Version": 3,
        "Routes": [match, look],
        "Services": [
            {"Name": "model", "MaxConns": 434, "HealthPath": "/h", "Engine": engine},
            {"Name": "desk", "MaxConns": 110, "HealthPath": "/h"},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "t-1", "ApiKeys": [KEY]}],
    }


def server_entry(runner, service, number):
    entry = {
        "Service": service,
        "Address": f"{runner.address[0]}:{runner.address[1]}",
        "Zone": ["zone-a", "zone-b", "zone-c"][number % 3],
        "Version": "v1",
        "Slots": 16 if service == "model" else 6,
        "State": "ready",
        "ColdLeftMs": 0,
        "Sequence": 1,
        "born": 1_700_000_000_000 + number,
    }
    if service == "model":
        models = {"Name": MODEL, "Version": 1, "Adapters": []}
        models["layers"] = [{"From": 0, "Target": 16, "Version": 1}]
        entry["Models"] = [models]
    return entry


async def ask(record, gateway, attempt, is_stream, answered_after):
    """Send a request; note after how many seconds its answer began, None for never."""
    started_at = time.monotonic()
    status, seconds = 0, None
    if is_stream:
        start = f"POST /match/{attempt} HTTP/1.1\r\nHost: match.example\r\n"
        rest = (
            f"Deadline-Ms: 6000\r\nModel: {MODEL}\r\nToken-Counts: 440,30\r\n"
            f"Prompt-Prefix: aa01:40,bb{attempt}:400\r\n"
            "Content-Length: 4\r\n\r\nlid?"
        )
    else:
        start = f"GET /look/{attempt} HTTP/1.1\r\nHost: desk.example\r\n"
        rest = "Deadline-Ms: 8000\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(8.0):
            reader, writer = await asyncio.open_connection(
                gateway["ip"], gateway["ports"]["Frontend"]
            )
            head = f"{start}Attempt-Id: {attempt}\r\nX-Api-Key: {KEY}\r\n{rest}"
            writer.write(head.encode())
            answer = await read_head(reader)
            seconds = time.monotonic() - started_at
            if answer is not None:
                status = int(answer[0].split(" ")[1])
            if is_stream and status == 200:
                async with asyncio.timeout(1.5):
                    while await reader.read(1 << 20):
                        pass
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    shown = "none" if seconds is None else f"{status} after {seconds:.2f} s"
    record(f"answer {attempt} of {gateway['name']}: {shown}")
    if not is_stream:
        answered_after.append(seconds)


async def play(deployment, has_trouble):
    record = deployment.record
    await deployment.start_store()
    store = deployment.store
    store.write("config", "main", configuration())
    store.write("versions", MODEL, {"Model": MODEL, "Version": 1})
    runners = []
    for service, count in (("model", ENGINES), ("desk", DESKS)):
        for number in range(count):
            runner = Runner(f"i-{service}-{number}", record)
            await runner.start(f"{deployment.network}.5")
            store.write("servers", runner.name, server_entry(runner, service, number))
            runners.append(runner)
    deployment.plan_gateways(GATEWAYS)
    deployment.start_gateways()
    await deployment.wait_until_ready()
    await asyncio.sleep(4.0)
    tasks, answered_after = set(), []
    started_at = time.monotonic()
    streams, looks = itertools.count(), itertools.count()
    sent = {True: 0, False: 0}

    def send(is_stream):
        sent[is_stream] += 1
        number = next(streams if is_stream else looks)
        gateway = deployment.gateways[number % GATEWAYS]
        attempt = f"{'f' if is_stream else 'e'}{number:06x}"
        task = asyncio.ensure_future(
            ask(record, gateway, attempt, is_stream, answered_after)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    while (elapsed := time.monotonic() - started_at) < BEFORE_SECONDS + AFTER_SECONDS:
        if has_trouble and elapsed > BEFORE_SECONDS and not runners[0].is_in_trouble:
            record(f"{runners[0].name} is in trouble")
            runners[0].is_in_trouble = True
        if sent[True] < elapsed * STREAMS_PER_SECOND:
            send(True)
        if sent[False] < elapsed * LOOKS_PER_SECOND:
            send(False)
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    for runner in runners:
        runner.close()
    timeout = LOOK_TIMEOUT_MS / 1000
    unanswered = [s for s in answered_after if s is None or s > timeout]
    late = [s for s in unanswered if s is None or s > timeout + LATE_SECONDS]
    longest = max((s for s in answered_after if s is not None), default=0.0)
    record(
        f"{sent[False]} requests to the sound service; {len(unanswered)} unanswered at"
        f" their route's timeout, {len(late)} of them 0.5 s later; longest {longest:.1f} s"
    )
    return BROKEN if len(late) > len(unanswered) / 2 else HELD


if __name__ == "__main__":
    run_case(play, sys.argv[1] if sys.argv[1:] else FOLDER / "record.txt")
