"""Random runs of operators, a store with faults and nodes that exchange deltas.

Guards against a generation that reverts or mixes with another one after stale
reads, lost answers, racing operators, delayed and repeated messages, restarts
and nodes that skipped generations.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from eelgrassdale.catalog import DataCentre
from eelgrassdale.catalog.encoding import encode_object
from eelgrassdale.results import ResultCode
from eelgrassdale.spread.head import (
    HEAD_NAME,
    VersionedHead,
    commit_change,
    decode_head,
    fetch_delta,
    read_head,
)
from eelgrassdale.spread.replica import Replica
from eelgrassdale.spread.tests.test_head import FaultyStore
from eelgrassdale.telemetry import InvariantMonitor, Metrics

NODES = 3
nodes = st.integers(0, NODES - 1)
faults = st.lists(
    st.sampled_from(("ok", "down", "lost", "late", "stale", "race")), max_size=6
)
# Data centre names and regions; the region stands for the value of an object.
contents = st.dictionaries(st.sampled_from("ab"), st.sampled_from("xy"))


class SpreadStateMachine(RuleBasedStateMachine):
    """Three replicas, one store and two operators that read `head` separately."""

    def __init__(self):
        super().__init__()
        self.store = FaultyStore()
        self.monitor = InvariantMonitor(metrics=Metrics())
        self.replicas = [Replica(monitor=self.monitor) for _ in range(NODES)]
        self.generations = [0] * NODES
        self.operators = [VersionedHead(), VersionedHead()]
        self.messages = []
        self.operation_count = 0

    @rule(
        operator=st.integers(0, 1),
        rereads_head=st.booleans(),
        content=contents,
        injected_faults=faults,
    )
    def operator_changes(self, operator, rereads_head, content, injected_faults):
        if rereads_head:
            self.operators[operator] = read_head(self.store).ok
        self.operation_count += 1
        name = f"op-{self.operation_count}"
        objects = [DataCentre(name=n, region=r) for n, r in content.items()]
        bodies = {encode_object(obj).name: encode_object(obj).body for obj in objects}
        self.store.faults = list(injected_faults)
        outcome = commit_change(
            self.store, base=self.operators[operator], bodies=bodies, operation=name
        )
        self.store.faults = []
        accepted = self.store.accepted().count(name)
        if outcome.is_ok():
            assert accepted == 1
        elif outcome.error.code is ResultCode.CONFIGURATION_CONFLICT:
            assert accepted == 0

    @rule(node=nodes, injected_faults=faults)
    def node_reads_store(self, node, injected_faults):
        self.store.faults = list(injected_faults)
        read = read_head(self.store)
        state = self.replicas[node].state()
        delta = read.bind(lambda found: fetch_delta(self.store, found.head, state))
        self.store.faults = []
        if delta.is_ok():
            self.messages.append(delta.ok)
            self.replicas[node].apply_if_newer(delta.ok)

    @rule(sender=nodes, receiver=nodes)
    def node_sends(self, sender, receiver):
        known = self.replicas[receiver].current().generation
        delta = self.replicas[sender].delta_since(known)
        if delta is not None:
            self.messages.append(delta)
            self.replicas[receiver].apply_if_newer(delta)

    @rule(receiver=nodes, data=st.data())
    def message_arrives_late_or_again(self, receiver, data):
        if self.messages:
            self.replicas[receiver].apply_if_newer(
                data.draw(st.sampled_from(self.messages))
            )

    @rule(node=nodes)
    def node_restarts(self, node):
        self.replicas[node] = Replica(monitor=self.monitor)
        self.generations[node] = 0

    @invariant()
    def generations_only_grow_and_have_the_content_of_the_store(self):
        heads = [decode_head(b).ok for b in self.store.versions.get(HEAD_NAME, [])]
        assert [head.generation for head in heads] == list(range(1, len(heads) + 1))
        for node, replica in enumerate(self.replicas):
            state = replica.state()
            assert state.generation >= self.generations[node]
            self.generations[node] = state.generation
            digests = {name: obj.digest for name, obj in state.objects.items()}
            if state.generation:
                assert digests == heads[state.generation - 1].objects
        assert self.monitor.count == 0

    def teardown(self):
        best = max(self.replicas, key=lambda replica: replica.current().generation)
        full = best.delta_since(0)
        for replica in self.replicas if full is not None else []:
            replica.apply_if_newer(full)
            assert replica.current() == best.current()


SpreadStateMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)
TestSpreadStateMachine = SpreadStateMachine.TestCase
