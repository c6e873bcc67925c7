"""Tests of runtimes that talk to each other while store and VM list are down."""

import json
import time

import pytest
import structlog

from eelgrassdale.clock import ManualClock
from eelgrassdale.identity import Role
from eelgrassdale.membership.members import MemberState
from eelgrassdale.node import NodeRuntime, new_context
from eelgrassdale.node.peerclient import CONTROL_BYTES_METRIC
from eelgrassdale.node.probing import NO_CONTACT_SECONDS, ContactCheckTask
from eelgrassdale.settings import NodeSettings
from eelgrassdale.spread.tests.test_replica import full_delta
from eelgrassdale.wire import CompareRequest, Envelope, NodeServer, NodeService
from eelgrassdale.wire.tests.test_wire import free_address

UNREACHABLE_URL = "http://127.0.0.1:1"


class NodeHarness:
    """A node runtime with its server, without store or VM list."""

    def __init__(
        self, name, *, role=Role.ENTRY, peers=(), clock=None, data_centre="n-1"
    ):
        self.address = free_address()
        self.cfg = NodeSettings(
            name=name,
            data_centre=data_centre,
            region="n",
            node_address=self.address,
            object_api_url=UNREACHABLE_URL,
            vm_list_url=UNREACHABLE_URL,
            peer=peers,
        )
        self.context = new_context(cfg=self.cfg, role=role, clock=clock)
        self.runtime = NodeRuntime(cfg=self.cfg, context=self.context)
        self.server = NodeServer(
            service=NodeService,
            handler=self.runtime,
            address=self.address,
            on_bytes=self.runtime.count_served_bytes,
        )
        self.server.start()

    def vm_list_entry(self) -> dict:
        """Return the entry of this node in the VM list."""
        return {
            "name": self.cfg.name,
            "role": self.context.identity.role.value,
            "data_centre": self.cfg.data_centre,
            "region": "n",
            "node_address": self.address,
            "caller_address": "",
            "state": "live",
        }

    def stop(self):
        """Stop tasks and server."""
        self.runtime.stop()
        self.server.stop()

    def state_of(self, name) -> MemberState:
        """Return the state of another member here."""
        return self.context.members.current().by_name[name].state


@pytest.fixture
def new_node():
    """Return a function that makes nodes, which are stopped after the test."""
    nodes = []

    def make(name, **options):
        nodes.append(NodeHarness(name, **options))
        return nodes[-1]

    yield make
    for node in nodes:
        node.stop()


def vm_list_of(version, *nodes) -> bytes:
    """Return a VM list of the nodes."""
    vms = [node.vm_list_entry() for node in nodes]
    return json.dumps({"version": version, "vms": vms}).encode()


def wait_for(condition, seconds=20.0) -> bool:
    """Return whether a condition becomes true within `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


def test_node_starts_from_a_peer_while_the_store_is_down(new_node):
    first = new_node("e1")
    first.context.replica.apply_if_newer(full_delta(4, {"a": "x"}))
    first.context.members.apply_vm_list(vm_list_of(1, first))
    second = new_node("a1", role=Role.BACKEND, peers=(first.address,))
    second.runtime.start()
    assert second.runtime.wait_for_configuration(20)
    assert second.context.replica.current().generation == 4
    assert second.context.members.vm_list().version == 1


def test_node_without_any_generation_does_not_serve(new_node):
    node = new_node("e1")
    node.runtime.start()
    assert not node.runtime.wait_for_configuration(0.2)
    assert not node.runtime.may_serve()


def test_change_is_pushed_to_assigned_agents(new_node):
    entry, agent = new_node("e1"), new_node("a1", role=Role.BACKEND)
    entry.context.members.apply_vm_list(vm_list_of(1, entry, agent))
    entry.runtime.start()
    entry.context.replica.apply_if_newer(full_delta(1, {"a": "x"}))
    assert wait_for(lambda: agent.context.replica.current().generation == 1)
    assert wait_for(lambda: agent.context.members.vm_list().version == 1)


def test_comparison_repairs_a_peer_that_is_behind(new_node):
    ahead, behind = new_node("e1"), new_node("e2")
    vm_list = vm_list_of(1, ahead, behind)
    ahead.context.members.apply_vm_list(vm_list)
    ahead.context.replica.apply_if_newer(full_delta(2, {"a": "x"}))
    ahead.runtime.start()
    assert wait_for(lambda: behind.context.replica.current().generation == 2)


def test_stopped_peer_is_found_dead_and_returns(new_node):
    first, second, third = (new_node(f"e{i}") for i in (1, 2, 3))
    vm_list = vm_list_of(1, first, second, third)
    for node in (first, second):
        node.context.members.apply_vm_list(vm_list)
        node.runtime.start()
    third.server.stop()
    assert wait_for(lambda: first.state_of("e3") is MemberState.DEAD)
    restarted = NodeServer(
        service=NodeService, handler=third.runtime, address=third.address
    )
    restarted.start()
    third.server = restarted
    assert wait_for(lambda: first.state_of("e3") is MemberState.ALIVE)


@pytest.mark.parametrize(
    ("own_data_centre", "state"),
    [("n-1", MemberState.ALIVE), ("n-2", MemberState.DEAD)],
)
def test_verdicts_of_other_data_centres_are_ignored_for_own_members(
    new_node, own_data_centre, state
):
    """Guards against a cut-off region that has all members elsewhere declared dead."""
    peer = new_node("e1", data_centre="n-3")
    agent = new_node("a1", role=Role.BACKEND, data_centre="n-1")
    asker = new_node("e2", data_centre=own_data_centre)
    vm_list = vm_list_of(1, peer, agent, asker)
    for node in (peer, asker):
        node.context.members.apply_vm_list(vm_list)
    peer.context.members.record_failure("a1")
    peer.context.members.record_indirect_probe("a1", incarnation=0, started_at=0.0)
    assert asker.runtime._peer_client.compare("e1", peer.address)
    assert asker.state_of("a1") is state


def test_missing_contact_with_the_other_role_is_logged_once(new_node):
    clock = ManualClock()
    node, agent = new_node("e1", clock=clock), new_node("a1", role=Role.BACKEND)
    node.context.members.apply_vm_list(vm_list_of(1, node, agent))
    task = ContactCheckTask(context=node.context)
    with structlog.testing.capture_logs() as logs:
        for _ in range(3):
            clock.advance(seconds=NO_CONTACT_SECONDS)
            task.step()
        node.context.members.record_contact("a1", incarnation=1)
        task.step()
    assert [entry["event"] for entry in logs] == ["no contact", "contact restored"]


def test_pause_stops_serving_until_a_comparison(new_node):
    clock = ManualClock()
    node = new_node("e1", clock=clock)
    node.context.replica.apply_if_newer(full_delta(1, {"a": "x"}))
    node.runtime._initial_sync_done.set()
    node.runtime._ready.set()
    assert node.runtime.may_serve()
    clock.advance(seconds=5)
    assert not node.runtime.may_serve()
    node.runtime._tick()
    assert node.runtime.may_serve()


def test_generation_of_another_content_is_counted_as_violation(new_node):
    node = new_node("e1")
    node.context.replica.apply_if_newer(full_delta(1, {"a": "x"}))
    node.runtime.compare(
        Envelope(sender="", incarnation=1, generation=1),
        CompareRequest(generation=1, head_digest="other", members_version=0),
    )
    assert node.context.monitor.count == 1


def test_control_bytes_are_counted_on_both_sides(new_node):
    first = new_node("e1")
    first.context.replica.apply_if_newer(full_delta(1, {"a": "x"}))
    second = new_node("e2", peers=(first.address,))
    second.runtime.start()
    assert second.runtime.wait_for_configuration(20)
    sent = second.context.metrics.totals()[CONTROL_BYTES_METRIC]
    assert sent > 0
    assert wait_for(
        lambda: first.context.metrics.totals().get(CONTROL_BYTES_METRIC, 0) > 0
    )
