"""Assignment of store watchers, pushers, probers and comparison peers.

All decisions are rendezvous ranks among the members that are alive, so nodes
with the same view agree without an election. Nodes with different views may
both act, which costs a few messages and is otherwise harmless.
"""

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Mapping, Sequence

from attrs import frozen

from eelgrassdale.hashing import rendezvous_order, rendezvous_weight
from eelgrassdale.identity import Identity, Role
from eelgrassdale.membership.members import Member, Members, MemberState

WATCHERS_PER_DATA_CENTRE = 2
PUSHERS_PER_AGENT = 2
# Entry nodes that probe an agent. A probe with its answer takes about 270
# bytes, so more probers would exceed an agent's 2 KB/s of control traffic.
LOCAL_PROBERS = 3
REMOTE_PROBERS = 2
# One comparison in this many goes to another data centre.
REMOTE_COMPARE_ONE_IN = 10


def watch_order(members: Members, data_centre: str) -> list[str]:
    """Return the live entry nodes of a data centre, first watcher first."""
    return rendezvous_order(
        key=f"watch/{data_centre}",
        members=[member.name for member in members.live_entry_nodes(data_centre)],
    )


def is_watcher(members: Members, identity: Identity) -> bool:
    """Return whether an entry node watches the store for its data centre.

    A node counts itself as alive whatever the list says, so a data centre
    whose list is missing or late still has a watcher.
    """
    names = {member.name for member in members.live_entry_nodes(identity.data_centre)}
    order = rendezvous_order(
        key=f"watch/{identity.data_centre}", members=names | {identity.name}
    )
    return identity.name in order[:WATCHERS_PER_DATA_CENTRE]


def push_targets(members: Members, identity: Identity) -> tuple[Member, ...]:
    """Return the members that an entry node sends a new generation to.

    A watcher sends it to the entry nodes of its data centre. Every entry node
    sends it to the agents for which it ranks among the first two.
    """
    entry_nodes: tuple[Member, ...] = ()
    if is_watcher(members, identity):
        entry_nodes = tuple(
            member
            for member in _not_dead(members, Role.ENTRY)
            if member.data_centre == identity.data_centre
            and member.name != identity.name
        )
    candidates = _pusher_candidates(members)
    agents = tuple(
        member
        for member in _not_dead(members, Role.BACKEND)
        if identity.name in _first_pushers(candidates, member)
    )
    return entry_nodes + agents


def pushers_of(members: Members, agent: Member) -> list[str]:
    """Return the entry nodes that push to an agent, chosen in its data centre.

    Without a live entry node in its data centre, entry nodes of its region
    and then any others take over.
    """
    return _first_pushers(_pusher_candidates(members), agent)


@frozen(kw_only=True)
class _PusherCandidates:
    """Names of the live entry nodes, grouped once for all agents."""

    by_data_centre: Mapping[str, list[str]]
    by_region: Mapping[str, list[str]]
    all_names: list[str]


def _pusher_candidates(members: Members) -> _PusherCandidates:
    by_data_centre: dict[str, list[str]] = defaultdict(list)
    by_region: dict[str, list[str]] = defaultdict(list)
    alive = members.live_entry_nodes()
    for member in alive:
        by_data_centre[member.data_centre].append(member.name)
        by_region[member.region].append(member.name)
    return _PusherCandidates(
        by_data_centre=by_data_centre,
        by_region=by_region,
        all_names=[member.name for member in alive],
    )


def _first_pushers(candidates: _PusherCandidates, agent: Member) -> list[str]:
    names = (
        candidates.by_data_centre.get(agent.data_centre)
        or candidates.by_region.get(agent.region)
        or candidates.all_names
    )
    topic = f"push/{agent.name}"
    return heapq.nlargest(
        PUSHERS_PER_AGENT,
        names,
        key=lambda name: (rendezvous_weight(key=topic, member=name), name),
    )


def compare_candidates(
    members: Members, identity: Identity, *, remote: bool
) -> tuple[Member, ...]:
    """Return the entry nodes that a node may compare generations with."""
    alive = [m for m in members.live_entry_nodes() if m.name != identity.name]
    local = tuple(m for m in alive if m.data_centre == identity.data_centre)
    others = tuple(m for m in alive if m.data_centre != identity.data_centre)
    if remote:
        return others or local
    return local or others


def choose_compare_peer(
    members: Members, identity: Identity, seeds: Sequence[str], rng: random.Random
) -> tuple[str, str] | None:
    """Return (name, node address) of the next peer, or None if there is none.

    The name is empty for a seed address from the settings, which is used while
    no entry node is known to be alive.
    """
    remote = rng.randrange(REMOTE_COMPARE_ONE_IN) == 0
    candidates = compare_candidates(members, identity, remote=remote)
    if candidates:
        chosen = rng.choice(candidates)
        return chosen.name, chosen.node_address
    others = [address for address in seeds if address != identity.node_address]
    return ("", rng.choice(others)) if others else None


def entry_nodes_to_probe(members: Members, identity: Identity, count: int) -> list[str]:
    """Return the entry nodes that `identity` probes: its nearest live predecessors.

    In watch order every node probes the `count` live nodes ranked before it
    (cyclically), so the node that would replace the watchers notices when they
    die, and each node is probed by a bounded number of others.
    """
    order = watch_order(members, identity.data_centre)
    if identity.name not in order:
        order.append(identity.name)
    position = order.index(identity.name)
    before = order[position - 1 :: -1] if position else []
    after = order[:position:-1]
    return (before + after)[:count]


def agents_to_probe(members: Members, identity: Identity, limit: int) -> list[str]:
    """Return the agents that an entry node probes, at most `limit`.

    Each agent is probed by the highest-ranked entry nodes of its data centre. An
    entry node also probes the highest-ranked agents of other data centres, as
    many as give each agent two such probers on average.
    """
    agents = [
        member
        for _, member in sorted(members.by_name.items())
        if member.role is Role.BACKEND and member.state is not MemberState.LEAVING
    ]
    names = {member.name for member in members.live_entry_nodes(identity.data_centre)}
    names.add(identity.name)
    local = [
        agent.name
        for agent in agents
        if agent.data_centre == identity.data_centre
        and identity.name
        in rendezvous_order(key=f"probe/{agent.name}", members=names)[:LOCAL_PROBERS]
    ]
    remote = [
        agent.name for agent in agents if agent.data_centre != identity.data_centre
    ]
    entry_nodes = len(members.live_entry_nodes()) or 1
    remote_count = math.ceil(REMOTE_PROBERS * len(remote) / entry_nodes)
    chosen = rendezvous_order(key=f"probe/{identity.name}", members=remote)[
        :remote_count
    ]
    return (local + chosen)[:limit]


def _not_dead(members: Members, role: Role) -> list[Member]:
    return [
        member
        for _, member in sorted(members.by_name.items())
        if member.role is role and member.state is not MemberState.DEAD
    ]
