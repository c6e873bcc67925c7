"""Time until entry nodes notice a failed agent, and false suspicions.

The example deployment `lidwright_topology` runs under steady load. One agent of the
model service is frozen and resumed, another one is killed and restarted. The
times are those of the slowest entry node that logged the change of state, read
from the logs.
"""

import json
import time
from collections.abc import Iterator
from datetime import UTC, datetime

from attrs import frozen

from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.loadgenerator import LoadGenerator
from eelgrassdale_standins.processes import ProcessError, wait_until
from eelgrassdale_standins.topology import (
    FRANCHISE_PORTAL,
    LID_ASSISTANT,
    ORDER_DESK,
    ModelSpec,
    lidwright_topology,
)

MODELS = (ModelSpec(version="lid-1", size_bytes=1_000_000),)
FROZEN_AGENT = "lid-0"
KILLED_AGENT = "lid-2"
WARM_UP_SECONDS = 3.0
NO_FAULT_SECONDS = 4.0
FAULT_SECONDS = 6.0
RECOVERY_TIMEOUT_SECONDS = 20.0
MEMBER_STATE_EVENT = "member state changed"


@frozen(kw_only=True)
class StateChange:
    """Change of a member's state, as logged by an entry node."""

    node: str
    member: str
    state: str
    logged_at: datetime


def run() -> Iterator[dict]:
    """Yield one line without a fault, one for each fault and the violations."""
    with Deployment(lidwright_topology(models=MODELS)) as deployment:
        load = LoadGenerator(
            deployment,
            model_service=LID_ASSISTANT,
            reservation_service=ORDER_DESK,
            plain_service=FRANCHISE_PORTAL,
        )
        load.start()
        time.sleep(WARM_UP_SECONDS)
        yield _measure_without_fault(deployment)
        yield _measure_frozen_agent(deployment)
        yield _measure_killed_agent(deployment)
        load.stop()
        yield {"violations": deployment.violations()}


def _measure_without_fault(deployment: Deployment) -> dict:
    window_start = datetime.now(UTC)
    time.sleep(NO_FAULT_SECONDS)
    changes = _changes_since(deployment, window_start)
    return {
        "fault": "none",
        "seconds": NO_FAULT_SECONDS,
        "false_suspicions": sum(change.state == "suspect" for change in changes),
        "false_deaths": sum(change.state == "dead" for change in changes),
    }


def _measure_frozen_agent(deployment: Deployment) -> dict:
    frozen_at = datetime.now(UTC)
    deployment.processes[FROZEN_AGENT].freeze()
    time.sleep(FAULT_SECONDS)
    resumed_at = datetime.now(UTC)
    deployment.processes[FROZEN_AGENT].resume()
    _wait_for_recovery(deployment, FROZEN_AGENT, resumed_at)
    return {
        "fault": "frozen",
        **_detection_times(deployment, FROZEN_AGENT, frozen_at, resumed_at),
    }


def _measure_killed_agent(deployment: Deployment) -> dict:
    killed_at = datetime.now(UTC)
    deployment.processes[KILLED_AGENT].kill()
    time.sleep(FAULT_SECONDS)
    restarted_at = datetime.now(UTC)
    deployment.start_node(KILLED_AGENT)
    _wait_for_recovery(deployment, KILLED_AGENT, restarted_at)
    return {
        "fault": "killed",
        **_detection_times(deployment, KILLED_AGENT, killed_at, restarted_at),
    }


def _wait_for_recovery(deployment: Deployment, agent: str, since: datetime) -> None:
    try:
        wait_until(
            lambda: (
                _nodes_that_logged(deployment, agent, "alive", since)
                >= _nodes_that_logged(deployment, agent, "dead", None)
            ),
            timeout_seconds=RECOVERY_TIMEOUT_SECONDS,
            description=(
                f"{agent} is alive again at every entry node that declared it dead"
            ),
        )
    except ProcessError:
        return


def _detection_times(
    deployment: Deployment, agent: str, fault_start: datetime, fault_end: datetime
) -> dict:
    changes = [c for c in _changes_since(deployment, fault_start) if c.member == agent]
    during_fault = [c for c in changes if c.logged_at < fault_end]
    return {
        "agent": agent,
        "entry_nodes": len(deployment.topology.entries),
        "noticed_by": len({c.node for c in during_fault if c.state != "alive"}),
        "last_suspect_s": _seconds_to_last_node(
            during_fault, ("suspect", "dead"), fault_start
        ),
        "last_dead_s": _seconds_to_last_node(during_fault, ("dead",), fault_start),
        "last_return_s": _seconds_to_last_node(
            [c for c in changes if c.logged_at >= fault_end], ("alive",), fault_end
        ),
    }


def _seconds_to_last_node(
    changes: list[StateChange], states: tuple[str, ...], start: datetime
) -> float | None:
    """Return the seconds until each node that logged one of the states had done so.

    The result is None if no node logged any of them.
    """
    first_change: dict[str, datetime] = {}
    for change in changes:
        if change.state in states:
            first_change.setdefault(change.node, change.logged_at)
    if not first_change:
        return None
    return round((max(first_change.values()) - start).total_seconds(), 2)


def _nodes_that_logged(
    deployment: Deployment, agent: str, state: str, since: datetime | None
) -> set[str]:
    return {
        change.node
        for change in _changes_since(deployment, since)
        if change.member == agent and change.state == state
    }


def _changes_since(deployment: Deployment, since: datetime | None) -> list[StateChange]:
    changes = []
    for entry in deployment.topology.entries:
        log = deployment.processes[entry.name].command.log
        for line in log.read_text(errors="replace").splitlines():
            change = _parse_state_change(entry.name, line)
            if change is not None and (since is None or change.logged_at >= since):
                changes.append(change)
    return sorted(changes, key=lambda change: change.logged_at)


def _parse_state_change(node: str, line: str) -> StateChange | None:
    if MEMBER_STATE_EVENT not in line:
        return None
    try:
        event = json.loads(line)
    except ValueError:
        return None
    return StateChange(
        node=node,
        member=event["member"],
        state=event["state"],
        logged_at=datetime.fromisoformat(event["timestamp"]),
    )
