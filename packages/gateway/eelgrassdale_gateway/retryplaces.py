"""Takes a retry of a request together with a place for it at a backend server."""

from attrs import frozen

from eelgrassdale_gateway.calls import Call, make_waiter
from eelgrassdale_gateway.dispatcher import Dispatcher, PlacementRefused
from eelgrassdale_gateway.outcomes import Lost
from eelgrassdale_gateway.queueing import Waiter
from eelgrassdale_gateway.retrybudgets import RetryBudgets
from eelgrassdale_gateway.retryrules import MAX_SENDS, retry_refusal_reason
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.stalls import Place


@frozen(kw_only=True)
class RetryPlaces:
    """Finds places for requests whose present attempt makes no progress."""

    _dispatcher: Dispatcher
    _retry_budgets: RetryBudgets
    _routing_state: RoutingState

    def make_waiter(self, call: Call, *, is_continuation: bool = False) -> Waiter:
        """Return the queue entry for the next attempt of a request."""
        service = self._routing_state.table.services.get(call.admitted.service)
        return make_waiter(
            call, service.engine if service else None, is_continuation=is_continuation
        )

    async def seek(self, call: Call) -> Place | None:
        """Take a retry and wait for a place for it; None if one is refused."""
        service = call.admitted.service
        if call.send_count >= MAX_SENDS:
            return None
        if retry_refusal_reason(call, Lost(reason="stalled")):
            return None
        if not self._retry_budgets.take(service):
            return None
        is_found = False
        try:
            waiter = self.make_waiter(call, is_continuation=True)
            place = await self._dispatcher.place(waiter)
            is_found = True
            return place
        except PlacementRefused:
            return None
        finally:
            if not is_found:
                self._retry_budgets.give_back(service)

    def give_back_retry(self, call: Call) -> None:
        """Give back a retry that was not sent."""
        self._retry_budgets.give_back(call.admitted.service)

    def release(self, call: Call, place: Place) -> None:
        """Give back what `seek` took."""
        self._dispatcher.record_end(place[1])
        self.give_back_retry(call)
