"""One service at three times its capacity beside two others.

Targets: the 95th percentile of the other services is at most 1.2 times the
one while the service has a normal load of 0.8 of its capacity, the overloaded
service still completes 0.9 of its capacity, and no backend server fails.
`idle_p95_ratio` compares with a service without any load, where the processes
also share fewer cores.
"""

from collections.abc import Iterable

import attrs

from eelgrassdale.catalog import ClientAccount, DataCentre, Service, ServiceKind
from eelgrassdale_measures.callerload import (
    CallerProcesses,
    CallerResult,
    CallerSpec,
    merged,
)
from eelgrassdale_standins import control
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.topology import (
    MEBIBYTE,
    AgentSpec,
    EntrySpec,
    ModelSpec,
    Topology,
)

LIDS = "lids"
PORTAL = "portal"
DESK = "desk"
OVERLOAD = 3.0
NORMAL = 0.8
SLOTS = 8
TOKENS = 40
PHASE_SECONDS = 3.0
SATURATING_CALLERS = 3 * 2 * SLOTS
OVERLOAD_CALLERS = 160


def topology() -> Topology:
    """Return two entry nodes, two engines and two plain services.

    An engine fails when its requests take more memory than twice its slots
    need, so that only admission keeps it alive under overload.
    """
    token_bytes = 1024
    memory_bytes = 2 * SLOTS * 2 * TOKENS * token_bytes
    plain = {"cold_slots": 32, "max_slots": 32}
    return Topology(
        data_centres=(DataCentre(name="n1", region="n"),),
        services=(
            Service(
                name=LIDS,
                kind=ServiceKind.MODEL,
                cold_slots=SLOTS,
                max_slots=SLOTS,
                memory_bytes=memory_bytes,
                token_bytes=token_bytes,
            ),
            Service(name=PORTAL, kind=ServiceKind.PLAIN, **plain),
            Service(name=DESK, kind=ServiceKind.PLAIN, **plain),
        ),
        accounts=(
            ClientAccount(name="large"),
            ClientAccount(name="small"),
            ClientAccount(name="other"),
        ),
        entries=tuple(EntrySpec(name=f"entry-{n}", data_centre="n1") for n in range(2)),
        agents=tuple(
            AgentSpec(name=f"{service}-{number}", data_centre="n1", service=service)
            for service, count in ((LIDS, 2), (PORTAL, 1), (DESK, 1))
            for number in range(count)
        ),
        models=(ModelSpec(version="lid-1", size_bytes=MEBIBYTE),),
        backend_options={
            PORTAL: ("--delay-seconds", 0.005),
            DESK: ("--delay-seconds", 0.01),
        },
    )


def run() -> Iterable[dict]:
    """Measure the overloaded deployment."""
    with Deployment(topology()) as deployment, CallerProcesses(4) as processes:
        yield measure(deployment, processes)


def measure(deployment: Deployment, processes: CallerProcesses) -> dict:
    """Return the figures without and with the overload."""
    addresses = tuple(deployment.addresses.caller.values())
    others = other_load(addresses)
    lids = lid_load(deployment, addresses)
    processes.run(*(attrs.evolve(spec, seconds=0.5) for spec in (*others, lids)))
    (full,) = processes.run(lids)
    capacity = full.whole / full.elapsed
    idle = processes.run(*others)
    normal = [_beside(processes, others, lids, NORMAL * capacity)]
    flooded = _beside(processes, others, lids, OVERLOAD * capacity)
    normal.append(_beside(processes, others, lids, NORMAL * capacity))
    before = [merged(parts) for parts in zip(*normal, strict=True)]
    beside, overload = flooded[:-1], flooded[-1]
    goodput = overload.whole / overload.elapsed
    p95_ms = [[r.p95_ms() for r in rs] for rs in (idle, before[:-1], beside)]
    return {
        "capacity_per_s": round(capacity, 1),
        "offered_per_s": round(sum(overload.outcomes.values()) / PHASE_SECONDS, 1),
        "goodput_per_s": round(goodput, 1),
        "goodput_share": round(goodput / capacity, 3),
        "other_p95_ratio": worst_ratio(p95_ms[1], p95_ms[2]),
        "idle_p95_ratio": worst_ratio(p95_ms[0], p95_ms[2]),
        "other_p95_ms": [[round(value, 1) for value in row] for row in p95_ms],
        "refused_not_run": overload.outcomes.get("NOT_RUN", 0),
        "failed": sum(result.failed() for result in (*before, *flooded)),
        "backend_failures": backend_failures(deployment),
        "retries": counters(deployment, "retries"),
        "violations": deployment.violations(),
    }


def _beside(
    processes: CallerProcesses,
    others: tuple[CallerSpec, ...],
    lids: CallerSpec,
    rate: float,
) -> list[CallerResult]:
    """Run the other services beside the model service at a rate.

    The last result is the one of the model service.
    """
    half = attrs.evolve(
        lids,
        rate=rate / 2,
        threads=OVERLOAD_CALLERS,
        accounts=("large", "large", "large", "small"),
    )
    *beside, first, second = processes.run(*others, half, half)
    both = merged([first, second])
    elapsed = max(first.elapsed, second.elapsed)
    return [*beside, attrs.evolve(both, elapsed=elapsed)]


def worst_ratio(before: list[float], after: list[float]) -> float:
    """Return the largest ratio of two lists of percentiles.

    Examples
    --------
    >>> worst_ratio([10.0, 20.0], [12.0, 22.0])
    1.2

    """
    return round(max(b / a for a, b in zip(before, after, strict=True)), 3)


def other_load(addresses: tuple[str, ...]) -> tuple[CallerSpec, ...]:
    """Return the steady callers of the services that are not overloaded."""
    common = {
        "kind": "call",
        "addresses": addresses,
        "accounts": ("other",),
        "threads": 4,
        "seconds": PHASE_SECONDS,
    }
    return tuple(CallerSpec(service=name, **common) for name in (PORTAL, DESK))


def lid_load(deployment: Deployment, addresses: tuple[str, ...]) -> CallerSpec:
    """Return callers that keep all slots of the engines taken."""
    return CallerSpec(
        kind="generate",
        service=LIDS,
        addresses=addresses,
        accounts=("large", "small"),
        weights={
            model.version: model.weights().loaded_digest
            for model in deployment.topology.models
        },
        threads=SATURATING_CALLERS,
        pause_seconds=0.0,
        max_tokens=TOKENS,
        seconds=PHASE_SECONDS,
    )


def backend_failures(deployment: Deployment) -> int:
    """Return how often an engine failed."""
    return sum(
        control.counts_of(deployment.addresses.backend[agent.name])["crashes"]
        for agent in deployment.topology.agents_of(LIDS)
    )


def counters(deployment: Deployment, name: str) -> int:
    """Return a counter summed over the entry nodes."""
    return sum(
        deployment.status(entry.name).counters.get(name, 0)
        for entry in deployment.topology.entries
    )
