"""Tests that all gateways together stay within the limit on retries."""

from functools import partial

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale_gateway.retrybudgets import RetryBudgets
from eelgrassdale_gateway.shares import GatewayGroup

RATIO = 0.2
SLACK = 106


def make_group(count):
    return GatewayGroup(own_name="0", members=frozenset(map(str, range(count))))


def make_budgets(*, count, clock=None, ratio=RATIO, slack=SLACK, window_seconds=0.0):
    return RetryBudgets(
        clock=clock or ManualClock(),
        ratio=ratio,
        slack=slack,
        window_seconds=window_seconds,
        gateway_group=partial(make_group, count),
    )


def allowed_retries(node_count, requests, attempted):
    """Return the allowed retries if each node tries `attempted` after each request.

    At the end each node tries 100 more.
    """
    allowed = 0
    for _ in range(node_count):
        budgets = make_budgets(count=node_count)
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
    budgets = make_budgets(count=9)
    for _ in range(10_000):
        budgets.add_request("s")
    assert sum(budgets.take("s") for _ in range(100)) <= SLACK / 9


def test_new_ratio_applies_to_services_that_have_a_budget():
    """Guards against a reload that reaches only services without a request so far."""
    budgets = make_budgets(count=1, ratio=0.0, slack=0.0)
    budgets.add_request("s")
    while budgets.take("s"):
        pass
    budgets.ratio, budgets.slack = 1.0, 10.0
    for _ in range(10):
        budgets.add_request("s")
    assert budgets.take("s")


@pytest.mark.parametrize("restarted_at", [{0}, {5}, {2, 6}, {1, 3, 5, 7}])
def test_restarts_of_all_nodes_in_one_window_stay_within_the_slack(restarted_at):
    """Guards against a new process that gets the whole share of the one before."""
    node_count, window_seconds = 9, 10
    clock = ManualClock()
    nodes = [
        make_budgets(count=node_count, clock=clock, window_seconds=window_seconds)
        for _ in range(node_count)
    ]
    clock.advance(seconds=3.0 * window_seconds)
    retries = 0
    for second in range(window_seconds):
        if second in restarted_at:
            retries += sum(node.take("s") for node in nodes for _ in range(100))
            nodes = [
                make_budgets(
                    count=node_count, clock=clock, window_seconds=window_seconds
                )
                for _ in range(node_count)
            ]
        retries += sum(node.take("s") for node in nodes for _ in range(100))
        clock.advance(seconds=1.0)
    assert retries <= SLACK


def test_share_shrinks_with_the_first_word_of_the_other_nodes():
    """Guards against a node that spends what it had while it seemed to be alone."""
    count = 1
    budgets = RetryBudgets(
        clock=ManualClock(),
        ratio=RATIO,
        slack=SLACK,
        window_seconds=0.0,
        gateway_group=lambda: make_group(count),
    )
    budgets.add_request("s")
    count = 9
    assert sum(budgets.take("s") for _ in range(100)) <= SLACK / 9


def test_budget_of_a_removed_service_is_kept_for_the_windows_in_which_it_counts():
    """Guards against retries beyond the limit where a service comes and goes.

    Later the budget is dropped, so that those of all services ever named are not kept.
    """
    clock = ManualClock()
    budgets = make_budgets(count=1, clock=clock, window_seconds=10.0)
    clock.advance(seconds=10.0)
    taken = sum(budgets.take("s") for _ in range(200))
    budgets.retain(())
    assert sum(budgets.take("s") for _ in range(200)) == 0
    clock.advance(seconds=21.0)
    budgets.retain({"s"})
    assert not budgets.take("s")
    clock.advance(seconds=21.0)
    budgets.retain(())
    assert budgets._budgets == budgets._given == budgets._used_at == {}
    assert sum(budgets.take("s") for _ in range(200)) == taken
