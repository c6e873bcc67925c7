"""Settings of the task that fetches weights."""

from attrs import frozen

DEFAULT_REGION_BYTES_PER_SECOND = 1_500_000.0
DEFAULT_CHUNK_MEMORY_BYTES = 64 * 1024 * 1024


@frozen(kw_only=True)
class WeightsSettings:
    """Settings of the weights task; rates in bytes per second, 0 for no limit.

    `region_bytes_per_second` is the bandwidth that weights may use from one region to
    another, shared by the agents that fetch over that link.
    """

    backend_url: str
    weight_sources: tuple[str, ...] = ()
    link_bytes_per_second: float = 0.0
    chunk_memory_bytes: int = DEFAULT_CHUNK_MEMORY_BYTES
    origin_region: str = ""
    region_bytes_per_second: float = DEFAULT_REGION_BYTES_PER_SECOND
