"""Starts the Lidwright deployment, pushes a model under load and checks the result.

The last line of output is one JSON object; the exit status is 0 only when
every check passed.
"""

import json
import signal
import sys
import time

import attrs

from eelgrassdale_standins import control
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.loadgenerator import LoadGenerator, LoadTotals
from eelgrassdale_standins.processes import ProcessError, wait_until
from eelgrassdale_standins.topology import (
    FRANCHISE_PORTAL,
    LID_ASSISTANT,
    MEBIBYTE,
    ORDER_DESK,
    ModelSpec,
    Topology,
    lidwright_topology,
)

OLD_MODEL = ModelSpec(version="lid-1", size_bytes=4 * MEBIBYTE)
NEW_MODEL = ModelSpec(version="lid-2", size_bytes=16 * MEBIBYTE, seed=2)
SOURCE_BYTES_PER_SECOND = 8 * MEBIBYTE
PUSH_SECONDS = 30.0
LOAD_BEFORE_SECONDS = 1.0
LOAD_AFTER_SECONDS = 1.0


def demo_topology() -> Topology:
    """Return the Lidwright deployment with a rate-limited origin."""
    return attrs.evolve(
        lidwright_topology(models=(OLD_MODEL, NEW_MODEL)),
        source_bytes_per_second=SOURCE_BYTES_PER_SECOND,
    )


def push_model(deployment: Deployment, model: ModelSpec) -> float:
    """Make `model` the version of the model service; return the seconds taken.

    Returns -1 when it is not loaded at every agent within `PUSH_SECONDS`.
    """
    start = time.monotonic()
    service = deployment.configuration.current().services[LID_ASSISTANT]
    deployment.configuration.put(
        model.catalog_object(), attrs.evolve(service, model_version=model.version)
    )
    try:
        wait_until(
            lambda: (
                count_replicas(deployment, model) == len(model_agent_names(deployment))
            ),
            timeout_seconds=PUSH_SECONDS,
            description=f"{model.version} loaded at every agent",
        )
    except ProcessError as exc:
        print(f"{exc}; load states {load_states(deployment)}", file=sys.stderr)
        return -1.0
    return time.monotonic() - start


def model_agent_names(deployment: Deployment) -> list[str]:
    """Return the names of the agents of the model service."""
    return [agent.name for agent in deployment.topology.agents_of(LID_ASSISTANT)]


def count_replicas(deployment: Deployment, model: ModelSpec) -> int:
    """Return the number of engines that loaded exactly the weights of `model`."""
    expected_digest = model.weights().loaded_digest
    return sum(
        control.get_counts(deployment.addresses.backend[name])["loaded_weights"]
        == expected_digest
        for name in model_agent_names(deployment)
    )


def load_states(deployment: Deployment) -> dict[str, str]:
    """Return the load state of each agent of the model service."""
    return {
        name: deployment.probe(name).load_state
        for name in model_agent_names(deployment)
    }


def origin_copies(deployment: Deployment, model: ModelSpec) -> float:
    """Return the bytes of `model` sent by all weight sources, relative to its size."""
    sent_bytes = sum(
        control.get_counts(deployment.addresses.platform[name]).get(
            f"bytes_sent/{model.version}", 0
        )
        for name in deployment.topology.weight_sources
    )
    return round(sent_bytes / model.size_bytes, 3)


def run_twice(deployment: Deployment, totals: LoadTotals) -> int:
    """Return the number of reservations whose runs contradict the callers' answers.

    These ran more than once, ran although refused as not run, or never ran
    although confirmed.
    """
    run_counts: dict[str, int] = {}
    for agent in deployment.topology.agents_of(ORDER_DESK):
        counts = control.get_counts(deployment.addresses.backend[agent.name])
        for reservation, run_count in counts["reservations"].items():
            run_counts[reservation] = run_counts.get(reservation, 0) + run_count
    duplicated = sum(run_count > 1 for run_count in run_counts.values())
    run_although_refused = sum(
        name in run_counts for name in totals.refused_reservations
    )
    lost = sum(name not in run_counts for name in totals.confirmed_reservations)
    return duplicated + run_although_refused + lost


def run_demo() -> dict[str, object]:
    """Run the demo and return its figures."""
    with Deployment(demo_topology()) as deployment:
        print(f"{len(deployment.processes)} processes are running", flush=True)
        load = LoadGenerator(
            deployment,
            model_service=LID_ASSISTANT,
            reservation_service=ORDER_DESK,
            plain_service=FRANCHISE_PORTAL,
        )
        load.start()
        time.sleep(LOAD_BEFORE_SECONDS)
        seconds = push_model(deployment, NEW_MODEL)
        print(f"push of {NEW_MODEL.version} took {seconds:.2f} s", flush=True)
        time.sleep(LOAD_AFTER_SECONDS)
        totals = load.stop()
        for example in totals.examples:
            print(example, file=sys.stderr)
        figures = {
            "replicas": count_replicas(deployment, NEW_MODEL),
            "seconds_to_replicas": round(seconds, 2),
            "origin_copies": origin_copies(deployment, NEW_MODEL),
            **totals.figures(),
            "run_twice": run_twice(deployment, totals),
            "violations": deployment.violations(),
        }
        exit_codes = deployment.stop_nodes()
        figures["unclean_stops"] = sum(code != 0 for code in exit_codes.values())
        return figures


def all_checks_hold(figures: dict[str, object]) -> bool:
    """Return whether the figures of a demo are those of a run without failures.

    Examples
    --------
    >>> figures = dict.fromkeys(
    ...     ("failed", "run_twice", "mixed_weights", "violations", "unclean_stops"), 0
    ... )
    >>> figures |= {"requests": 9, "whole_answers": 8, "refused_not_run": 1}
    >>> all_checks_hold(figures | {"replicas": 5})
    True
    >>> all_checks_hold(figures | {"replicas": 4})
    False

    """
    must_be_zero = (
        "failed",
        "run_twice",
        "mixed_weights",
        "violations",
        "unclean_stops",
    )
    expected_answers = figures["requests"] - figures["refused_not_run"]
    return (
        figures["replicas"] == len(demo_topology().agents_of(LID_ASSISTANT))
        and 0 < figures["whole_answers"] == expected_answers
        and all(figures[name] == 0 for name in must_be_zero)
    )


def main() -> int:
    """Run the demo and return its exit status."""
    # Raising SystemExit on SIGTERM lets the deployment end its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        figures = run_demo()
    except ProcessError as exc:
        print(f"demo failed: {exc}", file=sys.stderr)
        return 1
    print(json.dumps(figures), flush=True)
    return 0 if all_checks_hold(figures) else 1


if __name__ == "__main__":
    sys.exit(main())
