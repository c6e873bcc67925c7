"""Budget of repeats of one node, a share of what all nodes may send."""

from collections.abc import Callable

from attrs import define, field

from eelgrassdale.routing.retry import RetryBudget
from eelgrassdale_gateway.shares import Sharers

# The bound counts in windows that slide, in which a saved-up allowance and the
# running share add up; the rest is a margin for nodes that join.
SHARE_OF_RATIO = 0.7
SHARE_OF_SLACK = 0.5


@define(kw_only=True)
class RepeatBudgets:
    """One budget for each service.

    Parameters
    ----------
    ratio : float
        Repeats that all nodes may send for each request.
    slack : float
        Repeats that all nodes may send beside that in one window.
    sharers : callable
        Returns the gateways that share the budget.
    """

    ratio: float
    slack: float
    sharers: Callable[[], Sharers]
    _budgets: dict[str, RetryBudget] = field(factory=dict)

    def add_request(self, service: str) -> None:
        """Count a first request."""
        self._budget(service).add_request()

    def take(self, service: str) -> bool:
        """Take one repeat; false when the budget is used up."""
        return self._budget(service).take()

    def _budget(self, service: str) -> RetryBudget:
        limit = max(1.0, SHARE_OF_SLACK * self.slack / self.sharers().count)
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                tokens=limit, share=SHARE_OF_RATIO * self.ratio, limit=limit
            )
            self._budgets[service] = budget
        budget.limit = limit
        return budget
