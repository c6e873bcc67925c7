"""Refusals by full queues, decided in the server threads.

The dispatcher publishes what each full queue refuses. A server thread that
asks here answers at once, without the dispatcher's work and without closing
its caller's connection.
"""

from collections.abc import Mapping

from eelgrassdale.results import ResultCode
from eelgrassdale.routing.fairqueue import FullQueue


class FullQueues:
    """The queues that are full now; `refusal` may be called by any thread."""

    def __init__(self) -> None:
        self._full: Mapping[str, FullQueue | None] = {}

    def publish(self, full: Mapping[str, FullQueue | None]) -> None:
        """Replace what is known of all services."""
        self._full = full

    def refusal(
        self, service: str, *, account: str, weight: int, priority: int
    ) -> ResultCode | None:
        """Return the code with which a request is refused now, else None."""
        full = self._full.get(service)
        if full is None or not full.refuses(
            account=account, weight=weight, priority=priority
        ):
            return None
        over_share = full.share(account=account, weight=weight) > full.fair_share
        return ResultCode.ACCOUNT_LIMIT if over_share else ResultCode.QUEUE_FULL
