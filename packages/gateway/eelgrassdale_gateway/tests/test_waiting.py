"""Tests of the order of waiting requests and of their refusal."""

from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.waiting import Waiter, in_order, refusal_of, return_seconds


def waiter(arrived_at=0.0, objective=0.4, deadline=6.0, priority=0):
    return Waiter(
        service="s",
        priority=priority,
        arrived_at=arrived_at,
        objective_at=arrived_at + objective,
        end_at=arrived_at + deadline,
        had_candidates_at=100.0,
    )


def test_late_requests_wait_behind_those_that_can_be_on_time():
    late, urgent, fresh = waiter(), waiter(0.9, priority=1), waiter(0.8, priority=2)
    assert in_order([late, fresh, urgent], now=1.0) == [urgent, fresh, late]


def test_request_is_refused_while_its_caller_can_still_return():
    late = waiter()
    assert refusal_of(late, 1.0) is None
    assert refusal_of(late, 2.5) is ResultCode.QUEUE_FULL
    assert return_seconds(now=2.5, end_at=late.end_at) <= 3.5 / 3


def test_request_is_refused_soon_when_no_server_is_listed():
    lonely = waiter()
    lonely.had_candidates_at = float("-inf")
    assert refusal_of(lonely, 0.3) is None
    assert refusal_of(lonely, 0.5) is ResultCode.NO_BACKEND_SERVER


def test_request_is_refused_at_its_end_at_the_latest():
    assert refusal_of(waiter(objective=10.0), 6.0) is ResultCode.SERVER_BUSY


def test_request_whose_answer_cannot_end_in_time_is_refused_at_once():
    """Broken-off answers took places from requests that could be served."""
    short = waiter(deadline=1.0)
    short.expected = 0.2
    short.duration = 0.9
    assert refusal_of(short, 0.0) is ResultCode.SERVER_BUSY
