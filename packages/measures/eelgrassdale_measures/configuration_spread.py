"""Time until a configuration change is in force on all nodes, and its cost.

Targets: at most 2 s, and a number of store calls that does not depend on the
number of nodes. The baseline is the number of store calls when every node
watches the store itself.
"""

import statistics
import threading
import time
from collections.abc import Iterator

import attrs
import psutil

from eelgrassdale.catalog import ClientAccount
from eelgrassdale.node.peerclient import CONTROL_BYTES_METRIC
from eelgrassdale.platform.objects import STORE_CALLS, ObjectStore
from eelgrassdale.spread import Replica, fetch_delta
from eelgrassdale.spread.head import HEAD_NAME, versioned_head_from
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale_standins.commands import OBJECT_API
from eelgrassdale_standins.control import http_url
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.topology import (
    AgentSpec,
    EntrySpec,
    Topology,
    lidwright_topology,
)

# Entry nodes and agents of each measured deployment, in three data centres.
DEPLOYMENT_SIZES = ((6, 3), (15, 6), (42, 18))
CHANGE_COUNT = 5
SETTLE_SECONDS = 2.0
IDLE_WINDOW_SECONDS = 3.0
CHANGE_TIMEOUT_SECONDS = 14.0
WATCH_TIMEOUT_SECONDS = 20.0
TARGET_SECONDS = 2.0
TARGET_BYTES_PER_SECOND = 2048
TARGET_CPU_PERCENT = 2.1


def run() -> Iterator[dict[str, object]]:
    """Yield one line for each deployment size."""
    for entry_count, agent_count in DEPLOYMENT_SIZES:
        with Deployment(topology_of(entry_count, agent_count)) as deployment:
            time.sleep(SETTLE_SECONDS)
            yield measure(deployment, entry_count + agent_count)


def topology_of(entry_count: int, agent_count: int) -> Topology:
    """Return a deployment whose agents serve one plain service in three data centres.

    Examples
    --------
    >>> topology = topology_of(6, 3)
    >>> len(topology.entries), len(topology.agents)
    (6, 3)

    """
    base = lidwright_topology()
    data_centre_names = [dc.name for dc in base.data_centres]
    service = base.services[-1].name
    return attrs.evolve(
        base,
        entries=tuple(
            EntrySpec(
                name=f"entry-{n}",
                data_centre=data_centre_names[n % len(data_centre_names)],
            )
            for n in range(entry_count)
        ),
        agents=tuple(
            AgentSpec(
                name=f"agent-{n}",
                data_centre=data_centre_names[n % len(data_centre_names)],
                service=service,
            )
            for n in range(agent_count)
        ),
    )


def measure(deployment: Deployment, node_count: int) -> dict[str, object]:
    """Return the figures of a running deployment."""
    control_bytes_before = control_bytes(deployment)
    cpu_seconds_before = cpu_seconds(deployment)
    time.sleep(IDLE_WINDOW_SECONDS)
    shares = {
        name: (total - cpu_seconds_before[name]) / IDLE_WINDOW_SECONDS
        for name, total in cpu_seconds(deployment).items()
    }
    control_rates = [
        (total - control_bytes_before[name]) / IDLE_WINDOW_SECONDS
        for name, total in control_bytes(deployment).items()
    ]
    store_call_count = store_calls(deployment)
    change_seconds = [time_change(deployment, number) for number in range(CHANGE_COUNT)]
    store_call_count = store_calls(deployment) - store_call_count
    return {
        "nodes": node_count,
        "seconds": round(max(change_seconds), 3),
        "median_seconds": round(statistics.median(change_seconds), 3),
        "target_seconds": TARGET_SECONDS,
        "store_calls": store_call_count / CHANGE_COUNT,
        "baseline_store_calls": baseline_calls(deployment, node_count) / CHANGE_COUNT,
        "bytes_per_node": round(statistics.mean(control_rates)),
        "max_bytes_per_node": round(max(control_rates)),
        "target_bytes_per_node": TARGET_BYTES_PER_SECOND,
        "idle_cpu_percent": round(100 * statistics.mean(shares.values()), 2),
        "target_cpu_percent": TARGET_CPU_PERCENT,
        "max_resident_mb": round(max(resident_bytes(deployment)) / 1e6, 1),
        "violations": deployment.violations(),
    }


def cpu_seconds(deployment: Deployment) -> dict[str, float]:
    """Return the processor time of each node since its start, in seconds."""
    times = {
        name: psutil.Process(deployment.processes[name].pid).cpu_times()
        for name in deployment.node_names()
    }
    return {
        name: cpu_times.user + cpu_times.system for name, cpu_times in times.items()
    }


def resident_bytes(deployment: Deployment) -> list[int]:
    """Return the resident memory of each node, in bytes."""
    return [
        psutil.Process(deployment.processes[name].pid).memory_info().rss
        for name in deployment.node_names()
    ]


def time_change(deployment: Deployment, number: int) -> float:
    """Change one object and return the seconds until all nodes have it in force.

    The time starts when the change is accepted. The wait is given up after
    `CHANGE_TIMEOUT_SECONDS`.
    """
    name = deployment.topology.accounts[0].name
    account = ClientAccount(name=name, weight=number + 10)
    generation = deployment.configuration.put(account)
    accepted_at = time.monotonic()
    pending = set(deployment.node_names())
    while pending:
        pending -= {n for n in pending if deployment.generation(n) >= generation}
        if time.monotonic() - accepted_at > CHANGE_TIMEOUT_SECONDS:
            break
    return time.monotonic() - accepted_at


def control_bytes(deployment: Deployment) -> dict[str, int]:
    """Return the bytes of control traffic of each node since its start."""
    return read_counter(deployment, CONTROL_BYTES_METRIC)


def store_calls(deployment: Deployment) -> int:
    """Return the number of object API calls of all nodes since their start."""
    return sum(read_counter(deployment, STORE_CALLS).values())


def read_counter(deployment: Deployment, counter: str) -> dict[str, int]:
    """Return one counter of each node, 0 if the node does not report it."""
    return {
        name: status.counters.get(counter, 0)
        for name, status in deployment.statuses().items()
    }


def baseline_calls(deployment: Deployment, node_count: int) -> int:
    """Return the store calls that the changes take if every node watches the store."""
    metrics = Metrics()
    url = http_url(deployment.addresses.platform[OBJECT_API])
    watchers = [BaselineNode(url=url, metrics=metrics) for _ in range(node_count)]
    try:
        for watcher in watchers:
            watcher.wait_for(1)
        calls_before = metrics.totals()[STORE_CALLS]
        for number in range(CHANGE_COUNT):
            account = deployment.topology.accounts[0]
            changed = ClientAccount(name=account.name, weight=number + 20)
            generation = deployment.configuration.put(changed)
            for watcher in watchers:
                watcher.wait_for(generation)
        return metrics.totals()[STORE_CALLS] - calls_before
    finally:
        for watcher in watchers:
            watcher.stop()


class BaselineNode:
    """Node of the baseline, which watches `head` and reads the objects itself."""

    def __init__(self, *, url: str, metrics: Metrics) -> None:
        self._store = ObjectStore(url=url, metrics=metrics)
        self._replica = Replica(monitor=InvariantMonitor(metrics=metrics))
        self._version = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def wait_for(self, generation: int) -> None:
        """Wait until the generation or a later one is in force at this node."""
        wait_until(
            lambda: self._replica.current().generation >= generation,
            timeout_seconds=CHANGE_TIMEOUT_SECONDS,
            description=f"generation {generation} in force at a baseline node",
        )

    def stop(self) -> None:
        """Let the thread end after its current watch call."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            watched = self._store.watch(
                HEAD_NAME, version=self._version, timeout_seconds=WATCH_TIMEOUT_SECONDS
            )
            if watched.is_error() or watched.ok is None:
                continue
            head = versioned_head_from(watched.ok).ok.head
            delta = fetch_delta(self._store, head, self._replica.state())
            if delta.is_ok():
                self._replica.apply_if_newer(delta.ok)
                self._version = watched.ok.version
