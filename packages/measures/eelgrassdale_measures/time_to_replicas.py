"""Time until a model version is on all replicas, and the bytes that takes.

Real agents in three regions run on paced links and serve callers from an
earlier version while the new one arrives. The baseline runs in the same
deployment: each agent belongs to a service of its own, so it has no peers and
draws everything from the origin.
"""

import time
from collections.abc import Iterator

import attrs

from eelgrassdale.catalog import ClientAccount, DataCentre, Service, ServiceKind, Vm
from eelgrassdale.wire import Envelope, NodeConnection, ProbeAnswer, WireError
from eelgrassdale_measures.replicas_ideal import Links, ideal_seconds, percentile
from eelgrassdale_standins.control import counts_of
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.load import Load
from eelgrassdale_standins.topology import AgentSpec, EntrySpec, ModelSpec, Topology

SIZES = (10, 20, 40)
KILLED_SIZE = 20
KILLED_SHARE = 0.1
KILL_AFTER_SECONDS = 2.0

CHUNKS = 128
CHUNK_BYTES = 32 * 1024
MODEL_BYTES = CHUNKS * CHUNK_BYTES
# Link time of one replica: it receives the model and sends it once.
PUSH_SECONDS = 8.0
LINK_RATE = int(2 * MODEL_BYTES / PUSH_SECONDS)
# Section 1 of the design: the origin carries four copies while a VM carries two.
ORIGIN_RATE = 2 * LINK_RATE
REGION_RATE = LINK_RATE
# The baseline of 40 agents takes 10 times the ideal; a smaller model keeps
# the measurement short. Its figures are relative to its own ideal.
BASELINE_CHUNKS = 16

REGIONS = ("occidente", "centro", "oriente")
DATA_CENTRES = ("xela", "guatemala-city", "zacapa")
SERVICE = "drafting"
OLD = ModelSpec(version="old", size_bytes=CHUNK_BYTES, chunk_bytes=CHUNK_BYTES)
NEW = ModelSpec(version="new", size_bytes=MODEL_BYTES, chunk_bytes=CHUNK_BYTES)
ALONE = ModelSpec(
    version="alone", size_bytes=BASELINE_CHUNKS * CHUNK_BYTES, chunk_bytes=CHUNK_BYTES
)
ACCOUNTS = 4
QUIET_SECONDS = 2.0
CALL_SECONDS = 2.0
LIMIT_SECONDS = 60.0
POLL_SECONDS = 0.05

BYTES_FROM_REGION = "weights_bytes_from_region"


def run() -> Iterator[dict[str, object]]:
    """Yield one result for each number of agents, and one with agents killed."""
    for size in SIZES:
        with Deployment(topology(size)) as deployment:
            yield _push_measured(deployment, size)
            yield _baseline_measured(deployment, size)
    with Deployment(topology(KILLED_SIZE)) as deployment:
        yield _killed_measured(deployment, KILLED_SIZE)


def topology(size: int) -> Topology:
    """Return a deployment of `size` agents, evenly over three data centres."""
    service = Service(
        name=SERVICE,
        kind=ServiceKind.MODEL,
        cold_slots=4,
        max_slots=8,
        max_loading=size,
    )
    return Topology(
        data_centres=tuple(
            DataCentre(name=name, region=region)
            for name, region in zip(DATA_CENTRES, REGIONS, strict=True)
        ),
        services=(service,),
        accounts=tuple(ClientAccount(name=f"brand-{n}") for n in range(ACCOUNTS)),
        entries=tuple(
            EntrySpec(name=f"entry-{name}", data_centre=name) for name in DATA_CENTRES
        ),
        agents=tuple(
            AgentSpec(
                name=f"draft-{number}",
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                service=SERVICE,
            )
            for number in range(size)
        ),
        models=(OLD, NEW, ALONE),
        source_bytes_per_second=ORIGIN_RATE,
        link_bytes_per_second=LINK_RATE,
        backend_options={
            SERVICE: (
                *("--threads", 16),
                *("--load-seconds", 0.01),
                *("--cold-seconds", 0.1),
            )
        },
        agent_options=(
            *("--origin-region", REGIONS[0]),
            *("--region-bytes-per-second", REGION_RATE),
        ),
    )


def _push_measured(deployment: Deployment, size: int) -> dict[str, object]:
    quiet = _live_seconds(deployment, QUIET_SECONDS)
    before = _origin_bytes(deployment, NEW)
    during = Load(deployment, model_service=SERVICE)
    watch = Watch(deployment, NEW.version)
    during.start()
    start = time.monotonic()
    _push(deployment, NEW)
    watch.until(lambda: watch.has_first_loaded(), start)
    totals = during.stop()
    after = Load(deployment, model_service=SERVICE)
    after.start()
    seconds = watch.until(watch.has_all, start)
    mixed = after.stop().figures()["mixed_weights"]
    watch.close()
    ideal = ideal_seconds(_links(size), model_bytes=MODEL_BYTES)
    p95 = percentile(totals.seconds, 0.95)
    return {
        "agents": size,
        "seconds": round(seconds, 2),
        "ideal_seconds": round(ideal, 2),
        "ratio": round(seconds / ideal, 3),
        "origin_copies": _copies(_origin_bytes(deployment, NEW) - before),
        "inter_region_copies": _copies(_total(deployment, BYTES_FROM_REGION)),
        "mixed_weights": totals.figures()["mixed_weights"] + mixed,
        "live_p95_ratio": round(p95 / percentile(quiet, 0.95), 3),
        "live_requests": len(totals.seconds),
        "violations": deployment.violations(),
    }


def _baseline_measured(deployment: Deployment, size: int) -> dict[str, object]:
    start = time.monotonic()
    services = [
        Service(name=f"{SERVICE}-{agent.name}", kind=ServiceKind.MODEL)
        for agent in deployment.topology.agents
    ]
    vms = [
        Vm(name=agent.name, data_centre=agent.data_centre, service=service.name)
        for agent, service in zip(deployment.topology.agents, services, strict=True)
    ]
    before = _origin_bytes(deployment, ALONE)
    deployment.configuration.put(
        ALONE.catalog_object(),
        *(attrs.evolve(service, model_version=ALONE.version) for service in services),
        *vms,
    )
    watch = Watch(deployment, ALONE.version)
    seconds = watch.until(watch.has_all, start)
    watch.close()
    ideal = ideal_seconds(_links(size), model_bytes=ALONE.size_bytes)
    drawn = _origin_bytes(deployment, ALONE) - before
    return {
        "baseline": "each agent draws from the origin",
        "agents": size,
        "seconds": round(seconds, 2),
        "ideal_seconds": round(ideal, 2),
        "ratio": round(seconds / ideal, 3),
        "origin_copies": round(drawn / ALONE.size_bytes, 3),
    }


def _killed_measured(deployment: Deployment, size: int) -> dict[str, object]:
    victims = [
        agent.name for agent in deployment.topology.agents[: int(size * KILLED_SHARE)]
    ]
    before = _origin_bytes(deployment, NEW)
    watch = Watch(deployment, NEW.version)
    start = time.monotonic()
    _push(deployment, NEW)
    time.sleep(KILL_AFTER_SECONDS)
    for name in victims:
        deployment.processes[name].kill()
        watch.forget(name)
    seconds = watch.until(watch.has_all, start)
    watch.close()
    ideal = ideal_seconds(_links(size), model_bytes=MODEL_BYTES)
    return {
        "fault": f"{len(victims)} agents killed after {KILL_AFTER_SECONDS:g} s",
        "agents": size,
        "seconds": round(seconds, 2),
        "ideal_seconds": round(ideal, 2),
        "ratio": round(seconds / ideal, 3),
        "origin_copies": _copies(_origin_bytes(deployment, NEW) - before),
        "violations": deployment.violations(),
    }


class Watch:
    """Watches which agents have a model version loaded.

    Parameters
    ----------
    deployment : Deployment
        Its agents are probed on connections that stay open.
    version : str
        Model version to wait for.
    """

    def __init__(self, deployment: Deployment, version: str) -> None:
        self._version = version
        self._pending = {
            agent.name: NodeConnection(address=deployment.addresses.node[agent.name])
            for agent in deployment.topology.agents
        }
        self._all = dict(self._pending)

    def until(self, condition, start: float) -> float:
        """Return the seconds from `start` until `condition` holds."""
        while not condition():
            self._poll()
            seconds = time.monotonic() - start
            if seconds > LIMIT_SECONDS:
                raise RuntimeError(f"still without {self._version}: {self._pending}")
            time.sleep(POLL_SECONDS)
        return time.monotonic() - start

    def has_first_loaded(self) -> bool:
        """Return whether an agent has the version."""
        return len(self._pending) < len(self._all)

    def has_all(self) -> bool:
        """Return whether all agents have the version."""
        return not self._pending

    def forget(self, name: str) -> None:
        """Do not wait for an agent."""
        self._pending.pop(name, None)

    def close(self) -> None:
        """Close the connections."""
        for conn in self._all.values():
            conn.close()

    def _poll(self) -> None:
        for name, conn in list(self._pending.items()):
            try:
                answer = conn.call("probe", _envelope(), timeout_seconds=CALL_SECONDS)
            except WireError:
                continue
            if has_version(answer, self._version):
                del self._pending[name]


def has_version(answer: ProbeAnswer, version: str) -> bool:
    """Return whether an agent serves a model version."""
    versions = [room.model_version for room in (answer.headroom or {}).values()]
    return answer.load_state in ("cold", "ready") and versions == [version]


def _envelope():
    return Envelope(
        sender="measurement",
        incarnation=0,
        remaining_ms=int(CALL_SECONDS * 1000),
        traceparent="",
        generation=0,
    )


def _live_seconds(deployment: Deployment, seconds: float) -> list[float]:
    load = Load(deployment, model_service=SERVICE)
    load.start()
    time.sleep(seconds)
    return load.stop().seconds


def _push(deployment: Deployment, model: ModelSpec) -> None:
    service = deployment.configuration.current().services[SERVICE]
    deployment.configuration.put(
        model.catalog_object(), attrs.evolve(service, model_version=model.version)
    )


def _links(size: int) -> Links:
    return Links(
        agents=size,
        regions=len(REGIONS),
        vm_rate=LINK_RATE,
        origin_rate=ORIGIN_RATE,
        region_rate=REGION_RATE,
    )


def _origin_bytes(deployment: Deployment, model: ModelSpec) -> int:
    counts = counts_of(deployment.addresses.platform["origin"])
    return counts.get(f"bytes_sent/{model.version}", 0)


def _total(deployment: Deployment, counter: str) -> int:
    statuses = deployment.statuses().values()
    return sum(status.counters.get(counter, 0) for status in statuses)


def _copies(sent: int) -> float:
    return round(sent / MODEL_BYTES, 3)
