"""Thrift `NodeService` of an entry node."""

from eelgrassdale.node.handler import RuntimeHandler
from eelgrassdale.node.runtime import NodeRuntime
from eelgrassdale.wire import (
    Envelope,
    NodeStatus,
    ProbeAnswer,
)
from eelgrassdale_entry.readermemory import ReaderMemoryBudget


class EntryHandler(RuntimeHandler):
    """Answers calls of other nodes from the node runtime."""

    def __init__(self, *, runtime: NodeRuntime, memory: ReaderMemoryBudget) -> None:
        super().__init__(runtime=runtime)
        self._memory = memory

    def probe(self, envelope: Envelope) -> ProbeAnswer:
        """Return the identity of this process and whether it is leaving."""
        return self._runtime.probe(envelope)

    def status(self, envelope: Envelope) -> NodeStatus:
        """Return counters and facts."""
        self._memory.publish_gauges()
        return self._runtime.status(envelope)
