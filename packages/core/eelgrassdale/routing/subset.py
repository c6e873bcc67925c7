"""Bounded subset of backend servers that one entry node uses."""

from collections.abc import Iterable

from eelgrassdale.hashing import rendezvous_order
from eelgrassdale.membership.members import Member
from eelgrassdale.routing.choice import Location

SUBSET_SIZE = 32
# Share of the subset reserved for backend servers outside the own data centre, so
# that requests can be sent there at once when the own data centre goes out of
# service.
REMOTE_SHARE = 0.25
# Links of one entry node to the backend servers of all services. A link uses two
# threads and two connections.
MAX_LINKS = 64
# With fewer backend servers for a service, there is no alternative to a busy one.
MIN_SUBSET_SIZE = 4


def subset_size(*, services: int, size: int, max_links: int) -> int:
    """Return how many backend servers a node uses for each of its services.

    This is `size` while the links of all services stay within `max_links`, and
    otherwise an equal share of `max_links`, but at least `MIN_SUBSET_SIZE`.

    Examples
    --------
    >>> subset_size(services=2, size=32, max_links=64)
    32
    >>> subset_size(services=20, size=32, max_links=64)
    4

    """
    share = max_links // max(services, 1)
    return min(size, max(share, MIN_SUBSET_SIZE))


def choose_subset(
    *,
    service: str,
    node: str,
    location: Location,
    members: Iterable[Member],
    size: int = SUBSET_SIZE,
) -> tuple[str, ...]:
    """Return the names of the backend servers that `node` uses for a service.

    The own data centre comes first, then the region, then other regions. Within
    each of them, members are in the rendezvous order of this node. So entry
    nodes use different subsets, and a change of one member changes few entries.
    """
    key = f"{service}\x00{node}"
    all_members = list(members)
    local = [m.name for m in all_members if m.data_centre == location.data_centre]
    region = [m.name for m in all_members if _only_in_region(m, location)]
    other = [m.name for m in all_members if m.region != location.region]
    remote = _ordered(key, region) + _ordered(key, other)
    remote_count = min(len(remote), max(size - len(local), int(size * REMOTE_SHARE)))
    nearest = _ordered(key, local)[: size - remote_count]
    return tuple(nearest + remote[:remote_count])


def _only_in_region(member: Member, location: Location) -> bool:
    return (
        member.region == location.region and member.data_centre != location.data_centre
    )


def _ordered(key: str, names: list[str]) -> list[str]:
    return rendezvous_order(key=key, members=names)
