"""Control calls to other members, which also update the membership table."""

import random
import threading
from collections.abc import Callable

from expression import Error, Ok, Result

from eelgrassdale.membership.members import Member
from eelgrassdale.membership.table import MembershipTable
from eelgrassdale.node.connections import PeerConnectionPool
from eelgrassdale.node.context import NodeContext
from eelgrassdale.platform.vmlist import compress_vm_list, decompress_vm_list
from eelgrassdale.wire import (
    CompareAnswer,
    CompareRequest,
    ConfigDelta,
    Envelope,
    ProbeAnswer,
    WireError,
)

CALL_TIMEOUT_SECONDS = 1.0
# The indirect prober may wait CALL_TIMEOUT_SECONDS for the suspect.
INDIRECT_PROBE_TIMEOUT_SECONDS = 2.0
# From the assumed base, from the base that the receiver reported, all objects.
PUSH_ATTEMPTS = 3
CONTROL_BYTES_METRIC = "control_bytes"
LEAVING = "leaving"


class PeerClient:
    """Probe, compare and push calls of one node; thread-safe.

    The last known generation and VM list version of each member are recorded,
    so that pushes carry only what is missing.
    """

    def __init__(self, *, context: NodeContext) -> None:
        self._context = context
        self._table: MembershipTable = context.members
        self._connections = PeerConnectionPool(on_bytes=self.count_control_bytes)
        self._lock = threading.Lock()
        self._transferred_bytes = 0
        self._generations: dict[str, int] = {}
        self._vm_list_versions: dict[str, int] = {}
        self._probe_callbacks: list[Callable[[Member, ProbeAnswer], None]] = []
        self.rng = random.Random()

    def count_control_bytes(self, amount: int) -> None:
        """Count sent and received bytes of control messages."""
        with self._lock:
            self._transferred_bytes += amount
        self._context.metrics.count(CONTROL_BYTES_METRIC, amount)

    @property
    def transferred_bytes(self) -> int:
        """Bytes of control messages sent and received since the start."""
        return self._transferred_bytes

    def subscribe_probes(self, callback: Callable[[Member, ProbeAnswer], None]) -> None:
        """Call `callback` with every answer to a probe of a member."""
        self._probe_callbacks.append(callback)

    def envelope(self, *, remaining_ms: int = 1000, traceparent: str = "") -> Envelope:
        """Return the envelope of a call made now."""
        identity = self._context.identity
        return Envelope(
            sender=identity.name,
            incarnation=identity.incarnation,
            remaining_ms=remaining_ms,
            traceparent=traceparent,
            generation=self._context.replica.current().generation,
        )

    def record_generation(self, name: str, generation: int) -> None:
        """Record the generation that a member has in force."""
        with self._lock:
            self._generations[name] = generation

    def probe(self, member: Member) -> bool:
        """Probe a member directly; return whether it answered."""
        answer = self._connections.call(
            member.node_address,
            "probe",
            self.envelope(),
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            self._table.record_failure(member.name)
            return False
        self._table.record_contact(
            member.name,
            incarnation=answer.ok.incarnation,
            leaving=answer.ok.state == LEAVING,
        )
        self.record_generation(member.name, answer.ok.generation)
        for callback in list(self._probe_callbacks):
            callback(member, answer.ok)
        return True

    def probe_address(self, address: str) -> ProbeAnswer | None:
        """Probe an address for another node; return its answer or None."""
        answer = self._connections.call(
            address, "probe", self.envelope(), timeout_seconds=CALL_TIMEOUT_SECONDS
        )
        return answer.ok if answer.is_ok() else None

    def probe_indirectly(self, prober: Member, suspect: Member) -> bool:
        """Probe a suspect through another entry node and record the result.

        Returns False when the prober did not answer, which says nothing about
        the suspect.
        """
        started_at = self._context.clock.monotonic()
        answer = self._connections.call(
            prober.node_address,
            "probe_via",
            self.envelope(),
            suspect.node_address,
            timeout_seconds=INDIRECT_PROBE_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            self._table.record_failure(prober.name)
            return False
        self._table.record_indirect_probe(
            suspect.name, incarnation=answer.ok.incarnation, started_at=started_at
        )
        return True

    def compare(self, name: str, address: str) -> bool:
        """Compare generations with a peer and exchange what either side lacks.

        `name` is empty for a seed address. Returns whether the peer answered.
        """
        answer = self._compare_once(
            name, address, self._context.replica.current().generation
        )
        if answer.is_error():
            return False
        replica = self._context.replica
        if answer.ok.generation > replica.current().generation:
            # The partial delta could not be applied, for instance after
            # skipped generations; ask for all objects.
            self._compare_once(name, address, 0)
        elif name and answer.ok.generation < replica.current().generation:
            self.push(name, address)
        return True

    def push(self, name: str, address: str) -> bool:
        """Send a member what it lacks; return whether it is up to date."""
        base = self._generations.get(name)
        if base is None:
            base = max(0, self._context.replica.current().generation - 1)
        for _ in range(PUSH_ATTEMPTS):
            vm_list_version = self._vm_list_versions.get(name, 0)
            delta = self.delta_for_peer(base, vm_list_version)
            if delta is None:
                return True
            sent = self._send(name, address, delta)
            if sent.is_error():
                return False
            if sent.ok >= delta.generation:
                return True
            base = sent.ok if sent.ok < base else 0
        return False

    def delta_for_peer(
        self, generation: int, vm_list_version: int
    ) -> ConfigDelta | None:
        """Return what a peer with these versions lacks, or None if nothing."""
        delta = self._context.replica.delta_since(generation)
        vm_list = self._table.vm_list()
        if vm_list.version <= vm_list_version:
            return delta
        if delta is None:
            # Only the VM list is newer. A delta to the generation that the
            # peer already has changes no object.
            delta = ConfigDelta(
                base=generation,
                generation=generation,
                head_digest="",
                changed=[],
                removed=[],
            )
        delta.members_version = vm_list.version
        delta.members = compress_vm_list(vm_list)
        return delta

    def apply_delta(self, delta: ConfigDelta | None) -> bool:
        """Apply objects and VM list of a delta; return whether objects changed."""
        if delta is None:
            return False
        if delta.members:
            self._table.apply_vm_list(decompress_vm_list(delta.members))
        return self._context.replica.apply_if_newer(delta)

    def close(self) -> None:
        """Close the connections."""
        self._connections.close()

    def _trusted_verdicts(self, peer: str, digest: list[str]) -> list[str]:
        """Return the verdicts of a peer that this node accepts as hints.

        On members of this data centre only verdicts from within it count, so
        that a region that was cut off cannot have them declared dead.
        """
        known = self._table.current().by_name
        own_data_centre = self._context.identity.data_centre
        sender = known.get(peer)
        if sender is not None and sender.data_centre == own_data_centre:
            return digest
        return [
            text
            for text in digest
            if (member := known.get(text.rpartition("@")[0])) is not None
            and member.data_centre != own_data_centre
        ]

    def _send(
        self, name: str, address: str, delta: ConfigDelta
    ) -> Result[int, WireError]:
        sent = self._connections.call(
            address,
            "push",
            self.envelope(),
            delta,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        if sent.is_error():
            self._table.record_failure(name)
            return Error(sent.error)
        self.record_generation(name, sent.ok)
        if delta.members:
            with self._lock:
                self._vm_list_versions[name] = delta.members_version
        return Ok(sent.ok)

    def _compare_once(
        self, name: str, address: str, generation: int
    ) -> Result[CompareAnswer, WireError]:
        state = self._context.replica.state()
        request = CompareRequest(
            generation=generation,
            head_digest=state.head_digest if generation == state.generation else "",
            members_version=self._table.vm_list().version,
        )
        answer = self._connections.call(
            address,
            "compare",
            self.envelope(),
            request,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            if name:
                self._table.record_failure(name)
            return Error(answer.error)
        if name:
            self._table.record_contact(name, incarnation=answer.ok.incarnation)
            self.record_generation(name, answer.ok.generation)
        self.apply_delta(answer.ok.delta)
        self._table.apply_dead_digest(
            self._trusted_verdicts(name, answer.ok.dead or [])
        )
        return Ok(answer.ok)
