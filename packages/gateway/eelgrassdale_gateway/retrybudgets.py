"""Retry budgets of one gateway: its share of the retries that all may send."""

from collections.abc import Callable, Collection

from attrs import define, field

from eelgrassdale.clock import Clock
from eelgrassdale.routing.retry import RetryBudget
from eelgrassdale_gateway.shares import GatewayGroup

# The limit applies to sliding windows, in which saved retries and those newly earned
# add up. What these fractions leave unused is a margin for gateways that join.
RATIO_FRACTION = 0.7
SLACK_FRACTION = 0.5


# Retries that a new process may send at once.
INITIAL_RETRIES = 1.0
# Windows after which an unused budget of a removed service is dropped. If the service
# comes back, its budget is that of a new one.
UNUSED_WINDOWS = 2.0


@define(kw_only=True)
class RetryBudgets:
    """One retry budget for each service.

    The slack of a new process grows over the first window: the process that ran before
    it may have used all of its own in the same window.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    ratio : float
        Retries that all gateways together may send per request.
    slack : float
        Further retries that all gateways together may send in one window.
    window_seconds : float
        Length of the windows, in seconds.
    gateway_group : callable
        Returns the gateways that share the budget.
    """

    _clock: Clock
    ratio: float
    slack: float
    window_seconds: float
    gateway_group: Callable[[], GatewayGroup]
    _budgets: dict[str, RetryBudget] = field(factory=dict, init=False)
    # Slack that each service was given so far.
    _given: dict[str, float] = field(factory=dict, init=False)
    _used_at: dict[str, float] = field(factory=dict, init=False)
    _started_at: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin the first window."""
        self._started_at = self._clock.monotonic()

    def add_request(self, service: str) -> None:
        """Count a request, which earns a fraction of a retry."""
        self._budget(service).record_request()

    def take(self, service: str) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        return self._budget(service).try_acquire()

    def give_back(self, service: str) -> None:
        """Give back a retry that was taken and not sent."""
        budget = self._budget(service)
        budget.tokens = min(budget.limit, budget.tokens + 1)

    def retain(self, services: Collection[str]) -> None:
        """Drop the budgets of all other services that were not used lately."""
        oldest_use = self._clock.monotonic() - UNUSED_WINDOWS * self.window_seconds
        for service in self._budgets.keys() - services:
            if self._used_at[service] < oldest_use:
                for values in (self._budgets, self._given, self._used_at):
                    del values[service]

    def _budget(self, service: str) -> RetryBudget:
        limit = max(
            INITIAL_RETRIES, SLACK_FRACTION * self.slack / self.gateway_group().count
        )
        budget = self._budgets.setdefault(service, RetryBudget(tokens=0.0))
        self._used_at[service] = self._clock.monotonic()
        # These follow the settings, which may change, and the number of gateways.
        budget.limit = limit
        budget.share = RATIO_FRACTION * self.ratio
        given = self._given.get(service, 0.0)
        due = max(given, INITIAL_RETRIES, limit * self._elapsed_fraction())
        self._given[service] = due
        budget.tokens = min(limit, budget.tokens + due - given)
        return budget

    def _elapsed_fraction(self) -> float:
        """Return the part of the first window that is over."""
        elapsed_seconds = self._clock.monotonic() - self._started_at
        if elapsed_seconds >= self.window_seconds:
            return 1.0
        return elapsed_seconds / self.window_seconds
