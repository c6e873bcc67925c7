"""State that the dispatcher keeps about agents, and their links."""

from collections.abc import Callable, Iterable

from attrs import define, field

from eelgrassdale.catalog import Configuration, Vm, VmState
from eelgrassdale.clock import Clock
from eelgrassdale.identity import Role
from eelgrassdale.membership.members import Member, Members, MemberState
from eelgrassdale.routing.choice import AgentView, Location
from eelgrassdale.routing.subset import (
    MAX_LINKS,
    SUBSET_SIZE,
    choose_subset,
    subset_size,
)
from eelgrassdale.wire import Headroom
from eelgrassdale_entry.links import AgentLink

# A link to an agent outside the subsets, which a keyed request opened, is closed
# after it was unused for this long.
UNUSED_LINK_KEEP_SECONDS = 10.0
# Minimum interval between reports of the same reachability of an agent to the
# members.
CONTACT_REPORT_INTERVAL_SECONDS = 0.25
USABLE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)

LinkFactory = Callable[[str, str], AgentLink]


@define(kw_only=True)
class AgentState:
    """One agent with its link and last report.

    `pending` maps requests whose submission was not answered yet to their memory
    in bytes. `in_flight` are the ids of the requests sent on `link` that have not
    ended. `last_reached` is the last reachability that was reported to the members.
    """

    member: Member
    link: AgentLink
    incarnation: int = 0
    headroom: dict[str, Headroom] = field(factory=dict)
    pending: dict[str, int] = field(factory=dict)
    in_flight: set[str] = field(factory=set)
    is_unresponsive: bool = False
    last_used_at: float = 0.0
    last_reached: bool | None = None
    contact_reported_at: float = 0.0

    @property
    def accepted_work(self) -> tuple[int, frozenset[str]]:
        """The incarnation, and the services whose new work it accepts."""
        accepted = frozenset() if self.is_unresponsive else self._accepted_by_headroom()
        return self.incarnation, accepted

    def _accepted_by_headroom(self) -> frozenset[str]:
        return frozenset(
            service for service, headroom in self.headroom.items() if headroom.accepting
        )

    def should_report_contact(self, reached: bool, now: float) -> bool:
        """Return whether to report this reachability to the members.

        A change is always reported, an unchanged state at intervals. The report
        is recorded.
        """
        if (
            reached is self.last_reached
            and now - self.contact_reported_at < CONTACT_REPORT_INTERVAL_SECONDS
        ):
            return False
        self.last_reached, self.contact_reported_at = reached, now
        return True


class AgentTable:
    """Subsets of agents, headroom views and links; used only by the dispatcher task."""

    def __init__(
        self,
        *,
        node: str,
        location: Location,
        clock: Clock,
        new_link: LinkFactory,
        subset_size: int = SUBSET_SIZE,
        max_links: int = MAX_LINKS,
    ) -> None:
        self._node = node
        self._location = location
        self._clock = clock
        self._new_link = new_link
        self._subset_size = subset_size
        self._max_links = max_links
        self._agents: dict[str, AgentState] = {}
        self._subsets: dict[str, tuple[str, ...]] = {}

    def update(self, cfg: Configuration, members: Members) -> None:
        """Recompute the subsets and open or close links accordingly."""
        size = subset_size(
            services=len(cfg.services),
            size=self._subset_size,
            max_links=self._max_links,
        )
        self._subsets = {
            service: choose_subset(
                service=service,
                node=self._node,
                location=self._location,
                members=usable_members(cfg, members, service),
                size=size,
            )
            for service in cfg.services
        }
        for names in self._subsets.values():
            for name in names:
                self.ensure_link(members.by_name[name])
        for name, agent in self._agents.items():
            agent.member = members.by_name.get(name, agent.member)
        self.close_unused()

    def close_unused(self) -> None:
        """Close the links that no subset and no request uses."""
        wanted = {name for names in self._subsets.values() for name in names}
        limit = self._clock.monotonic() - UNUSED_LINK_KEEP_SECONDS
        for name, agent in list(self._agents.items()):
            if (
                name not in wanted
                and not agent.in_flight
                and agent.last_used_at < limit
            ):
                agent.link.close()
                del self._agents[name]

    def ensure_link(self, member: Member) -> AgentState:
        """Return the state of an agent; open a link if its current address has none."""
        agent = self._agents.get(member.name)
        if agent is not None and agent.link.address == member.node_address:
            return agent
        if agent is not None:
            agent.link.close()
        link = self._new_link(member.name, member.node_address)
        link.start()
        agent = AgentState(
            member=member, link=link, last_used_at=self._clock.monotonic()
        )
        self._agents[member.name] = agent
        return agent

    def get(self, name: str) -> AgentState | None:
        """Return the state of an agent, or None when it has no link."""
        return self._agents.get(name)

    def links(self) -> list[AgentLink]:
        """Return all open links."""
        return [agent.link for agent in self._agents.values()]

    def subset(self, service: str) -> tuple[str, ...]:
        """Return the names of the agents that this node uses for a service."""
        return self._subsets.get(service, ())

    def views(self, cfg: Configuration, service: str) -> list[AgentView]:
        """Return the agents that may receive new work of a service.

        Agents that have not reported headroom yet are left out.
        """
        found = []
        for name in self.subset(service):
            vm = cfg.vms.get(name)
            if vm is None or not accepts_new_work(cfg, vm, service):
                continue
            view = self.view(name, service)
            if view is not None:
                found.append(view)
        return found

    def has_free_slot(self, service: str) -> bool:
        """Return whether an agent has a free slot; a cheap check before `views`."""
        for name in self.subset(service):
            agent = self._agents.get(name)
            headroom = agent.headroom.get(service) if agent is not None else None
            if headroom is not None and (headroom.slots or 0) > len(agent.pending):
                return True
        return False

    def view(self, name: str, service: str) -> AgentView | None:
        """Return the view of one agent, None if it is unusable or has not reported."""
        agent = self._agents.get(name)
        headroom = agent.headroom.get(service) if agent is not None else None
        if headroom is None or agent.member.state not in USABLE_STATES:
            return None
        return _agent_view(agent, headroom)

    def record_sent(
        self, agent: AgentState, request_id: str, memory_bytes: int
    ) -> None:
        """Count a request whose submission the agent has not answered yet."""
        agent.pending[request_id] = memory_bytes
        agent.in_flight.add(request_id)
        agent.last_used_at = self._clock.monotonic()

    def record_submit_answer(
        self, agent: AgentState, request_id: str, service: str, headroom
    ) -> None:
        """Apply the answer to a submission, whose headroom counts the request."""
        agent.pending.pop(request_id, None)
        if headroom is not None:
            agent.headroom[service] = headroom

    def record_report(self, agent: AgentState, incarnation: int, headroom) -> None:
        """Apply the headroom of all services from a poll or a probe."""
        agent.is_unresponsive = False
        agent.incarnation = incarnation
        agent.headroom = dict(headroom)

    def mark_unresponsive(self, agent: AgentState) -> None:
        """Treat an agent as suspect until its next report."""
        agent.is_unresponsive = True

    def request_headroom(self, service: str) -> None:
        """Make the agents of a service report their headroom soon."""
        for name in self.subset(service):
            agent = self._agents.get(name)
            if agent is not None:
                agent.link.request_headroom()


def usable_members(
    cfg: Configuration, members: Members, service: str
) -> Iterable[Member]:
    """Yield the members from which the subset of a service is chosen."""
    for vm in cfg.backend_servers_of(service):
        member = members.by_name.get(vm.name)
        if member is None or not accepts_new_work(cfg, vm, service):
            continue
        if member.role is Role.BACKEND and member.state in USABLE_STATES:
            yield member


def accepts_new_work(cfg: Configuration, vm: Vm, service: str) -> bool:
    """Return whether the configuration allows new work of a service on a VM."""
    return (
        vm.service == service
        and vm.state is VmState.IN_SERVICE
        and cfg.is_in_service(vm.data_centre)
    )


def _agent_view(agent: AgentState, headroom: Headroom) -> AgentView:
    return AgentView(
        name=agent.member.name,
        data_centre=agent.member.data_centre,
        region=agent.member.region,
        slots=headroom.slots or 0,
        memory_bytes=headroom.memory_bytes or 0,
        limit=headroom.limit or 1,
        running=headroom.running or 0,
        pending_slots=len(agent.pending),
        pending_bytes=sum(agent.pending.values()),
        accepting=bool(headroom.accepting),
        suspect=agent.is_unresponsive or agent.member.state is MemberState.SUSPECT,
        model_version=headroom.model_version or "",
    )
