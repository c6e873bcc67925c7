"""DRAIN: requests reach a runner that leaves, and are lost. See claim.txt."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import httpmini  # noqa: E402
import scene as s  # noqa: E402

sys.path.insert(0, str(s.ROOT / "target" / "deps"))

# ZONES=3 plays the same with 40 gateways in three zones, and four of them frozen.
ZONE_COUNT = int(os.environ.get("ZONES", "1"))
ZONES = {zone: f"r{zone}" for zone in "abc"[:ZONE_COUNT]}
NAMES = [f"g-{number:02d}" for number in range(1, 21 if ZONE_COUNT == 1 else 41)]
GATEWAYS = {name: "abc"[n % ZONE_COUNT] for n, name in enumerate(NAMES)}
FREEZE_SECONDS = 4.0
DRAIN_SECONDS = s.BOUNDS["DrainMs"] / 1000
# The runner serves on for a little longer than `DrainMs`, and then exits.
EXIT_AFTER = 2.6
FIRST_REQUEST, LAST_REQUEST = 2.15, 2.5


def gateways_to_freeze():
    """Return a tenth of the gateways.

    They are the two that watch the store for zone a, and the one of each other zone
    that reports to it.
    """
    from eelgrassdale.hashing import rendezvous_order
    from eelgrassdale_gateway.sharedsource import select_watchers

    members = {zone: [g for g in NAMES if GATEWAYS[g] == zone] for zone in ZONES}
    chosen = list(select_watchers("a", members["a"]))
    for zone in list(ZONES)[1:]:
        chosen += rendezvous_order(key=f"report/{zone}", members=members[zone])[:1]
    return chosen


async def case(scene):
    """Freeze a tenth of the gateways as a runner says that it leaves."""
    scene.start_store()
    route = s.route(
        "r1", "app.example", "/order/", "desk", "unsafe", MaxAttempts=1, Resumable=False
    )
    await scene.write("config", "main", s.configuration([route], [s.plain_service("desk")]))
    drain_file = scene.path / "drain"
    for name in ("i-stays", "i-leaves"):
        cfg = {"service": "desk", "slots": 6, "work_s": 0.25}
        if name == "i-leaves":
            cfg["drain_file"] = str(drain_file)
        scene.start_runner(name, **cfg)
    hosts = scene.start_gateways(NAMES, zones=ZONES, zone_of=GATEWAYS)
    for host in hosts.values():
        await scene.wait_ready(host)
    # Until each gateway knows the others, and follows those that watch the store.
    await asyncio.sleep(8.0)
    frozen = gateways_to_freeze()
    if s.trouble():
        for name in frozen:
            scene.kill(name, s.signal.SIGSTOP)
    await asyncio.sleep(0.05)
    status, item = await httpmini.call(
        scene.store, "GET", "/v1/objects/servers/i-leaves"
    )
    if status != 200:
        raise s.CannotRun("the runner has no entry")
    drain_file.write_text("")
    acked_at = await scene.write(
        "servers", "i-leaves", item["Spec"] | {"State": "draining"}
    )

    async def until(seconds):
        await asyncio.sleep(max(0.0, acked_at + seconds - time.monotonic()))

    async def ends():
        await until(EXIT_AFTER)
        scene.kill("i-leaves")
        if s.trouble():
            await until(FREEZE_SECONDS)
            for name in frozen:
                scene.kill(name, s.signal.SIGCONT)

    ending = asyncio.ensure_future(ends())
    calm = [g for g in NAMES if GATEWAYS[g] == "a" and g not in frozen]
    step = (LAST_REQUEST - FIRST_REQUEST) / len(calm)
    tasks = []
    for number, name in enumerate(calm):
        # It is a quiet hour: one reservation at each gateway.
        await until(FIRST_REQUEST + number * step)
        request = s.send(
            scene,
            hosts[name],
            "/order/a",
            method="POST",
            body=b"{}",
            deadline_ms=1043,
        )
        tasks.append(asyncio.ensure_future(request))
    answers = await asyncio.gather(*tasks)
    await ending
    late = [
        e
        for e in scene.events
        if e["event"] == "arrived"
        and e["runner"] == "i-leaves"
        and e["at"] > acked_at + DRAIN_SECONDS
    ]
    ended = {
        e["id"]
        for e in scene.events
        if e["event"] == "ended" and e["runner"] == "i-leaves"
    }
    for event in late:
        scene.say(
            f"DRAIN: {event['id']} reached the leaving runner "
            f"{event['at'] - acked_at:.3f} s after its entry was acknowledged"
        )
    lost = [e["id"] for e in late if e["id"] not in ended]
    failed = sum(a.status != 200 for a in answers)
    scene.say(
        f"{len(late)} requests came too late, {len(lost)} of them were cut off as the "
        f"runner exited; {failed} of {len(answers)} clients got no 200"
    )
    if not any(a.status == 200 for a in answers):
        raise s.CannotRun("no request was served")
    return 1 if late else 0


if __name__ == "__main__":
    s.main(case, FOLDER / "record.txt")
