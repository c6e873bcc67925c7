"""Thrift `NodeService` of an entry node."""

from eelgrassdale.node.handler import RuntimeHandler
from eelgrassdale.node.runtime import NodeRuntime
from eelgrassdale.wire import (
    Envelope,
    NodeStatus,
    ProbeAnswer,
)
from eelgrassdale_entry.memory import ReaderMemory


class EntryHandler(RuntimeHandler):
    """Answers the calls of other nodes from the shared runtime."""

    def __init__(self, *, runtime: NodeRuntime, memory: ReaderMemory) -> None:
        super().__init__(runtime=runtime)
        self._memory = memory

    def probe(self, envelope: Envelope) -> ProbeAnswer:
        """Answer who this process is and whether it is leaving."""
        return self._runtime.probe(envelope)

    def status(self, envelope: Envelope) -> NodeStatus:
        """Answer counters and facts."""
        self._memory.publish()
        return self._runtime.status(envelope)
