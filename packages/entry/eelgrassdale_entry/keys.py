"""Keys on offer and the check that no key goes to two agents."""

from collections import OrderedDict

from eelgrassdale.catalog import Configuration
from eelgrassdale.telemetry import InvariantMonitor
from eelgrassdale_entry.agents import AgentTable

REMEMBERED_KEYS = 10_000


def keys_on_offer(
    agents: AgentTable, cfg: Configuration, service: str
) -> list[tuple[str, int]]:
    """Return the agents that accept work of a service now, with incarnations.

    Agents with free slots come first, since a keyed request never waits.
    """
    views = [
        view
        for view in agents.views(cfg, service)
        if view.accepting and not view.suspect
    ]
    views.sort(key=lambda view: view.free_slots <= 0)
    found = [(view.name, agents.get(view.name).incarnation) for view in views]
    return [(name, incarnation) for name, incarnation in found if incarnation]


class KeyWatch:
    """Remembers to which agent each of the latest keys was sent."""

    def __init__(self, *, monitor: InvariantMonitor) -> None:
        self._monitor = monitor
        self._agents: OrderedDict[str, str] = OrderedDict()

    def sent(self, key: str, agent: str) -> None:
        """Check and remember a sending."""
        before = self._agents.setdefault(key, agent)
        self._monitor.check(
            before == agent, "key_has_one_agent", key=key, first=before, second=agent
        )
        if len(self._agents) > REMEMBERED_KEYS:
            self._agents.popitem(last=False)
