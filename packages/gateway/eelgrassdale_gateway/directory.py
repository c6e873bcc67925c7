"""Which gateways a caller should use."""

from collections.abc import Collection, Iterable

from eelgrassdale_gateway.peers import NodeFacts

MAX_ADDRESSES = 64
# With fewer live gateways near the caller, others of its region are added.
LEAST_ADDRESSES = 2


def addresses_for(
    nodes: Iterable[NodeFacts],
    *,
    data_centre: str,
    region: str,
    homes: Collection[str] = (),
) -> list[tuple[str, int]]:
    """Return caller addresses of live gateways, the caller's data centre first.

    Gateways of other regions are named only when the caller's region has
    none, and then, for a host with home regions, only those there if any.

    Examples
    --------
    >>> def node(name, data_centre, region):
    ...     return NodeFacts(
    ...         name=name,
    ...         incarnation=1,
    ...         caller_address=(name, 80),
    ...         data_centre=data_centre,
    ...         region=region,
    ...     )
    >>> nodes = [node("a", "n1", "n"), node("b", "n1", "n"), node("c", "s1", "s")]
    >>> addresses_for(nodes, data_centre="n1", region="n")
    [('a', 80), ('b', 80)]
    >>> addresses_for(nodes, data_centre="w1", region="w", homes={"s"})
    [('c', 80)]

    """
    nodes = list(nodes)
    near = [node for node in nodes if node.data_centre == data_centre]
    in_region = [node for node in nodes if node.region == region]
    at_home = [node for node in nodes if node.region in homes]
    chosen = near if len(near) >= LEAST_ADDRESSES else in_region
    chosen = chosen or at_home or nodes
    return [node.caller_address for node in chosen[:MAX_ADDRESSES]]
