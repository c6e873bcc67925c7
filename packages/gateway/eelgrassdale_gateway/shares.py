"""This node's share of a bound that holds as a sum over all gateways.

Gateways cannot agree on each request, so a bound is divided among all that
may be alive. A node that was cut off still counts the others for a while:
several such nodes together then stay within the bound, and a gateway that is
really gone only makes the shares smaller than they could be.
"""

from functools import lru_cache

from attrs import frozen

from eelgrassdale.hashing import rendezvous_order


@frozen(kw_only=True)
class Sharers:
    """The gateways that share a bound, `me` among them."""

    me: str
    members: frozenset[str]

    @property
    def count(self) -> int:
        """Number of gateways that share."""
        return len(self.members)


def alone(name: str = "me") -> Sharers:
    """Return a group of one.

    Examples
    --------
    >>> alone().count
    1

    """
    return Sharers(me=name, members=frozenset((name,)))


def share_of_rate(rate: float, *, subject: str, sharers: Sharers) -> float:
    """Return this node's part of a rate at one subject, in units a second.

    A rate too small for a whole unit a second at each node goes to as many
    nodes as it has units, chosen by the subject's name, so that the sum over
    all nodes stays within it.

    Parameters
    ----------
    rate : float
        Bound over all nodes, a second.
    subject : str
        What the rate is about; other subjects get other nodes.
    sharers : Sharers
        The nodes.

    Examples
    --------
    >>> share_of_rate(30.0, subject="s-1", sharers=alone())
    30.0
    >>> group = frozenset("abcdef")
    >>> nodes = [Sharers(me=name, members=group) for name in sorted(group)]
    >>> sorted(share_of_rate(2.0, subject="s-1", sharers=node) for node in nodes)
    [0.0, 0.0, 0.0, 0.0, 1.0, 1.0]

    """
    if rate >= sharers.count:
        return rate / sharers.count
    chosen = _chosen(subject, sharers.members, max(1, int(rate)))
    return 1.0 if sharers.me in chosen else 0.0


def share_of_count(count: int, *, subject: str, sharers: Sharers) -> int:
    """Return this node's part of a number of things at one subject.

    The parts of all nodes add up to `count`; what cannot be divided goes to
    nodes chosen by the subject's name.

    Examples
    --------
    >>> group = frozenset("abc")
    >>> nodes = [Sharers(me=name, members=group) for name in "abc"]
    >>> sorted(share_of_count(7, subject="s-1", sharers=node) for node in nodes)
    [2, 2, 3]

    """
    each, rest = divmod(count, sharers.count)
    return each + (sharers.me in _chosen(subject, sharers.members, rest))


# One entry for each cold backend server and change of membership.
@lru_cache(maxsize=512)
def _chosen(subject: str, members: frozenset[str], count: int) -> frozenset[str]:
    return frozenset(rendezvous_order(topic=subject, members=members)[:count])
