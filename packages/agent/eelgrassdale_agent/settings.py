"""Settings of the agent, in addition to those shared by both programs."""

from attrs import field, frozen

from eelgrassdale.settings import (
    NodeSettings,
    each_element,
    number_between,
    parse_float,
    parse_int,
    url,
)

MIB = 1024 * 1024
# With less, the space reserved for each stream would leave none to share.
MIN_BUFFER_BYTES = 16 * MIB


@frozen(kw_only=True)
class AgentSettings(NodeSettings):
    """Settings of one agent.

    `link_bytes_per_second` is the bandwidth of the VM's link in each direction,
    `region_bytes_per_second` the bandwidth that weights may use between regions.
    `origin_region` is the region of the weight sources, empty if unknown.
    `chunk_memory_bytes`, `buffer_bytes` and `key_bytes` limit the memory of chunks
    cached for peers, of answers buffered for readers and of answers retained by
    idempotency key. If a reader frees no space for `slow_reader_seconds`, its
    engine stream is cancelled. `drain_seconds` and `linger_seconds` apply after
    SIGTERM: the longest wait for running requests, and the time during which a
    service that is not idempotent still answers its keys.
    """

    backend_url: str = field(default="", validator=url)
    weight_sources: tuple[str, ...] = field(
        default=(), converter=tuple, validator=each_element(url)
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
