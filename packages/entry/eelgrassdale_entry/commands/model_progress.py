"""Progress of a model push, computed from the status of the agents."""

from collections.abc import Mapping

from attrs import frozen

from eelgrassdale.wire import NodeStatus

MAX_SLOWEST_SHOWN = 3
LOADED_STATES = ("cold", "ready")
ORIGIN_BYTES_COUNTER = "weights_bytes_from_origin"
REGION_BYTES_COUNTER = "weights_bytes_from_region"
PEER_BYTES_COUNTER = "weights_bytes_from_peers"


@frozen(kw_only=True)
class AgentProgress:
    """Progress of one agent; `share` is the fraction of chunks held, 0 to 1."""

    agent: str
    state: str
    share: float
    has_version: bool
    reason: str

    def as_json(self) -> dict[str, object]:
        """Return the fields of an agent in the JSON output."""
        return {
            "agent": self.agent,
            "state": self.state,
            "held": round(self.share, 3),
            "reason": self.reason,
        }


@frozen(kw_only=True)
class PushProgress:
    """Progress of a push over all replicas.

    `held` is the mean of the agents' shares, from 0 to 1; bytes are totals of the
    agents that answered.
    """

    model_version: str
    ready: int
    replicas: int
    held: float
    origin_bytes: int
    region_bytes: int
    peer_bytes: int
    slowest: tuple[AgentProgress, ...]

    @property
    def is_complete(self) -> bool:
        """Whether every replica has the version loaded."""
        return self.replicas > 0 and self.ready == self.replicas

    def relative_to(self, start: "PushProgress") -> "PushProgress":
        """Return the progress, with bytes counted from `start`."""
        return PushProgress(
            model_version=self.model_version,
            ready=self.ready,
            replicas=self.replicas,
            held=self.held,
            origin_bytes=max(0, self.origin_bytes - start.origin_bytes),
            region_bytes=max(0, self.region_bytes - start.region_bytes),
            peer_bytes=max(0, self.peer_bytes - start.peer_bytes),
            slowest=self.slowest,
        )

    def as_json(self) -> dict[str, object]:
        """Return the fields of one line of JSON output."""
        return {
            "model_version": self.model_version,
            "ready": self.ready,
            "replicas": self.replicas,
            "held": round(self.held, 3),
            "origin_bytes": self.origin_bytes,
            "inter_region_bytes": self.region_bytes,
            "peer_bytes": self.peer_bytes,
            "slowest": [agent.as_json() for agent in self.slowest],
        }


def push_progress(
    model_version: str, statuses: Mapping[str, NodeStatus | None]
) -> PushProgress:
    """Return the progress of a version on the replicas of its service.

    Parameters
    ----------
    model_version : str
        Model version that is pushed.
    statuses : mapping of str to NodeStatus or None
        Status of each agent by name, None for an unreachable one.

    Examples
    --------
    >>> facts = {"load_state": "fetching", "weights_progress": "3/4"}
    >>> status = NodeStatus(facts={**facts, "weights_target": "m-2"}, counters={})
    >>> progress = push_progress("m-2", {"vm-1": status, "vm-2": None})
    >>> progress.ready, progress.replicas, progress.held
    (0, 2, 0.375)
    >>> [agent.reason for agent in progress.slowest]
    ['out of reach', 'fetching']

    """
    agents = [
        _agent_progress(name, status, model_version)
        for name, status in sorted(statuses.items())
    ]
    behind = [agent for agent in agents if not agent.has_version]
    behind.sort(key=lambda agent: (agent.share, agent.agent))
    return PushProgress(
        model_version=model_version,
        ready=sum(agent.has_version for agent in agents),
        replicas=len(agents),
        held=sum(agent.share for agent in agents) / max(1, len(agents)),
        origin_bytes=_counter_total(statuses, ORIGIN_BYTES_COUNTER),
        region_bytes=_counter_total(statuses, REGION_BYTES_COUNTER),
        peer_bytes=_counter_total(statuses, PEER_BYTES_COUNTER),
        slowest=_slowest(behind),
    )


def _slowest(behind: list[AgentProgress]) -> tuple[AgentProgress, ...]:
    return tuple(behind[:MAX_SLOWEST_SHOWN])


def _agent_progress(
    name: str, status: NodeStatus | None, model_version: str
) -> AgentProgress:
    if status is None:
        return AgentProgress(
            agent=name, state="", share=0.0, has_version=False, reason="out of reach"
        )
    facts = status.facts or {}
    state = facts.get("load_state", "")
    has_version = state in LOADED_STATES and facts.get("model_version") == model_version
    is_target = facts.get("weights_target") == model_version
    share = 1.0 if has_version else _parse_share(facts) if is_target else 0.0
    return AgentProgress(
        agent=name,
        state=state,
        share=share,
        has_version=has_version,
        reason=_reason(facts, state, is_target),
    )


def _reason(facts: Mapping[str, str], state: str, is_target: bool) -> str:
    if not is_target:
        return "has not received the configuration"
    blocked_by = facts.get("weights_blocked_by", "")
    return f"{state}: {blocked_by}" if blocked_by else state


def _parse_share(facts: Mapping[str, str]) -> float:
    held, _, total = facts.get("weights_progress", "0/0").partition("/")
    try:
        return int(held) / int(total)
    except (ValueError, ZeroDivisionError):
        return 0.0


def _counter_total(statuses: Mapping[str, NodeStatus | None], counter: str) -> int:
    return sum(
        (status.counters or {}).get(counter, 0)
        for status in statuses.values()
        if status is not None
    )
