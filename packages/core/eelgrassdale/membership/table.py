"""Membership table of one node.

The VM list says which members exist. Answers, failures and indirect probes
of this node determine their state. Verdicts of other entry nodes are kept as
hints that expire, so that a wrong or old verdict cannot persist.
"""

import threading
from collections.abc import Callable, Iterable, Mapping

import structlog
from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale.membership.health import (
    Health,
    after_answer,
    after_failure,
    after_indirect_probe,
)
from eelgrassdale.membership.members import Member, Members, MemberState
from eelgrassdale.platform.vmlist import VmList, VmListEntry, parse_vm_list
from eelgrassdale.telemetry import InvariantMonitor

# Longer than a few comparisons (one every 2 s), so that a member that several
# entry nodes consider dead does not alternate between dead and alive.
HINT_LIFETIME_SECONDS = 15.0
# Direct contact within this time takes precedence over a hint.
RECENT_CONTACT_SECONDS = 3.0
DEAD_DIGEST_LIMIT = 64

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class DeadHint:
    """Verdict of another node that one incarnation of a member is dead."""

    incarnation: int
    expires_at: float


class MembershipTable:
    """Table of the members and their state; thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    monitor : InvariantMonitor
        Counts an incarnation that would decrease.
    """

    def __init__(self, *, clock: Clock, monitor: InvariantMonitor) -> None:
        self._clock = clock
        self._monitor = monitor
        self._lock = threading.RLock()
        self._vm_list = VmList(version=0, entries={}, body=b"")
        self._health: dict[str, Health] = {}
        self._hints: dict[str, DeadHint] = {}
        self._members = Members()
        self._callbacks: list[Callable[[Members], None]] = []

    def current(self) -> Members:
        """Return the latest snapshot."""
        return self._members

    def subscribe(self, callback: Callable[[Members], None]) -> None:
        """Call `callback` with every later snapshot; it must not block."""
        self._callbacks.append(callback)

    def report_reachability(self, name: str, reachable: bool) -> None:
        """Report that a data-path call reached a member, or failed to."""
        if reachable:
            self.record_contact(name, incarnation=self.health(name).incarnation)
        else:
            self.record_failure(name)

    def vm_list(self) -> VmList:
        """Return the VM list in force."""
        return self._vm_list

    def health(self, name: str) -> Health:
        """Return the state of a member as observed directly."""
        return self._health.get(name, Health())

    def apply_vm_list(self, body: bytes) -> bool:
        """Apply a VM list of a higher version; return whether it was applied."""
        parsed = parse_vm_list(body)
        if parsed.is_error():
            log.warning("VM list refused", error=parsed.error.message)
            return False
        with self._lock:
            if parsed.ok.version <= self._vm_list.version:
                return False
            self._vm_list = parsed.ok
            known = parsed.ok.entries
            self._health = {n: h for n, h in self._health.items() if n in known}
            self._hints = {n: h for n, h in self._hints.items() if n in known}
            self._publish({name: self._resolve_member(name) for name in known})
        for error in parsed.ok.skipped:
            log.warning(
                "invalid VM entry skipped", version=parsed.ok.version, error=error
            )
        return True

    def record_contact(
        self, name: str, *, incarnation: int, leaving: bool | None = None
    ) -> None:
        """Record that a member answered or called.

        `leaving` is what it said about itself, None if it said nothing.
        """
        with self._lock:
            now = self._clock.monotonic()
            before = self.health(name)
            if incarnation >= before.incarnation:
                self._hints.pop(name, None)
            self._set_health(
                name,
                before,
                after_answer(before, incarnation=incarnation, leaving=leaving, now=now),
            )

    def record_failure(self, name: str) -> None:
        """Record that a member refused a connection or did not answer in time."""
        with self._lock:
            before = self.health(name)
            self._set_health(
                name, before, after_failure(before, now=self._clock.monotonic())
            )

    def record_indirect_probe(
        self, name: str, *, incarnation: int, started_at: float
    ) -> None:
        """Record the outcome of a probe through another entry node."""
        with self._lock:
            before = self.health(name)
            after = after_indirect_probe(
                before, incarnation=incarnation, started_at=started_at
            )
            self._set_health(name, before, after)

    def suspects(self) -> tuple[str, ...]:
        """Return the members to probe indirectly, by name."""
        with self._lock:
            return tuple(
                sorted(
                    name
                    for name, health in self._health.items()
                    if health.state is MemberState.SUSPECT
                )
            )

    def unreachable(self) -> tuple[str, ...]:
        """Return the members that this node itself considers suspect or dead."""
        with self._lock:
            return tuple(
                sorted(
                    name
                    for name, health in self._health.items()
                    if health.state is not MemberState.ALIVE
                )
            )

    def dead_digest(self) -> list[str]:
        """Return `name@incarnation` of the members this node itself declared dead.

        Hints are left out, so that two nodes cannot renew each other's verdicts
        for ever.
        """
        with self._lock:
            found = sorted(
                f"{name}@{health.incarnation}"
                for name, health in self._health.items()
                if health.state is MemberState.DEAD
            )
        return found[:DEAD_DIGEST_LIMIT]

    def apply_dead_digest(self, digest: Iterable[str]) -> None:
        """Record the verdicts of another entry node as hints.

        A verdict on a member with recent direct contact is dropped, not kept for
        later: the other node repeats it while it holds.
        """
        with self._lock:
            now = self._clock.monotonic()
            received = _parse_digest(digest, now + HINT_LIFETIME_SECONDS)
            hints = {
                name: hint
                for name, hint in received.items()
                if name in self._vm_list.entries
                and not _has_recent_contact(self.health(name), now)
            }
            self._hints.update(hints)
            self._refresh(hints)

    def expire_hints(self) -> None:
        """Remove the expired hints."""
        with self._lock:
            now = self._clock.monotonic()
            expired = [n for n, hint in self._hints.items() if hint.expires_at <= now]
            for name in expired:
                del self._hints[name]
            self._refresh(expired)

    def _set_health(self, name: str, before: Health, after: Health) -> None:
        if name not in self._vm_list.entries:
            return
        self._monitor.check(
            after.incarnation >= before.incarnation,
            "incarnation_grows",
            member=name,
            old=before.incarnation,
            new=after.incarnation,
        )
        self._health[name] = after
        if before.state is not after.state:
            log.info("member state changed", member=name, state=after.state.value)
        self._refresh([name])

    def _refresh(self, names: Iterable[str]) -> None:
        """Publish a snapshot if the state of one of `names` changed."""
        by_name = self._members.by_name
        resolved = {name: self._resolve_member(name) for name in names}
        changed = {
            name: member
            for name, member in resolved.items()
            if by_name.get(name) != member
        }
        if changed:
            self._publish({**by_name, **changed})

    def _publish(self, by_name: Mapping[str, Member]) -> None:
        self._members = Members(version=self._members.version + 1, by_name=by_name)
        # Called under the lock, so that callbacks see snapshots in order.
        for callback in list(self._callbacks):
            callback(self._members)

    def _resolve_member(self, name: str) -> Member:
        return _resolve_member(
            self._vm_list.entries[name],
            self.health(name),
            self._hints.get(name),
        )


def _has_recent_contact(health: Health, now: float) -> bool:
    return (
        health.last_contact_at is not None
        and now - health.last_contact_at < RECENT_CONTACT_SECONDS
    )


def _parse_digest(digest: Iterable[str], expires_at: float) -> dict[str, DeadHint]:
    hints = {}
    for text in list(digest)[:DEAD_DIGEST_LIMIT]:
        name, _, incarnation = text.rpartition("@")
        if name and incarnation.isdecimal():
            hints[name] = DeadHint(incarnation=int(incarnation), expires_at=expires_at)
    return hints


def _resolve_member(
    entry: VmListEntry, health: Health, hint: DeadHint | None
) -> Member:
    return Member(
        name=entry.name,
        role=entry.role,
        data_centre=entry.data_centre,
        region=entry.region,
        node_address=entry.node_address,
        caller_address=entry.caller_address,
        state=resolve_state(entry, health, hint),
        incarnation=health.incarnation,
    )


def resolve_state(
    entry: VmListEntry, health: Health, hint: DeadHint | None
) -> MemberState:
    """Return the state that follows from VM list, direct contact and hints.

    Direct failures take precedence. Next is a hint about the known or a later
    incarnation, and then leaving.
    """
    if health.state is not MemberState.ALIVE:
        return health.state
    if hint is not None and hint.incarnation >= health.incarnation:
        return MemberState.DEAD
    if entry.is_leaving or health.leaving:
        return MemberState.LEAVING
    return MemberState.ALIVE
