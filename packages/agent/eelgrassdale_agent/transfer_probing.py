"""Probes other agents for the loading order."""

from eelgrassdale.node.context import NodeContext
from eelgrassdale.weights.loading import LoadState, ReplicaView
from eelgrassdale.wire import Envelope, WireError
from eelgrassdale_agent.sources import PeerConnections

PROBE_TIMEOUT_SECONDS = 1.0
# Consecutive failed probes after which a backend server counts as dead.
PROBE_ATTEMPTS = 2


def new_envelope(context: NodeContext, seconds: float) -> Envelope:
    """Return the envelope of a call with a time-out of `seconds`."""
    return Envelope(
        sender=context.identity.name,
        incarnation=context.identity.incarnation,
        remaining_ms=int(seconds * 1000),
        traceparent="",
        generation=context.replica.current().generation,
    )


class Prober:
    """Asks other agents for their load state; not thread-safe.

    Parameters
    ----------
    context : NodeContext
        Identity and members.
    """

    def __init__(self, *, context: NodeContext) -> None:
        self._context = context
        self._peers = PeerConnections()

    def probe_replica(self, name: str, service: str) -> ReplicaView:
        """Return the load state and model version that the agent `name` reports.

        An agent that does not answer `PROBE_ATTEMPTS` probes, or that is not among
        the members, counts as dead.
        """
        member = self._context.members.current().by_name.get(name)
        if member is None:
            return ReplicaView(is_alive=False)
        for _ in range(PROBE_ATTEMPTS):
            try:
                answer = self._peers.call(
                    member.node_address,
                    "probe",
                    new_envelope(self._context, PROBE_TIMEOUT_SECONDS),
                    timeout_seconds=PROBE_TIMEOUT_SECONDS,
                )
            except WireError:
                continue
            headroom = (answer.headroom or {}).get(service)
            return ReplicaView(
                is_alive=True,
                load_state=_parse_load_state(answer.load_state),
                model_version=(headroom.model_version or "") if headroom else "",
            )
        return ReplicaView(is_alive=False)

    def close(self) -> None:
        """Close all connections."""
        self._peers.close()


def _parse_load_state(text: str | None) -> LoadState:
    try:
        return LoadState(text)
    except ValueError:
        return LoadState.EMPTY
