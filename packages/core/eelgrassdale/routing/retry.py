"""Decisions whether a request may be sent again."""

from attrs import define

from eelgrassdale.results import Ran, ResultCode, verdict_of

RETRY_SHARE = 0.1
# A service with few requests must survive one dead backend server as well.
BUDGET_START = 10.0
BUDGET_MAX = 100.0

# A different backend server would refuse these in the same way.
FINAL_REFUSALS = frozenset(
    {
        ResultCode.INVALID_REQUEST,
        ResultCode.UNKNOWN_SERVICE,
        ResultCode.UNKNOWN_ACCOUNT,
        ResultCode.REQUEST_TOO_LARGE,
        ResultCode.DEADLINE_PASSED,
        ResultCode.KEY_NOT_ISSUED,
        ResultCode.KEY_REFUSED,
        ResultCode.KEY_MISMATCH,
        ResultCode.ACCOUNT_LIMIT,
    }
)


@define(kw_only=True)
class RetryBudget:
    """Retries that a service may still make: a share of its requests.

    Unused retries are saved up to `limit`.

    Examples
    --------
    >>> budget = RetryBudget(tokens=0.0)
    >>> for _ in range(10):
    ...     budget.add_request()
    >>> budget.take(), budget.take()
    (True, False)

    """

    tokens: float = BUDGET_START
    share: float = RETRY_SHARE
    limit: float = BUDGET_MAX

    def add_request(self) -> None:
        """Count a request of the service."""
        # Rounding keeps ten shares of 0.1 equal to one whole retry.
        self.tokens = min(self.limit, round(self.tokens + self.share, 6))

    def take(self) -> bool:
        """Take one retry; false when the budget is used up."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_send_again(*, code: int, idempotent: bool, keyed: bool) -> bool:
    """Return whether a failed attempt may be followed by another one.

    A keyed request belongs to one agent and is never sent elsewhere. Other
    work is sent again after a refusal that is certainly `not run`, or when it
    is idempotent.

    Examples
    --------
    >>> may_send_again(code=ResultCode.SERVER_BUSY, idempotent=False, keyed=False)
    True
    >>> may_send_again(code=ResultCode.OUTCOME_UNKNOWN, idempotent=False, keyed=False)
    False

    """
    if keyed or code in FINAL_REFUSALS:
        return False
    if verdict_of(code).ran is Ran.NOT_RUN:
        return True
    return idempotent and code in _LOST_ATTEMPTS


_LOST_ATTEMPTS = frozenset(
    {
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.BACKEND_FAILED,
        ResultCode.INCARNATION_GONE,
        ResultCode.ANSWER_TRUNCATED,
    }
)
