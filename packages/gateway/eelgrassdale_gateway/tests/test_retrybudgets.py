"""Tests that all gateways together stay within the limit on retries."""

from functools import partial

from eelgrassdale_gateway.retrybudgets import RetryBudgets
from eelgrassdale_gateway.shares import GatewayGroup

RATIO = 0.2
SLACK = 106


def make_group(count):
    return GatewayGroup(own_name="0", members=frozenset(map(str, range(count))))


def allowed_retries(node_count, requests, attempted):
    """Return the allowed retries if each node tries `attempted` after each request.

    At the end each node tries 100 more.
    """
    allowed = 0
    for _ in range(node_count):
        budgets = RetryBudgets(
            ratio=RATIO, slack=SLACK, gateway_group=partial(make_group, node_count)
        )
        for _ in range(requests // node_count):
            budgets.add_request("s")
            allowed += sum(budgets.take("s") for _ in range(attempted))
        allowed += sum(budgets.take("s") for _ in range(100))
    return allowed


def test_sum_over_all_nodes_stays_within_ratio_and_slack():
    for node_count in (1, 3, 9, 50):
        for requests in (0, 100, 1000):
            bound = RATIO * requests + SLACK
            assert allowed_retries(node_count, requests, attempted=3) <= bound


def test_unused_retries_are_not_saved_without_limit():
    budgets = RetryBudgets(
        ratio=RATIO, slack=SLACK, gateway_group=partial(make_group, 9)
    )
    for _ in range(10_000):
        budgets.add_request("s")
    assert sum(budgets.take("s") for _ in range(100)) <= SLACK / 9


def test_new_ratio_applies_to_services_that_have_a_budget():
    """Guards against a reload that reaches only services without a request so far."""
    budgets = RetryBudgets(ratio=0.0, slack=0.0, gateway_group=partial(make_group, 1))
    budgets.add_request("s")
    while budgets.take("s"):
        pass
    budgets.ratio, budgets.slack = 1.0, 10.0
    for _ in range(10):
        budgets.add_request("s")
    assert budgets.take("s")
