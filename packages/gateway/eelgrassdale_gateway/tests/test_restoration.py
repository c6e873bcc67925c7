"""Tests of what a gateway keeps when the store is restored from an older copy."""

import pytest

from eelgrassdale_gateway import restoration
from eelgrassdale_gateway.eras import Position
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.restoration import DataCentreMemory, ServerMemory
from eelgrassdale_gateway.serverlist import RETENTION_SECONDS, ServerList

READY, DRAINING = "ready", "draining"


def server(name, state=READY, *, revision=1, start=0):
    return BackendServer(
        id=name,
        service="m",
        address=(name, 1),
        data_centre="",
        region="",
        revision=revision,
        started_at_ms=start,
        is_leaving=state == DRAINING,
    )


def apply(memory, position, *servers):
    """Apply a listing, and return the states by id."""
    present = memory.update({s.id: s for s in servers}, Position(*position))
    return {
        name: DRAINING if shown.is_leaving else READY for name, shown in present.items()
    }


def memory_of(*listings):
    """Return a memory after listings in era 0."""
    memory = ServerMemory()
    for revision, servers in enumerate(listings, start=1):
        apply(memory, (0, revision), *servers)
    return memory


def test_draining_server_stays_draining_in_all_later_eras():
    """Guards against new requests for a server that an older copy lists as ready."""
    memory = memory_of([server("a", DRAINING)])
    for position in ((1, 1), (1, 9), (2, 5)):
        assert apply(memory, position, server("a", revision=9)) == {"a": DRAINING}
    assert apply(memory, (2, 6), server("a", start=7)) == {"a": READY}


def test_server_that_was_draining_when_it_left_stays_draining():
    """Guards against new requests for it as its entry is written again."""
    memory = memory_of([server("a", DRAINING)], [])
    assert apply(memory, (1, 5), server("a")) == {}
    assert apply(memory, (1, 6), server("a", revision=6)) == {"a": DRAINING}


def test_server_whose_drain_was_cancelled_is_ready():
    """Guards against a deployment without eras that does not behave as before."""
    memory = memory_of([server("a", DRAINING)], [server("a")])
    assert apply(memory, (1, 5), server("a")) == {"a": READY}
    assert apply(memory, (1, 6), server("a", DRAINING)) == {"a": DRAINING}
    assert apply(memory, (1, 7), server("a")) == {"a": READY}


@pytest.mark.parametrize(
    ("entry", "is_present"),
    [
        (server("a"), False),
        (server("a", revision=5), False),
        (server("a", revision=6), True),
        (server("a", DRAINING), True),
        (server("a", start=7), True),
    ],
)
def test_removed_server_stays_removed_until_its_entry_changes(entry, is_present):
    """Guards against requests to a server that left, which an older copy lists."""
    memory = memory_of([server("a")], [])
    assert apply(memory, (1, 5), server("a")) == {}
    assert ("a" in apply(memory, (1, 8), entry)) is is_present


def test_removed_server_that_is_added_anew_is_present():
    """Guards against a server that stays hidden after its entry is written anew."""
    memory = memory_of([server("a")], [])
    assert apply(memory, (1, 5), server("a")) == {}
    assert apply(memory, (1, 6)) == {}
    assert apply(memory, (1, 7), server("a", revision=7)) == {"a": READY}
    memory = memory_of([server("a")], [], [server("a")])
    assert apply(memory, (1, 5), server("a")) == {"a": READY}


def test_server_stays_removed_over_two_restorations():
    """Guards against a memory that lasts for one restoration only."""
    memory = memory_of([server("a")], [])
    for position in ((1, 5), (2, 3)):
        assert apply(memory, position, server("a")) == {}


def test_restarted_server_does_not_go_back_to_its_earlier_incarnation():
    """Guards against requests to an incarnation that has ended."""
    memory = memory_of([server("a", start=1)], [server("a", start=2)])
    assert apply(memory, (1, 5), server("a", start=1)) == {}


def test_oldest_removed_server_is_evicted_first(monkeypatch):
    """Guards against a memory that grows with each server that ever was."""
    monkeypatch.setattr(restoration, "MAX_REMEMBERED", 2)
    names = "abc"
    memory = memory_of(*([server(name)] for name in names), [])
    listed = apply(memory, (1, 1), *map(server, names))
    assert listed == {"a": READY}


def test_server_that_the_older_copy_lacks_is_retained():
    """Guards against dropping servers that started since, until they write again."""
    servers = ServerList()
    for name, position, now in (("ab", (0, 5), 0.0), ("a", (1, 4), 10.0)):
        listed = {n: server(n) for n in name}
        present = servers.update(listed, now=now, position=Position(*position))
    assert sorted(present) == ["a", "b"]
    assert sorted(servers.current(now=10.0 + RETENTION_SECONDS)) == ["a"]


def test_retained_server_is_the_newest_incarnation():
    """Guards against falling back to the incarnation that the older copy lists."""
    servers = ServerList()
    for start, position in ((1, (0, 5)), (2, (0, 6)), (1, (1, 5))):
        listed = {"a": server("a", start=start)}
        present = servers.update(listed, now=0.0, position=Position(*position))
    assert present["a"].started_at_ms == 2


def out_of_service(*steps):
    """Return the data centres out of service after each step.

    A step has the listed names, the era and the time; each era was noticed at time 10.
    """
    memory = DataCentreMemory()
    return [
        "".join(sorted(memory.update(frozenset(names), era=era, noticed_at=10, now=at)))
        for names, era, at in steps
    ]


def test_data_centre_missing_in_the_older_copy_stays_out_for_a_while():
    """Guards against requests to a data centre before operators rewrite its entry."""
    steps = [("ab", 0, 0), ("a", 1, 11), ("a", 1, 14.9), ("a", 1, 15)]
    assert out_of_service(*steps) == ["ab", "ab", "ab", "a"]


def test_data_centre_whose_entry_appears_and_is_removed_is_in_service():
    """Guards against a data centre that stays out although operators returned it."""
    steps = [("a", 0, 0), ("", 1, 11), ("a", 1, 12), ("", 1, 13)]
    assert out_of_service(*steps) == ["a", "a", "a", ""]


def test_data_centre_removed_in_the_same_era_is_in_service_at_once():
    """Guards against a deployment without eras that does not behave as before."""
    assert out_of_service(("a", 0, 10), ("", 0, 11)) == ["a", ""]


def test_expiry_of_a_missing_entry_is_announced():
    """Guards against a data centre that stays out until the next change."""
    memory = DataCentreMemory()
    memory.update(frozenset("a"), era=0, noticed_at=0.0, now=0.0)
    assert memory.seconds_until_expiry(now=0.0) is None
    memory.update(frozenset(), era=1, noticed_at=10.0, now=11.0)
    assert memory.seconds_until_expiry(now=12.0) == 3.0
    assert memory.seconds_until_expiry(now=15.0) is None
