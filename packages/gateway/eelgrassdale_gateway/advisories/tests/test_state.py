"""Tests of what a gateway remembers of its backend servers' words."""

from eelgrassdale_gateway.advisories import Advisory, AdvisoryRegistry
from eelgrassdale_gateway.advisories.state import (
    MAX_UNLISTED,
    UNLISTED_RETENTION_SECONDS,
)

LEAVING = Advisory(is_leaving=True)


def test_listed_server_leaves_for_as_long_as_it_is_listed():
    """Guards against requests to a server that takes hours to leave."""
    registry = AdvisoryRegistry()
    registry.record(("s", 1), LEAVING, now=0.0)
    for hour in range(10):
        registry.retain({("s", 1)}, now=3600.0 * hour)
    assert registry.is_leaving(("s", 1))


def test_later_response_without_the_header_does_not_end_the_leaving():
    registry = AdvisoryRegistry()
    registry.record(("s", 1), LEAVING, now=0.0)
    registry.record(("s", 1), Advisory(), now=1.0)
    assert registry.is_leaving(("s", 1))


def test_unlisted_servers_are_forgotten_after_a_while():
    registry = AdvisoryRegistry()
    registry.record(("s", 1), LEAVING, now=0.0)
    registry.retain(set(), now=UNLISTED_RETENTION_SECONDS)
    assert registry.is_leaving(("s", 1))
    registry.retain(set(), now=UNLISTED_RETENTION_SECONDS + 1.0)
    assert not registry.is_leaving(("s", 1))


def test_memory_of_unlisted_servers_is_bounded():
    """Guards against memory that grows with each server that was ever replaced."""
    registry = AdvisoryRegistry()
    names = [f"s-{number}" for number in range(2 * MAX_UNLISTED)]
    for number, name in enumerate(names):
        registry.record((name, 1), LEAVING, now=0.001 * number)
    registry.retain({(names[0], 1)}, now=10.0)
    remembered = [name for name in names if registry.is_leaving((name, 1))]
    assert remembered == [names[0], *names[MAX_UNLISTED:]]


def test_change_is_reported_once():
    changes = []
    registry = AdvisoryRegistry(on_change=lambda: changes.append(1))
    for now in (0.0, 1.0, 2.0):
        registry.record(("s", 1), LEAVING, now=now)
    assert len(changes) == 1
