"""Tests that all nodes together keep the bound on repeats."""

from functools import partial

from eelgrassdale_gateway.repeats import RepeatBudgets
from eelgrassdale_gateway.shares import Sharers

RATIO = 0.2
SLACK = 106


def group(count):
    return Sharers(me="0", members=frozenset(map(str, range(count))))


def repeats_of(nodes, requests, asked):
    """Return how many of `asked` repeats of each node are allowed."""
    taken = 0
    for _ in range(nodes):
        budgets = RepeatBudgets(ratio=RATIO, slack=SLACK, sharers=partial(group, nodes))
        for _ in range(requests // nodes):
            budgets.add_request("s")
            taken += sum(budgets.take("s") for _ in range(asked))
        taken += sum(budgets.take("s") for _ in range(100))
    return taken


def test_sum_over_all_nodes_stays_within_ratio_and_slack():
    for nodes in (1, 3, 9, 50):
        for requests in (0, 100, 1000):
            bound = RATIO * requests + SLACK
            assert repeats_of(nodes, requests, asked=3) <= bound


def test_unused_repeats_are_not_saved_without_end():
    budgets = RepeatBudgets(ratio=RATIO, slack=SLACK, sharers=partial(group, 9))
    for _ in range(10_000):
        budgets.add_request("s")
    assert sum(budgets.take("s") for _ in range(100)) <= SLACK / 9
