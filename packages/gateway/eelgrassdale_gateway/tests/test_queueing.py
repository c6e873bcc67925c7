"""Tests of the placement order of waiting requests and of their refusal."""

from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.queueing import (
    Waiter,
    placement_order,
    refusal_code,
    retry_after_seconds,
)


def waiter(arrived_at=0.0, objective=0.4, deadline=6.0, priority=0):
    return Waiter(
        service="s",
        priority=priority,
        arrived_at=arrived_at,
        objective_at=arrived_at + objective,
        expires_at=arrived_at + deadline,
        last_candidate_at=100.0,
    )


def test_late_requests_wait_behind_those_that_can_be_on_time():
    late, urgent, fresh = waiter(), waiter(0.9, priority=1), waiter(0.8, priority=2)
    assert placement_order([late, fresh, urgent], now=1.0) == [urgent, fresh, late]


def test_request_is_refused_while_its_caller_can_still_retry():
    late = waiter()
    assert refusal_code(late, 1.0) is None
    assert refusal_code(late, 2.5) is ResultCode.QUEUE_FULL
    assert retry_after_seconds(now=2.5, expires_at=late.expires_at) <= 3.5 / 3


def test_request_that_would_have_to_wait_too_long_is_refused_at_once():
    """Guards against callers that wait for a start which is known to be too late."""
    soon, late, too_late = waiter(), waiter(), waiter()
    soon.earliest_start, late.earliest_start, too_late.earliest_start = 0.1, 2.3, 2.5
    assert refusal_code(soon, 0.0) is None
    assert refusal_code(late, 0.0) is None
    assert refusal_code(too_late, 0.0) is ResultCode.QUEUE_FULL


def test_request_is_refused_soon_when_no_server_is_listed():
    without_server = waiter()
    without_server.last_candidate_at = float("-inf")
    assert refusal_code(without_server, 0.3) is None
    assert refusal_code(without_server, 0.5) is ResultCode.NO_BACKEND_SERVER


def test_request_is_refused_at_its_end_at_the_latest():
    assert refusal_code(waiter(objective=10.0), 6.0) is ResultCode.SERVER_BUSY


def test_request_whose_response_cannot_end_in_time_is_refused_at_once():
    """Responses that must be aborted take capacity from requests that can be served."""
    short_deadline = waiter(deadline=1.0)
    short_deadline.min_first_event_seconds = 0.2
    short_deadline.streaming_seconds = 0.9
    assert refusal_code(short_deadline, 0.0) is ResultCode.SERVER_BUSY
