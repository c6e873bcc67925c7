"""Tests of the retry budget, the region budget and final result codes."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.results import ExecutionState, ResultCode, info_of
from eelgrassdale.routing.outcomes import final_code, keyed_code
from eelgrassdale.routing.regions import RegionBudget
from eelgrassdale.routing.retry import INITIAL_RETRY_TOKENS, RetryBudget, may_send_again


@settings(derandomize=True, max_examples=200)
@given(steps=st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_a_tenth_of_requests(steps):
    budget = RetryBudget()
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.record_request()
            requests += 1
        else:
            retries += budget.try_acquire()
        assert retries <= INITIAL_RETRY_TOKENS + requests / 10


def test_non_idempotent_request_is_retried_only_if_it_did_not_run():
    for code in ResultCode:
        if may_send_again(code=code, idempotent=False, keyed=False):
            assert info_of(code).ran is ExecutionState.NOT_RUN


def test_keyed_request_is_never_retried():
    assert not any(
        may_send_again(code=code, idempotent=True, keyed=True) for code in ResultCode
    )


def test_keyed_code_claims_not_run_only_for_wrong_keys():
    """Another entry node may have run a request with the same key."""
    not_run = {
        code
        for code in ResultCode
        if info_of(keyed_code(code)).ran is ExecutionState.NOT_RUN
    }
    assert not_run == {ResultCode.KEY_NOT_ISSUED, ResultCode.KEY_MISMATCH}


def test_refusal_after_a_lost_attempt_never_claims_not_run():
    for code, delivered in itertools.product(ResultCode, (0, 5)):
        final = final_code(code, delivered=delivered, may_have_run=True)
        assert info_of(final).ran is not ExecutionState.NOT_RUN


@settings(derandomize=True, max_examples=100)
@given(asked=st.lists(st.tuples(st.floats(0, 1), st.integers(1, 300)), max_size=60))
def test_bytes_between_regions_stay_within_rate_and_burst(asked):
    budget = RegionBudget(bytes_per_second=100)
    now = used_bytes = 0.0
    for interval, count in asked:
        now += interval
        if budget.allows(count, now):
            budget.charge(count, now)
            used_bytes += count
    assert used_bytes <= 100 * now + 200 + 300
