"""Effect of 200 callers that stop reading on callers with normal load.

Targets: the memory held for callers stays within its bound, and the 95th
percentile of the latency of the normal callers is at most 1.2 times the one
without stalled readers. The baseline is a CherryPy server whose threads write
the streamed bodies themselves; it has no such memory bound either.
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
    merge_results,
)
from eelgrassdale_standins import control
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.processes import (
    Command,
    PortReservation,
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

READER_COUNT = 200
READER_MEMORY_BYTES = 16 * MEBIBYTE
BODY_BYTES = 4 * MEBIBYTE
RECEIVE_BUFFER_BYTES = 4096
PHASE_SECONDS = 5.0
# Stalled readers are disconnected only after the phase measured beside them.
SLOW_READER_SECONDS = 12
BASELINE_SECONDS = 4.0
BASELINE_TIMEOUT_SECONDS = 2.0
MODEL_SERVICE = "lids"
PORTAL_SERVICE = "portal"
ARCHIVE_SERVICE = "archive"
ENTRY_NODE = "entry-0"


def topology() -> Topology:
    """Return one entry node and three services, one of them for the large bodies."""
    model = ModelSpec(version="lid-1", size_bytes=MEBIBYTE)
    slots = {"cold_slots": 2 * READER_COUNT, "max_slots": 2 * READER_COUNT}
    return Topology(
        data_centres=(DataCentre(name="n1", region="n"),),
        services=(
            Service(
                name=MODEL_SERVICE, kind=ServiceKind.MODEL, cold_slots=16, max_slots=16
            ),
            Service(
                name=PORTAL_SERVICE, kind=ServiceKind.PLAIN, cold_slots=32, max_slots=32
            ),
            Service(
                name=ARCHIVE_SERVICE,
                kind=ServiceKind.PLAIN,
                queue_limit=2 * READER_COUNT,
                memory_bytes=1024 * MEBIBYTE,
                **slots,
            ),
        ),
        accounts=(ClientAccount(name="steady"), ClientAccount(name="stopped")),
        entries=(EntrySpec(name=ENTRY_NODE, data_centre="n1"),),
        agents=tuple(
            AgentSpec(name=f"{service}-{number}", data_centre="n1", service=service)
            for service, count in (
                (MODEL_SERVICE, 2),
                (PORTAL_SERVICE, 1),
                (ARCHIVE_SERVICE, 2),
            )
            for number in range(count)
        ),
        models=(model,),
        backend_options={
            PORTAL_SERVICE: ("--delay-seconds", 0.005),
            ARCHIVE_SERVICE: ("--threads", 2 * READER_COUNT),
        },
    )


def normal_load(address: str, weights: dict[str, str]) -> tuple[CallerSpec, ...]:
    """Return the callers that read their answers at once."""
    common = {
        "addresses": (address,),
        "accounts": ("steady",),
        "weights": weights,
        "seconds": PHASE_SECONDS,
    }
    return (
        CallerSpec(kind="generate", service=MODEL_SERVICE, threads=6, **common),
        CallerSpec(kind="call", service=PORTAL_SERVICE, threads=4, **common),
        CallerSpec(kind="health", threads=1, pause_seconds=0.05, **common),
    )


@contextlib.contextmanager
def stalled_readers(address: str) -> Iterator[list[socket.socket]]:
    """Open connections that request a large body and never read it."""
    with contextlib.ExitStack() as stack:
        sockets = []
        for _ in range(READER_COUNT):
            sockets.append(stack.enter_context(_open_stalled_reader(address)))
        yield sockets


def _open_stalled_reader(address: str) -> socket.socket:
    host_and_port = parse_address(address)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(10)
    sock.connect((host_and_port.host, host_and_port.port))
    sock.sendall(
        f"GET /v1/services/{ARCHIVE_SERVICE}/call/bytes/{BODY_BYTES} HTTP/1.1\r\n"
        f"Host: {address}\r\nX-Client-Account: stopped\r\n\r\n".encode()
    )
    return sock


def run() -> Iterable[dict]:
    """Measure the entry node, then the baseline."""
    with _environment_variables(
        EELGRASSDALE_READER_MEMORY_BYTES=str(READER_MEMORY_BYTES),
        EELGRASSDALE_SLOW_READER_SECONDS=str(SLOW_READER_SECONDS),
    ):
        yield {"variant": "writer task", **measure_entry_node()}
    yield {"variant": "baseline: CherryPy threads write", **measure_baseline()}


def measure_entry_node() -> dict:
    """Return the figures of the entry node without and with stalled readers."""
    with Deployment(topology()) as deployment, CallerProcesses(3) as processes:
        address = deployment.addresses.caller[ENTRY_NODE]
        weights = {m.version: m.weights().loaded_digest for m in topology().models}
        load = normal_load(address, weights)
        processes.run(*(attrs.evolve(spec, seconds=1.0) for spec in load))
        without_stalled = [processes.run(*load)]
        with stalled_readers(address):
            wait_until_stalled(deployment)
            with_stalled = processes.run(*load)
            wait_until(
                lambda: read_counter(deployment, "slow_readers_cut") >= READER_COUNT,
                timeout_seconds=20,
                description="the stalled readers are disconnected",
            )
        without_stalled.append(processes.run(*load))
        return {
            **compare_results(
                [merge_results(runs) for runs in zip(*without_stalled, strict=True)],
                with_stalled,
            ),
            "peak_bytes": read_counter(deployment, "reader_bytes_peak"),
            "bound_bytes": READER_MEMORY_BYTES,
            "violations": deployment.violations(),
        }


def wait_until_stalled(deployment: Deployment) -> None:
    """Wait until the buffers of all stalled readers are full.

    The burst of large answers that fills them is not to be measured.
    """
    buffered_bytes = [0]

    def has_stopped_growing() -> bool:
        buffered_bytes.append(read_counter(deployment, "reader_bytes"))
        return 0 < buffered_bytes[-1] == buffered_bytes[-2]

    wait_until(
        has_stopped_growing,
        timeout_seconds=10,
        description="all readers are stalled",
        poll_seconds=0.5,
    )


def compare_results(
    without_stalled: list[CallerResult], with_stalled: list[CallerResult]
) -> dict:
    """Return the latencies and answer counts without and with stalled readers."""
    kinds = ("generate", "call", "health")
    # None if some callers got no complete answer, since JSON has no infinity.
    p95_ratio = (
        round(
            max(
                after.p95_ms() / before.p95_ms()
                for before, after in zip(without_stalled, with_stalled, strict=True)
            ),
            3,
        )
        if all(after.complete_answers for after in with_stalled)
        else None
    )
    result: dict = {"readers": READER_COUNT, "p95_ratio": p95_ratio}
    for kind, before, after in zip(kinds, without_stalled, with_stalled, strict=True):
        result[f"{kind}_p95_ms"] = [round(r.p95_ms(), 1) for r in (before, after)]
    result["answers"] = [
        sum(r.complete_answers for r in results)
        for results in (without_stalled, with_stalled)
    ]
    result["failed"] = sum(
        caller_result.count_failed() for caller_result in with_stalled
    )
    return result


def read_counter(deployment: Deployment, name: str) -> int:
    """Return a counter of the entry node."""
    return deployment.status(ENTRY_NODE).counters.get(name, 0)


def measure_baseline() -> dict:
    """Return the figures of the CherryPy server, whose threads write the bodies."""
    ports = PortReservation()
    address = ports.new_address()
    module = "eelgrassdale_measures.threadbaseline"
    arguments = (sys.executable, "-m", module, "--address", address)
    process = Process(
        Command(name="baseline", arguments=arguments, log=Path(os.devnull))
    )
    try:
        wait_until(
            lambda: control.is_healthy(address, "/v1/health"),
            timeout_seconds=10,
            description="the baseline answers",
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
            without_stalled = processes.run(*load)
            with stalled_readers(address):
                time.sleep(1.0)
                with_stalled = processes.run(*load)
        return compare_results(without_stalled, with_stalled)
    finally:
        process.kill()
        ports.close()


@contextlib.contextmanager
def _environment_variables(**values: str) -> Iterator[None]:
    previous = {name: os.environ.get(name) for name in values}
    os.environ.update(values)
    try:
        yield
    finally:
        for name, value in previous.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value
