"""Fixtures with a running entry node that the tests of a module share."""

import pytest

from eelgrassdale_entry.tests.harness import AgentScript, FakeAgent, Harness, entry_node

AGENTS = (
    ("lid-near", "n1", "lids"),
    ("lid-far", "s1", "lids"),
    ("desk-near", "n1", "desk"),
    ("desk-far", "s1", "desk"),
    ("portal-near", "n1", "portal"),
    ("portal-far", "s1", "portal"),
)


@pytest.fixture(scope="module")
def shared_node() -> Harness:
    """Run an entry node with two agents of each service."""
    agents = [
        FakeAgent(name=name, data_centre=data_centre, service=service)
        for name, data_centre, service in AGENTS
    ]
    with entry_node(agents, slow_reader_seconds=0.5) as harness:
        yield harness


@pytest.fixture
def node(shared_node: Harness) -> Harness:
    """Return the shared entry node, with agents reset so that requests succeed."""
    for agent in shared_node.agents:
        agent.script = lambda request: AgentScript()
        agent.submitted.clear()
        agent.cancelled.clear()
        agent.slots = 8
    yield shared_node
    assert shared_node.counters()["violations"] == 0
