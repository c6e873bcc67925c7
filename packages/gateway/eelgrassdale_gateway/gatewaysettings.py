"""Settings of one gateway, whatever platform it runs on."""

from attrs import frozen

from eelgrassdale_gateway.peertable import Address


@frozen(kw_only=True)
class GatewaySettings:
    """Settings of one gateway; times in seconds.

    `version_grace_seconds` is how long an older model version may serve after
    operators set a newer one; `startup_grace_seconds` is the same from the start of
    this process for versions set before it. `retry_ratio` and `retry_slack` limit the
    retries of all gateways together in any `retry_window_seconds`. `stop_seconds` is
    the time that the platform gives the process to stop. A gateway that reads from the
    store compares its copies with it every `copy_check_seconds`. `body_memory_bytes`
    limits the memory for what all callers send and have not read together, and as much
    for the bodies of all responses. `connection_limit` is that of callers' connections
    and those to backend servers together.
    """

    name: str
    incarnation: int
    data_centre: str
    region: str
    caller_address: Address
    peer_address: Address
    seed_addresses: tuple[Address, ...] = ()
    version_grace_seconds: float = 6.5
    startup_grace_seconds: float = 2.5
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_seconds: float = 10.0
    stop_seconds: float = 8.0
    copy_check_seconds: float = 1.5
    body_memory_bytes: int = 33_554_432
    connection_limit: int = 1_271
