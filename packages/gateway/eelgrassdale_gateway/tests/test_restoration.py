"""Tests of what a gateway keeps when the store is restored from an older copy."""

import pytest

from eelgrassdale_gateway import restoration
from eelgrassdale_gateway.eras import Position
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.restoration import DataCentreMemory, ServerMemory
from eelgrassdale_gateway.serverlist import RETENTION_SECONDS, ServerList


def server(name="a", state="ready", *, revision=1, start=0):
    return BackendServer(
        id=name,
        service="m",
        address=(name, 1),
        data_centre="",
        region="",
        revision=revision,
        started_at_ms=start,
        is_leaving=state == "draining",
    )


def states(memory, position, *servers):
    """Apply a listing; return the servers, in capitals if they drain."""
    present = memory.update({s.id: s for s in servers}, Position(*position))
    shown = [s.id.upper() if s.is_leaving else s.id for s in present.values()]
    return "".join(shown)


READY, DRAINING, ANEW = server(), server(state="draining"), server(revision=9)
# Each step is a position, the listed servers and the expected ones. In each case, the
# gateway would send requests to a server that leaves, or none to one that does not.
SERVER_CASES = {
    "draining server stays draining in all later eras": (
        [(0, 1), [DRAINING], "A"],
        [(1, 1), [READY], "A"],
        [(1, 9), [ANEW], "A"],
        [(2, 5), [READY], "A"],
        [(2, 6), [server(start=7)], "a"],
    ),
    "server that was draining when it left stays draining": (
        [(0, 1), [DRAINING], "A"],
        [(0, 2), [], ""],
        [(1, 5), [READY], ""],
        [(1, 9), [ANEW], "A"],
    ),
    "drain may be cancelled within an era, as before": (
        [(0, 1), [DRAINING], "A"],
        [(0, 2), [READY], "a"],
        [(1, 5), [READY], "a"],
        [(1, 6), [DRAINING], "A"],
        [(1, 7), [READY], "a"],
    ),
    "removed server that is added anew is present": (
        [(0, 1), [READY], "a"],
        [(0, 2), [], ""],
        [(1, 5), [READY], ""],
        [(1, 6), [], ""],
        [(1, 9), [ANEW], "a"],
    ),
    "server that was removed and added before is present": (
        [(0, 1), [READY], "a"],
        [(0, 2), [], ""],
        [(0, 3), [READY], "a"],
        [(1, 2), [READY], "a"],
    ),
    "server stays removed over two restorations": (
        [(0, 1), [READY], "a"],
        [(0, 2), [], ""],
        [(1, 5), [READY], ""],
        [(2, 3), [READY], ""],
    ),
    "restarted server does not go back to its earlier incarnation": (
        [(0, 1), [READY], "a"],
        [(0, 2), [server(start=2)], "a"],
        [(1, 5), [READY], ""],
    ),
}


@pytest.mark.parametrize("case", SERVER_CASES.values(), ids=SERVER_CASES)
def test_servers_over_eras(case):
    memory = ServerMemory()
    for position, listed, expected in case:
        assert states(memory, position, *listed) == expected


@pytest.mark.parametrize(
    ("entry", "expected"),
    [
        (READY, ""),
        (server(revision=5), ""),
        (server(revision=6), "a"),
        (DRAINING, "A"),
        (server(start=7), "a"),
    ],
)
def test_removed_server_stays_removed_until_its_entry_changes(entry, expected):
    """Guards against requests to a server that left, which an older copy lists."""
    memory = ServerMemory()
    for position, listed in (((0, 1), [READY]), ((0, 2), []), ((1, 5), [READY])):
        states(memory, position, *listed)
    assert states(memory, (1, 8), entry) == expected


def test_oldest_removed_server_is_evicted_first(monkeypatch):
    """Guards against a memory that grows with each server that ever was."""
    monkeypatch.setattr(restoration, "MAX_REMEMBERED", 2)
    memory = ServerMemory()
    for revision, name in enumerate("abc"):
        states(memory, (0, revision), server(name))
    states(memory, (0, 3))
    assert states(memory, (1, 1), *map(server, "abc")) == "a"


def test_server_that_the_older_copy_lacks_is_retained():
    """Guards against dropping servers that started since, until they write again.

    The older copy lists an earlier incarnation of one of them.
    """
    servers = ServerList()
    for listed, position, now in (
        ([server("a"), server("b")], (0, 5), 0.0),
        ([server("a"), server("b", start=2), server("c")], (0, 6), 0.0),
        ([server("a"), server("b")], (1, 5), 10.0),
    ):
        by_id = {s.id: s for s in listed}
        present = servers.update(by_id, now=now, position=Position(*position))
    assert {s.id: s.started_at_ms for s in present.values()} == {"a": 0, "b": 2, "c": 0}
    assert sorted(servers.current(now=10.0 + RETENTION_SECONDS)) == ["a"]


# Steps of listed names, era, time and the expected names; eras are noticed at 10.
DATA_CENTRE_CASES = {
    "missing in the older copy, it stays out for 5 s": (
        ["ab", 0, 0, "ab"],
        ["a", 1, 11, "ab"],
        ["a", 1, 14.9, "ab"],
        ["a", 1, 15, "a"],
    ),
    "once its entry appears and is removed, it is in service": (
        ["a", 0, 0, "a"],
        ["", 1, 11, "a"],
        ["a", 1, 12, "a"],
        ["", 1, 13, ""],
    ),
    "removed in the same era, it is in service at once": (
        ["a", 0, 10, "a"],
        ["", 0, 11, ""],
    ),
}


@pytest.mark.parametrize("case", DATA_CENTRE_CASES.values(), ids=DATA_CENTRE_CASES)
def test_data_centres_over_eras(case):
    """Guards against requests to a data centre that operators took out of service."""
    memory = DataCentreMemory()
    for names, era, now, expected in case:
        out = memory.update(frozenset(names), era=era, noticed_at=10, now=now)
        assert "".join(sorted(out)) == expected
        is_kept = len(expected) > len(names)
        assert memory.seconds_until_expiry(now=now) == (15 - now if is_kept else None)
