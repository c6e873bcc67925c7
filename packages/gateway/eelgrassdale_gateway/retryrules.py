"""Whether a failed attempt may be followed by another one, as pure functions."""

from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.calls import Call
from eelgrassdale_gateway.outcomes import (
    Answered,
    Lost,
    NotRun,
    Outcome,
    Relayed,
    Superseded,
    Withdrawn,
)

# Sends of one request after which further refusals are not retried.
MAX_SENDS = 4
# Statuses by which a caller concludes that its request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


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


def is_retryable_response(call: Call, response: Answered) -> bool:
    """Return whether another attempt may follow a complete response."""
    return response.head.status >= 500 and call.is_idempotent


def lost_its_server(outcome: Outcome) -> bool:
    """Return whether the backend server closed the connection, and may have ended.

    How far the response had come says nothing: a request may end its server before the
    head of the response, and where a response has no length, it looks complete then.
    """
    match outcome:
        case Lost() | Answered() | Relayed():
            return outcome.is_disconnected
        case NotRun() | Superseded() | Withdrawn():
            return False


def is_sound_answer(outcome: Outcome) -> bool:
    """Return whether a response is complete and the backend server's work succeeded."""
    match outcome:
        case Relayed():
            return True
        case Answered(head=head):
            return head.status < 300
        case _:
            return False


def lost_server_as_answer_began(call: Call, outcome: Outcome) -> bool:
    """Return whether the connection ended between the head and the first event.

    Few requests are in that state at any moment. Those that are merely running at a
    backend server had events before, or no head yet.
    """
    return (
        isinstance(outcome, Lost)
        and outcome.is_disconnected
        and call.attempt.has_head
        and not call.attempt.event_count
    )


def result_code(outcome: Outcome) -> ResultCode:
    """Return the code of a request that ends with a failed attempt."""
    if isinstance(outcome, NotRun):
        return ResultCode.SERVER_BUSY
    return ResultCode.BACKEND_FAILED
