"""Shares crashes, sound answers and quarantines between gateways.

A finding goes to all peers at once and is repeated twice, since datagrams may be lost.
Gateways that were away learn of the quarantines when a peer first hears from them, and
from a copy that each gateway sends to a random peer. Findings are rare and their number
is bounded, so the traffic does not grow with the requests.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from random import Random

import structlog
from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.broadcasting import Broadcaster
from eelgrassdale_gateway.messages import (
    MAX_INT32,
    CrashNotice,
    PromptNotice,
    QuarantineNotice,
    SoundNotice,
    encode,
)
from eelgrassdale_gateway.quarantine.evidence import CrashReport
from eelgrassdale_gateway.quarantine.pieces import (
    MAX_PARTS_PER_PIECE,
    PieceJoiner,
    parts_digest,
    pieces_of,
)
from eelgrassdale_gateway.quarantine.state import (
    Finding,
    PromptQuarantine,
    Quarantine,
    SoundAnswer,
)

INTERVAL_SECONDS = 0.25
# Keeps a datagram within the size that networks carry in a few packets.
MAX_FINDINGS_PER_DATAGRAM = 16
MAX_PARTS_PER_DATAGRAM = 64
# A quarantine of more parts is not sent: the other gateways find it from the crashes.
MAX_PARTS_PER_QUARANTINE = 128

Address = tuple[str, int]

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class _Item:
    """A finding, or a piece of one whose parts together have the digest."""

    finding: Finding
    digest: str = ""

    @property
    def size(self) -> int:
        """Number of parts that it names."""
        if isinstance(self.finding, SoundAnswer):
            return 1
        return len(self.finding.parts)


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
        self._piece_joiner = PieceJoiner()
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
        """Apply the findings of a peer, sound answers first."""
        now = self._clock.monotonic()
        for finding in _findings(message, now, self._piece_joiner):
            self._quarantine.merge(finding)

    def _encode(self, findings: Iterable[Finding]) -> Iterable[bytes]:
        for batch in _batches(findings):
            yield encode(self._notice(batch))

    def _notice(self, batch: Iterable[_Item]) -> PromptNotice:
        now = self._clock.monotonic()
        notice = PromptNotice(crashes=[], sound_starts=[], quarantines=[])
        for item in batch:
            match item.finding:
                case CrashReport() as finding:
                    notice.crashes.append(
                        CrashNotice(
                            server=finding.server,
                            parts=sorted(finding.parts),
                            age_ms=_milliseconds(now - finding.at),
                            digest=item.digest,
                        )
                    )
                case SoundAnswer() as finding:
                    notice.sound_starts.append(
                        SoundNotice(
                            part=finding.part,
                            age_ms=_milliseconds(now - finding.at),
                            is_complete=finding.is_complete,
                        )
                    )
                case Quarantine() as finding:
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


def _batches(findings: Iterable[Finding]) -> Iterator[list[_Item]]:
    """Yield the findings in groups that fit into one datagram each."""
    batch: list[_Item] = []
    part_count = 0
    for item in _items(findings):
        is_full = len(batch) == MAX_FINDINGS_PER_DATAGRAM
        if batch and (is_full or part_count + item.size > MAX_PARTS_PER_DATAGRAM):
            yield batch
            batch, part_count = [], 0
        batch.append(item)
        part_count += item.size
    if batch:
        yield batch


def _items(findings: Iterable[Finding]) -> Iterator[_Item]:
    """Yield the findings that can be sent."""
    for finding in findings:
        match finding:
            case CrashReport(parts=parts) if len(parts) > MAX_PARTS_PER_PIECE:
                digest = parts_digest(parts)
                for piece in pieces_of(finding):
                    yield _Item(finding=piece, digest=digest)
            case Quarantine(parts=parts) if len(parts) > MAX_PARTS_PER_QUARANTINE:
                log.warning("quarantine not shared", part_count=len(parts))
            case _:
                yield _Item(finding=finding)


def _findings(
    message: PromptNotice, now: float, piece_joiner: PieceJoiner
) -> Iterator[Finding]:
    """Yield the valid findings of a message.

    A quarantine without parts is malformed: it would refuse all requests. So is one of
    too many, which would refuse more if some of them were left out.
    """
    for notice in (message.sound_starts or ())[:MAX_FINDINGS_PER_DATAGRAM]:
        if notice.part:
            yield SoundAnswer(
                part=notice.part,
                at=_time(now, notice.age_ms),
                is_complete=bool(notice.is_complete),
            )
    for notice in (message.crashes or ())[:MAX_FINDINGS_PER_DATAGRAM]:
        parts = _parts(notice.parts)
        if notice.server and len(parts) <= MAX_PARTS_PER_PIECE:
            piece = CrashReport(
                server=notice.server, parts=parts, at=_time(now, notice.age_ms)
            )
            report = piece_joiner.add(piece, digest=notice.digest or "")
            if report is not None:
                yield report
    for notice in (message.quarantines or ())[:MAX_FINDINGS_PER_DATAGRAM]:
        parts = _parts(notice.parts)
        if 0 < len(parts) <= MAX_PARTS_PER_QUARANTINE:
            yield Quarantine(
                parts=parts,
                sequence=notice.sequence or 0,
                is_active=bool(notice.is_active),
                trial_count=notice.trial_count or 0,
                evidence_at=_time(now, notice.evidence_age_ms),
                trial_at=now + (notice.trial_in_ms or 0) / 1000,
            )


def _parts(names: Sequence[str] | None) -> frozenset[str]:
    return frozenset(name for name in names or () if name)


def _time(now: float, age_ms: int | None) -> float:
    return now - (age_ms or 0) / 1000


def _milliseconds(seconds: float) -> int:
    return min(max(0, round(seconds * 1000)), MAX_INT32)
