"""Tests that responses are complete or recognisably truncated."""

import http.client
import json

import pytest
import xxhash

from eelgrassdale_entry.tests.harness import AgentScript, FakeAgent, entry_node


def new_agent(name="a1", service="lids", data_centre="n1") -> FakeAgent:
    """Return an agent in the data centre of the entry node."""
    return FakeAgent(name=name, data_centre=data_centre, service=service)


def json_lines(body: bytes) -> list[dict]:
    """Return the JSON lines of a stream."""
    return [json.loads(line) for line in body.splitlines()]


def test_stream_has_all_text_and_its_digest():
    text = ("ñandú é 盖子 " * 900).encode()
    agent = new_agent()
    agent.script = lambda request: AgentScript(text=text)
    with entry_node([agent]) as harness:
        status, headers, body = harness.generate()
    lines = json_lines(body)
    received = "".join(line["text"] for line in lines[:-1]).encode()
    assert status == 200
    assert headers["X-Model-Version"] == "lid-1"
    assert received == text
    assert lines[-1]["end"] is True
    assert lines[-1]["length"] == len(text)
    assert lines[-1]["digest"] == xxhash.xxh3_128_hexdigest(text)


def test_plain_answer_is_returned_unmodified():
    agent = new_agent(service="desk")
    agent.script = lambda request: AgentScript(
        text=b"reserved", http_status=201, headers={"Content-Type": "text/x-order"}
    )
    with entry_node([agent]) as harness:
        status, headers, body = harness.call(path="orders/1%2F2?size=3")
    assert (status, body) == (201, b"reserved")
    assert headers["Content-Type"] == "text/x-order"
    assert headers["X-Result-Code"] == "0"
    assert agent.submitted[0].path == "/orders/1%2F2?size=3"


def test_plain_answer_with_a_status_that_is_none_is_no_response():
    agent = new_agent(service="desk")
    agent.script = lambda request: AgentScript(text=b"whole", http_status=600)
    with entry_node([agent]) as harness:
        status, _, body = harness.call(path="orders/1")
    assert status == 502
    assert b"whole" not in body


def test_large_plain_answer_is_whole():
    text = bytes(range(256)) * 2000
    agent = new_agent(service="desk")
    agent.script = lambda request: AgentScript(text=text)
    with entry_node([agent]) as harness:
        status, _, body = harness.call()
    assert status == 200
    assert body == text


def test_truncated_stream_is_never_well_formed():
    """Guards against a truncated stream that an HTTP client takes for complete."""
    agent = new_agent()
    agent.script = lambda request: AgentScript(corrupt_digest=True)
    with entry_node([agent]) as harness, pytest.raises(http.client.IncompleteRead) as e:
        harness.generate()
    last = json_lines(e.value.partial)[-1]
    assert last["end"] is False
    assert last["code"] == 301


def stray_frames(cursor, agent):
    """Return frames with a wrong incarnation, attempt and offset."""
    script = AgentScript(text=b"XXXX")
    frames = [agent.frame(cursor, b"XXXX", is_last=False, script=script) for _ in "123"]
    frames[0].incarnation = 6
    frames[1].attempt += 1
    frames[2].offset += 3
    return frames


def test_frames_that_do_not_continue_the_answer_are_dropped_and_counted():
    agent = new_agent()
    agent.script = lambda request: AgentScript(text=b"right", extra_frames=stray_frames)
    with entry_node([agent]) as harness:
        _, _, body = harness.generate()
        dropped = harness.counters()["frames_dropped"]
    assert json_lines(body)[0] == {"offset": 0, "text": "right"}
    assert dropped == 3
