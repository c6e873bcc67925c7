"""Time until all replicas have loaded a model version, and the bytes sent.

Agents in three regions run on rate-limited links and serve callers with the
old version while the new one is transferred. The baseline runs in the same
deployment: each agent belongs to a service of its own, so it has no peers and
fetches all chunks from the origin.
"""

import time
from collections.abc import Iterator

import attrs

from eelgrassdale.catalog import ClientAccount, DataCentre, Service, ServiceKind, Vm
from eelgrassdale.wire import Envelope, NodeConnection, ProbeAnswer, WireError
from eelgrassdale_measures.replicas_ideal import LinkRates, ideal_seconds, percentile
from eelgrassdale_standins.control import get_counts
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.loadgenerator import LoadGenerator
from eelgrassdale_standins.topology import AgentSpec, EntrySpec, ModelSpec, Topology

AGENT_COUNTS = (10, 20, 40)
KILL_RUN_AGENT_COUNT = 20
KILLED_SHARE = 0.1
KILL_AFTER_SECONDS = 2.0

CHUNK_COUNT = 128
CHUNK_BYTES = 32 * 1024
MODEL_BYTES = CHUNK_COUNT * CHUNK_BYTES
# Time for which the link of a replica is busy to receive the model and send it
# once.
REPLICA_LINK_SECONDS = 8.0
LINK_BYTES_PER_SECOND = int(2 * MODEL_BYTES / REPLICA_LINK_SECONDS)
# The origin sends four copies while a VM carries two (section 1 of the design).
ORIGIN_BYTES_PER_SECOND = 2 * LINK_BYTES_PER_SECOND
REGION_BYTES_PER_SECOND = LINK_BYTES_PER_SECOND
# The baseline of 40 agents takes 10 times the ideal time, so a smaller model
# keeps the measurement short. Its ratio is to the ideal time of that model.
BASELINE_CHUNK_COUNT = 16

REGIONS = ("occidente", "centro", "oriente")
DATA_CENTRES = ("xela", "guatemala-city", "zacapa")
SERVICE = "drafting"
OLD_MODEL = ModelSpec(version="old", size_bytes=CHUNK_BYTES, chunk_bytes=CHUNK_BYTES)
NEW_MODEL = ModelSpec(version="new", size_bytes=MODEL_BYTES, chunk_bytes=CHUNK_BYTES)
BASELINE_MODEL = ModelSpec(
    version="alone",
    size_bytes=BASELINE_CHUNK_COUNT * CHUNK_BYTES,
    chunk_bytes=CHUNK_BYTES,
)
ACCOUNT_COUNT = 4
BEFORE_PUSH_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 2.0
LOAD_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.05

BYTES_FROM_REGION = "weights_bytes_from_region"


def run() -> Iterator[dict[str, object]]:
    """Yield two lines for each number of agents, and one with agents killed.

    The two lines are those of the push and of the baseline.
    """
    for agent_count in AGENT_COUNTS:
        with Deployment(topology(agent_count)) as deployment:
            yield _measure_push(deployment, agent_count)
            yield _measure_baseline(deployment, agent_count)
    with Deployment(topology(KILL_RUN_AGENT_COUNT)) as deployment:
        yield _measure_with_killed_agents(deployment, KILL_RUN_AGENT_COUNT)


def topology(agent_count: int) -> Topology:
    """Return a deployment of `agent_count` agents spread over three data centres."""
    service = Service(
        name=SERVICE,
        kind=ServiceKind.MODEL,
        cold_slots=4,
        max_slots=8,
        max_loading=agent_count,
    )
    return Topology(
        data_centres=tuple(
            DataCentre(name=name, region=region)
            for name, region in zip(DATA_CENTRES, REGIONS, strict=True)
        ),
        services=(service,),
        accounts=tuple(ClientAccount(name=f"brand-{n}") for n in range(ACCOUNT_COUNT)),
        entries=tuple(
            EntrySpec(name=f"entry-{name}", data_centre=name) for name in DATA_CENTRES
        ),
        agents=tuple(
            AgentSpec(
                name=f"draft-{number}",
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                service=SERVICE,
            )
            for number in range(agent_count)
        ),
        models=(OLD_MODEL, NEW_MODEL, BASELINE_MODEL),
        source_bytes_per_second=ORIGIN_BYTES_PER_SECOND,
        link_bytes_per_second=LINK_BYTES_PER_SECOND,
        backend_options={
            SERVICE: (
                *("--threads", 16),
                *("--load-seconds", 0.01),
                *("--cold-seconds", 0.1),
            )
        },
        agent_options=(
            *("--origin-region", REGIONS[0]),
            *("--region-bytes-per-second", REGION_BYTES_PER_SECOND),
        ),
    )


def _measure_push(deployment: Deployment, agent_count: int) -> dict[str, object]:
    latencies_before_push = _measure_latencies(deployment, BEFORE_PUSH_SECONDS)
    before = _origin_bytes(deployment, NEW_MODEL)
    load_during_push = LoadGenerator(deployment, model_service=SERVICE)
    poller = VersionPoller(deployment, NEW_MODEL.version)
    load_during_push.start()
    start = time.monotonic()
    _push(deployment, NEW_MODEL)
    poller.wait_for(lambda: poller.is_any_loaded(), start)
    totals = load_during_push.stop()
    load_until_all_loaded = LoadGenerator(deployment, model_service=SERVICE)
    load_until_all_loaded.start()
    seconds = poller.wait_for(poller.are_all_loaded, start)
    mixed_at_end = load_until_all_loaded.stop().figures()["mixed_weights"]
    poller.close()
    ideal = ideal_seconds(_link_rates(agent_count), model_bytes=MODEL_BYTES)
    p95 = percentile(totals.latencies_seconds, 0.95)
    return {
        "agents": agent_count,
        "seconds": round(seconds, 2),
        "ideal_seconds": round(ideal, 2),
        "ratio": round(seconds / ideal, 3),
        "origin_copies": _model_copies(_origin_bytes(deployment, NEW_MODEL) - before),
        "inter_region_copies": _model_copies(
            _sum_counter(deployment, BYTES_FROM_REGION)
        ),
        "mixed_weights": totals.figures()["mixed_weights"] + mixed_at_end,
        "live_p95_ratio": round(p95 / percentile(latencies_before_push, 0.95), 3),
        "live_requests": len(totals.latencies_seconds),
        "violations": deployment.violations(),
    }


def _measure_baseline(deployment: Deployment, agent_count: int) -> dict[str, object]:
    start = time.monotonic()
    services = [
        Service(name=f"{SERVICE}-{agent.name}", kind=ServiceKind.MODEL)
        for agent in deployment.topology.agents
    ]
    vms = [
        Vm(name=agent.name, data_centre=agent.data_centre, service=service.name)
        for agent, service in zip(deployment.topology.agents, services, strict=True)
    ]
    before = _origin_bytes(deployment, BASELINE_MODEL)
    deployment.configuration.put(
        BASELINE_MODEL.catalog_object(),
        *(
            attrs.evolve(service, model_version=BASELINE_MODEL.version)
            for service in services
        ),
        *vms,
    )
    poller = VersionPoller(deployment, BASELINE_MODEL.version)
    seconds = poller.wait_for(poller.are_all_loaded, start)
    poller.close()
    ideal = ideal_seconds(
        _link_rates(agent_count), model_bytes=BASELINE_MODEL.size_bytes
    )
    origin_bytes = _origin_bytes(deployment, BASELINE_MODEL) - before
    return {
        "baseline": "each agent draws from the origin",
        "agents": agent_count,
        "seconds": round(seconds, 2),
        "ideal_seconds": round(ideal, 2),
        "ratio": round(seconds / ideal, 3),
        "origin_copies": round(origin_bytes / BASELINE_MODEL.size_bytes, 3),
    }


def _measure_with_killed_agents(
    deployment: Deployment, agent_count: int
) -> dict[str, object]:
    killed_agents = [
        agent.name
        for agent in deployment.topology.agents[: int(agent_count * KILLED_SHARE)]
    ]
    before = _origin_bytes(deployment, NEW_MODEL)
    poller = VersionPoller(deployment, NEW_MODEL.version)
    start = time.monotonic()
    _push(deployment, NEW_MODEL)
    time.sleep(KILL_AFTER_SECONDS)
    for name in killed_agents:
        deployment.processes[name].kill()
        poller.exclude(name)
    seconds = poller.wait_for(poller.are_all_loaded, start)
    poller.close()
    ideal = ideal_seconds(_link_rates(agent_count), model_bytes=MODEL_BYTES)
    return {
        "fault": f"{len(killed_agents)} agents killed after {KILL_AFTER_SECONDS:g} s",
        "agents": agent_count,
        "seconds": round(seconds, 2),
        "ideal_seconds": round(ideal, 2),
        "ratio": round(seconds / ideal, 3),
        "origin_copies": _model_copies(_origin_bytes(deployment, NEW_MODEL) - before),
        "violations": deployment.violations(),
    }


class VersionPoller:
    """Polls the agents until they have loaded a model version.

    Parameters
    ----------
    deployment : Deployment
        Its agents are probed, each on a persistent connection.
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

    def wait_for(self, condition, start: float) -> float:
        """Return the seconds from `start` until `condition` holds.

        Raises
        ------
        RuntimeError
            The condition does not hold within `LOAD_TIMEOUT_SECONDS`.

        """
        while not condition():
            self._poll()
            seconds = time.monotonic() - start
            if seconds > LOAD_TIMEOUT_SECONDS:
                raise RuntimeError(
                    f"timed out waiting for {self._version}: {self._pending}"
                )
            time.sleep(POLL_INTERVAL_SECONDS)
        return time.monotonic() - start

    def is_any_loaded(self) -> bool:
        """Return whether at least one agent has loaded the version."""
        return len(self._pending) < len(self._all)

    def are_all_loaded(self) -> bool:
        """Return whether all agents have loaded the version."""
        return not self._pending

    def exclude(self, name: str) -> None:
        """Stop waiting for an agent."""
        self._pending.pop(name, None)

    def close(self) -> None:
        """Close the connections."""
        for conn in self._all.values():
            conn.close()

    def _poll(self) -> None:
        for name, conn in list(self._pending.items()):
            try:
                answer = conn.call(
                    "probe", _envelope(), timeout_seconds=CALL_TIMEOUT_SECONDS
                )
            except WireError:
                continue
            if serves_version(answer, self._version):
                del self._pending[name]


def serves_version(answer: ProbeAnswer, version: str) -> bool:
    """Return whether the probed agent serves this model version and no other."""
    versions = [headroom.model_version for headroom in (answer.headroom or {}).values()]
    return answer.load_state in ("cold", "ready") and versions == [version]


def _envelope():
    return Envelope(
        sender="measurement",
        incarnation=0,
        remaining_ms=int(CALL_TIMEOUT_SECONDS * 1000),
        traceparent="",
        generation=0,
    )


def _measure_latencies(deployment: Deployment, seconds: float) -> list[float]:
    load = LoadGenerator(deployment, model_service=SERVICE)
    load.start()
    time.sleep(seconds)
    return load.stop().latencies_seconds


def _push(deployment: Deployment, model: ModelSpec) -> None:
    service = deployment.configuration.current().services[SERVICE]
    deployment.configuration.put(
        model.catalog_object(), attrs.evolve(service, model_version=model.version)
    )


def _link_rates(agent_count: int) -> LinkRates:
    return LinkRates(
        agent_count=agent_count,
        region_count=len(REGIONS),
        vm_bytes_per_second=LINK_BYTES_PER_SECOND,
        origin_bytes_per_second=ORIGIN_BYTES_PER_SECOND,
        region_bytes_per_second=REGION_BYTES_PER_SECOND,
    )


def _origin_bytes(deployment: Deployment, model: ModelSpec) -> int:
    counts = get_counts(deployment.addresses.platform["origin"])
    return counts.get(f"bytes_sent/{model.version}", 0)


def _sum_counter(deployment: Deployment, counter: str) -> int:
    statuses = deployment.statuses().values()
    return sum(status.counters.get(counter, 0) for status in statuses)


def _model_copies(sent_bytes: int) -> float:
    return round(sent_bytes / MODEL_BYTES, 3)
