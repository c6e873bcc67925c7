"""Stand-in of a runner, as PROTOCOL.md tells it; one process is one runner.

    python3 runner.py '{"id": ..., "host": ..., "port": ..., "store": [HOST, PORT], ...}'

It writes its entry into the store at its start and each heartbeat, runs what names it
in `Expect-Instance`, and prints a line of JSON for each run (`began`, `piece`, `ended`)
with the time of the machine's monotonic clock.

Fields of the argument, all but the first four optional:

- `service`, `zone`, `slots`, `version` (of the weights of `model`, 0 for a plain runner)
- `pieces`, `piece_gap_s`: the events of a stream, and the time between two of them
- `work_s`: the time until the first event of a stream, or until a plain answer
- `unframed_resumed`: answers to `Last-Event-Id` have neither a length nor chunks
- `pause_file`, `pause_s`: while this file exists, the runner falls silent for so long
  between the head of a stream and its first event
- `version_file`: from when this file exists, the runner holds the version in it, as if
  its agent had ordered the load
- `drain_file`: from when this file exists, the runner says that it leaves, in its entry
  and in all its answers
- `cold_s`: for so long after its start the runner is cold
- `deadly_part`: the runner crashes when it begins to write an answer on this part of a
  prompt
- `late_head`: the head of a stream goes out with its first token and not before
- `beats`: false for a runner that another one writes for
"""

import asyncio
import json
import os
import sys
import time

from httpmini import call, encode_response, serve

HEARTBEAT_SECONDS = 1.2

CFG = json.loads(sys.argv[1])
STREAM_PIECES = CFG.get("pieces", 8)
PIECE_GAP = CFG.get("piece_gap_s", 0.1)
WORK = CFG.get("work_s", 0.02)
MODEL = CFG.get("model", "m0")
STARTED_AT = time.monotonic()
BORN = time.time_ns() // 1_000_000


def version():
    """Return the version of the weights that the runner holds."""
    path = CFG.get("version_file")
    if path and os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            return int(file.read())
    return CFG.get("version", 0)


def is_leaving():
    """Return whether the runner leaves."""
    path = CFG.get("drain_file")
    return bool(path) and os.path.exists(path)


def cold_left_ms():
    """Return for how many milliseconds the runner stays cold."""
    left = CFG.get("cold_s", 0.0) - (time.monotonic() - STARTED_AT)
    return max(0, round(left * 1000))


def say(event, **fields):
    """Print a line of the record."""
    fields |= {"at": time.monotonic(), "event": event, "runner": CFG["id"]}
    print(json.dumps(fields), flush=True)


def entry(sequence):
    """Return the entry in the store."""
    models = []
    if held := version():
        layers = [{"From": 0, "Target": 16, "Version": held}]
        models = [{"Name": MODEL, "Version": held, "Adapters": [], "layers": layers}]
    return {
        "Service": CFG.get("service", "plain"),
        "Address": f"{CFG['host']}:{CFG['port']}",
        "Zone": CFG.get("zone", "a"),
        "Version": "v1",
        "Slots": CFG.get("slots", 16),
        "State": "draining" if is_leaving() else "ready",
        "ColdLeftMs": cold_left_ms(),
        "Stage": "both",
        "Models": models,
        "Sequence": sequence,
        "born": BORN,
    }


async def beat():
    """Write the entry at each heartbeat."""
    sequence = 0
    address = tuple(CFG["store"])
    while True:
        sequence += 1
        spec = entry(sequence)
        body = {"Metadata": {"Name": CFG["id"]}, "Spec": spec}
        target = "/v1/objects/servers"
        try:
            status, _ = await call(address, "POST", target, body)
            if status == 409:
                await call(address, "PUT", f"{target}/{CFG['id']}", body)
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(HEARTBEAT_SECONDS)


def own_headers(message):
    """Return the headers of an answer to a request that runs."""
    headers = {
        "Attempt-Id": message.get("attempt-id"),
        "Response-Seal": f"seal.{CFG['id']}.{message.get('attempt-id')}",
    }
    if is_leaving():
        headers["Server-Leaving"] = "1"
    if held := version():
        headers["Weight-Versions"] = str(held)
    return headers


async def handle(message, _reader, writer):
    """Answer one request."""
    method, target, _ = message.start.split()
    if message.get("expect-instance", CFG["id"]) != CFG["id"]:
        writer.write(encode_response(421, {"Instance-Id": CFG["id"]}, b""))
        await writer.drain()
        return True
    fields = {"id": message.get("attempt-id"), "method": method, "target": target}
    if is_deadly(message):
        fields["deadly"] = True
    say("arrived", **fields, last=message.get("last-event-id"))
    if target.startswith("/stream"):
        return await stream(message, writer, fields)
    say("began", **fields)
    await asyncio.sleep(WORK)
    writer.write(encode_response(200, own_headers(message), b"x" * 800))
    await writer.drain()
    say("ended", **fields)
    return True


def is_deadly(message):
    """Return whether the prompt holds the part that crashes runners."""
    entries = message.get("prompt-prefix").split(",")
    parts = [entry.partition(":")[0] for entry in entries]
    return CFG.get("deadly_part", "") in parts[:-1]


async def stream(message, writer, fields):
    """Answer with events; the request begins to run with its first token."""
    last = int(message.get("last-event-id") or 0)
    is_unframed = bool(last and CFG.get("unframed_resumed"))
    headers = own_headers(message) | {"Content-Type": "text/event-stream"}
    if is_unframed:
        headers["Connection"] = "close"
    else:
        headers["Transfer-Encoding"] = "chunked"
    lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items())]
    if CFG.get("late_head"):
        # The head goes out with the first token.
        await asyncio.sleep(WORK)
        if is_deadly(message):
            say("crashed", **fields)
            os._exit(1)
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    await writer.drain()
    say("head", **fields, last=last, unframed=is_unframed)
    pause_file = CFG.get("pause_file")
    if pause_file and os.path.exists(pause_file):
        say("pause", **fields)
        await asyncio.sleep(CFG["pause_s"])
    await asyncio.sleep(WORK)
    if is_deadly(message):
        say("crashed", **fields)
        os._exit(1)
    for number in range(last + 1, STREAM_PIECES + 1):
        if number == last + 1:
            say("began", **fields, version=version(), last=last)
        else:
            await asyncio.sleep(PIECE_GAP)
        event = f"id: {number}\ndata: piece {number} of {STREAM_PIECES}\n\n".encode()
        if not is_unframed:
            event = b"%x\r\n%b\r\n" % (len(event), event)
        writer.write(event)
        await writer.drain()
    if not is_unframed:
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    say("ended", **fields)
    return not is_unframed


async def main():
    """Serve until killed."""
    server = await serve(CFG["host"], CFG["port"], handle)
    say("started", pid=os.getpid())
    async with server:
        if CFG.get("beats", True):
            await beat()
        else:
            await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
