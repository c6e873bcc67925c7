"""Overload of one service at three times its capacity, beside two others.

Targets: the 95th percentile of the latency of the other services is at most
1.2 times the one at a normal load of 0.8 of the capacity, the overloaded
service still completes 0.9 of its capacity, and no backend server crashes.
`idle_p95_ratio` compares with the model service without any load, when fewer
processes compete for the cores.
"""

from collections.abc import Iterable

import attrs

from eelgrassdale.catalog import ClientAccount, DataCentre, Service, ServiceKind
from eelgrassdale_measures.callerload import (
    CallerProcesses,
    CallerResult,
    CallerSpec,
    merge_results,
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

MODEL_SERVICE = "lids"
PORTAL_SERVICE = "portal"
DESK_SERVICE = "desk"
OVERLOAD_FACTOR = 3.0
NORMAL_FACTOR = 0.8
ENGINE_SLOTS = 8
ANSWER_TOKENS = 40
PHASE_SECONDS = 3.0
SATURATING_CALLER_COUNT = 3 * 2 * ENGINE_SLOTS
OVERLOAD_CALLER_COUNT = 160


def topology() -> Topology:
    """Return two entry nodes, two engines and two plain services.

    An engine crashes when its requests take more than twice the memory that
    its slots need, so that only admission control protects it from overload.
    """
    token_bytes = 1024
    memory_bytes = 2 * ENGINE_SLOTS * 2 * ANSWER_TOKENS * token_bytes
    plain = {"cold_slots": 32, "max_slots": 32}
    return Topology(
        data_centres=(DataCentre(name="n1", region="n"),),
        services=(
            Service(
                name=MODEL_SERVICE,
                kind=ServiceKind.MODEL,
                cold_slots=ENGINE_SLOTS,
                max_slots=ENGINE_SLOTS,
                memory_bytes=memory_bytes,
                token_bytes=token_bytes,
            ),
            Service(name=PORTAL_SERVICE, kind=ServiceKind.PLAIN, **plain),
            Service(name=DESK_SERVICE, kind=ServiceKind.PLAIN, **plain),
        ),
        accounts=(
            ClientAccount(name="large"),
            ClientAccount(name="small"),
            ClientAccount(name="other"),
        ),
        entries=tuple(EntrySpec(name=f"entry-{n}", data_centre="n1") for n in range(2)),
        agents=tuple(
            AgentSpec(name=f"{service}-{number}", data_centre="n1", service=service)
            for service, count in (
                (MODEL_SERVICE, 2),
                (PORTAL_SERVICE, 1),
                (DESK_SERVICE, 1),
            )
            for number in range(count)
        ),
        models=(ModelSpec(version="lid-1", size_bytes=MEBIBYTE),),
        backend_options={
            PORTAL_SERVICE: ("--delay-seconds", 0.005),
            DESK_SERVICE: ("--delay-seconds", 0.01),
        },
    )


def run() -> Iterable[dict]:
    """Yield the figures of the deployment under overload."""
    with Deployment(topology()) as deployment, CallerProcesses(4) as processes:
        yield measure(deployment, processes)


def measure(deployment: Deployment, processes: CallerProcesses) -> dict:
    """Return the figures without load, with normal load and with overload."""
    addresses = tuple(deployment.addresses.caller.values())
    other_callers = steady_callers(addresses)
    model_callers = saturating_callers(deployment, addresses)
    processes.run(
        *(attrs.evolve(spec, seconds=0.5) for spec in (*other_callers, model_callers))
    )
    (saturated,) = processes.run(model_callers)
    capacity = saturated.complete_answers / saturated.elapsed_seconds
    without_model_load = processes.run(*other_callers)
    with_normal_load = [
        _run_with_model_load(
            processes, other_callers, model_callers, NORMAL_FACTOR * capacity
        )
    ]
    with_overload = _run_with_model_load(
        processes, other_callers, model_callers, OVERLOAD_FACTOR * capacity
    )
    with_normal_load.append(
        _run_with_model_load(
            processes, other_callers, model_callers, NORMAL_FACTOR * capacity
        )
    )
    merged_normal = [
        merge_results(runs) for runs in zip(*with_normal_load, strict=True)
    ]
    others, model_in_overload = with_overload[:-1], with_overload[-1]
    goodput = model_in_overload.complete_answers / model_in_overload.elapsed_seconds
    p95_ms = [
        [r.p95_ms() for r in rs]
        for rs in (without_model_load, merged_normal[:-1], others)
    ]
    return {
        "capacity_per_s": round(capacity, 1),
        "offered_per_s": round(
            sum(model_in_overload.outcomes.values()) / PHASE_SECONDS, 1
        ),
        "goodput_per_s": round(goodput, 1),
        "goodput_share": round(goodput / capacity, 3),
        "other_p95_ratio": worst_ratio(p95_ms[1], p95_ms[2]),
        "idle_p95_ratio": worst_ratio(p95_ms[0], p95_ms[2]),
        "other_p95_ms": [[round(value, 1) for value in row] for row in p95_ms],
        "refused_not_run": model_in_overload.outcomes.get("NOT_RUN", 0),
        "failed": sum(
            result.count_failed() for result in (*merged_normal, *with_overload)
        ),
        "backend_failures": backend_failures(deployment),
        "retries": sum_counter(deployment, "retries"),
        "violations": deployment.violations(),
    }


def _run_with_model_load(
    processes: CallerProcesses,
    other_callers: tuple[CallerSpec, ...],
    model_callers: CallerSpec,
    rate: float,
) -> list[CallerResult]:
    """Run all services, the model service at `rate` requests per second.

    The last result is that of the model service.
    """
    half_load = attrs.evolve(
        model_callers,
        rate=rate / 2,
        threads=OVERLOAD_CALLER_COUNT,
        accounts=("large", "large", "large", "small"),
    )
    *other_results, first, second = processes.run(*other_callers, half_load, half_load)
    model_result = merge_results([first, second])
    elapsed_seconds = max(first.elapsed_seconds, second.elapsed_seconds)
    return [*other_results, attrs.evolve(model_result, elapsed_seconds=elapsed_seconds)]


def worst_ratio(before: list[float], after: list[float]) -> float:
    """Return the largest ratio of a percentile in `after` to that in `before`.

    Examples
    --------
    >>> worst_ratio([10.0, 20.0], [12.0, 22.0])
    1.2

    """
    return round(max(b / a for a, b in zip(before, after, strict=True)), 3)


def steady_callers(addresses: tuple[str, ...]) -> tuple[CallerSpec, ...]:
    """Return callers with a steady load for the two plain services."""
    common = {
        "kind": "call",
        "addresses": addresses,
        "accounts": ("other",),
        "threads": 4,
        "seconds": PHASE_SECONDS,
    }
    return tuple(
        CallerSpec(service=name, **common) for name in (PORTAL_SERVICE, DESK_SERVICE)
    )


def saturating_callers(
    deployment: Deployment, addresses: tuple[str, ...]
) -> CallerSpec:
    """Return callers that keep all slots of the engines occupied."""
    return CallerSpec(
        kind="generate",
        service=MODEL_SERVICE,
        addresses=addresses,
        accounts=("large", "small"),
        weights={
            model.version: model.weights().loaded_digest
            for model in deployment.topology.models
        },
        threads=SATURATING_CALLER_COUNT,
        pause_seconds=0.0,
        max_tokens=ANSWER_TOKENS,
        seconds=PHASE_SECONDS,
    )


def backend_failures(deployment: Deployment) -> int:
    """Return the number of engine crashes."""
    return sum(
        control.get_counts(deployment.addresses.backend[agent.name])["crashes"]
        for agent in deployment.topology.agents_of(MODEL_SERVICE)
    )


def sum_counter(deployment: Deployment, name: str) -> int:
    """Return a counter summed over the entry nodes."""
    return sum(
        deployment.status(entry.name).counters.get(name, 0)
        for entry in deployment.topology.entries
    )
