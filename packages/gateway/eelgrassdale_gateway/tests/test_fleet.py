"""Tests of a gateway's routing state and of its list of backend servers."""

from eelgrassdale.clock import ManualClock
from eelgrassdale.pauses import PauseDetector
from eelgrassdale_gateway.fleet import Fleet
from eelgrassdale_gateway.model import BackendServer, RouteTable
from eelgrassdale_gateway.serverlist import ServerList


def server(name, port=1):
    return BackendServer(
        id=name, service="m", address=("h", port), data_centre="", region=""
    )


def test_configuration_never_goes_back():
    fleet = Fleet(grace=5.0, start_grace=2.0)
    assert fleet.offer_table(RouteTable(version=7))
    assert not fleet.offer_table(RouteTable(version=3))
    assert fleet.table.version == 7


def test_older_versions_may_serve_until_the_grace_of_each_newer_one_ends():
    fleet = Fleet(grace=5.0, start_grace=2.0)
    fleet.set_named_versions({"m": 1}, now=0.0)
    fleet.set_named_versions({"m": 2}, now=10.0)
    fleet.set_named_versions({"m": 3}, now=13.0)
    required = [fleet.required_version("m", now) for now in (1.0, 2.0, 15.0, 18.0)]
    assert required == [0, 1, 2, 3]


def test_version_heard_of_after_a_pause_binds_as_if_named_at_its_start():
    """Guards against a grace that counts from the end of a pause.

    A gateway that was frozen for 4 s sent requests to an old version for 4 s
    longer than allowed.
    """
    clock = ManualClock()
    pauses = PauseDetector(clock=clock)
    fleet = Fleet(grace=7.0, start_grace=1.0)
    fleet.set_named_versions({"m": 1}, now=0.0)
    for _ in range(10):
        clock.advance(seconds=0.2)
        pauses.beat()
    clock.advance(seconds=4.0)
    now = clock.monotonic()
    fleet.set_named_versions({"m": 2}, now=now, unaware=pauses.unaware_seconds())
    assert fleet.required_version("m", now + 2.9) == 1
    assert fleet.required_version("m", now + 3.1) == 2


def test_version_heard_of_long_after_a_pause_has_its_whole_grace():
    clock = ManualClock()
    pauses = PauseDetector(clock=clock)
    clock.advance(seconds=4.0)
    pauses.beat()
    for _ in range(15):
        clock.advance(seconds=0.2)
        pauses.beat()
    assert pauses.unaware_seconds() == 0.0


def test_lapsed_entries_count_until_servers_could_write_them_again():
    """Leases expire while the store is unavailable, although the servers are live."""
    servers = ServerList()
    servers.update({"a": server("a"), "b": server("b", 2)}, now=0.0)
    servers.store_returned(4.0, now=10.0)
    assert set(servers.update({}, now=10.0)) == {"a", "b"}
    assert set(servers.update({"a": server("a")}, now=11.0)) == {"a", "b"}
    assert set(servers.current(now=12.6)) == {"a"}


def test_entry_that_vanishes_in_steady_state_is_gone_at_once():
    servers = ServerList()
    servers.update({"a": server("a")}, now=0.0)
    servers.store_returned(0.2, now=5.0)
    assert servers.update({}, now=5.1) == {}


def test_lapsed_entry_gives_way_to_another_server_at_its_address():
    servers = ServerList()
    servers.update({"a": server("a")}, now=0.0)
    servers.store_returned(4.0, now=10.0)
    assert set(servers.update({"b": server("b")}, now=10.0)) == {"b"}
