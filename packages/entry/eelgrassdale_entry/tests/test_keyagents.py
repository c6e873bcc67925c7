"""Tests of keyed requests, which run at most once."""

import json

from eelgrassdale.results import ResultCode
from eelgrassdale.routing.keys import IssuedKey, format_key, parse_key
from eelgrassdale_entry import dispatcher
from eelgrassdale_entry.tests.harness import (
    AgentScript,
    FakeAgent,
    entry_node,
    wait_until,
)


def keyed(node, key, service="desk", **headers):
    """Send a keyed call and return status and error body."""
    status, _, body = node.call(service, headers={"Idempotency-Key": key, **headers})
    return status, json.loads(body) if status != 200 else {}


def test_issued_keys_name_agents_that_accept_work(node):
    keys = [parse_key(text).ok for text in node.keys("desk", 8)]
    assert {key.agent for key in keys} == {"desk-near", "desk-far"}
    assert {key.incarnation for key in keys} == {7}
    assert len({key.nonce for key in keys}) == 8


def test_keyed_request_goes_to_its_agent_only(node):
    for text in node.keys("desk", 6):
        assert keyed(node, text)[0] == 200
    for name in ("desk-near", "desk-far"):
        sent = node.agent(name).submitted
        assert {parse_key(request.key).ok.agent for request in sent} == {name}


def test_keyed_request_does_not_wait_for_headroom(node):
    (text,) = node.keys("desk")
    node.agent(parse_key(text).ok.agent).slots = 0
    assert keyed(node, text)[0] == 200


def test_refusal_of_the_agent_is_passed_on(node):
    (text,) = node.keys("desk")
    agent = node.agent(parse_key(text).ok.agent)
    agent.script = lambda request: AgentScript(code=int(ResultCode.KEY_REFUSED))
    _, error = keyed(node, text)
    assert (error["name"], error["ran"]) == ("KEY_REFUSED", "not run")
    assert len(agent.submitted) == 1


def test_lost_answer_may_have_run_and_allows_the_same_key(node):
    (text,) = node.keys("desk")
    agent = node.agent(parse_key(text).ok.agent)
    agent.script = lambda request: AgentScript(fail_submit=True)
    _, error = keyed(node, text)
    assert error["ran"] == "may have run"
    assert error["retry"] == "with the same key, at any entry node"
    assert len(agent.submitted) == 1


def test_key_made_by_the_caller_is_refused(node):
    _, error = keyed(node, "order-4711")
    assert (error["name"], error["ran"]) == ("KEY_NOT_ISSUED", "not run")


def test_key_of_another_service_is_refused(node):
    (text,) = node.keys("desk")
    _, error = keyed(node, text, service="portal")
    assert error["name"] == "KEY_MISMATCH"


def test_local_refusal_never_says_not_run(node):
    """Guards against a false 'not run' for a keyed request.

    Another entry node may already know the client account that this node does not
    know, and may have sent a request with the same key.
    """
    (text,) = node.keys("desk")
    _, error = keyed(node, text, **{"X-Client-Account": "nobody"})
    assert error["name"] == "KEY_UNREACHABLE"
    assert error["ran"] == "may have run"


def test_keys_name_an_agent_as_soon_as_it_reported(monkeypatch):
    """Guards against keys of one agent only after the other had reported too.

    The list of agents for keys was made at intervals, and one made between the
    first reports of two agents lacked the second.
    """
    monkeypatch.setattr(dispatcher, "KEY_AGENTS_REFRESH_SECONDS", 3600.0)
    agents = [
        FakeAgent(name=name, data_centre="n1", service="desk") for name in ("d1", "d2")
    ]
    with entry_node(agents) as node:
        wait_until(
            lambda: (
                {parse_key(text).ok.agent for text in node.keys("desk", 4)}
                == {"d1", "d2"}
            )
        )


def test_key_of_an_unknown_or_stopped_agent_is_unreachable():
    agents = [
        FakeAgent(name=name, data_centre="n1", service="desk") for name in ("d1", "d2")
    ]
    with entry_node(agents) as node:
        issued: dict[str, str] = {}

        def names_both() -> bool:
            keys = node.keys("desk", 4)
            issued.update({parse_key(text).ok.agent: text for text in keys})
            return len(issued) == len(agents)

        wait_until(names_both)
        agents[0].stop()
        stopped = keyed(node, issued["d1"])[1]
        other = IssuedKey(
            service="desk", agent="gone", incarnation=1, expires_at_ms=1, nonce="n"
        )
        unknown = keyed(node, format_key(other))[1]
    assert stopped["name"] == unknown["name"] == "KEY_UNREACHABLE"
    assert agents[1].submitted == []
