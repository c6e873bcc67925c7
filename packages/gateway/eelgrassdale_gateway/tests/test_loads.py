"""Tests of the loads that a gateway knows of backend servers."""

from random import Random

from eelgrassdale_gateway.loads import REPORT_TTL_SECONDS, Load, LoadTracker


def test_sum_over_reports_is_that_of_the_valid_ones():
    """Guards against a running sum that drifts from the reports it sums.

    Reports are replaced, expire and are removed in random order; the sum must always
    equal that of the newest valid report of each peer.
    """
    rng = Random(4)
    loads = LoadTracker()
    reports = {}
    now = 0.0
    for _ in range(2_000):
        now += rng.uniform(0.0, 0.1)
        peer = f"p-{rng.randrange(8)}"
        if rng.random() < 0.1:
            loads.remove_peer(peer)
            reports.pop(peer, None)
        else:
            report = {
                f"s-{number}": Load(
                    requests=rng.randrange(9), tokens=rng.randrange(4_000)
                )
                for number in rng.sample(range(5), rng.randrange(6))
            }
            loads.record_report(peer, report, now=now)
            reports[peer] = (now, report)
        for server in map("s-{}".format, range(5)):
            valid = [
                report[server]
                for received_at, report in reports.values()
                if now - received_at <= REPORT_TTL_SECONDS and server in report
            ]
            assert loads.server_load(server, now=now) == sum(valid, Load())


def test_state_of_servers_that_are_gone_is_dropped():
    """Guards against tables that grow with every backend server ever listed."""
    loads = LoadTracker()
    loads.record_end(loads.record_send("gone", tokens=1, now=0.0))
    loads.record_report("p", {"gone": Load(requests=1)}, now=0.0)
    loads.retain({"kept"})
    loads.server_load("kept", now=2 * REPORT_TTL_SECONDS)
    assert not loads._recent_sends
    assert not loads._reported_totals
