"""Tests of the rate limits of weight transfers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.weights.pacing import (
    BURST_SECONDS,
    AdaptiveLinkShare,
    QueuedTransfer,
    TokenBucket,
    next_transfer,
    region_rate,
)


def waiting(number: int, model: str, priority: int = 1) -> QueuedTransfer:
    """Return a queued transfer of 10 bytes."""
    return QueuedTransfer(number=number, model=model, priority=priority, size=10)


@given(st.lists(st.tuples(st.floats(0, 2), st.integers(1, 500)), max_size=40))
@settings(derandomize=True, max_examples=60)
def test_bytes_never_exceed_rate_and_burst(transfers):
    bucket, now, sent = TokenBucket(rate=100.0), 0.0, 0
    for interval, size in transfers:
        now += interval
        bucket = bucket.refilled(now)
        wait = bucket.seconds_until_free()
        bucket = bucket.refilled(now + wait)
        now += wait
        assert sent <= 100.0 * (now + BURST_SECONDS) + 1e-6
        bucket, sent = bucket.consumed(size), sent + size


def test_higher_priority_goes_first():
    items = {1: waiting(1, "a"), 2: waiting(2, "b", priority=3)}
    assert next_transfer(items, {}).model == "b"


def test_models_of_equal_priority_alternate():
    sent, order = {"a": 0, "b": 0}, []
    items = {n: waiting(n, "a" if n < 4 else "b") for n in range(8)}
    while items:
        item = next_transfer(items, sent)
        del items[item.number]
        sent[item.model] += item.size
        order.append(item.model)
    assert order == ["a", "b"] * 4


def test_probe_delay_lowers_the_share_until_it_ends():
    delay = AdaptiveLinkShare()
    for _ in range(5):
        delay = delay.observed(0.002)
    for _ in range(6):
        delay = delay.observed(0.1)
    assert delay.share < 0.5
    for _ in range(20):
        delay = delay.observed(0.002)
    assert delay.share == 1.0


def test_share_never_reaches_zero():
    delay = AdaptiveLinkShare().observed(0.002)
    for _ in range(100):
        delay = delay.observed(0.5)
    assert delay.share > 0


def test_model_of_lower_priority_gets_a_tenth_of_the_region_link():
    alone = region_rate(total=100.0, agent_count=1, priority=1, other_priorities={})
    lower_priority = region_rate(
        total=100.0, agent_count=1, priority=1, other_priorities={"b": 2}
    )
    assert (alone, lower_priority) == (100.0, 10.0)
