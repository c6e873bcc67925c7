"""Tests of many gateways that divide the rate of one backend server."""

from random import Random

import pytest

from eelgrassdale_gateway.advisories import RateLimiter
from eelgrassdale_gateway.shares import GatewayGroup

WINDOW_SECONDS = 4.0
# The most that a server may get in such a window, of what it named.
FACTOR = 1.5
SLACK = 5
STEP_SECONDS = 0.05


def gateway_names(count):
    return [f"10.0.{number // 250}.{number % 250}:7700" for number in range(count)]


def limiters_of(names, members):
    def limiter(name):
        group = GatewayGroup(own_name=name, members=frozenset(members))
        return RateLimiter(gateway_group=lambda: group)

    return [limiter(name) for name in names]


def send_times(limiters, rate, *, demand, seconds, seed=1):
    """Return when requests are sent, `demand` a second of them in bursts."""
    rng = Random(seed)
    times = []
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        is_busy = int(now / 5) % 2 == 1
        for limiter in rng.sample(limiters, len(limiters)):
            wants = rng.random() < demand * STEP_SECONDS / len(limiters)
            may_send = limiter.next_send_at(("s", 1), rate=rate, now=now) <= now
            if is_busy and wants and may_send:
                limiter.record_send(("s", 1), now=now)
                times.append(now)
    return times


def most_in_window(times):
    return max(
        sum(start <= time < start + WINDOW_SECONDS for time in times) for start in times
    )


@pytest.mark.parametrize("count", [1, 3, 9, 31, 98, 330])
@pytest.mark.parametrize("rate", [0.3, 1.0, 3.3, 12.0, 60.0])
def test_all_gateways_together_keep_the_rate(count, rate):
    """Guards against limits that each gateway keeps by itself only."""
    names = gateway_names(count)
    limiters = limiters_of(names, names)
    times = send_times(limiters, rate, demand=20 * rate + 20, seconds=20)
    assert times
    assert most_in_window(times) <= FACTOR * WINDOW_SECONDS * rate + SLACK


@pytest.mark.parametrize("rate", [1.0, 3.3, 12.0])
def test_gateway_that_stops_is_not_missed_before_its_end(rate):
    """Guards against shares that others take over while they are still used."""
    names = gateway_names(9)
    leaving, staying = names[:1], names[1:]
    limiters = limiters_of(leaving, names) + limiters_of(staying, staying)
    times = send_times(limiters, rate, demand=20 * rate + 20, seconds=20)
    assert most_in_window(times) <= FACTOR * WINDOW_SECONDS * rate + SLACK


@pytest.mark.parametrize("count", [9, 98])
def test_most_of_the_rate_is_used_under_load(count):
    """Guards against a server that gets far less than it can bear."""
    names = gateway_names(count)
    times = send_times(limiters_of(names, names), 10.0, demand=400 * count, seconds=10)
    assert len(times) >= 0.8 * 10.0 * 5


def test_server_that_takes_nothing_is_still_tried_now_and_then():
    """Guards against a server that can never say that its limit has ended."""
    names = gateway_names(9)
    times = send_times(limiters_of(names, names), 0.0, demand=200, seconds=60)
    assert 1 <= len(times) <= 60 * 0.2 + 2


def test_gateway_that_was_frozen_sends_no_burst():
    """Guards against a rate that adds up while a process is paused."""
    (limiter,) = limiters_of(["g"], ["g"])
    limiter.next_send_at(("s", 1), rate=5.0, now=0.0)
    after_freeze = 600.0
    assert limiter.next_send_at(("s", 1), rate=5.0, now=after_freeze) == after_freeze
    limiter.record_send(("s", 1), now=after_freeze)
    next_at = limiter.next_send_at(("s", 1), rate=5.0, now=after_freeze)
    assert next_at == pytest.approx(after_freeze + 0.2)


def test_enormous_rate_of_a_server_raises_no_error():
    """Guards against a dispatch pass that ends by an overflow for its whole service."""
    names = gateway_names(3)
    for limiter in limiters_of(names, names):
        limiter.next_send_at(("s", 1), rate=1e308, now=0.0)
        assert limiter.next_send_at(("s", 1), rate=1e308, now=0.1) == 0.1
