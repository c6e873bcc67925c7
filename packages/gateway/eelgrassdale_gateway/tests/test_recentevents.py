"""Tests of the records of recent events, and of what keeps them."""

from hypothesis import given
from hypothesis import strategies as st

from eelgrassdale_gateway.estimates import OWN_SLOT_SECONDS, ServiceDemand
from eelgrassdale_gateway.loads import REPORT_DELAY_SECONDS, LoadTracker
from eelgrassdale_gateway.recentevents import RecentEvents

RATE = 100
SECONDS = 60


def test_sends_that_nobody_asks_for_are_not_kept():
    """Guards against memory that grows with each request, 150 bytes a time."""
    loads = LoadTracker()
    for number in range(RATE * SECONDS):
        now = number / RATE
        server = f"s-{int(now) % 7}"
        loads.record_end(loads.record_send(server, tokens=9, now=now))
    assert len(loads._recent_sends) <= REPORT_DELAY_SECONDS * RATE + 1


def test_ends_of_requests_that_nobody_asks_for_are_not_kept():
    """Guards against memory that grows with each request, and keeps gone servers."""
    demand = ServiceDemand()
    for number in range(RATE * SECONDS):
        demand.record_end(f"s-{number // RATE}", 0.1, now=number / RATE)
    assert len(demand._own_ends) <= OWN_SLOT_SECONDS * RATE + 1
    assert len(demand._own_ends._events) <= 2


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.0, 1.0), st.booleans())))
def test_values_are_those_of_a_plain_list(steps):
    events, plain, now = RecentEvents[int](window_seconds=1.0), [], 0.0
    for number, (server, seconds, is_added) in enumerate(steps):
        now += seconds
        if is_added:
            events.add(server, number, now=now)
            plain.append((server, now, number))
        expected = [v for s, at, v in plain if s == server and now - at <= 1.0]
        assert list(events.values(server, now=now)) == expected
        assert events.count(server, now=now) == len(expected)
    live = [step for step in plain if now - step[1] <= 1.0]
    assert len(events) >= len(live)
