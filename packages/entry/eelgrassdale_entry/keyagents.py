"""Agents for new keys, and the check that no key is sent to two agents."""

from collections import OrderedDict

from eelgrassdale.catalog import Configuration
from eelgrassdale.telemetry import InvariantMonitor
from eelgrassdale_entry.agents import AgentTable

MAX_REMEMBERED_KEYS = 10_000


def agents_for_new_keys(
    agents: AgentTable, cfg: Configuration, service: str
) -> list[tuple[str, int]]:
    """Return the agents for which new keys may be issued, with incarnations.

    These are the agents that accept work of a service now. Those with free slots come
    first, since a keyed request does not wait for a free slot.
    """
    views = [
        view
        for view in agents.views(cfg, service)
        if view.accepting and not view.suspect
    ]
    views.sort(key=lambda view: view.free_slots <= 0)
    found = [(view.name, agents.get(view.name).incarnation) for view in views]
    return [(name, incarnation) for name, incarnation in found if incarnation]


class KeyAgentMonitor:
    """Checks that each of the most recent keys is sent to one agent only."""

    def __init__(self, *, monitor: InvariantMonitor) -> None:
        self._monitor = monitor
        self._agents: OrderedDict[str, str] = OrderedDict()

    def record_sent(self, key: str, agent: str) -> None:
        """Check and record that a key is sent to an agent."""
        first_agent = self._agents.setdefault(key, agent)
        self._monitor.check(
            first_agent == agent,
            "key_has_one_agent",
            key=key,
            first=first_agent,
            second=agent,
        )
        if len(self._agents) > MAX_REMEMBERED_KEYS:
            self._agents.popitem(last=False)
