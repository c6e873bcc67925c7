"""Tests of the dispatcher's table of agents."""

from attrs import evolve

from eelgrassdale.clock import ManualClock
from eelgrassdale.identity import Role
from eelgrassdale.membership.members import Member
from eelgrassdale.routing.choice import Location
from eelgrassdale_entry.agents import UNUSED_LINK_KEEP_SECONDS, AgentTable


class FakeLink:
    """A link that only records whether it was closed."""

    def __init__(self, _name: str, address: str) -> None:
        self.address = address
        self.is_closed = False

    def start(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Record the call."""
        self.is_closed = True


def test_link_is_closed_after_the_address_changed_during_a_request():
    """Guards against a link that stays open because its count of requests is negative.

    The end of a request that was sent on the earlier link was subtracted from the
    requests of the new one.
    """
    clock = ManualClock()
    table = AgentTable(
        node="e",
        location=Location(data_centre="a", region="n"),
        clock=clock,
        new_link=FakeLink,
    )
    member = Member(
        name="d", role=Role.BACKEND, data_centre="a", region="n", node_address="h:1"
    )
    table.record_sent(table.ensure_link(member), "r-1", 0)
    agent = table.ensure_link(evolve(member, node_address="h:2"))
    agent.in_flight.discard("r-1")
    clock.advance(seconds=2 * UNUSED_LINK_KEEP_SECONDS)
    table.close_unused()
    assert agent.link.is_closed
    assert table.get("d") is None
