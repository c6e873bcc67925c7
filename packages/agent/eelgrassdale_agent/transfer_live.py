"""Measures what weight transfers do to others on the shared links."""

import threading
from collections.abc import Callable, Mapping

from eelgrassdale.membership.members import Member
from eelgrassdale.node.context import NodeContext
from eelgrassdale.weights.pacing import LiveDelay
from eelgrassdale.wire import ProbeAnswer, WireError
from eelgrassdale_agent.sources import PeerConnections
from eelgrassdale_agent.transfer_probing import envelope_of
from eelgrassdale_agent.transfer_target import Target

SIGNAL_SECONDS = 0.25
PROBE_SECONDS = 1.0
# Agents of other services are asked what they fetch once in this many rounds.
MODELS_EVERY = 8


class LiveWatch:
    """Probes an entry node during transfers and derives the share of the link.

    The probe takes the same way as the frames of live requests: through the
    link of this VM to an entry node of the data centre, or of another one if
    it has none.

    Parameters
    ----------
    context : NodeContext
        Identity, members and configuration.
    is_active : callable
        Returns the target during transfers, otherwise None.
    """

    def __init__(
        self, *, context: NodeContext, is_active: Callable[[], Target | None]
    ) -> None:
        self._context = context
        self._is_active = is_active
        self._delay = LiveDelay()
        self._others: Mapping[str, int] = {}
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
        """Return the share of the link that weights may use."""
        return self._delay.share

    def other_models(self) -> Mapping[str, int]:
        """Return the priorities of other models in transfer in this region."""
        return self._others

    def _run(self) -> None:
        rounds = 0
        while not self._stopping.wait(SIGNAL_SECONDS):
            target = self._is_active()
            if target is None:
                continue
            self._measure_delay()
            if rounds % MODELS_EVERY == 0:
                self._others = self._find_other_models(target)
            rounds += 1
        self._peers.close()

    def _measure_delay(self) -> None:
        members = self._context.members.current()
        here = self._context.identity.data_centre
        entries = members.live_entry_nodes(here) or members.live_entry_nodes()
        if not entries:
            return
        clock = self._context.clock
        start = clock.monotonic()
        if self._probe(entries[0]) is not None:
            self._delay = self._delay.observed(clock.monotonic() - start)

    def _find_other_models(self, target: Target) -> dict[str, int]:
        """Ask one agent of each other service in this region what it does."""
        cfg = self._context.replica.current()
        members = self._context.members.current()
        found = {}
        for service in cfg.services.values():
            model = cfg.model_versions.get(service.model_version)
            if model is None or model.name == target.model.name:
                continue
            servers = members.live_backend_servers(cfg, service.name)
            nearby = [one for one in servers if one.region == target.me.region]
            answer = self._probe(nearby[0]) if nearby else None
            if answer is not None and answer.load_state == "fetching":
                found[model.name] = model.priority
        return found

    def _probe(self, member: Member) -> ProbeAnswer | None:
        try:
            return self._peers.call(
                member.node_address,
                "probe",
                envelope_of(self._context, PROBE_SECONDS),
                timeout_seconds=PROBE_SECONDS,
            )
        except WireError:
            return None
