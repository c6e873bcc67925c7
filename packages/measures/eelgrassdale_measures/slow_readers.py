"""200 callers that stop reading beside normal load.

Targets: the memory held for callers stays within its bound, and the 95th
percentile of the normal callers is at most 1.2 times the one without the
stopped readers. The baseline is a CherryPy server whose threads write streamed
bodies themselves, which has no such bound either.
"""

import contextlib
import os
import socket
import sys
import time
from collections.abc import Iterable, Iterator
from pathlib import Path

import attrs

from eelgrassdale.catalog import ClientAccount, DataCentre, Service, ServiceKind
from eelgrassdale.wire.client import parse_address
from eelgrassdale_measures.callerload import (
    CallerProcesses,
    CallerResult,
    CallerSpec,
    merged,
)
from eelgrassdale_standins import control
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.processes import (
    Command,
    Ports,
    Process,
    wait_until,
)
from eelgrassdale_standins.topology import (
    MEBIBYTE,
    AgentSpec,
    EntrySpec,
    ModelSpec,
    Topology,
)

READERS = 200
BOUND_BYTES = 16 * MEBIBYTE
BODY_BYTES = 4 * MEBIBYTE
RECEIVE_BUFFER_BYTES = 4096
PHASE_SECONDS = 5.0
# Later than the phase beside the stopped readers ends.
CUT_SECONDS = 12
BASELINE_SECONDS = 4.0
BASELINE_TIMEOUT_SECONDS = 2.0
LIDS = "lids"
PORTAL = "portal"
ARCHIVE = "archive"
ENTRY = "entry-0"


def topology() -> Topology:
    """Return one entry node, and a service for the large bodies of its own."""
    model = ModelSpec(version="lid-1", size_bytes=MEBIBYTE)
    slots = {"cold_slots": 2 * READERS, "max_slots": 2 * READERS}
    return Topology(
        data_centres=(DataCentre(name="n1", region="n"),),
        services=(
            Service(name=LIDS, kind=ServiceKind.MODEL, cold_slots=16, max_slots=16),
            Service(name=PORTAL, kind=ServiceKind.PLAIN, cold_slots=32, max_slots=32),
            Service(
                name=ARCHIVE,
                kind=ServiceKind.PLAIN,
                queue_limit=2 * READERS,
                memory_bytes=1024 * MEBIBYTE,
                **slots,
            ),
        ),
        accounts=(ClientAccount(name="steady"), ClientAccount(name="stopped")),
        entries=(EntrySpec(name=ENTRY, data_centre="n1"),),
        agents=tuple(
            AgentSpec(name=f"{service}-{number}", data_centre="n1", service=service)
            for service, count in ((LIDS, 2), (PORTAL, 1), (ARCHIVE, 2))
            for number in range(count)
        ),
        models=(model,),
        backend_options={
            PORTAL: ("--delay-seconds", 0.005),
            ARCHIVE: ("--threads", 2 * READERS),
        },
    )


def normal_load(address: str, weights: dict[str, str]) -> tuple[CallerSpec, ...]:
    """Return the callers that keep reading."""
    common = {
        "addresses": (address,),
        "accounts": ("steady",),
        "weights": weights,
        "seconds": PHASE_SECONDS,
    }
    return (
        CallerSpec(kind="generate", service=LIDS, threads=6, **common),
        CallerSpec(kind="call", service=PORTAL, threads=4, **common),
        CallerSpec(kind="health", threads=1, pause_seconds=0.05, **common),
    )


@contextlib.contextmanager
def stopped_readers(address: str) -> Iterator[list[socket.socket]]:
    """Open callers that ask for a large body and never read it."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(READERS):
            found.append(stack.enter_context(_stopped_reader(address)))
        yield found


def _stopped_reader(address: str) -> socket.socket:
    parsed = parse_address(address)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(10)
    sock.connect((parsed.host, parsed.port))
    sock.sendall(
        f"GET /v1/services/{ARCHIVE}/call/bytes/{BODY_BYTES} HTTP/1.1\r\n"
        f"Host: {address}\r\nX-Client-Account: stopped\r\n\r\n".encode()
    )
    return sock


def run() -> Iterable[dict]:
    """Measure the entry node, then the baseline."""
    with _environment(
        EELGRASSDALE_READER_MEMORY_BYTES=str(BOUND_BYTES),
        EELGRASSDALE_SLOW_READER_SECONDS=str(CUT_SECONDS),
    ):
        yield {"variant": "writer task", **measure_entry_node()}
    yield {"variant": "baseline: CherryPy threads write", **measure_baseline()}


def measure_entry_node() -> dict:
    """Return the figures of the entry node."""
    with Deployment(topology()) as deployment, CallerProcesses(3) as processes:
        address = deployment.addresses.caller[ENTRY]
        weights = {m.version: m.weights().loaded_digest for m in topology().models}
        load = normal_load(address, weights)
        processes.run(*(attrs.evolve(spec, seconds=1.0) for spec in load))
        without = [processes.run(*load)]
        with stopped_readers(address):
            wait_until_stalled(deployment)
            beside = processes.run(*load)
            wait_until(
                lambda: counter(deployment, "slow_readers_cut") >= READERS,
                seconds=20,
                what="the stopped readers are cut",
            )
        without.append(processes.run(*load))
        return {
            **figures([merged(parts) for parts in zip(*without, strict=True)], beside),
            "peak_bytes": counter(deployment, "reader_bytes_peak"),
            "bound_bytes": BOUND_BYTES,
            "violations": deployment.violations(),
        }


def wait_until_stalled(deployment: Deployment) -> None:
    """Wait until the buffers of all stopped readers are full.

    Filling them is a burst of large answers, which is not what is measured.
    """
    seen = [0]

    def is_stalled() -> bool:
        seen.append(counter(deployment, "reader_bytes"))
        return 0 < seen[-1] == seen[-2]

    wait_until(is_stalled, seconds=10, what="all readers are stalled", every=0.5)


def figures(without: list[CallerResult], beside: list[CallerResult]) -> dict:
    """Return the percentiles without and beside the stopped readers."""
    names = ("generate", "call", "health")
    # None for callers that got no answer at all, since JSON has no infinity.
    ratio = (
        round(
            max(
                after.p95_ms() / before.p95_ms()
                for before, after in zip(without, beside, strict=True)
            ),
            3,
        )
        if all(after.whole for after in beside)
        else None
    )
    found: dict = {"readers": READERS, "p95_ratio": ratio}
    for name, before, after in zip(names, without, beside, strict=True):
        found[f"{name}_p95_ms"] = [round(r.p95_ms(), 1) for r in (before, after)]
    found["answers"] = [sum(r.whole for r in results) for results in (without, beside)]
    found["failed"] = sum(result.failed() for result in beside)
    return found


def counter(deployment: Deployment, name: str) -> int:
    """Return a counter of the entry node."""
    return deployment.status(ENTRY).counters.get(name, 0)


def measure_baseline() -> dict:
    """Return the figures of a server whose threads write the bodies."""
    ports = Ports()
    address = ports.new_address()
    module = "eelgrassdale_measures.threadbaseline"
    arguments = (sys.executable, "-m", module, "--address", address)
    process = Process(
        Command(name="baseline", arguments=arguments, log=Path(os.devnull))
    )
    try:
        wait_until(
            lambda: control.is_healthy(address, "/v1/health"),
            seconds=10,
            what="the baseline answers",
        )
        load = tuple(
            attrs.evolve(
                spec,
                kind="call" if spec.kind == "generate" else spec.kind,
                seconds=BASELINE_SECONDS,
                timeout_seconds=BASELINE_TIMEOUT_SECONDS,
            )
            for spec in normal_load(address, {})
        )
        with CallerProcesses(3) as processes:
            without = processes.run(*load)
            with stopped_readers(address):
                time.sleep(1.0)
                beside = processes.run(*load)
        return figures(without, beside)
    finally:
        process.kill()
        ports.close()


@contextlib.contextmanager
def _environment(**values: str) -> Iterator[None]:
    before = {name: os.environ.get(name) for name in values}
    os.environ.update(values)
    try:
        yield
    finally:
        for name, value in before.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value
