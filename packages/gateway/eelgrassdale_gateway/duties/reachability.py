"""Notices that this gateway, and perhaps no other, cannot reach the cloud API.

Such a holder stops renewing its lease for a while, so that another candidate takes
over. The lease ends in its time as always; it is not released early.
"""

from collections.abc import Awaitable, Callable, Mapping

import structlog

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.duties.cloudcalls import CloudCallFailed, CloudCalls
from eelgrassdale_gateway.duties.lease import DutyPermit

# Calls without a response for this time, and at least so many of them. A report is
# repeated every 4 s, and is late 10 s after the end of its window.
UNREACHABLE_SECONDS = 8.0
MIN_FAILED_CALLS = 4
# Each of two other candidates has the time to take over and to find out as well.
STEP_BACK_SECONDS = 30.0

log = structlog.get_logger(__name__)


class WatchedCalls:
    """Implements `CloudCalls` by another one and counts calls without a response."""

    def __init__(
        self,
        *,
        calls: CloudCalls,
        current_permit: Callable[[], DutyPermit | None],
        clock: Clock,
    ) -> None:
        self._calls = calls
        self._current_permit = current_permit
        self._clock = clock
        self._failed_count = 0
        self._failing_since = 0.0
        self._back_at = float("-inf")

    def has_stepped_back(self) -> bool:
        """Return whether this gateway leaves the lease to others for now."""
        return self._clock.monotonic() < self._back_at

    async def report_usage(
        self, permit: DutyPermit, window: int, counts: Mapping[str, int]
    ) -> None:
        """Do as `CloudCalls.report_usage`."""
        await self._watch(permit, self._calls.report_usage(permit, window, counts))

    async def order_servers(
        self, permit: DutyPermit, service: str, data_centre: str, count: int
    ) -> None:
        """Do as `CloudCalls.order_servers`."""
        await self._watch(
            permit, self._calls.order_servers(permit, service, data_centre, count)
        )

    async def _watch(self, permit: DutyPermit, call: Awaitable[None]) -> None:
        try:
            await call
        except CloudCallFailed as exc:
            if exc.status is not None:
                self._failed_count = 0
            elif self._current_permit() == permit:
                # Without a valid permit, nothing was sent.
                self._record_failure()
            raise
        self._failed_count = 0

    def _record_failure(self) -> None:
        now = self._clock.monotonic()
        if not self._failed_count:
            self._failing_since = now
        self._failed_count += 1
        is_long = now - self._failing_since >= UNREACHABLE_SECONDS
        if is_long and self._failed_count >= MIN_FAILED_CALLS:
            self._failed_count = 0
            self._back_at = now + STEP_BACK_SECONDS
            log.warning("cloud API out of reach; leaving the duties to others")
