"""Retry budget and the rule that decides whether a request may be retried."""

from attrs import define

from eelgrassdale.results import ExecutionState, ResultCode, info_of

RETRIES_PER_REQUEST = 0.1
# A service with few requests needs enough retries for one failed backend server.
INITIAL_RETRY_TOKENS = 10.0
MAX_RETRY_TOKENS = 100.0

# Every other backend server would refuse the request for the same reason.
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
    """Token bucket that limits the retries of a service to a share of its requests.

    Each request adds `share` tokens, up to `limit`; each retry takes one.

    Examples
    --------
    >>> budget = RetryBudget(tokens=0.0)
    >>> for _ in range(10):
    ...     budget.record_request()
    >>> budget.try_acquire(), budget.try_acquire()
    (True, False)

    """

    tokens: float = INITIAL_RETRY_TOKENS
    share: float = RETRIES_PER_REQUEST
    limit: float = MAX_RETRY_TOKENS

    def record_request(self) -> None:
        """Count a request of the service."""
        # Without rounding, ten additions of 0.1 would not reach a whole token.
        self.tokens = min(self.limit, round(self.tokens + self.share, 6))

    def try_acquire(self) -> bool:
        """Take one token for a retry; false when none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_send_again(*, code: int, idempotent: bool, keyed: bool) -> bool:
    """Return whether a request may be retried after an attempt ended with `code`.

    A keyed request is bound to one agent and is never sent to another. Other
    requests may be retried if the code guarantees `not run`, or if they are
    idempotent and the attempt was lost or failed.

    Examples
    --------
    >>> may_send_again(code=ResultCode.SERVER_BUSY, idempotent=False, keyed=False)
    True
    >>> may_send_again(code=ResultCode.OUTCOME_UNKNOWN, idempotent=False, keyed=False)
    False

    """
    if keyed or code in FINAL_REFUSALS:
        return False
    if info_of(code).ran is ExecutionState.NOT_RUN:
        return True
    return idempotent and code in _RETRYABLE_IF_IDEMPOTENT


_RETRYABLE_IF_IDEMPOTENT = frozenset(
    {
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.BACKEND_FAILED,
        ResultCode.INCARNATION_GONE,
        ResultCode.ANSWER_TRUNCATED,
    }
)
