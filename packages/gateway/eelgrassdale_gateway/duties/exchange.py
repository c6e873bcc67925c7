"""Sends the counts of this gateway to the candidates, and records between them."""

import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping

import structlog
from attrs import define, field, frozen

from eelgrassdale.clock import Clock
from eelgrassdale.jsondecoding import is_text, whole_number
from eelgrassdale_gateway.duties.fleettime import FleetTime
from eelgrassdale_gateway.duties.records import (
    MAX_COUNT,
    MAX_RECORD_ACCOUNTS,
    MAX_WINDOW,
    RecordBook,
    UsageRecord,
)
from eelgrassdale_gateway.duties.reporting import CLOSE_SECONDS
from eelgrassdale_gateway.duties.windows import (
    Counts,
    CountTable,
    OwnCounts,
    SenderCounts,
    window_at,
)
from eelgrassdale_gateway.messages import (
    AccountCount,
    CountsNotice,
    DutyNotice,
    UsageRecordNotice,
    encode,
)

SEND_SECONDS = 1.0
# A value is sent so often after its last change, since datagrams may be lost.
SENDS_PER_VALUE = 3
# The final counts of a window are sent so far apart until the next one ends, so that
# they arrive after an interruption of some seconds.
FINAL_INTERVAL_SECONDS = 2.0
# Records are rare and matter more.
SENDS_PER_RECORD = 3
# Fits into one packet with the fields that are not counts.
MAX_DATAGRAM_BYTES = 1200
FIXED_BYTES = 160
# Of the codec, for each account.
ENTRY_BYTES = 19
# Records of which some pieces have arrived.
MAX_PARTIAL_RECORDS = 64

Address = tuple[str, int]

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class Candidate:
    """A gateway that may hold the duties; this one has no address."""

    name: str
    incarnation: int
    address: Address | None


@define(kw_only=True)
class _SentValue:
    count: int
    sends_left: int


@define(kw_only=True)
class _Candidacy:
    """Since when this gateway has been a candidate, by the time of the fleet."""

    since: float | None = None
    known: frozenset[tuple[str, int]] = field(factory=frozenset)


class CountExchange:
    """Sends and receives counts and records; not thread-safe.

    Parameters
    ----------
    candidates : callable
        Returns the present candidates, which may include this gateway.
    unix_seconds : callable
        Wall clock of this VM.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        window_seconds: float,
        clock: Clock,
        unix_seconds: Callable[[], float],
        candidates: Callable[[], Iterable[Candidate]],
        send: Callable[[bytes, Address], None],
    ) -> None:
        self.own = OwnCounts(window_seconds=window_seconds)
        self.table = CountTable()
        self.book = RecordBook()
        self.fleet_time = FleetTime(clock=clock, unix_seconds=unix_seconds)
        self.started_at = unix_seconds()
        self._name = name
        self._incarnation = incarnation
        self._window_seconds = window_seconds
        self._unix_seconds = unix_seconds
        self._candidates = candidates
        self._send = send
        self._sent: dict[tuple[int, str], _SentValue] = {}
        self._last_final_turn = (-1, 0)
        self._candidacy = _Candidacy()
        self._record_sends: dict[int, int] = {}
        self._partial: dict[tuple[int, int, int], dict[str, int]] = {}

    @property
    def candidate_since(self) -> float:
        """When this gateway became a candidate, infinite if it is none."""
        since = self._candidacy.since
        return float("inf") if since is None else since

    def count(self, account: str) -> None:
        """Count a request of an account that begins to run now."""
        self.own.add(account, unix_seconds=self._unix_seconds())

    async def run(self) -> None:
        """Send what has changed each second, until cancelled."""
        while True:
            try:
                self.send_pending()
            except Exception:
                # An error here must not end the gateway.
                log.exception("error while sending usage counts")
            await asyncio.sleep(SEND_SECONDS)

    def send_pending(self) -> None:
        """Send the counts that changed, all open ones to a new candidate."""
        candidates = list(self._candidates())
        self._update_candidacy(candidates)
        changed = self._changed_counts()
        known = self._candidacy.known
        for candidate in candidates:
            if candidate.address is None:
                self.update_own_counts()
                continue
            is_known = (candidate.name, candidate.incarnation) in known
            counts = changed if is_known else self._open_counts()
            for data in self._counts_datagrams(counts):
                self._send(data, candidate.address)
        self._candidacy.known = frozenset((c.name, c.incarnation) for c in candidates)
        self._resend_records(candidates)

    def send_final(self) -> None:
        """Send all open counts once more, before the process ends."""
        for candidate in self._candidates():
            if candidate.address is not None:
                for data in self._counts_datagrams(self._open_counts()):
                    self._send(data, candidate.address)

    def send_record(self, record: UsageRecord) -> None:
        """Send a record to the other candidates now, and again some times."""
        self._record_sends[record.window] = SENDS_PER_RECORD - 1
        self._send_record(record, list(self._candidates()))

    def send_all_records(self) -> None:
        """Send all records to the other candidates, after the store was restored."""
        for record in self.book.all():
            self.send_record(record)

    def has_final_counts(self, window: int) -> bool:
        """Return whether all that others counted in a window has arrived."""
        self.update_own_counts()
        return not self.table.silent_senders(window) - {self._name}

    def handle(self, notice: DutyNotice) -> None:
        """Apply a notice of another gateway; invalid ones are ignored."""
        try:
            if notice.counts is not None:
                self._handle_counts(notice.counts)
            elif notice.record is not None:
                self._handle_record(notice.record)
        except (TypeError, ValueError) as exc:
            log.info("invalid usage notice ignored", error=repr(exc))

    def _handle_counts(self, notice: CountsNotice) -> None:
        if not is_text(notice.sender) or not notice.sender:
            raise ValueError("no sender")
        sent_at = whole_number(notice.sent_at_ms, highest=MAX_COUNT) / 1000
        since = whole_number(notice.counting_since_ms, highest=MAX_COUNT) / 1000
        self.fleet_time.record(notice.sender, sent_at)
        window = whole_number(notice.window, highest=MAX_WINDOW)
        if self.book.get(window) is not None:
            return
        self.table.record(
            SenderCounts(
                sender=(notice.sender, int(notice.incarnation)),
                window=window,
                counts=_decode_counts(notice.counts),
                counting_since=since,
                is_final=sent_at >= (window + 1) * self._window_seconds,
            ),
            current_window=self._current_window(),
        )

    def _handle_record(self, notice: UsageRecordNotice) -> None:
        window = whole_number(notice.window, highest=MAX_WINDOW)
        era = whole_number(notice.era, highest=2**31)
        account_count = whole_number(notice.account_count, highest=MAX_RECORD_ACCOUNTS)
        key = (window, era, account_count)
        counts = self._partial.setdefault(key, {})
        counts.update(_decode_counts(notice.counts))
        if len(counts) < account_count:
            while len(self._partial) > MAX_PARTIAL_RECORDS:
                del self._partial[next(iter(self._partial))]
            return
        del self._partial[key]
        self.book.merge(
            UsageRecord(
                window=window,
                counts=counts,
                era=era,
                is_accepted=bool(notice.is_accepted),
            )
        )
        self.table.drop([window])

    def _update_candidacy(self, candidates: list[Candidate]) -> None:
        is_candidate = any(candidate.address is None for candidate in candidates)
        if not is_candidate:
            self._candidacy.since = None
        elif self._candidacy.since is None:
            self._candidacy.since = self.fleet_time.now()

    def _current_window(self) -> int:
        return window_at(self.fleet_time.now(), self._window_seconds)

    def _open_counts(self) -> dict[int, Counts]:
        """Return the counts of the windows that no holder has closed yet."""
        oldest = window_at(self._unix_seconds() - CLOSE_SECONDS, self._window_seconds)
        return {k: dict(v) for k, v in self.own.windows().items() if k >= oldest}

    def _changed_counts(self) -> dict[int, Counts]:
        """Return the counts that were not sent often enough yet."""
        changed: dict[int, dict[str, int]] = {}
        sent: dict[tuple[int, str], _SentValue] = {}
        for window, counts in self.own.windows().items():
            for account, count in counts.items():
                value = self._sent.get((window, account))
                if value is None or value.count != count:
                    value = _SentValue(count=count, sends_left=SENDS_PER_VALUE)
                sent[window, account] = value
                if value.sends_left > 0:
                    value.sends_left -= 1
                    changed.setdefault(window, {})[account] = count
        self._sent = sent
        self._add_ended_windows(changed)
        return changed

    def _add_ended_windows(self, changed: dict[int, dict[str, int]]) -> None:
        """Add all counts of the last two windows that have ended, from time to time.

        They are final. An empty notice says that nothing was counted in a window.
        """
        now = self._unix_seconds()
        ended = window_at(now, self._window_seconds) - 1
        since_end = now - (ended + 1) * self._window_seconds
        turn = (ended, int(since_end // FINAL_INTERVAL_SECONDS))
        if turn == self._last_final_turn:
            return
        self._last_final_turn = turn
        windows = self.own.windows()
        for window in (ended - 1, ended):
            if windows.get(window) or windows.get(window - 1):
                changed[window] = dict(windows.get(window, {}))

    def update_own_counts(self) -> None:
        """Include the newest counts of this gateway in the table."""
        current_window = self._current_window()
        for window, counts in self.own.windows().items():
            if self.book.get(window) is not None:
                continue
            self.table.record(
                SenderCounts(
                    sender=(self._name, self._incarnation),
                    window=window,
                    counts=counts,
                    counting_since=self.started_at,
                    is_final=False,
                ),
                current_window=current_window,
            )

    def _counts_datagrams(self, windows: Mapping[int, Counts]) -> Iterator[bytes]:
        for window, counts in windows.items():
            for piece in _pieces(counts):
                notice = CountsNotice(
                    sender=self._name,
                    incarnation=self._incarnation,
                    window=window,
                    counts=piece,
                    sent_at_ms=_milliseconds(self._unix_seconds()),
                    counting_since_ms=_milliseconds(self.started_at),
                )
                yield encode(DutyNotice(counts=notice))

    def _resend_records(self, candidates: list[Candidate]) -> None:
        for window, sends_left in list(self._record_sends.items()):
            record = self.book.get(window)
            if sends_left <= 0 or record is None:
                del self._record_sends[window]
                continue
            self._record_sends[window] = sends_left - 1
            self._send_record(record, candidates)

    def _send_record(self, record: UsageRecord, candidates: list[Candidate]) -> None:
        addresses = [c.address for c in candidates if c.address is not None]
        for piece in _pieces(record.counts) if addresses else ():
            notice = UsageRecordNotice(
                window=record.window,
                era=record.era,
                is_accepted=record.is_accepted,
                account_count=len(record.counts),
                counts=piece,
            )
            data = encode(DutyNotice(record=notice))
            for address in addresses:
                self._send(data, address)


def _pieces(counts: Counts) -> Iterator[list[AccountCount]]:
    """Yield the counts in groups that fit into one datagram each, at least one."""
    piece: list[AccountCount] = []
    size = FIXED_BYTES
    for account, count in counts.items():
        entry_size = ENTRY_BYTES + len(account.encode())
        if piece and size + entry_size > MAX_DATAGRAM_BYTES:
            yield piece
            piece, size = [], FIXED_BYTES
        piece.append(AccountCount(account=account, count=count))
        size += entry_size
    yield piece


def _decode_counts(entries: Iterable[AccountCount] | None) -> dict[str, int]:
    return {
        entry.account: whole_number(entry.count, highest=MAX_COUNT)
        for entry in entries or ()
        if is_text(entry.account)
    }


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * 1000))
