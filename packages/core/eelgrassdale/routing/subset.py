"""The bounded set of backend servers that one entry node uses."""

from collections.abc import Iterable

from eelgrassdale.hashing import rendezvous_order
from eelgrassdale.membership.members import Member
from eelgrassdale.routing.choice import Place

SUBSET_SIZE = 32
# Places kept for backend servers outside the own data centre, so that work can
# be passed on at once when the own data centre goes out of service.
OUTSIDE_SHARE = 0.25
# Links to all services together. A link costs two threads and two connections.
MAX_LINKS = 64
# Fewer backend servers for a service would leave no choice when one is busy.
MIN_SUBSET_SIZE = 4


def subset_size(*, services: int, size: int, max_links: int) -> int:
    """Return how many backend servers a node uses for each of its services.

    It is `size` while the links of all services stay within `max_links`, and an
    equal share of them beyond that.

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
    place: Place,
    members: Iterable[Member],
    size: int = SUBSET_SIZE,
) -> tuple[str, ...]:
    """Return the names of the backend servers that `node` uses for a service.

    The own data centre comes first, then the region, then the others; within
    each the order is the rendezvous order of this node, so every entry node
    uses a different subset and a changed member moves few of them.
    """
    topic = f"{service}\x00{node}"
    found = list(members)
    local = [m.name for m in found if m.data_centre == place.data_centre]
    region = [m.name for m in found if _only_in_region(m, place)]
    other = [m.name for m in found if m.region != place.region]
    outside = _ordered(topic, region) + _ordered(topic, other)
    kept_outside = min(len(outside), max(size - len(local), int(size * OUTSIDE_SHARE)))
    near = _ordered(topic, local)[: size - kept_outside]
    return tuple(near + outside[:kept_outside])


def _only_in_region(member: Member, place: Place) -> bool:
    return member.region == place.region and member.data_centre != place.data_centre


def _ordered(topic: str, names: list[str]) -> list[str]:
    return rendezvous_order(topic=topic, members=names)
