"""Settings of the agent, beside those that both programs share."""

from attrs import field, frozen

from eelgrassdale.settings import (
    NodeSettings,
    each,
    number_between,
    parse_float,
    parse_int,
    url,
)

MIB = 1024 * 1024
# Below this bound the part set aside for each stream would leave nothing.
MIN_BUFFER_BYTES = 16 * MIB


@frozen(kw_only=True)
class AgentSettings(NodeSettings):
    """Settings of one agent.

    `link_bytes_per_second` is the rate of the VM's link in each direction,
    `region_bytes_per_second` what weights may use of the link between regions.
    `origin_region` is the region of the weight sources, empty when unknown.
    `chunk_memory_bytes`, `buffer_bytes` and `key_bytes` bound the chunks held
    for peers, the answers held for readers and the answers of keys. A reader
    that frees no space for `slow_reader_seconds` loses its place in the engine.
    """

    backend_url: str = field(default="", validator=url)
    weight_sources: tuple[str, ...] = field(
        default=(), converter=tuple, validator=each(url)
    )
    link_bytes_per_second: int = field(
        default=125_000_000,
        converter=parse_int,
        validator=number_between(1_000, 100_000_000_000),
    )
    origin_region: str = ""
    region_bytes_per_second: float = field(
        default=1_500_000.0,
        converter=parse_float,
        validator=number_between(1_000, 100_000_000_000),
    )
    chunk_memory_bytes: int = field(
        default=64 * MIB,
        converter=parse_int,
        validator=number_between(1, 64 * 1024 * MIB),
    )
    buffer_bytes: int = field(
        default=32 * MIB,
        converter=parse_int,
        validator=number_between(MIN_BUFFER_BYTES, 1024 * MIB),
    )
    key_bytes: int = field(
        default=64 * MIB,
        converter=parse_int,
        validator=number_between(MIB, 1024 * MIB),
    )
    max_keys: int = field(
        default=10_000, converter=parse_int, validator=number_between(1, 1_000_000)
    )
    slow_reader_seconds: float = field(
        default=5.0, converter=parse_float, validator=number_between(0.1, 600)
    )
    drain_seconds: float = field(
        default=35.0, converter=parse_float, validator=number_between(0, 600)
    )
    linger_seconds: float = field(
        default=65.0, converter=parse_float, validator=number_between(0, 660)
    )
    trace_admissions: bool = False
