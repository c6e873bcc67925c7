"""Tests of a service that is short of capacity, on the load model.

Each load is played by several gateways with their own queues and their late view of
the others. The bounds are those of docs/design/requirements.md, part 4.
"""

from collections import Counter
from functools import cache

import pytest
from structlog.testing import capture_logs

from eelgrassdale_gateway.tests.overloadmodel import Deployment, Kind

# Seconds of a play at which the overload begins and ends, and the end of the play.
BEGIN, END, LAST = 5.0, 15.0, 25.0
MAX_LEAD_OF_LESS_URGENT = 0.05


def kinds(deployment, load, **changes):
    """Return a chat, a search and letters at a fraction of the capacity."""
    capacity = load * deployment.capacity
    rows = (("chat", 0, 0.4, 0.4), ("search", 1, 0.6, 0.2), ("letters", 2, 1.0, 0.4))
    return [
        Kind(name=name, priority=p, objective=objective, rate=share * capacity)
        for name, p, objective, share in rows
    ]


def burst(kinds, factor, priorities=(0, 1, 2)):
    """Return the kinds with more callers between `BEGIN` and `END`."""

    def with_burst(kind):
        def rate(at):
            return kind.rate * (factor if BEGIN <= at < END else 1)

        return kind.with_(rate=rate) if kind.priority in priorities else kind

    return [with_burst(kind) for kind in kinds]


def third_lost():
    deployment = Deployment()
    deployment.play(kinds(deployment, 0.85), seconds=END, losses=("s-0", "s-1"))
    return deployment


def doubled(**changes):
    deployment = Deployment()
    callers = [kind.with_(**changes) for kind in kinds(deployment, 0.75)]
    deployment.play(burst(callers, 2), seconds=LAST)
    return deployment


def least_urgent_burst():
    deployment = Deployment()
    deployment.play(burst(kinds(deployment, 0.7), 5, {2}), seconds=LAST)
    return deployment


def most_urgent_burst():
    deployment = Deployment()
    deployment.play(burst(kinds(deployment, 0.7), 5, {0}), seconds=LAST)
    return deployment


def unequal_engines():
    deployment = Deployment(slots=(24, 24, 12, 6, 6))
    deployment.play(burst(kinds(deployment, 0.6), 2.5), seconds=LAST)
    return deployment


def fleet(gateways):
    deployment = Deployment(gateways=gateways, slots=(12,) * 26)
    lost = [f"s-{number}" for number in range(9)]
    deployment.play(kinds(deployment, 0.85), seconds=END, losses=lost)
    return deployment


# Names without blanks, so that KNOWN-RED.txt can list a test by its load.
LOADS = {
    "a-third-of-the-engines-lost": third_lost,
    "traffic-doubled": doubled,
    "burst-of-the-least-urgent": least_urgent_burst,
    "burst-of-the-most-urgent": most_urgent_burst,
    "traffic-doubled-retries-at-once": lambda: doubled(retries_at_once=True),
    "engines-of-unequal-size": unequal_engines,
    "34-gateways-a-third-of-the-engines-lost": lambda: fleet(34),
    "62-gateways-a-third-of-the-engines-lost": lambda: fleet(62),
}
BURSTS = [name for name in LOADS if "lost" not in name]


@cache
def played(load):
    return LOADS[load]()


@pytest.mark.parametrize("load", LOADS)
def test_more_urgent_requests_are_served_no_worse(load):
    """Guards against a chat with a short objective that loses to letters.

    A request that could no longer meet its objective lost its priority.
    """
    shares = played(load).summary(since=BEGIN, until=END)
    for measure in ("in_time", "served"):
        chat, search, letters = (
            shares[name][measure] for name in ("chat", "search", "letters")
        )
        assert chat >= max(search, letters) - MAX_LEAD_OF_LESS_URGENT, measure
        assert search >= letters - MAX_LEAD_OF_LESS_URGENT, measure


@pytest.mark.parametrize("load", LOADS)
def test_nobody_waits_long_for_a_refusal(load):
    """Guards against callers that wait for seconds and are refused then."""
    waits = [wait for o in played(load).outcomes for wait in o.refusal_waits]
    assert max(waits, default=0.0) <= 1 / 8


@pytest.mark.parametrize("load", BURSTS)
def test_service_is_back_in_time_three_seconds_after_a_burst(load):
    """Guards against late streams that hold the slots of others for long."""
    shares = played(load).summary(since=END + 3, until=LAST)
    assert min(share["in_time"] for share in shares.values()) >= 0.9


@pytest.mark.parametrize("load", LOADS)
def test_responses_in_time_use_the_capacity(load):
    """Guards against slots that serve late requests, or none."""
    deployment = played(load)
    seconds = END - BEGIN
    in_time = sum(BEGIN <= at < END for at, _ in deployment.in_time)
    assert in_time >= 0.9 * deployment.capacity * seconds


def test_few_sends_of_many_gateways_are_rejected_as_full():
    """Guards against gateways that all choose the slot that all see as free.

    Engines rejected 1,435 of 12,298 sends of 62 gateways.
    """
    for gateways in (34, 62):
        counts = played(f"{gateways}-gateways-a-third-of-the-engines-lost").counts
        assert counts["rejected"] <= 0.02 * counts["sends"]


def test_spare_capacity_changes_nothing():
    """Guards against refusals and late requests in calm."""
    deployment = Deployment()
    with capture_logs() as logs:
        deployment.play(kinds(deployment, 0.6), seconds=END)
    assert not any(o.refusal_waits for o in deployment.outcomes)
    assert len(deployment.in_time) >= 0.99 * len(deployment.outcomes)
    assert not [line for line in logs if line["event"].startswith("overload")]


def test_service_without_competing_priorities_is_served_as_before():
    """Guards against early refusals where no request is more urgent than others.

    A quiet day of a deployment with one priority had refusals.
    """
    deployment = Deployment(priorities=(1,))
    callers = [kind.with_(priority=1) for kind in kinds(deployment, 0.75)]
    with capture_logs() as logs:
        deployment.play(burst(callers, 2), seconds=LAST)
    assert not [line for line in logs if line["event"].startswith("overload")]
    first_refusal = min(w for o in deployment.outcomes for w in o.refusal_waits)
    assert first_refusal > 1 / 8


def test_begin_and_end_of_an_overload_are_logged_once_at_each_gateway():
    deployment = Deployment()
    callers = burst(kinds(deployment, 0.6), 2.5)
    with capture_logs() as logs:
        deployment.play(callers, seconds=LAST)
    events = Counter(line["event"] for line in logs)
    assert events["overload began"] == events["overload ended"]
    assert 0 < events["overload began"] <= 8


@pytest.mark.parametrize(
    "changes",
    [{"tokens": 2_600}, {"output": 180}, {"account": "other"}, {"gateways": range(2)}],
    ids=["long prompt", "long response", "account", "data centre"],
)
def test_nobody_of_a_priority_is_starved(changes):
    """Guards against requests that always go behind others of their priority."""
    deployment = Deployment()
    common, *_ = burst(kinds(deployment, 0.35), 5, {0})
    callers = [common, common.with_(name="special", **changes)]
    deployment.play(callers, seconds=END)
    shares = deployment.summary(since=BEGIN, until=END)
    assert shares["special"]["served"] >= shares["chat"]["served"] / 4
