"""Shares crashes, sound starts and quarantines between gateways.

A finding goes to all peers at once and is repeated twice, since datagrams may be lost.
Gateways that were away learn of the quarantines when a peer first hears from them, and
from a copy that each gateway sends to a random peer. Findings are rare and their number
is bounded, so the traffic does not grow with the requests.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from random import Random

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.broadcasting import Broadcaster
from eelgrassdale_gateway.messages import (
    CrashNotice,
    PromptNotice,
    QuarantineNotice,
    SoundNotice,
    encode,
)
from eelgrassdale_gateway.quarantine.evidence import CrashReport
from eelgrassdale_gateway.quarantine.state import (
    Finding,
    PromptQuarantine,
    Quarantine,
    SoundStart,
)

INTERVAL_SECONDS = 0.25
# Keeps a datagram within the size that networks carry in a few packets.
MAX_FINDINGS_PER_DATAGRAM = 16
MAX_PARTS = 16

Address = tuple[str, int]


class QuarantineExchange:
    """Sends the findings of one gateway and applies those of others.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    quarantine : PromptQuarantine
        What this gateway knows.
    peers : callable
        Returns the addresses of the other gateways.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        quarantine: PromptQuarantine,
        peers: Callable[[], Collection[Address]],
        send: Callable[[bytes, Address], None],
        seed: int | None = None,
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._peers = peers
        self._send = send
        self._rng = Random(seed)
        self._broadcaster: Broadcaster[Finding] = Broadcaster(
            peers=peers,
            send=lambda data, address: self._send(data, address),
            encode=self._encode,
        )
        self._is_send_due = False
        quarantine.subscribe(self.publish)

    def publish(self, finding: Finding) -> None:
        """Send a finding to all peers, together with others of the same moment."""
        self._broadcaster.add(finding)
        if not self._is_send_due:
            self._is_send_due = True
            asyncio.get_running_loop().call_soon(self.send_pending)

    async def run(self) -> None:
        """Repeat new findings and send copies of the quarantines until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            self.send_pending()
            peers = list(self._peers())
            if peers:
                self.send_states(self._rng.choice(peers))

    def send_pending(self) -> None:
        """Send the findings that were not sent often enough yet to all peers."""
        self._is_send_due = False
        self._broadcaster.send_pending()

    def send_states(self, address: Address) -> None:
        """Send the quarantines to a peer that may not know them."""
        for data in self._encode(self._quarantine.states()):
            self._send(data, address)

    def handle(self, message: PromptNotice) -> None:
        """Apply the findings of a peer, sound starts first."""
        now = self._clock.monotonic()
        for finding in _findings(message, now):
            self._quarantine.merge(finding)

    def _encode(self, findings: Iterable[Finding]) -> Iterable[bytes]:
        listed = list(findings)
        for start in range(0, len(listed), MAX_FINDINGS_PER_DATAGRAM):
            yield encode(
                self._notice(listed[start : start + MAX_FINDINGS_PER_DATAGRAM])
            )

    def _notice(self, findings: Iterable[Finding]) -> PromptNotice:
        now = self._clock.monotonic()
        notice = PromptNotice(crashes=[], sound_starts=[], quarantines=[])
        for finding in findings:
            match finding:
                case CrashReport():
                    notice.crashes.append(
                        CrashNotice(
                            server=finding.server,
                            parts=sorted(finding.parts),
                            age_ms=_milliseconds(now - finding.at),
                        )
                    )
                case SoundStart():
                    notice.sound_starts.append(
                        SoundNotice(
                            part=finding.part, age_ms=_milliseconds(now - finding.at)
                        )
                    )
                case Quarantine():
                    notice.quarantines.append(
                        QuarantineNotice(
                            parts=sorted(finding.parts),
                            sequence=finding.sequence,
                            is_active=finding.is_active,
                            trial_count=finding.trial_count,
                            evidence_age_ms=_milliseconds(now - finding.evidence_at),
                            trial_in_ms=_milliseconds(finding.trial_at - now),
                        )
                    )
        return notice


def _findings(message: PromptNotice, now: float) -> Iterator[Finding]:
    """Yield the valid findings of a message.

    One without parts is malformed: a quarantine of no parts would refuse all requests.
    """
    for notice in (message.sound_starts or ())[:MAX_FINDINGS_PER_DATAGRAM]:
        if notice.part:
            yield SoundStart(part=notice.part, at=_time(now, notice.age_ms))
    for notice in (message.crashes or ())[:MAX_FINDINGS_PER_DATAGRAM]:
        if notice.server and (parts := _parts(notice.parts)):
            yield CrashReport(
                server=notice.server, parts=parts, at=_time(now, notice.age_ms)
            )
    for notice in (message.quarantines or ())[:MAX_FINDINGS_PER_DATAGRAM]:
        if parts := _parts(notice.parts):
            yield Quarantine(
                parts=parts,
                sequence=notice.sequence or 0,
                is_active=bool(notice.is_active),
                trial_count=notice.trial_count or 0,
                evidence_at=_time(now, notice.evidence_age_ms),
                trial_at=now + (notice.trial_in_ms or 0) / 1000,
            )


def _parts(names: Sequence[str] | None) -> frozenset[str]:
    return frozenset(name for name in (names or ())[:MAX_PARTS] if name)


def _time(now: float, age_ms: int | None) -> float:
    return now - (age_ms or 0) / 1000


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * 1000))
