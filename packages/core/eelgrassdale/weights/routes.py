"""Distribution tree of each chunk from the source to regions and data centres."""

from collections.abc import Collection
from functools import lru_cache

from attrs import frozen

from eelgrassdale.hashing import rendezvous_order
from eelgrassdale.weights.ownership import assign_owners, candidates, chunk_key

SOURCE = ""


@frozen(kw_only=True)
class AgentLocation:
    """An agent that fetches the model version, and its location."""

    name: str
    data_centre: str
    region: str


@frozen(kw_only=True)
class Routes:
    """Agents that fetch a model version, and the region of its origin.

    Parameters
    ----------
    manifest : str
        Digest of the manifest.
    count : int
        Number of chunks.
    agents : frozenset of AgentLocation
        Agents that fetch the version.
    origin_region : str
        Region of the weight source, or empty if unknown. In that case each chunk
        is read from the source in the region that ranks first for it.
    """

    manifest: str
    count: int
    agents: frozenset[AgentLocation]
    origin_region: str = ""


def owner_order(routes: Routes, data_centre: str, index: int) -> tuple[str, ...]:
    """Return the agents of a data centre in rendezvous order, the owner first."""
    members = _members(routes, data_centre)
    if not members:
        return ()
    owner = _owners(routes.manifest, routes.count, members)[index]
    order = candidates(manifest=routes.manifest, index=index, members=members)
    return (owner, *(name for name in order if name != owner))


def owned_masks(routes: Routes, data_centre: str) -> dict[str, int]:
    """Return for each agent of a data centre the bit mask of the chunks it owns."""
    members = _members(routes, data_centre)
    masks = dict.fromkeys(members, 0)
    for index, owner in enumerate(_owners(routes.manifest, routes.count, members)):
        masks[owner] |= 1 << index
    return masks


def upstream_of(
    routes: Routes,
    local_agent: AgentLocation,
    index: int,
    skipped: Collection[str] = (),
) -> str:
    """Return the agent from which the owner of a chunk fetches it, or `SOURCE`.

    In each region, the owner in the data centre that ranks first fetches the
    chunk from outside, and the owners in other data centres fetch it from that
    owner. The region of the origin reads from the source. Of the other regions,
    the one that ranks first for the chunk fetches it from the origin's region,
    and the rest fetch it from that region, so that the load is divided between
    all links between regions.

    Parameters
    ----------
    routes : Routes
        Agents that fetch the version.
    local_agent : AgentLocation
        Owner that needs the chunk.
    index : int
        Index of the chunk.
    skipped : collection of str
        Agents that must not be asked.

    Examples
    --------
    >>> here = AgentLocation(name="a", data_centre="n-1", region="north")
    >>> there = AgentLocation(name="b", data_centre="s-1", region="south")
    >>> agents = frozenset({here, there})
    >>> routes = Routes(manifest="m", count=1, agents=agents, origin_region="north")
    >>> upstream_of(routes, here, 0) == SOURCE, upstream_of(routes, there, 0)
    (True, 'a')

    """
    for data_centre in data_centre_order(routes, local_agent.region, index):
        if data_centre == local_agent.data_centre:
            break
        owner = _live_owner(routes, data_centre, index, skipped)
        if owner:
            return owner
    regions = region_order(routes, index)
    position = regions.index(local_agent.region)
    upstream_regions = regions[:position] if position < 2 else (regions[1], regions[0])
    for region in upstream_regions:
        for data_centre in data_centre_order(routes, region, index):
            owner = _live_owner(routes, data_centre, index, skipped)
            if owner:
                return owner
    return SOURCE


def region_order(routes: Routes, index: int) -> tuple[str, ...]:
    """Return the regions in the order in which a chunk is passed on."""
    return _region_orders(routes)[index]


def data_centre_order(routes: Routes, region: str, index: int) -> tuple[str, ...]:
    """Return a region's data centres in the order in which a chunk is passed on."""
    return _data_centre_orders(routes, region)[index]


def _live_owner(
    routes: Routes, data_centre: str, index: int, skipped: Collection[str]
) -> str:
    order = owner_order(routes, data_centre, index)
    return next((name for name in order if name not in skipped), "")


@lru_cache(maxsize=64)
def _members(routes: Routes, data_centre: str) -> tuple[str, ...]:
    return tuple(
        sorted(
            agent.name for agent in routes.agents if agent.data_centre == data_centre
        )
    )


@lru_cache(maxsize=64)
def _owners(manifest: str, count: int, members: tuple[str, ...]) -> tuple[str, ...]:
    return assign_owners(manifest=manifest, count=count, members=members)


@lru_cache(maxsize=8)
def _region_orders(routes: Routes) -> tuple[tuple[str, ...], ...]:
    regions = {agent.region for agent in routes.agents}
    if routes.origin_region not in regions:
        return _orders(f"{routes.manifest}/regions", routes.count, regions)
    remote = regions - {routes.origin_region}
    rest = _orders(f"{routes.manifest}/regions", routes.count, remote)
    return tuple((routes.origin_region, *order) for order in rest)


@lru_cache(maxsize=32)
def _data_centre_orders(routes: Routes, region: str) -> tuple[tuple[str, ...], ...]:
    names = {agent.data_centre for agent in routes.agents if agent.region == region}
    return _orders(f"{routes.manifest}/{region}", routes.count, names)


def _orders(
    key: str, count: int, members: Collection[str]
) -> tuple[tuple[str, ...], ...]:
    """Return an order of the members for each chunk.

    The members come first for about the same number of chunks.
    """
    if not members:
        return ((),) * count
    firsts = assign_owners(manifest=key, count=count, members=members)
    orders = []
    for index, first in enumerate(firsts):
        order = rendezvous_order(key=chunk_key(key, index), members=members)
        orders.append((first, *(name for name in order if name != first)))
    return tuple(orders)
