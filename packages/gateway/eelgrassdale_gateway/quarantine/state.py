"""What one gateway knows of prompts that end backend servers, and which it refuses."""

from collections.abc import Callable

import structlog
from attrs import define, evolve, field, frozen

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.quarantine.evidence import (
    MAX_CRASHES,
    CrashReport,
    count_moments,
    is_sound,
)
from eelgrassdale_gateway.quarantine.history import CrashHistory
from eelgrassdale_gateway.shares import GatewayGroup, share_of_count

# Bound of what is remembered, whatever callers send.
MAX_QUARANTINES = 64
# Time until one request is let through as a trial. It doubles with each trial, as a
# failed one costs a backend server.
FIRST_TRIAL_SECONDS = 60.0
MAX_TRIAL_INTERVAL_SECONDS = 3600.0
# A quarantine whose trial is overdue for this time is forgotten.
OVERDUE_SECONDS = 3600.0
# Servers after whose end a request is not sent again. A request that lost its server
# between the head of the answer and the first event is suspect at once, as few are in
# that state; others may have been waiting there. Where answers with the part have begun
# elsewhere, servers probably fail for another reason.
SUSPECT_CRASHES_AS_ANSWER_BEGAN = 1
SUSPECT_CRASHES = 2
SUSPECT_CRASHES_OF_BEGUN_PART = MAX_CRASHES // 2

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class SoundAnswer:
    """An answer to a prompt with `part` got beyond its beginning at the time `at`.

    With `is_complete` it reached its end, which no answer does that ends its server.
    """

    part: str
    at: float
    is_complete: bool = True


@frozen(kw_only=True)
class Quarantine:
    """Prompts with all of `parts` are refused while `is_active`.

    Of two states, the one with the higher `sequence` is newer. `evidence_at` is when
    the first of its crashes happened, `trial_at` from when one request may be let
    through. Times are in seconds of the monotonic clock.
    """

    parts: frozenset[str]
    sequence: int
    is_active: bool
    trial_count: int
    evidence_at: float
    trial_at: float


Finding = CrashReport | SoundAnswer | Quarantine


@define(kw_only=True, eq=False)
class PromptQuarantine:
    """Crashes, sound answers and quarantines, of this gateway and its peers.

    Not thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    gateway_group : callable
        Returns the gateways, one of which lets a trial through.

    Examples
    --------
    >>> from eelgrassdale.clock import ManualClock
    >>> from eelgrassdale_gateway.shares import single_gateway_group
    >>> quarantine = PromptQuarantine(
    ...     clock=ManualClock(), gateway_group=single_gateway_group
    ... )
    >>> for server in ("s-1", "s-2"):
    ...     quarantine.record_crash(server, frozenset({"a", "b"}))
    ...     quarantine._clock.advance(seconds=1.0)
    >>> quarantine.is_suspect(frozenset({"a"})), quarantine.is_refused(frozenset({"a"}))
    (True, False)
    >>> quarantine.record_answer(frozenset({"a"}))
    >>> quarantine.is_suspect(frozenset({"a"})), quarantine.is_suspect(frozenset({"b"}))
    (False, True)

    """

    _clock: Clock
    _gateway_group: Callable[[], GatewayGroup]
    _subscribers: list[Callable[[Finding], None]] = field(factory=list)
    _history: CrashHistory = field(factory=CrashHistory, init=False)
    _quarantines: dict[frozenset[str], Quarantine] = field(factory=dict)
    # Parts in reports and quarantines, whose sound answers are of interest to peers.
    _watched_parts: set[str] = field(factory=set)

    def subscribe(self, on_finding: Callable[[Finding], None]) -> None:
        """Call a function with each further finding of this gateway."""
        self._subscribers.append(on_finding)

    def is_refused(self, parts: frozenset[str]) -> bool:
        """Return whether a request whose prompt has these parts is refused now."""
        now = self._clock.monotonic()
        return any(
            not self._may_send_trial(quarantine, now)
            for quarantine in self._matching(parts)
        )

    def is_suspect(
        self, parts: frozenset[str], *, has_answer_begun: bool = False
    ) -> bool:
        """Return whether a request under which a server ended may end another one.

        With `has_answer_begun`, the server ended between the head of its answer and
        the first event.
        """
        if not parts or parts.isdisjoint(self._watched_parts):
            return False
        crashes = self._counted_crashes()
        return any(
            count_moments(crashes[part].values())
            >= self._suspect_crashes(part, has_answer_begun=has_answer_begun)
            for part in parts & crashes.keys()
        )

    def seconds_until_trial(self, parts: frozenset[str]) -> float:
        """Return the seconds until a refused request may be let through."""
        now = self._clock.monotonic()
        trial_times = [quarantine.trial_at for quarantine in self._matching(parts)]
        return max(0.0, max(trial_times, default=now) - now)

    def active(self) -> list[Quarantine]:
        """Return the quarantines in force."""
        return [q for q in self._quarantines.values() if q.is_active]

    def states(self) -> list[Quarantine]:
        """Return the quarantines in force and those lifted."""
        return list(self._quarantines.values())

    def record_send(self, parts: frozenset[str]) -> None:
        """Record that a request is sent; in quarantine, it is a trial."""
        now = self._clock.monotonic()
        for quarantine in self._matching(parts):
            interval_seconds = FIRST_TRIAL_SECONDS * 2.0 ** (quarantine.trial_count + 1)
            log.info("trial of a quarantined prompt sent", parts=sorted(parts))
            self._set(
                evolve(
                    quarantine,
                    sequence=quarantine.sequence + 1,
                    trial_count=quarantine.trial_count + 1,
                    trial_at=now + min(interval_seconds, MAX_TRIAL_INTERVAL_SECONDS),
                )
            )

    def record_start(self, parts: frozenset[str]) -> None:
        """Record that the answer to a prompt with these parts got its first event."""
        now = self._clock.monotonic()
        if not parts.isdisjoint(self._watched_parts):
            for part in parts & self._counted_crashes().keys():
                if not self._history.has_begun(part):
                    self._publish(SoundAnswer(part=part, at=now, is_complete=False))
        for part in parts:
            self._history.set_begun(part, at=now)

    def record_answer(self, parts: frozenset[str]) -> None:
        """Record that the answer to a prompt with these parts was completed."""
        now = self._clock.monotonic()
        suspects = set()
        if not parts.isdisjoint(self._watched_parts):
            suspects = parts & (self._counted_crashes().keys() | self._active_parts())
        for part in parts:
            self._history.set_sound(part, at=now)
        for part in suspects:
            self._publish(SoundAnswer(part=part, at=now))
        if suspects:
            self._reduce_to_unsound()

    def record_crash(
        self, server: str, parts: frozenset[str], *, at: float | None = None
    ) -> None:
        """Record that a backend server ended while it held a request.

        `at` is when the connection to it was lost, now by default.
        """
        at = self._clock.monotonic() if at is None else at
        sound_at = self._history.sound_at
        suspects = frozenset(
            part for part in parts if not is_sound(sound_at.get(part), at=at)
        )
        report = CrashReport(server=server, parts=suspects, at=at)
        if not self._add_report(report):
            return
        for part in parts & sound_at.keys():
            self._publish(SoundAnswer(part=part, at=sound_at[part]))
        self._publish(report)
        for quarantine in self._quarantine_parts_at_fault():
            self._publish(quarantine)

    def merge(self, finding: Finding) -> None:
        """Apply a finding of another gateway."""
        match finding:
            case CrashReport():
                self._merge_report(finding)
            case SoundAnswer():
                self._merge_sound_answer(finding)
            case Quarantine():
                self._merge_quarantine(finding)

    def _merge_report(self, report: CrashReport) -> None:
        if self._add_report(report):
            self._quarantine_parts_at_fault()

    def _merge_sound_answer(self, answer: SoundAnswer) -> None:
        if not answer.is_complete:
            self._history.set_begun(answer.part, at=answer.at)
        elif answer.at > self._sound_at(answer.part):
            self._history.set_sound(answer.part, at=answer.at)
            self._reduce_to_unsound()

    def _sound_at(self, part: str) -> float:
        return self._history.sound_at.get(part, float("-inf"))

    def _merge_quarantine(self, quarantine: Quarantine) -> None:
        known = self._quarantines.get(quarantine.parts)
        if known is not None and _rank(known) >= _rank(quarantine):
            return
        if quarantine.is_active and any(
            q.parts < quarantine.parts for q in self.active()
        ):
            return
        log.warning(
            "prompt quarantine learned",
            parts=sorted(quarantine.parts),
            is_active=quarantine.is_active,
            sequence=quarantine.sequence,
        )
        self._store(quarantine)
        self._reduce_to_unsound()

    def _suspect_crashes(self, part: str, *, has_answer_begun: bool) -> int:
        """Return the number of crashes after which a part is suspect."""
        if self._history.has_begun(part):
            return SUSPECT_CRASHES_OF_BEGUN_PART
        return SUSPECT_CRASHES_AS_ANSWER_BEGAN if has_answer_begun else SUSPECT_CRASHES

    def _matching(self, parts: frozenset[str]) -> list[Quarantine]:
        if not self._quarantines:
            return []
        return [q for q in self.active() if q.parts <= parts]

    def _active_parts(self) -> frozenset[str]:
        return frozenset().union(*(q.parts for q in self.active()))

    def _may_send_trial(self, quarantine: Quarantine, now: float) -> bool:
        """Return whether this gateway may let one request through now.

        One gateway is chosen for each quarantine, so that not all send a trial.
        """
        return now >= quarantine.trial_at and bool(
            share_of_count(
                1,
                resource=",".join(sorted(quarantine.parts)),
                gateway_group=self._gateway_group(),
            )
        )

    def _counted_crashes(self) -> dict[str, dict[str, float]]:
        return self._history.counted_crashes(
            now=self._clock.monotonic(), known=[q.parts for q in self.active()]
        )

    def _quarantine_parts_at_fault(self) -> list[Quarantine]:
        """Put the parts at fault into quarantine; return the new quarantines."""
        new = []
        while True:
            crashes = self._counted_crashes()
            known = [q.parts for q in self.active()]
            parts = self._history.parts_at_fault(crashes, known=known)
            if not parts:
                return new
            servers = crashes[min(parts)]
            log.warning("prompt quarantined", parts=sorted(parts), servers=len(servers))
            new.append(self._new_quarantine(parts, evidence_at=min(servers.values())))
            self._store(new[-1])

    def _new_quarantine(
        self, parts: frozenset[str], *, evidence_at: float
    ) -> Quarantine:
        known = self._quarantines.get(parts)
        return Quarantine(
            parts=parts,
            sequence=known.sequence + 1 if known else 1,
            is_active=True,
            trial_count=0,
            evidence_at=evidence_at,
            trial_at=self._clock.monotonic() + FIRST_TRIAL_SECONDS,
        )

    def _reduce_to_unsound(self) -> None:
        """Lift or narrow quarantines with a part that was answered soundly since."""
        for quarantine in self.active():
            unsound = frozenset(
                part
                for part in quarantine.parts
                if self._sound_at(part) < quarantine.evidence_at
            )
            if unsound == quarantine.parts:
                continue
            log.warning(
                "prompt quarantine lifted",
                parts=sorted(quarantine.parts),
                remaining=sorted(unsound),
            )
            self._set(
                evolve(quarantine, sequence=quarantine.sequence + 1, is_active=False)
            )
            if unsound:
                self._set(
                    self._new_quarantine(unsound, evidence_at=quarantine.evidence_at)
                )

    def _publish(self, finding: Finding) -> None:
        for on_finding in self._subscribers:
            on_finding(finding)

    def _set(self, quarantine: Quarantine) -> None:
        self._store(quarantine)
        self._publish(quarantine)

    def _store(self, quarantine: Quarantine) -> None:
        """Store a state; a narrower quarantine replaces the wider ones."""
        if quarantine.is_active:
            for parts in [p for p in self._quarantines if p > quarantine.parts]:
                del self._quarantines[parts]
        self._quarantines.pop(quarantine.parts, None)
        self._quarantines[quarantine.parts] = quarantine
        self._watched_parts |= quarantine.parts
        self._forget()

    def _forget(self) -> None:
        """Keep the number of quarantines within its bound, the newest ones."""
        now = self._clock.monotonic()
        for parts, quarantine in list(self._quarantines.items()):
            if now - quarantine.trial_at > OVERDUE_SECONDS:
                del self._quarantines[parts]
        while len(self._quarantines) > MAX_QUARANTINES:
            lifted = (p for p, q in self._quarantines.items() if not q.is_active)
            del self._quarantines[next(lifted, next(iter(self._quarantines)))]
        self._watch_parts()

    def _add_report(self, report: CrashReport) -> bool:
        is_new = self._history.add_report(report)
        if is_new:
            self._watch_parts()
        return is_new

    def _watch_parts(self) -> None:
        self._watched_parts = set(self._history.reported_parts())
        self._watched_parts.update(*self._quarantines)


def _rank(quarantine: Quarantine) -> tuple[int, bool]:
    """Return the order of states; of two concurrent ones, the lifted one counts."""
    return quarantine.sequence, not quarantine.is_active
