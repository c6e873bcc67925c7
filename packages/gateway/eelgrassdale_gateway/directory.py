"""Selects the gateways whose addresses are given to a caller."""

from collections.abc import Collection, Iterable

from eelgrassdale_gateway.peertable import NodeInfo

MAX_ADDRESSES = 64
# With fewer live gateways in the caller's data centre, those of its whole region
# are returned.
MIN_ADDRESSES = 2


def gateway_addresses(
    nodes: Iterable[NodeInfo],
    *,
    data_centre: str,
    region: str,
    home_regions: Collection[str] = (),
) -> list[tuple[str, int]]:
    """Return the addresses at which a caller reaches live gateways.

    They are those in the caller's data centre, or in its region if the data
    centre has too few. Gateways of other regions are returned only if the
    caller's region has none, and then those in the regions `home_regions`, if any.

    Examples
    --------
    >>> def node(name, data_centre, region):
    ...     return NodeInfo(
    ...         name=name,
    ...         incarnation=1,
    ...         caller_address=(name, 80),
    ...         data_centre=data_centre,
    ...         region=region,
    ...     )
    >>> nodes = [node("a", "n1", "n"), node("b", "n1", "n"), node("c", "s1", "s")]
    >>> gateway_addresses(nodes, data_centre="n1", region="n")
    [('a', 80), ('b', 80)]
    >>> gateway_addresses(nodes, data_centre="w1", region="w", home_regions={"s"})
    [('c', 80)]

    """
    nodes = list(nodes)
    in_data_centre = [node for node in nodes if node.data_centre == data_centre]
    in_region = [node for node in nodes if node.region == region]
    in_home_regions = [node for node in nodes if node.region in home_regions]
    chosen = in_data_centre if len(in_data_centre) >= MIN_ADDRESSES else in_region
    chosen = chosen or in_home_regions or nodes
    return [node.caller_address for node in chosen[:MAX_ADDRESSES]]
