"""Tests of the fair queue of a service."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.routing.fairqueue import FairQueue, Queued

STEPS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from("abc"), st.integers(1, 3)),
        st.sampled_from(["pop", "return", "remove"]),
    ),
    max_size=60,
)
WEIGHTS = {"a": 1, "b": 2, "c": 4}


def queued(request_id, account="a", weight=1, priority=1) -> Queued:
    """Return a request to put into the queue."""
    return Queued(
        request_id=str(request_id), account=account, weight=weight, priority=priority
    )


@settings(derandomize=True, max_examples=300)
@given(steps=STEPS)
def test_no_request_is_lost_or_served_twice(steps):
    queue = FairQueue(limit=6)
    waiting, popped = set(), []
    for number, step in enumerate(steps):
        if step == "pop":
            next_request = queue.pop()
            assert (next_request is None) == (not waiting)
            if next_request is not None:
                waiting.remove(next_request.request_id)
                popped.append(next_request)
        elif step == "return" and popped:
            queue.push_front(popped.pop())
            waiting = {q.request_id for q in queue}
        elif step == "remove" and waiting:
            request_id = min(waiting)
            assert queue.remove(request_id).request_id == request_id
            waiting.remove(request_id)
        elif isinstance(step, tuple):
            account, priority = step
            new = queued(number, account, WEIGHTS[account], priority)
            shed = queue.push(new)
            waiting.add(new.request_id)
            if shed is not None:
                waiting.remove(shed.queued.request_id)
        assert {q.request_id for q in queue} == waiting


def test_backlogged_accounts_are_served_by_weight():
    queue = FairQueue(limit=1000)
    for number in range(300):
        for account, weight in WEIGHTS.items():
            queue.push(queued(f"{account}{number}", account, weight))
    served = Counter(queue.pop().account for _ in range(70))
    assert served == {"a": 10, "b": 20, "c": 40}


def test_account_over_its_share_is_refused_first():
    queue = FairQueue(limit=4)
    for number in range(4):
        queue.push(queued(number, "large"))
    shed = queue.push(queued("new", "small"))
    assert shed.queued.account == "large"
    assert shed.exceeds_share


def test_lowest_priority_is_refused_first():
    queue = FairQueue(limit=2)
    queue.push(queued("low", "a", priority=1))
    queue.push(queued("high", "a", priority=3))
    assert queue.push(queued("mid", "a", priority=2)).queued.request_id == "low"
    assert queue.push(queued("lower", "b", priority=1)).queued.request_id == "lower"


def test_request_put_back_is_next():
    queue = FairQueue(limit=4)
    for number in range(2):
        queue.push(queued(f"a{number}", "a"))
        queue.push(queued(f"b{number}", "b"))
    first = queue.pop()
    queue.push_front(first)
    assert [queue.pop().request_id for _ in range(4)] == ["a0", "b0", "a1", "b1"]
