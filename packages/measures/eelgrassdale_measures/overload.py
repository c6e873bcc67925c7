"""One service at three times its capacity beside two others.

Targets: the 95th percentile of the other services is at most 1.2 times the
one without the overload, the overloaded service still completes 0.9 of its
capacity, and no backend server fails. The baseline is the same load sent to
the engines directly, without routing and admission.
"""

from collections.abc import Iterable

import attrs

from eelgrassdale.catalog import ClientAccount, DataCentre, Service, ServiceKind
from eelgrassdale_measures.callerload import (
    CallerProcesses,
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
SLOTS = 8
TOKENS = 40
PHASE_SECONDS = 5.0
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
    processes.run(*(attrs.evolve(spec, seconds=1.0) for spec in (*others, lids)))
    (full,) = processes.run(lids)
    capacity = full.whole / full.elapsed
    without = [processes.run(*others)]
    overload = attrs.evolve(
        lids,
        rate=OVERLOAD * capacity / 2,
        threads=OVERLOAD_CALLERS,
        accounts=("large", "large", "large", "small"),
    )
    *beside, first, second = processes.run(*others, overload, overload)
    without.append(processes.run(*others))
    flooded = merged([first, second])
    seconds = max(first.elapsed, second.elapsed)
    before = [merged(parts) for parts in zip(*without, strict=True)]
    return {
        "capacity_per_s": round(capacity, 1),
        "offered_per_s": round(sum(flooded.outcomes.values()) / seconds, 1),
        "goodput_per_s": round(flooded.whole / seconds, 1),
        "goodput_share": round(flooded.whole / seconds / capacity, 3),
        "other_p95_ratio": round(
            max(b.p95_ms() / a.p95_ms() for a, b in zip(before, beside, strict=True)), 3
        ),
        "other_p95_ms": [[round(r.p95_ms(), 1) for r in rs] for rs in (before, beside)],
        "refused_not_run": flooded.outcomes.get("NOT_RUN", 0),
        "failed": flooded.failed() + sum(result.failed() for result in beside),
        "backend_failures": backend_failures(deployment),
        "retries": counters(deployment, "retries"),
        "violations": deployment.violations(),
    }


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
