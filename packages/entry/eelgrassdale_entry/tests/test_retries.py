"""Tests of retries, resumed streams and refusals."""

import json

from eelgrassdale.catalog import DataCentre, DataCentreState
from eelgrassdale.results import ResultCode
from eelgrassdale_entry.tests.harness import (
    AgentScript,
    FakeAgent,
    configuration,
    entry_node,
    wait_until,
)

TEXT = "una tapa para la olla, ñandú ".encode() * 40


def lid_agents() -> list[FakeAgent]:
    """Return two agents of the model service, the first one nearer."""
    return [
        FakeAgent(name="near", data_centre="n1", service="lids"),
        FakeAgent(name="far", data_centre="s1", service="lids"),
    ]


def error_body(answer) -> dict:
    """Return the body of an error answer."""
    return json.loads(answer[2])


def test_refusal_that_did_not_run_is_sent_to_another_server(node):
    node.agent("desk-near").script = lambda request: AgentScript(
        code=int(ResultCode.LEAVING)
    )
    status, _, _ = node.call("desk")
    assert status == 200
    assert len(node.agent("desk-far").submitted) == 1


def test_lost_non_idempotent_call_is_sent_once_and_may_have_run(node):
    for name in ("desk-near", "desk-far"):
        node.agent(name).script = lambda request: AgentScript(fail_submit=True)
    answer = node.call("desk")
    sent = node.agent("desk-near").submitted + node.agent("desk-far").submitted
    assert error_body(answer)["name"] == "OUTCOME_UNKNOWN"
    assert error_body(answer)["ran"] == "may have run"
    assert len(sent) == 1


def test_lost_idempotent_call_is_cancelled_and_sent_again(node):
    node.agent("portal-near").script = lambda request: AgentScript(fail_submit=True)
    status, _, _ = node.call("portal")
    assert status == 200
    wait_until(lambda: node.agent("portal-near").cancelled)


def test_final_refusal_is_not_sent_again(node):
    agents = [node.agent("desk-near"), node.agent("desk-far")]
    for agent in agents:
        agent.script = lambda request: AgentScript(
            code=int(ResultCode.REQUEST_TOO_LARGE)
        )
    answer = node.call("desk")
    assert error_body(answer)["name"] == "REQUEST_TOO_LARGE"
    assert sum(len(agent.submitted) for agent in agents) == 1


def test_request_past_its_deadline_is_refused_without_running(node):
    agents = [node.agent("portal-near"), node.agent("portal-far")]
    for agent in agents:
        agent.slots = 0
    table = node.node.dispatcher._agents
    table.request_headroom("portal")
    wait_until(
        lambda: all(table.get(a.name).headroom["portal"].slots == 0 for a in agents)
    )
    answer = node.call("portal", headers={"X-Deadline-Ms": "300"})
    assert error_body(answer)["name"] == "DEADLINE_PASSED"
    assert not any(agent.submitted for agent in agents)


def test_stream_continues_on_another_server_at_the_exact_offset():
    agents = lid_agents()
    agents[0].script = lambda request: AgentScript(text=TEXT, stop_at=333)
    agents[1].script = lambda request: AgentScript(text=TEXT)
    with entry_node(agents) as node:
        sock = node.open_stream()
        received = b""
        while b'"offset": 0' not in received:
            received += sock.recv(65536)
        agents[0].stop()
        while part := sock.recv(65536):
            received += part
        violations = node.counters()["violations"]
    resumed = agents[1].submitted[0]
    assert resumed.resume_offset == 333 == len(resumed.resume_text.encode())
    assert resumed.model_version == "lid-1"
    assert received.endswith(b"\r\n0\r\n\r\n")
    assert b'"end": true' in received
    assert violations == 0


def test_stream_breaks_when_no_server_has_its_version():
    agents = lid_agents()
    agents[0].script = lambda request: AgentScript(text=TEXT, stop_at=333)
    agents[1].model_version = "lid-2"
    with entry_node(agents) as node:
        sock = node.open_stream()
        received = sock.recv(65536)
        while b'"offset": 0' not in received:
            received += sock.recv(65536)
        agents[0].stop()
        while part := sock.recv(65536):
            received += part
    assert not agents[1].submitted
    assert b'"code": 301' in received
    assert not received.endswith(b"0\r\n\r\n")


def test_stopped_agent_gets_no_new_work():
    agents = lid_agents()
    with entry_node(agents) as node:
        agents[0].stop()
        answers = [node.generate()[0] for _ in range(6)]
        retries = node.counters()["retries"]
    assert answers == [200] * 6
    assert retries <= 1


def test_data_centre_that_is_out_gets_no_new_work():
    agents = lid_agents()
    out = {
        name: DataCentre(
            name=name,
            region=name[:1],
            state=DataCentreState.OUT if name == "n1" else DataCentreState.IN_SERVICE,
        )
        for name in ("n1", "n2", "s1")
    }
    with entry_node(agents) as node:
        node.apply_configuration(configuration(agents, generation=2, data_centres=out))
        answers = [node.generate()[0] for _ in range(3)]
        entries = json.loads(node.request("GET", "/v1/entries")[2])["entries"]
        violations = node.counters()["violations"]
    assert answers == [200] * 3
    assert not agents[0].submitted
    assert entries == []
    assert violations == 0


def test_service_without_servers_is_refused_before_its_deadline():
    with entry_node([]) as node:
        answer = node.generate()
    assert error_body(answer)["name"] == "NO_BACKEND_SERVER"
