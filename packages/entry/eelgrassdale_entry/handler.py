"""Thrift `NodeService` of an entry node."""

from eelgrassdale.node.runtime import NodeRuntime
from eelgrassdale.wire import (
    CompareAnswer,
    CompareRequest,
    ConfigDelta,
    Envelope,
    NodeStatus,
    ProbeAnswer,
)
from eelgrassdale_entry.memory import ReaderMemory


class EntryHandler:
    """Answers the calls of other nodes from the shared runtime."""

    def __init__(self, *, runtime: NodeRuntime, memory: ReaderMemory) -> None:
        self._runtime = runtime
        self._memory = memory

    def probe(self, envelope: Envelope) -> ProbeAnswer:
        """Answer who this process is and whether it is leaving."""
        return self._runtime.probe(envelope)

    def probe_via(self, envelope: Envelope, address: str) -> ProbeAnswer:
        """Probe `address` for another entry node."""
        return self._runtime.probe_via(envelope, address)

    def compare(self, envelope: Envelope, request: CompareRequest) -> CompareAnswer:
        """Compare generations."""
        return self._runtime.compare(envelope, request)

    def push(self, envelope: Envelope, delta: ConfigDelta) -> int:
        """Take a new generation."""
        return self._runtime.push(envelope, delta)

    def status(self, envelope: Envelope) -> NodeStatus:
        """Answer counters and facts."""
        self._memory.publish()
        return self._runtime.status(envelope)
