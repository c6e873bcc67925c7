"""Whether a failed attempt may be followed by another one, as pure functions."""

from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.calls import Call
from eelgrassdale_gateway.outcomes import Lost, NotRun, Outcome

# Sends of one request after which further refusals are not retried.
MAX_SENDS = 4


def retry_refusal_reason(call: Call, outcome: Outcome) -> str:
    """Return why a failed attempt may not be retried; empty if it may."""
    if isinstance(outcome, NotRun):
        return "" if call.send_count < MAX_SENDS else "maximum number of sends reached"
    if not call.is_idempotent:
        return "may have run"
    if call.run_count >= call.admitted.route.max_attempts:
        return "maximum number of attempts of the route reached"
    if call.exchange.is_started and not call.admitted.route.is_resumable:
        return "response has already started"
    return ""


def has_ended_its_server(call: Call, outcome: Outcome) -> bool:
    """Return whether the server's connection ended as it began to answer.

    A server that ends under a request does so before the first event. Requests that
    are merely running there had events before, or no head yet.
    """
    return (
        isinstance(outcome, Lost)
        and outcome.is_disconnected
        and call.attempt_has_head
        and not call.attempt_event_count
    )


def result_code(outcome: Outcome) -> ResultCode:
    """Return the code of a request that ends with a failed attempt."""
    if isinstance(outcome, NotRun):
        return ResultCode.SERVER_BUSY
    return ResultCode.BACKEND_FAILED
