"""Probes of other members, checks of suspects and comparison of generations."""

from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor

import structlog
from attrs import frozen

from eelgrassdale.identity import Identity, Role
from eelgrassdale.membership.members import Member, Members, MemberState
from eelgrassdale.membership.table import MembersTable
from eelgrassdale.node.context import NodeContext
from eelgrassdale.node.links import PeerLinks
from eelgrassdale.spread.watchers import (
    choose_compare_peer,
    probed_agents,
    probed_entry_nodes,
)

COMPARE_SECONDS = 2.0
COMPARE_JITTER = (0.75, 1.25)
PROBE_SECONDS = 1.0
PROBED_ENTRY_NODES = 2
# Control traffic that one node aims at; the bound is 2 KB/s, and pushes need
# the rest. Probes of agents take what other messages leave.
PROBE_BYTES_PER_SECOND = 1600
AGENT_PROBES_LEAST = 1.0
AGENT_PROBES_MOST = 8.0
# Members that do not answer are probed this often, to notice their return.
RETURN_PROBE_SECONDS = 2.0
RETURN_PROBES_PER_SECOND = 4
# A suspect is declared dead without a second opinion after this time, when no
# other entry node can be asked.
ALONE_SECONDS = 3.0
SILENCE_SECONDS = 10.0

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class ProbeState:
    """When a member was last probed and last heard, in monotonic seconds."""

    name: str
    probed_at: float
    heard_at: float


class HealthTask:
    """Probes assigned members once a second and asks others about suspects."""

    def __init__(
        self,
        *,
        context: NodeContext,
        links: PeerLinks,
        pool: ThreadPoolExecutor,
        probe_limit: int,
    ) -> None:
        self._context = context
        self._table: MembersTable = context.members
        self._links = links
        self._pool = pool
        self._probe_limit = probe_limit
        self._probed_at: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self._assigned: list[str] = []
        self._assigned_for = -1
        self._agent_probes = AGENT_PROBES_LEAST
        self._moved_bytes = 0

    def step(self) -> float:
        """Start the probes that are due."""
        members = self._table.current()
        now = self._context.clock.monotonic()
        self._table.expire_hints()
        moved = self._links.moved_bytes
        self._agent_probes = next_allowance(
            self._agent_probes, moved - self._moved_bytes
        )
        self._moved_bytes = moved
        due = self._due(members, now)
        for name in due:
            if name in members.by_name and name not in self._in_flight:
                self._probed_at[name] = now
                self._in_flight.add(name)
                self._pool.submit(self._examine, members.by_name[name])
        self._probed_at = {
            name: at for name, at in self._probed_at.items() if name in members.by_name
        }
        return PROBE_SECONDS

    def _due(self, members: Members, now: float) -> list[str]:
        names = returning_members(
            members, self._states(self._table.unreachable(), now), now
        )
        if self._context.identity.role is Role.ENTRY:
            others = probed_entry_nodes(
                members, self._context.identity, PROBED_ENTRY_NODES
            )
            names += stalest(
                self._states(others, now), now=now, limit=PROBED_ENTRY_NODES
            )
            agents = self._assigned_agents(members)
            names += stalest(
                self._states(agents, now), now=now, limit=int(self._agent_probes)
            )
        return list(dict.fromkeys(names))

    def _assigned_agents(self, members: Members) -> list[str]:
        if self._assigned_for != members.version:
            self._assigned = probed_agents(
                members, self._context.identity, self._probe_limit
            )
            self._assigned_for = members.version
        return self._assigned

    def _states(self, names: Iterable[str], now: float) -> list[ProbeState]:
        return [
            ProbeState(
                name=name,
                probed_at=self._probed_at.get(name, float("-inf")),
                heard_at=self._table.health(name).heard_at or float("-inf"),
            )
            for name in names
        ]

    def _examine(self, member: Member) -> None:
        try:
            if not self._links.probe(member):
                self._ask_others(member)
        except Exception as exc:
            log.error("probe failed", member=member.name, error=repr(exc))
        finally:
            self._in_flight.discard(member.name)

    def _ask_others(self, suspect: Member) -> None:
        if suspect.name not in self._table.suspects():
            return
        helpers = find_helpers(
            self._table.current().by_name.values(),
            me=self._context.identity.name,
            suspect=suspect,
        )
        if helpers:
            self._links.probe_through(self._links.rng.choice(helpers), suspect)
            return
        failed_at = self._table.health(suspect.name).suspected_at
        now = self._context.clock.monotonic()
        if failed_at is not None and now - failed_at > ALONE_SECONDS:
            self._table.probed_indirectly(suspect.name, incarnation=0, started_at=now)


def next_allowance(allowance: float, moved_bytes: int) -> float:
    """Return how many agents to probe in the next second.

    Parameters
    ----------
    allowance : float
        Probes allowed in the last second.
    moved_bytes : int
        Bytes of all control messages in the last second.

    Examples
    --------
    >>> next_allowance(4.0, 3000), next_allowance(4.0, 100)
    (3.5, 4.25)

    """
    if moved_bytes > PROBE_BYTES_PER_SECOND:
        return max(AGENT_PROBES_LEAST, allowance - 0.5)
    return min(AGENT_PROBES_MOST, allowance + 0.25)


def stalest(states: Sequence[ProbeState], *, now: float, limit: int) -> list[str]:
    """Return the members to probe now, longest without contact first.

    A member that answered or called within the last probe interval, on the
    data path or otherwise, needs no probe.

    Examples
    --------
    >>> states = [
    ...     ProbeState(name="a", probed_at=1.0, heard_at=9.5),
    ...     ProbeState(name="b", probed_at=3.0, heard_at=3.1),
    ...     ProbeState(name="c", probed_at=2.0, heard_at=2.1),
    ... ]
    >>> stalest(states, now=10.0, limit=1)
    ['c']

    """
    due = [state for state in states if now - state.heard_at >= 0.9 * PROBE_SECONDS]
    # The sort is stable, so equal members stay in the node's own order and
    # nodes that start together do not all begin with the same member.
    due.sort(key=lambda state: max(state.probed_at, state.heard_at))
    return [state.name for state in due[:limit]]


def returning_members(
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
        if not is_suspect(state.name) and now - state.probed_at >= RETURN_PROBE_SECONDS
    ]
    others.sort(key=lambda state: (state.probed_at, state.name))
    return (suspects + [state.name for state in others])[:RETURN_PROBES_PER_SECOND]


def find_helpers(
    members: Iterable[Member], *, me: str, suspect: Member
) -> list[Member]:
    """Return the live entry nodes that may probe a suspect for this node."""
    return [
        member
        for member in members
        if member.role is Role.ENTRY
        and member.state in (MemberState.ALIVE, MemberState.LEAVING)
        and member.name not in (me, suspect.name)
    ]


class CompareTask:
    """Compares generations with a random entry node every two seconds."""

    def __init__(
        self, *, context: NodeContext, links: PeerLinks, seeds: Sequence[str]
    ) -> None:
        self._context = context
        self._links = links
        self._seeds = seeds

    def step(self) -> float:
        """Compare once."""
        self.compare_now()
        return COMPARE_SECONDS * self._links.rng.uniform(*COMPARE_JITTER)

    def compare_now(self) -> bool:
        """Compare with one peer; return whether it answered."""
        peer = choose_compare_peer(
            self._context.members.current(),
            self._context.identity,
            self._seeds,
            self._links.rng,
        )
        return peer is not None and self._links.compare(*peer)


class SilenceTask:
    """Logs when no member of the other role was heard for too long."""

    def __init__(self, *, context: NodeContext) -> None:
        self._context = context
        self._table: MembersTable = context.members
        self._since = context.clock.monotonic()
        self._is_silent = False

    def step(self) -> float:
        """Check once and log a change."""
        now = self._context.clock.monotonic()
        role = other_role(self._context.identity)
        heard = [
            self._table.health(name).heard_at or self._since
            for name, member in self._table.current().by_name.items()
            if member.role is role
        ]
        is_silent = bool(heard) and now - max(heard) > SILENCE_SECONDS
        if is_silent and not self._is_silent:
            log.warning("no contact", role=role.value, seconds=now - max(heard))
        if self._is_silent and not is_silent:
            log.info("contact again", role=role.value)
        self._is_silent = is_silent
        return PROBE_SECONDS


def other_role(identity: Identity) -> Role:
    """Return the role of the nodes that must be in contact with this one."""
    return Role.BACKEND if identity.role is Role.ENTRY else Role.ENTRY
