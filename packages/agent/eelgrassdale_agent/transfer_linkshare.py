"""Adapts the share of the link that weights may use to the delay of other traffic."""

import threading
from collections.abc import Callable, Mapping

from eelgrassdale.membership.members import Member
from eelgrassdale.node.context import NodeContext
from eelgrassdale.weights.pacing import AdaptiveLinkShare
from eelgrassdale.wire import ProbeAnswer, WireError
from eelgrassdale_agent.sources import PeerConnections
from eelgrassdale_agent.transfer_probing import new_envelope
from eelgrassdale_agent.transfer_target import Target

MEASURE_INTERVAL_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0
# Agents of other services are asked for their load state once in this many rounds.
MODEL_QUERY_INTERVAL_ROUNDS = 8


class LinkShareMonitor:
    """Probes an entry node during transfers and adapts the share of the link.

    The probe takes the same path as the frames of live requests: over the link of
    this VM to an entry node of its data centre, or of another one if its own has no
    live entry node.

    Parameters
    ----------
    context : NodeContext
        Identity, members and configuration.
    active_target : callable
        Returns the target while this agent fetches or sends chunks, otherwise None.
    """

    def __init__(
        self, *, context: NodeContext, active_target: Callable[[], Target | None]
    ) -> None:
        self._context = context
        self._active_target = active_target
        self._adaptive_share = AdaptiveLinkShare()
        self._other_models: Mapping[str, int] = {}
        self._peers = PeerConnections()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="weights-live", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stopping.set()

    def share(self) -> float:
        """Return the share of the link that weights may use, 0 to 1."""
        return self._adaptive_share.share

    def other_models(self) -> Mapping[str, int]:
        """Return the priorities of the other models being fetched in this region."""
        return self._other_models

    def _run(self) -> None:
        rounds = 0
        while not self._stopping.wait(MEASURE_INTERVAL_SECONDS):
            target = self._active_target()
            if target is None:
                continue
            self._measure_delay()
            if rounds % MODEL_QUERY_INTERVAL_ROUNDS == 0:
                self._other_models = self._query_other_models(target)
            rounds += 1
        self._peers.close()

    def _measure_delay(self) -> None:
        members = self._context.members.current()
        own_data_centre = self._context.identity.data_centre
        entry_nodes = (
            members.live_entry_nodes(own_data_centre) or members.live_entry_nodes()
        )
        if not entry_nodes:
            return
        clock = self._context.clock
        start = clock.monotonic()
        if self._probe(entry_nodes[0]) is not None:
            self._adaptive_share = self._adaptive_share.observed(
                clock.monotonic() - start
            )

    def _query_other_models(self, target: Target) -> dict[str, int]:
        """Probe one agent of each other service in this region for its load state."""
        cfg = self._context.replica.current()
        members = self._context.members.current()
        priorities = {}
        for service in cfg.services.values():
            model = cfg.model_versions.get(service.model_version)
            if model is None or model.name == target.model.name:
                continue
            servers = members.live_backend_servers(cfg, service.name)
            nearby = [
                server
                for server in servers
                if server.region == target.own_location.region
            ]
            answer = self._probe(nearby[0]) if nearby else None
            if answer is not None and answer.load_state == "fetching":
                priorities[model.name] = model.priority
        return priorities

    def _probe(self, member: Member) -> ProbeAnswer | None:
        try:
            return self._peers.call(
                member.node_address,
                "probe",
                new_envelope(self._context, PROBE_TIMEOUT_SECONDS),
                timeout_seconds=PROBE_TIMEOUT_SECONDS,
            )
        except WireError:
            return None
