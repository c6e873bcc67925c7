"""Interface of the client for the cloud API."""

from collections.abc import Mapping
from typing import Protocol

from eelgrassdale_gateway.duties.lease import DutyPermit


class CloudCallFailed(Exception):
    """The cloud API refused a call, or did not answer it as expected.

    `status` is None without a response. `may_have_run` is false if the call certainly
    had no effect.
    """

    def __init__(
        self, status: int | None, may_have_run: bool, reason: str = ""
    ) -> None:
        super().__init__(reason or f"HTTP status {status}")
        self.status = status
        self.may_have_run = may_have_run


class CloudCalls(Protocol):
    """Calls of the holder; all raise `CloudCallFailed`."""

    async def report_usage(
        self, permit: DutyPermit, window: int, counts: Mapping[str, int]
    ) -> None:
        """Report the requests of each client account in a window."""
        ...

    async def order_servers(
        self, permit: DutyPermit, service: str, data_centre: str, count: int
    ) -> None:
        """Order how many backend servers a service has in a data centre."""
        ...
