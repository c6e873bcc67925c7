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
SECONDS = 95.0


def configuration(version):
    routes = [s.route("desk", "/desk/", "desk", "safe")]
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
    try:
        await front.wait_ready()
        record(f"version 1: peak memory of the process {front.peak_mb():.0f} MB")
        until = time.monotonic() + SECONDS
        version = 1
        answers = {}
        while time.monotonic() < until and front.peak_mb() <= MEMORY_MB:
            if s.TROUBLE:
                version += 1
                store.write("config", "main", configuration(version))
            await asyncio.sleep(GAP_S)
            headers = s.request_headers(s.attempt_id())
            answer = await s.ask(front.address, "GET", "/desk/x", headers)
            answers[answer.status] = answers.get(answer.status, 0) + 1
            # The store keeps 20 s of history.
            del store.history[: -int(20 / GAP_S)]
            store.oldest = store.history[0][0] - 1
            if version % 30 == 0:
                record(f"version {version}: peak {front.peak_mb():.0f} MB")
        record(f"after {version - 1} changes: peak {front.peak_mb():.0f} MB")
        record(f"ordinary requests: {answers}")
        return front.peak_mb() > MEMORY_MB
    finally:
        front.kill()
        store.stop()
        runner.stop()


s.main(case, FOLDER)
