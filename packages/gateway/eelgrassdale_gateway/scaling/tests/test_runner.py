"""Tests of the holder over simulated time: what it orders, and when."""

from itertools import pairwise

from eelgrassdale_gateway.model import Autoscaling
from eelgrassdale_gateway.scaling.tests.simulation import (
    BOOT_SECONDS,
    CallFailed,
    Simulation,
)

LOW_SECONDS = 20


def test_steady_load_orders_nothing():
    assert Simulation({"a": 4}, {"a": 28}).run(120) == []


def test_burst_is_served_at_once_and_given_back_one_by_one():
    """Guards against an order each second, and against a fast removal after a burst."""
    simulation = Simulation({"a": 4}, {"a": 28})
    simulation.run(10)
    simulation.demand["a"] = 50
    (order,) = simulation.run(3)
    assert order == (10.0, "a", 8)
    simulation.demand["a"] = 28
    orders = simulation.run(100)
    assert [count for _, _, count in orders] == [7, 6, 5]
    times = [time for time, _, _ in orders]
    assert times[0] >= 13 + LOW_SECONDS
    assert all(b - a >= BOOT_SECONDS for a, b in pairwise(times))
    assert simulation.metric("servers_desired") == 5


def test_sustained_jump_reaches_the_target_by_doublings():
    simulation = Simulation({"a": 2}, {"a": 70})
    orders = simulation.run(60)
    assert [count for _, _, count in orders] == [4, 8, 10]
    assert simulation.run(200) == []


def test_number_stays_within_the_bounds():
    simulation = Simulation({"a": 1, "b": 6}, {"a": 0, "b": 900})
    simulation.bounds["m"] = Autoscaling(
        min_servers=2, max_servers=7, boot_seconds=BOOT_SECONDS
    )
    assert sorted(simulation.run(60)) == [(0.0, "a", 2), (0.0, "b", 7)]


def lose_by_operator(simulation):
    simulation.out = frozenset("a")


def lose_all_servers(simulation):
    simulation.ready["a"] = 0
    simulation.demand["a"] = 0


def test_load_of_a_lost_data_centre_is_ordered_elsewhere_at_once():
    """Guards against waiting until the load has moved, and against counting it twice.

    The requests fail some seconds before the loss is known.
    """
    for lose in (lose_by_operator, lose_all_servers):
        simulation = Simulation({"a": 4, "b": 4, "c": 8}, {"a": 28, "b": 28, "c": 56})
        simulation.run(5)
        simulation.demand["a"] = 1
        simulation.run(3)
        lose(simulation)
        orders = simulation.run(1)
        # A third of the 28 requests goes to b, two thirds go to c.
        assert orders == [(8.0, "c", 11), (8.0, "b", 6)]
        simulation.demand = {"a": 0, "b": 37, "c": 75}
        assert simulation.run(60) == []


def test_data_centre_that_returns_keeps_its_number():
    simulation = Simulation({"a": 4, "b": 4}, {"a": 26, "b": 26})
    simulation.run(5)
    simulation.out = frozenset("a")
    simulation.demand = {"a": 0, "b": 52}
    assert [zone for _, zone, _ in simulation.run(60)] == ["b"]
    simulation.out = frozenset()
    simulation.demand = {"a": 26, "b": 26}
    assert "a" not in {zone for _, zone, _ in simulation.run(60)}


def test_new_holder_starts_from_the_list_and_removes_nothing_at_first():
    simulation = Simulation({"a": 8}, {"a": 10})
    simulation.run(LOW_SECONDS - 2)
    simulation.permit = "holder-2"
    assert simulation.run(LOW_SECONDS) == []
    assert simulation.run(1) == [(38.0, "a", 7)]


def test_nothing_is_sent_without_a_permit():
    simulation = Simulation({"a": 2}, {"a": 70})
    simulation.permit = None
    assert simulation.run(30) == []
    assert simulation.metric("servers_desired") is None


def test_stale_picture_orders_nothing_and_starts_the_low_time_anew():
    simulation = Simulation({"a": 4}, {"a": 5})
    simulation.run(LOW_SECONDS - 1)
    simulation.age_seconds = 3.5
    simulation.demand["a"] = 70
    assert simulation.run(10) == []
    simulation.age_seconds = 0.5
    simulation.demand["a"] = 5
    assert simulation.run(LOW_SECONDS) == []
    assert len(simulation.run(1)) == 1


def test_holder_that_stood_still_decides_on_nothing_from_before():
    """Guards against a removal for a time of which most was not observed."""
    simulation = Simulation({"a": 4}, {"a": 5})
    simulation.run(3)
    simulation.clock.advance(seconds=60.0)
    assert simulation.run(LOW_SECONDS) == []
    assert len(simulation.run(2)) == 1


def test_order_without_a_response_is_repeated_with_its_number():
    """Guards against a second number for an order that may have been carried out."""
    simulation = Simulation({"a": 4}, {"a": 50})
    simulation.failure = CallFailed(may_have_run=True)
    simulation.run(1)
    simulation.demand["a"] = 28
    orders = simulation.run(60)
    assert {count for _, _, count in orders} == {8}
    # The pause between attempts doubles up to 16 s.
    assert [time for time, _, _ in orders] == [1, 3, 7, 15, 31, 47]
    simulation.failure = None
    assert simulation.run(3) == [(63.0, "a", 8)]
    assert simulation.metric("scale_orders_failed_total") == 7
    assert simulation.metric("scale_orders_total") == 8


def test_order_that_was_refused_is_decided_anew():
    simulation = Simulation({"a": 4}, {"a": 50})
    simulation.failure = CallFailed(may_have_run=False)
    assert simulation.run(3) == [(0.0, "a", 8), (1.0, "a", 8)]
    simulation.failure = None
    simulation.demand["a"] = 28
    assert simulation.run(60) == []


def test_servers_that_do_not_appear_are_ordered_again_once():
    simulation = Simulation({"a": 4}, {"a": 50})
    simulation.boots = False
    orders = simulation.run(200)
    assert [count for _, _, count in orders] == [8, 8]
    assert orders[1][0] >= 3 * BOOT_SECONDS
    assert simulation.metric("servers_missing") == 4


def test_data_centre_without_servers_gets_one_where_requests_wait():
    bounds = Autoscaling(min_servers=0, max_servers=4, boot_seconds=BOOT_SECONDS)
    simulation = Simulation({"a": 1}, {"a": 0}, bounds)
    assert simulation.run(LOW_SECONDS + 5) == [(20.0, "a", 0)]
    simulation.demand["a"] = 3
    assert simulation.run(30) == [(25.0, "a", 1)]
