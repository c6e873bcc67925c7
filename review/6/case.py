"""Configurations of many routes in quick succession."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import standins as s  # noqa: E402

# The front machines of the site.
MEMORY_MB = 300
# The routes that the site begins with, and those of `big_config`, three times.
ROUTES = 110 + 3 * 392
# The pause of `config_storm`.
GAP_S = 0.33
SECONDS = 90.0


def configuration(version):
    routes = [s.route("desk", "/desk/", "desk")]
    routes += [
        s.stream_route(
            f"r-{number:06x}",
            f"/xapu{number}/ny{number}/",
            "desk",
            Host=f"host{number % 20}.example",
            Anonymous=False,
            AllowedRegions=[],
        )
        for number in range(ROUTES)
    ]
    return s.configuration(version, routes, ["desk"])


async def case(record, folder):
    store = s.Store()
    await store.start()
    runner = s.Runner("i-0", "desk")
    runner.work_s = 1.0
    await runner.start()
    store.write("servers", runner.name, runner.entry())
    store.write("config", "main", configuration(1))
    size = len(json.dumps(configuration(1)))
    record(
        f"a configuration has {ROUTES + 1} routes and {size} bytes (limit 1,048,576)"
    )
    front = s.Front("front-1", folder, store, memory_mb=MEMORY_MB)
    front.write_settings(front.peer_port)
    front.spawn()
    limit = callers = None
    try:
        await front.wait_ready()
        record(f"version 1: peak memory of the process {front.peak_mb():.0f} MB")
        callers = s.Kept(front, [runner], record)
        # More than `ContactMs`.
        await asyncio.sleep(4)
        limit = s.MemoryLimit(front, record)
        until = time.monotonic() + SECONDS
        version = 1
        while time.monotonic() < until and not limit.kills:
            if s.TROUBLE:
                version += 1
                store.write("config", "main", configuration(version))
            await asyncio.sleep(GAP_S)
            # The store keeps 20 s of history.
            del store.history[: -int(20 / GAP_S)]
            store.oldest = store.history[0][0] - 1
            if s.TROUBLE and version % 30 == 0:
                record(f"version {version}: peak {front.peak_mb():.0f} MB")
        await asyncio.sleep(1)
        record(f"after {version - 1} changes: killed {limit.kills} times")
        callers.report()
        return len(callers.lost) > 3
    finally:
        for task in (limit, callers):
            if task is not None:
                task.stop()
        front.kill()
        store.stop()
        runner.stop()


s.main(case, FOLDER / "record.txt")
