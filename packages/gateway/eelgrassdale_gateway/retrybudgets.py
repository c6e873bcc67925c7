"""Retry budgets of one gateway: its share of the retries that all may send."""

from collections.abc import Callable

from attrs import define, field

from eelgrassdale.routing.retry import RetryBudget
from eelgrassdale_gateway.shares import GatewayGroup

# The limit applies to sliding windows, in which saved retries and those newly earned
# add up. What these fractions leave unused is a margin for gateways that join.
RATIO_FRACTION = 0.7
SLACK_FRACTION = 0.5


@define(kw_only=True)
class RetryBudgets:
    """One retry budget for each service.

    Parameters
    ----------
    ratio : float
        Retries that all gateways together may send per request.
    slack : float
        Further retries that all gateways together may send in one window.
    gateway_group : callable
        Returns the gateways that share the budget.
    """

    ratio: float
    slack: float
    gateway_group: Callable[[], GatewayGroup]
    _budgets: dict[str, RetryBudget] = field(factory=dict)

    def add_request(self, service: str) -> None:
        """Count a request, which earns a fraction of a retry."""
        self._budget(service).record_request()

    def take(self, service: str) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        return self._budget(service).try_acquire()

    def _budget(self, service: str) -> RetryBudget:
        limit = max(1.0, SLACK_FRACTION * self.slack / self.gateway_group().count)
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(tokens=limit)
        # Both follow the settings, which may change, and the number of gateways.
        budget.limit = limit
        budget.share = RATIO_FRACTION * self.ratio
        return budget
