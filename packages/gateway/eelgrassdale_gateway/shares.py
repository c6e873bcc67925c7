"""This gateway's share of a limit that holds for the sum over all gateways.

Gateways cannot coordinate each request, so a limit is divided among all that may be
alive. A partitioned gateway still counts the others for a while. Several partitioned
gateways together therefore stay within the limit, and a gateway that is really gone
only makes the shares smaller than necessary.
"""

from functools import lru_cache

from attrs import frozen

from eelgrassdale.hashing import rendezvous_order


@frozen(kw_only=True)
class GatewayGroup:
    """The gateways that share a limit, including this one, `own_name`."""

    own_name: str
    members: frozenset[str]

    @property
    def count(self) -> int:
        """Number of gateways in the group."""
        return len(self.members)


def single_gateway_group(name: str = "me") -> GatewayGroup:
    """Return a group that contains only this gateway.

    Examples
    --------
    >>> single_gateway_group().count
    1

    """
    return GatewayGroup(own_name=name, members=frozenset((name,)))


def share_of_rate(rate: float, *, resource: str, gateway_group: GatewayGroup) -> float:
    """Return this gateway's share of a rate at one resource, in units per second.

    If the rate is below one unit per second for each gateway, only as many gateways
    as it has whole units get one unit per second each, so that the sum stays within
    the rate; at least one gateway does. They are chosen by a hash of the resource's
    name, so that all gateways agree on them.

    Parameters
    ----------
    rate : float
        Limit for the sum over all gateways, in units per second.
    resource : str
        Name of what the rate applies to; it determines the chosen gateways.
    gateway_group : GatewayGroup
        The gateways that share the rate.

    Examples
    --------
    >>> share_of_rate(30.0, resource="s-1", gateway_group=single_gateway_group())
    30.0
    >>> members = frozenset("abcdef")
    >>> groups = [
    ...     GatewayGroup(own_name=name, members=members) for name in sorted(members)
    ... ]
    >>> sorted(
    ...     share_of_rate(2.0, resource="s-1", gateway_group=group) for group in groups
    ... )
    [0.0, 0.0, 0.0, 0.0, 1.0, 1.0]

    """
    if rate >= gateway_group.count:
        return rate / gateway_group.count
    chosen_members = _chosen_members(resource, gateway_group.members, max(1, int(rate)))
    return 1.0 if gateway_group.own_name in chosen_members else 0.0


def equal_share(
    rate: float, *, resource: str, gateway_group: GatewayGroup, max_members: int
) -> float:
    """Return this gateway's share of a rate that at most `max_members` divide equally.

    It is 0 for the other gateways. The members are chosen by a hash of the resource's
    name, so that all gateways agree on them.

    Examples
    --------
    >>> members = frozenset("abc")
    >>> groups = [GatewayGroup(own_name=name, members=members) for name in "abc"]
    >>> sorted(
    ...     equal_share(3.0, resource="s-1", gateway_group=group, max_members=2)
    ...     for group in groups
    ... )
    [0.0, 1.5, 1.5]

    """
    count = min(gateway_group.count, max(1, max_members))
    chosen_members = _chosen_members(resource, gateway_group.members, count)
    return rate / count if gateway_group.own_name in chosen_members else 0.0


def share_of_count(count: int, *, resource: str, gateway_group: GatewayGroup) -> int:
    """Return this gateway's share of a number of units at one resource.

    The shares of all gateways add up to `count`. The remainder of the division goes
    to gateways chosen by a hash of the resource's name.

    Examples
    --------
    >>> members = frozenset("abc")
    >>> groups = [GatewayGroup(own_name=name, members=members) for name in "abc"]
    >>> sorted(
    ...     share_of_count(7, resource="s-1", gateway_group=group) for group in groups
    ... )
    [2, 2, 3]

    """
    base_share, remainder = divmod(count, gateway_group.count)
    return base_share + (
        gateway_group.own_name
        in _chosen_members(resource, gateway_group.members, remainder)
    )


# One entry for each backend server whose limit is divided, and set of members. All
# servers of a fleet need one when they become available at the same time.
@lru_cache(maxsize=4096)
def _chosen_members(
    resource: str, members: frozenset[str], count: int
) -> frozenset[str]:
    return frozenset(rendezvous_order(key=resource, members=members)[:count])
