"""Tests of a gateway's routing state and of its list of backend servers."""

from hypothesis import given
from hypothesis import strategies as st

from eelgrassdale.clock import ManualClock
from eelgrassdale.pauses import PauseDetector
from eelgrassdale_gateway import routingstate
from eelgrassdale_gateway.model import BackendServer, RouteTable
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.serverlist import ServerList


def server(name, port=1):
    return BackendServer(
        id=name, service="m", address=("h", port), data_centre="", region=""
    )


def test_configuration_never_goes_back():
    routing_state = RoutingState(version_grace_seconds=5.0, start_grace=2.0)
    assert routing_state.apply_table(RouteTable(version=7))
    assert not routing_state.apply_table(RouteTable(version=3))
    assert routing_state.table.version == 7


def test_older_versions_may_serve_until_the_grace_of_each_newer_one_ends():
    routing_state = RoutingState(version_grace_seconds=5.0, start_grace=2.0)
    routing_state.set_target_versions({"m": 1}, now=0.0)
    routing_state.set_target_versions({"m": 2}, now=10.0)
    routing_state.set_target_versions({"m": 3}, now=13.0)
    required = [
        routing_state.required_version("m", now) for now in (1.0, 2.0, 15.0, 18.0)
    ]
    assert required == [0, 1, 2, 3]


def test_first_list_that_arrives_late_does_not_prolong_the_grace():
    """Guards against a grace that counts from the first list of a new process.

    After a restart of many gateways the list came 2 s late, and requests began on a
    version that might no longer serve.
    """
    routing_state = RoutingState(
        version_grace_seconds=5.0, start_grace=2.0, started_at=100.0
    )
    routing_state.set_target_versions({"m": 3}, now=101.5)
    assert routing_state.required_version("m", 101.9) == 0
    assert routing_state.required_version("m", 102.0) == 3
    late = RoutingState(version_grace_seconds=5.0, start_grace=2.0, started_at=100.0)
    late.set_target_versions({"m": 3}, now=104.0)
    assert late.required_version("m", 104.0) == 3


def test_target_seen_after_a_pause_is_mandatory_as_if_set_at_its_start():
    """Guards against a grace that counts from the end of a pause.

    A gateway that was frozen for 4 s sent requests to an old version for 4 s
    longer than allowed.
    """
    clock = ManualClock()
    pauses = PauseDetector(clock=clock)
    routing_state = RoutingState(version_grace_seconds=7.0, start_grace=1.0)
    routing_state.set_target_versions({"m": 1}, now=0.0)
    for _ in range(10):
        clock.advance(seconds=0.2)
        pauses.record_tick()
    clock.advance(seconds=4.0)
    now = clock.monotonic()
    routing_state.set_target_versions(
        {"m": 2}, now=now, staleness_seconds=pauses.stale_event_seconds()
    )
    assert routing_state.required_version("m", now + 2.9) == 1
    assert routing_state.required_version("m", now + 3.1) == 2


def test_target_seen_long_after_a_pause_has_its_whole_grace():
    clock = ManualClock()
    pauses = PauseDetector(clock=clock)
    clock.advance(seconds=4.0)
    pauses.record_tick()
    for _ in range(15):
        clock.advance(seconds=0.2)
        pauses.record_tick()
    assert pauses.stale_event_seconds() == 0.0


def test_lapsed_entries_count_until_servers_could_write_them_again():
    """Leases expire while the store is unavailable, although the servers are live."""
    servers = ServerList()
    servers.update({"a": server("a"), "b": server("b", 2)}, now=0.0)
    servers.record_store_recovery(4.0, now=10.0)
    assert set(servers.update({}, now=10.0)) == {"a", "b"}
    assert set(servers.update({"a": server("a")}, now=11.0)) == {"a", "b"}
    assert set(servers.current(now=12.6)) == {"a"}


def test_entry_that_vanishes_in_steady_state_is_gone_at_once():
    servers = ServerList()
    servers.update({"a": server("a")}, now=0.0)
    servers.record_store_recovery(0.2, now=5.0)
    assert servers.update({}, now=5.1) == {}


def test_lapsed_entry_gives_way_to_another_server_at_its_address():
    servers = ServerList()
    servers.update({"a": server("a")}, now=0.0)
    servers.record_store_recovery(4.0, now=10.0)
    assert set(servers.update({"b": server("b")}, now=10.0)) == {"b"}


@given(
    st.lists(
        st.tuples(st.integers(1, 9), st.floats(0.0, 4.0), st.floats(0.0, 6.0)),
        max_size=12,
    )
)
def test_targets_that_are_dropped_decide_nothing(steps):
    """Guards against an older version that may serve again as targets are dropped."""
    state = RoutingState(version_grace_seconds=5.0, start_grace=1.0)
    now, targets = 0.0, []
    for version, seconds, staleness in steps:
        now += seconds
        state.set_target_versions({"m": version}, now, staleness_seconds=staleness)
        if not targets or version > targets[-1].version:
            targets.append(state._targets["m"][-1])
        for later in (0.0, 0.4, 0.6, 3.0, 9.0):
            at = now + later
            mandatory = [t.version for t in targets if t.mandatory_at <= at]
            assert state.required_version("m", at) == (mandatory or [0])[-1]
            for loaded in range(10):
                ends = [t.mandatory_at + 0.5 for t in targets if t.version > loaded]
                may_start = at < min(ends, default=float("inf"))
                assert (at < state.latest_start("m", loaded)) == may_start


def test_targets_of_all_models_ever_named_are_not_kept(monkeypatch):
    monkeypatch.setattr(routingstate, "MAX_UNLISTED_MODELS", 3)
    state = RoutingState(version_grace_seconds=5.0, start_grace=1.0)
    for number in range(50):
        versions = {"m": number, f"m-{number}": 1}
        state.set_target_versions(versions, now=10.0 * number)
    assert list(state._targets) == ["m", "m-46", "m-47", "m-48", "m-49"]
    assert [t.version for t in state._targets["m"]] == [48, 49]
