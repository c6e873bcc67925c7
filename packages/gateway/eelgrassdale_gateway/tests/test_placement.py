"""Tests of choosing a backend server for a request."""

from random import Random

import pytest
from attrs import evolve

from eelgrassdale_gateway.loads import Load
from eelgrassdale_gateway.model import BackendServer, EngineProfile, Service
from eelgrassdale_gateway.placement import (
    Candidate,
    has_capacity,
    min_first_event_seconds,
    place,
)

ENGINE = EngineProfile(
    slots=16,
    prefill_tokens_per_second=20_700.0,
    decode_step_seconds=0.00927,
    steps_per_event=5,
)
SERVICE = Service(name="m", engine=ENGINE)
PLAIN = Service(name="p")


def candidate(name, *, requests=0, tokens=0, slots=16, **changes):
    server = BackendServer(
        id=name, service="m", address=("", 0), data_centre="", region="", slots=slots
    )
    load = Load(requests=requests, tokens=tokens)
    return Candidate(server=server, load=load, **changes)


def chosen(candidates, tokens=1000, service=SERVICE, seed=1):
    found = place(
        service=service, candidates=candidates, tokens=tokens, rng=Random(seed)
    )
    return found.server.id if found else None


def test_full_engines_get_no_request():
    assert chosen([candidate("a", requests=17), candidate("b", requests=20)]) is None


def test_engine_with_many_waiting_prompt_tokens_gets_no_further_prompt():
    """Reading the prompts would pause the running streams for too long."""
    assert not has_capacity(SERVICE, candidate("a", requests=2, tokens=5000), 1000)
    assert has_capacity(SERVICE, candidate("a", requests=2, tokens=0), 9000)


def test_the_less_loaded_of_two_is_chosen():
    busy = candidate("a", requests=9, tokens=3000)
    assert chosen([busy, candidate("b", requests=2)]) == "b"


def test_local_engine_is_preferred_unless_a_remote_one_saves_enough_time():
    remote = candidate("far", is_local=False)
    assert chosen([candidate("near", requests=3, tokens=1000), remote]) == "near"
    assert chosen([candidate("near", requests=3, tokens=3000), remote]) == "far"


def test_avoided_server_is_used_only_when_there_is_no_other():
    avoided = candidate("a", is_avoided=True)
    assert chosen([avoided, candidate("b", requests=17)]) is None
    assert chosen([avoided]) == "a"


def test_equal_servers_share_the_requests():
    """All gateways see the same reports and must not all choose the same server."""
    names = [
        chosen([candidate(name) for name in "abcd"], seed=seed) for seed in range(200)
    ]
    assert min(names.count(name) for name in "abcd") > 25


def test_plain_service_takes_a_few_requests_beyond_its_slots():
    assert has_capacity(PLAIN, candidate("a", requests=6, slots=6), 0)
    assert not has_capacity(PLAIN, candidate("a", requests=18, slots=6), 0)


def test_engine_without_a_reading_speed_takes_requests():
    """Guards against a division by zero, which left each request without an answer."""
    engine = evolve(ENGINE, prefill_tokens_per_second=0.0)
    service = Service(name="m", engine=engine)
    assert min_first_event_seconds(service, 1000) == pytest.approx(0.0927)
    assert place(
        service=service, candidates=[candidate("a")], tokens=1000, rng=Random(1)
    )
