"""Probes of other members, checks of suspects and comparison of generations."""

from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor

import structlog
from attrs import frozen

from eelgrassdale.identity import Identity, Role
from eelgrassdale.membership.members import Member, Members, MemberState
from eelgrassdale.membership.table import MembershipTable
from eelgrassdale.node.context import NodeContext
from eelgrassdale.node.peerclient import PeerClient
from eelgrassdale.spread.watchers import (
    agents_to_probe,
    choose_compare_peer,
    entry_nodes_to_probe,
)

COMPARE_INTERVAL_SECONDS = 2.0
COMPARE_JITTER = (0.75, 1.25)
PROBE_INTERVAL_SECONDS = 1.0
PROBED_ENTRY_NODES = 2
# Target of the control traffic of one node. The bound is 2 KB/s; the difference
# is reserved for pushes. Probes of agents use what other messages leave.
PROBE_BYTES_PER_SECOND = 1600
MIN_AGENT_PROBES_PER_SECOND = 1.0
MAX_AGENT_PROBES_PER_SECOND = 8.0
# Interval of the probes of dead members, which detect their return.
REPROBE_INTERVAL_SECONDS = 2.0
MAX_REPROBES_PER_SECOND = 4
# A suspect is declared dead without an indirect probe after this time if no
# other entry node can be asked for one.
UNCONFIRMED_DEAD_SECONDS = 3.0
NO_CONTACT_SECONDS = 10.0

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class ProbeState:
    """Last probe of a member and last contact with it, in monotonic seconds."""

    name: str
    probed_at: float
    last_contact_at: float


class ProbeTask:
    """Probes assigned members once a second, and suspects through other nodes."""

    def __init__(
        self,
        *,
        context: NodeContext,
        peer_client: PeerClient,
        pool: ThreadPoolExecutor,
        probe_limit: int,
    ) -> None:
        self._context = context
        self._table: MembershipTable = context.members
        self._peer_client = peer_client
        self._pool = pool
        self._probe_limit = probe_limit
        self._probed_at: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self._assigned_agent_names: list[str] = []
        self._assigned_members_version = -1
        self._agent_probe_allowance = MIN_AGENT_PROBES_PER_SECOND
        self._transferred_bytes = 0

    def step(self) -> float:
        """Start the probes that are due."""
        members = self._table.current()
        now = self._context.clock.monotonic()
        self._table.expire_hints()
        transferred = self._peer_client.transferred_bytes
        self._agent_probe_allowance = next_probe_allowance(
            self._agent_probe_allowance, transferred - self._transferred_bytes
        )
        self._transferred_bytes = transferred
        due = self._due(members, now)
        for name in due:
            if name in members.by_name and name not in self._in_flight:
                self._probed_at[name] = now
                self._in_flight.add(name)
                self._pool.submit(self._probe_member, members.by_name[name])
        self._probed_at = {
            name: at for name, at in self._probed_at.items() if name in members.by_name
        }
        return PROBE_INTERVAL_SECONDS

    def _due(self, members: Members, now: float) -> list[str]:
        names = members_to_reprobe(
            members, self._states(self._table.unreachable(), now), now
        )
        if self._context.identity.role is Role.ENTRY:
            others = entry_nodes_to_probe(
                members, self._context.identity, PROBED_ENTRY_NODES
            )
            names += least_recently_contacted(
                self._states(others, now), now=now, limit=PROBED_ENTRY_NODES
            )
            agents = self._assigned_agents(members)
            names += least_recently_contacted(
                self._states(agents, now),
                now=now,
                limit=int(self._agent_probe_allowance),
            )
        return list(dict.fromkeys(names))

    def _assigned_agents(self, members: Members) -> list[str]:
        if self._assigned_members_version != members.version:
            self._assigned_agent_names = agents_to_probe(
                members, self._context.identity, self._probe_limit
            )
            self._assigned_members_version = members.version
        return self._assigned_agent_names

    def _states(self, names: Iterable[str], now: float) -> list[ProbeState]:
        return [
            ProbeState(
                name=name,
                probed_at=self._probed_at.get(name, float("-inf")),
                last_contact_at=self._table.health(name).last_contact_at
                or float("-inf"),
            )
            for name in names
        ]

    def _probe_member(self, member: Member) -> None:
        try:
            if not self._peer_client.probe(member):
                self._probe_through_others(member)
        except Exception as exc:
            log.error("probe failed", member=member.name, error=repr(exc))
        finally:
            self._in_flight.discard(member.name)

    def _probe_through_others(self, suspect: Member) -> None:
        if suspect.name not in self._table.suspects():
            return
        probers = find_indirect_probers(
            self._table.current().by_name.values(),
            own_name=self._context.identity.name,
            suspect=suspect,
        )
        if probers:
            self._peer_client.probe_indirectly(
                self._peer_client.rng.choice(probers), suspect
            )
            return
        suspected_at = self._table.health(suspect.name).suspected_at
        now = self._context.clock.monotonic()
        if suspected_at is not None and now - suspected_at > UNCONFIRMED_DEAD_SECONDS:
            self._table.record_indirect_probe(
                suspect.name, incarnation=0, started_at=now
            )


def next_probe_allowance(allowance: float, transferred_bytes: int) -> float:
    """Return how many agents to probe in the next second.

    Parameters
    ----------
    allowance : float
        Probes allowed in the last second.
    transferred_bytes : int
        Bytes of all control messages in the last second.

    Examples
    --------
    >>> next_probe_allowance(4.0, 3000), next_probe_allowance(4.0, 100)
    (3.5, 4.25)

    """
    if transferred_bytes > PROBE_BYTES_PER_SECOND:
        return max(MIN_AGENT_PROBES_PER_SECOND, allowance - 0.5)
    return min(MAX_AGENT_PROBES_PER_SECOND, allowance + 0.25)


def least_recently_contacted(
    states: Sequence[ProbeState], *, now: float, limit: int
) -> list[str]:
    """Return the members to probe now, longest without contact first.

    A member that answered or called within the last probe interval, on the
    data path or otherwise, needs no probe.

    Examples
    --------
    >>> states = [
    ...     ProbeState(name="a", probed_at=1.0, last_contact_at=9.5),
    ...     ProbeState(name="b", probed_at=3.0, last_contact_at=3.1),
    ...     ProbeState(name="c", probed_at=2.0, last_contact_at=2.1),
    ... ]
    >>> least_recently_contacted(states, now=10.0, limit=1)
    ['c']

    """
    due = [
        state
        for state in states
        if now - state.last_contact_at >= 0.9 * PROBE_INTERVAL_SECONDS
    ]
    # The sort is stable, so equal members stay in the node's own order and
    # nodes that start together do not all begin with the same member.
    due.sort(key=lambda state: max(state.probed_at, state.last_contact_at))
    return [state.name for state in due[:limit]]


def members_to_reprobe(
    members: Members, states: Sequence[ProbeState], now: float
) -> list[str]:
    """Return the suspect and dead members to probe now, suspects first."""

    def is_suspect(name: str) -> bool:
        member = members.by_name.get(name)
        return member is not None and member.state is MemberState.SUSPECT

    suspects = [state.name for state in states if is_suspect(state.name)]
    others = [
        state
        for state in states
        if not is_suspect(state.name)
        and now - state.probed_at >= REPROBE_INTERVAL_SECONDS
    ]
    others.sort(key=lambda state: (state.probed_at, state.name))
    return (suspects + [state.name for state in others])[:MAX_REPROBES_PER_SECOND]


def find_indirect_probers(
    members: Iterable[Member], *, own_name: str, suspect: Member
) -> list[Member]:
    """Return the live entry nodes that may probe a suspect for this node."""
    return [
        member
        for member in members
        if member.role is Role.ENTRY
        and member.state in (MemberState.ALIVE, MemberState.LEAVING)
        and member.name not in (own_name, suspect.name)
    ]


class CompareTask:
    """Compares generations with a random entry node every two seconds."""

    def __init__(
        self, *, context: NodeContext, peer_client: PeerClient, seeds: Sequence[str]
    ) -> None:
        self._context = context
        self._peer_client = peer_client
        self._seeds = seeds

    def step(self) -> float:
        """Compare once."""
        self.compare_now()
        return COMPARE_INTERVAL_SECONDS * self._peer_client.rng.uniform(*COMPARE_JITTER)

    def compare_now(self) -> bool:
        """Compare with one peer; return whether it answered."""
        peer = choose_compare_peer(
            self._context.members.current(),
            self._context.identity,
            self._seeds,
            self._peer_client.rng,
        )
        return peer is not None and self._peer_client.compare(*peer)


class ContactCheckTask:
    """Logs when there was no contact with the other role for too long."""

    def __init__(self, *, context: NodeContext) -> None:
        self._context = context
        self._table: MembershipTable = context.members
        self._started_at = context.clock.monotonic()
        self._is_silent = False

    def step(self) -> float:
        """Check once and log a change."""
        now = self._context.clock.monotonic()
        role = other_role(self._context.identity)
        contacts = [
            self._table.health(name).last_contact_at or self._started_at
            for name, member in self._table.current().by_name.items()
            if member.role is role
        ]
        is_silent = bool(contacts) and now - max(contacts) > NO_CONTACT_SECONDS
        if is_silent and not self._is_silent:
            log.warning("no contact", role=role.value, seconds=now - max(contacts))
        if self._is_silent and not is_silent:
            log.info("contact restored", role=role.value)
        self._is_silent = is_silent
        return PROBE_INTERVAL_SECONDS


def other_role(identity: Identity) -> Role:
    """Return the role of the nodes that this one needs contact with."""
    return Role.BACKEND if identity.role is Role.ENTRY else Role.ENTRY
