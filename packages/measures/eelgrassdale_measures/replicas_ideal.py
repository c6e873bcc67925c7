"""Lower bound for the time of a model push, from the rates of the links alone."""

from collections.abc import Sequence

from attrs import frozen


@frozen(kw_only=True)
class LinkRates:
    """Number of agents and regions, and the rates of their links.

    `vm_bytes_per_second` is the rate of sent plus received bytes of one VM,
    `origin_bytes_per_second` that of the weight source and
    `region_bytes_per_second` that from one region to another.
    """

    agent_count: int
    region_count: int
    vm_bytes_per_second: float
    origin_bytes_per_second: float
    region_bytes_per_second: float


def ideal_seconds(links: LinkRates, *, model_bytes: int) -> float:
    """Return the seconds that the slowest link needs if all are used at full rate.

    Every agent receives one copy of the model. The weight source sends one of
    them, the agents send all others. A region receives its copy over its links
    from all other regions.

    Examples
    --------
    >>> links = LinkRates(
    ...     agent_count=10,
    ...     region_count=3,
    ...     vm_bytes_per_second=2.0,
    ...     origin_bytes_per_second=4.0,
    ...     region_bytes_per_second=2.0,
    ... )
    >>> ideal_seconds(links, model_bytes=10)
    9.5

    """
    vm_seconds = (
        (2 * links.agent_count - 1)
        * model_bytes
        / (links.agent_count * links.vm_bytes_per_second)
    )
    origin_seconds = model_bytes / links.origin_bytes_per_second
    incoming_bytes_per_second = (
        max(1, links.region_count - 1) * links.region_bytes_per_second
    )
    region_seconds = (
        model_bytes / incoming_bytes_per_second if links.region_count > 1 else 0.0
    )
    return max(vm_seconds, origin_seconds, region_seconds)


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value at `fraction` of the sorted values, NaN without values.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0

    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[max(0, round(fraction * len(ordered)) - 1)]
