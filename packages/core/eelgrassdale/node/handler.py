"""Thrift calls that both programs answer from the shared runtime."""

from eelgrassdale.node.runtime import NodeRuntime
from eelgrassdale.wire import (
    CompareAnswer,
    CompareRequest,
    ConfigDelta,
    Envelope,
    ProbeAnswer,
)


class RuntimeHandler:
    """Passes the calls on configuration and membership to the runtime.

    The handlers of both programs derive from it and add `probe` and `status`,
    whose answers contain fields of the program.

    Parameters
    ----------
    runtime : NodeRuntime
        Configuration and membership of the process.
    """

    def __init__(self, *, runtime: NodeRuntime) -> None:
        self._runtime = runtime

    def probe_via(self, envelope: Envelope, address: str) -> ProbeAnswer:
        """Probe `address` for the sender."""
        return self._runtime.probe_via(envelope, address)

    def compare(self, envelope: Envelope, request: CompareRequest) -> CompareAnswer:
        """Compare configuration generations."""
        return self._runtime.compare(envelope, request)

    def push(self, envelope: Envelope, delta: ConfigDelta) -> int:
        """Apply a configuration generation; return the one in force."""
        return self._runtime.push(envelope, delta)
