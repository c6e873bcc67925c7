"""Shortest time of a model push, from the rates of the links alone."""

from collections.abc import Sequence

from attrs import frozen


@frozen(kw_only=True)
class Links:
    """Agents and the rates of their links in bytes per second.

    `vm_rate` counts sent plus received bytes of one VM, `origin_rate` those
    that the weight source sends, `region_rate` those from one region to
    another.
    """

    agents: int
    regions: int
    vm_rate: float
    origin_rate: float
    region_rate: float


def ideal_seconds(links: Links, *, model_bytes: int) -> float:
    """Return the time of the slowest link when each works without a pause.

    Every agent receives one copy, and all copies but the one from the source
    are sent by agents. A region receives its copy over its links from all
    other regions.

    Examples
    --------
    >>> links = Links(
    ...     agents=10, regions=3, vm_rate=2.0, origin_rate=4.0, region_rate=2.0
    ... )
    >>> ideal_seconds(links, model_bytes=10)
    9.5

    """
    over_vms = (2 * links.agents - 1) * model_bytes / (links.agents * links.vm_rate)
    from_origin = model_bytes / links.origin_rate
    incoming = max(1, links.regions - 1) * links.region_rate
    between_regions = model_bytes / incoming if links.regions > 1 else 0.0
    return max(over_vms, from_origin, between_regions)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` of the values lie.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0

    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[max(0, round(share * len(ordered)) - 1)]
