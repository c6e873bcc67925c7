"""Tests of what a gateway remembers of its backend servers' words."""

from eelgrassdale_gateway.advisories import Advisory, AdvisoryRegistry, RateLimit
from eelgrassdale_gateway.advisories.state import (
    MAX_UNLISTED,
    RATE_LIMIT_LIFETIME_SECONDS,
    UNLISTED_RETENTION_SECONDS,
)

LEAVING = Advisory(is_leaving=True)


def test_listed_server_leaves_for_as_long_as_it_is_listed():
    """Guards against requests to a server that takes hours to leave."""
    registry = AdvisoryRegistry()
    registry.record(("s", 1), LEAVING, sent_at=0.0, now=0.0)
    for hour in range(10):
        registry.retain({("s", 1)}, now=3600.0 * hour)
    assert registry.is_leaving(("s", 1))


def test_later_response_without_the_header_does_not_end_the_leaving():
    registry = AdvisoryRegistry()
    registry.record(("s", 1), LEAVING, sent_at=0.0, now=0.0)
    registry.record(("s", 1), Advisory(), sent_at=1.0, now=1.0)
    assert registry.is_leaving(("s", 1))


def test_unlisted_servers_are_forgotten_after_a_while():
    registry = AdvisoryRegistry()
    registry.record(("s", 1), LEAVING, sent_at=0.0, now=0.0)
    registry.retain(set(), now=UNLISTED_RETENTION_SECONDS)
    assert registry.is_leaving(("s", 1))
    registry.retain(set(), now=UNLISTED_RETENTION_SECONDS + 1.0)
    assert not registry.is_leaving(("s", 1))


def test_memory_of_unlisted_servers_is_bounded():
    """Guards against memory that grows with each server that was ever replaced."""
    registry = AdvisoryRegistry()
    names = [f"s-{number}" for number in range(2 * MAX_UNLISTED)]
    for number, name in enumerate(names):
        registry.record((name, 1), LEAVING, sent_at=0.001 * number, now=0.001 * number)
    registry.retain({(names[0], 1)}, now=10.0)
    remembered = [name for name in names if registry.is_leaving((name, 1))]
    assert remembered == [names[0], *names[MAX_UNLISTED:]]


def test_change_is_reported_once():
    changes = []
    registry = AdvisoryRegistry(on_change=lambda: changes.append(1))
    for now in (0.0, 1.0, 2.0):
        registry.record(("s", 1), LEAVING, sent_at=now, now=now)
    assert len(changes) == 1


def limited(registry, *, at, rate=4.0):
    registry.record(("s", 1), Advisory(rate_limit=rate), sent_at=at - 0.1, now=at)


def test_response_without_a_limit_ends_it():
    registry = AdvisoryRegistry()
    limited(registry, at=1.0)
    registry.record(("s", 1), Advisory(), sent_at=1.1, now=1.2)
    assert registry.rate_limit(("s", 1), now=1.2) is None


def test_response_to_an_earlier_request_does_not_end_a_limit():
    """Guards against responses on other connections that overtake each other."""
    registry = AdvisoryRegistry()
    limited(registry, at=1.0)
    registry.record(("s", 1), Advisory(), sent_at=0.9, now=1.2)
    assert registry.rate_limit(("s", 1), now=1.2) == 4.0


def test_refusal_without_a_limit_does_not_end_it():
    registry = AdvisoryRegistry()
    limited(registry, at=1.0)
    registry.record(("s", 1), Advisory(is_refusal=True), sent_at=1.1, now=1.2)
    assert registry.rate_limit(("s", 1), now=1.2) == 4.0


def test_newest_limit_is_in_force_however_small_the_change():
    registry = AdvisoryRegistry()
    limited(registry, at=1.0, rate=4.0)
    limited(registry, at=2.0, rate=3.9)
    assert registry.rate_limit(("s", 1), now=2.0) == 3.9


def test_older_news_of_others_do_not_replace_what_was_heard_since():
    registry = AdvisoryRegistry()
    limited(registry, at=2.0)
    ended = RateLimit(incarnation=("s", 1), per_second=None, heard_at=1.0)
    registry.merge(ended, now=2.1)
    assert registry.rate_limit(("s", 1), now=2.1) == 4.0


def test_limit_that_no_gateway_hears_any_more_ends():
    registry = AdvisoryRegistry()
    limited(registry, at=1.0)
    assert registry.rate_limit(("s", 1), now=RATE_LIMIT_LIFETIME_SECONDS) == 4.0
    assert registry.rate_limit(("s", 1), now=RATE_LIMIT_LIFETIME_SECONDS + 2) is None


def test_limit_of_a_server_does_not_bind_its_successor():
    registry = AdvisoryRegistry()
    limited(registry, at=1.0)
    assert registry.rate_limit(("s", 2), now=1.0) is None
