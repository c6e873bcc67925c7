"""Time until entry nodes notice a failed agent, and false suspicions.

Lidwright's deployment under steady load. One runner's agent is frozen and
resumed, another one is killed and started again. The times are those of the
slowest entry node that logged the change, from its log.
"""

import json
import time
from collections.abc import Iterator
from datetime import UTC, datetime

from attrs import frozen

from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.load import Load
from eelgrassdale_standins.processes import ProcessError, wait_until
from eelgrassdale_standins.topology import (
    FRANCHISE_PORTAL,
    LID_ASSISTANT,
    ORDER_DESK,
    ModelSpec,
    lidwright,
)

MODELS = (ModelSpec(version="lid-1", size_bytes=1_000_000),)
FROZEN_AGENT = "lid-0"
KILLED_AGENT = "lid-2"
WARM_UP_SECONDS = 3.0
QUIET_SECONDS = 4.0
FAULT_SECONDS = 6.0
RETURN_SECONDS = 20.0
MEMBER_STATE_EVENT = "member state"


@frozen(kw_only=True)
class StateChange:
    """One change of a member's state in the log of an entry node."""

    node: str
    member: str
    state: str
    at: datetime


def run() -> Iterator[dict]:
    """Yield one line without a fault and one for each fault."""
    with Deployment(lidwright(models=MODELS)) as deployment:
        load = Load(
            deployment,
            model_service=LID_ASSISTANT,
            reservation_service=ORDER_DESK,
            plain_service=FRANCHISE_PORTAL,
        )
        load.start()
        time.sleep(WARM_UP_SECONDS)
        yield _quiet(deployment)
        yield _frozen(deployment)
        yield _killed(deployment)
        load.stop()
        yield {"violations": deployment.violations()}


def _quiet(deployment: Deployment) -> dict:
    began = datetime.now(UTC)
    time.sleep(QUIET_SECONDS)
    changes = _changes_since(deployment, began)
    return {
        "fault": "none",
        "seconds": QUIET_SECONDS,
        "false_suspicions": sum(change.state == "suspect" for change in changes),
        "false_deaths": sum(change.state == "dead" for change in changes),
    }


def _frozen(deployment: Deployment) -> dict:
    began = datetime.now(UTC)
    deployment.processes[FROZEN_AGENT].freeze()
    time.sleep(FAULT_SECONDS)
    resumed = datetime.now(UTC)
    deployment.processes[FROZEN_AGENT].resume()
    _wait_for_return(deployment, FROZEN_AGENT, resumed)
    return {"fault": "frozen", **_times(deployment, FROZEN_AGENT, began, resumed)}


def _killed(deployment: Deployment) -> dict:
    began = datetime.now(UTC)
    deployment.processes[KILLED_AGENT].kill()
    time.sleep(FAULT_SECONDS)
    restarted = datetime.now(UTC)
    deployment.start_node(KILLED_AGENT)
    _wait_for_return(deployment, KILLED_AGENT, restarted)
    return {"fault": "killed", **_times(deployment, KILLED_AGENT, began, restarted)}


def _wait_for_return(deployment: Deployment, agent: str, since: datetime) -> None:
    try:
        wait_until(
            lambda: (
                _nodes_in(deployment, agent, "alive", since)
                >= _nodes_in(deployment, agent, "dead", None)
            ),
            seconds=RETURN_SECONDS,
            what=f"{agent} is alive again at every entry node",
        )
    except ProcessError:
        return


def _times(
    deployment: Deployment, agent: str, began: datetime, ended: datetime
) -> dict:
    changes = [c for c in _changes_since(deployment, began) if c.member == agent]
    before = [c for c in changes if c.at < ended]
    return {
        "agent": agent,
        "entry_nodes": len(deployment.topology.entries),
        "noticed_by": len({c.node for c in before if c.state != "alive"}),
        "last_suspect_s": _slowest(before, ("suspect", "dead"), began),
        "last_dead_s": _slowest(before, ("dead",), began),
        "last_return_s": _slowest(
            [c for c in changes if c.at >= ended], ("alive",), ended
        ),
    }


def _slowest(
    changes: list[StateChange], states: tuple[str, ...], began: datetime
) -> float | None:
    """Return when the last node saw its first change to one of the states."""
    first: dict[str, datetime] = {}
    for change in changes:
        if change.state in states:
            first.setdefault(change.node, change.at)
    if not first:
        return None
    return round((max(first.values()) - began).total_seconds(), 2)


def _nodes_in(
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
            change = _change_of(entry.name, line)
            if change is not None and (since is None or change.at >= since):
                changes.append(change)
    return sorted(changes, key=lambda change: change.at)


def _change_of(node: str, line: str) -> StateChange | None:
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
        at=datetime.fromisoformat(event["timestamp"]),
    )
