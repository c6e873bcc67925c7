"""Settings of an entry node."""

from attrs import field, frozen

from eelgrassdale.settings import (
    NodeSettings,
    address,
    each_element,
    number_between,
    optional,
    parse_float,
    parse_int,
    reject_value,
)

MEBIBYTE = 1024 * 1024
MIN_TOKEN_CHARACTERS = 8


def _validate_operator_token(_owner, attribute, value) -> None:
    if len(value) < MIN_TOKEN_CHARACTERS or not value.isprintable():
        # The message must not reveal the value, which is a secret.
        reject_value(
            attribute, "(hidden)", f"at least {MIN_TOKEN_CHARACTERS} characters"
        )


def _integer_field(default: int, low: int, high: int):
    return field(
        default=default, converter=parse_int, validator=number_between(low, high)
    )


def _seconds_field(default: float, low: float, high: float):
    return field(
        default=default, converter=parse_float, validator=number_between(low, high)
    )


@frozen(kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of `eelgrassdale serve`.

    `drain_seconds` bounds how long a leaving node keeps accepting requests after it
    announced that it is leaving, and `finish_seconds` how long it then waits for open
    requests. Their sum bounds the duration of a graceful stop.
    """

    caller_address: str = field(default="", validator=address)
    admin_address: str = field(default="", validator=optional(address))
    operator_tokens: tuple[str, ...] = field(
        default=(), converter=tuple, validator=each_element(_validate_operator_token)
    )
    keep_seconds: int = _integer_field(30, 1, 3600)
    key_seconds: int = _integer_field(60, 1, 600)
    drain_seconds: float = _seconds_field(35.0, 0.0, 3600.0)
    finish_seconds: float = _seconds_field(30.0, 0.0, 600.0)
    slow_reader_seconds: float = _seconds_field(10.0, 0.1, 600.0)
    sender_seconds: float = _seconds_field(10.0, 0.1, 600.0)
    reader_memory_bytes: int = _integer_field(64 * MEBIBYTE, MEBIBYTE, 4096 * MEBIBYTE)
    max_body_bytes: int = _integer_field(MEBIBYTE, 1024, 64 * MEBIBYTE)
    caller_threads: int = _integer_field(64, 4, 1024)
    service_threads: int = _integer_field(16, 1, 1024)
    subset_size: int = _integer_field(32, 1, 512)
    max_links: int = _integer_field(64, 16, 4096)
    region_bytes_per_second: int = _integer_field(1_500_000, 1024, 1_000_000_000)


OPTIONS = (
    ("--caller-address", "", "host:port of the callers' interface."),
    ("--admin-address", "", "host:port of the administration API, or none."),
    ("--keep-seconds", "30", "Time that callers may keep the list of entry nodes."),
    ("--key-seconds", "60", "Validity of issued idempotency keys."),
    ("--drain-seconds", "35", "Longest time that a leaving node accepts requests."),
    ("--finish-seconds", "30", "Longest time that it then waits for open requests."),
    (
        "--slow-reader-seconds",
        "10",
        "Time after which a caller that reads nothing is disconnected.",
    ),
    ("--sender-seconds", "10", "Time within which a request must have arrived."),
    (
        "--reader-memory-bytes",
        "67108864",
        "Bytes of responses held for all callers together.",
    ),
    ("--max-body-bytes", "1048576", "Largest request body."),
    ("--caller-threads", "64", "Server threads of the callers' interface."),
    ("--service-threads", "16", "Server threads that may wait for one service."),
    ("--subset-size", "32", "Backend servers that this node uses per service."),
    ("--max-links", "64", "Links to backend servers of all services together."),
    ("--region-bytes-per-second", "1500000", "Byte budget to other regions."),
)
