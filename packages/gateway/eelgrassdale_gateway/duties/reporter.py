"""Reports the usage of each window to the cloud API, while the lease is held.

A window is reported only with the counts of its record in the store, which is created
once and never changed. So a report that is repeated, by this or another holder, has the
same counts.
"""

import asyncio
from collections.abc import Callable

import structlog
from attrs import evolve

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.duties.cloudcalls import CloudCallFailed, CloudCalls
from eelgrassdale_gateway.duties.dutystore import DutyStore
from eelgrassdale_gateway.duties.exchange import CountExchange
from eelgrassdale_gateway.duties.lease import DutyPermit
from eelgrassdale_gateway.duties.records import (
    STORED_WINDOWS,
    UsageRecord,
    decode_record,
    encode_record,
)
from eelgrassdale_gateway.duties.reporting import (
    CLOSE_SECONDS,
    Coverage,
    Verdict,
    closed_windows,
    latest_close,
    verdict,
)
from eelgrassdale_gateway.duties.settings import DutySettings
from eelgrassdale_gateway.objects import Conflict, StoreUnavailable, Written

IDLE_SECONDS = 0.25
STORE_CALL_SECONDS = 1.5
STORE_RETRY_SECONDS = 0.5
# A report is repeated until it was accepted or this time has passed.
GIVE_UP_SECONDS = 60.0
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 4.0

log = structlog.get_logger(__name__)


class UsageReporter:
    """Creates the records of closed windows and sends them.

    Parameters
    ----------
    current_permit : callable
        Returns the permit of this gateway, or None; called before each call.
    exchange : CountExchange
        The counts and records that this gateway knows.
    era : callable
        Returns the newest era of the store that this process knows.
    """

    def __init__(
        self,
        *,
        cfg: DutySettings,
        store: DutyStore,
        kind: str,
        cloud: CloudCalls,
        current_permit: Callable[[], DutyPermit | None],
        exchange: CountExchange,
        clock: Clock,
        era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._kind = kind
        self._cloud = cloud
        self._current_permit = current_permit
        self._exchange = exchange
        self._book = exchange.book
        self._clock = clock
        self._era = era
        self._known_era = era()
        self._era_noticed_at = float("-inf")
        # Token of the lease under which the records in the store were read.
        self._loaded_token: int | None = None
        self._settled: set[int] = set()
        self._attempts: dict[int, int] = {}
        self._unmarked: set[int] = set()
        self._old_objects: set[str] = set()
        self._backoff_seconds = FIRST_BACKOFF_SECONDS
        self._retry_at = float("-inf")
        self._is_store_failing = False
        self.reported_count = 0
        self.late_count = 0
        self.unknown_count = 0

    def on_new_era(self, old: int, new: int) -> None:
        """Give the other candidates all records: the store may have lost them."""
        if new <= self._known_era:
            return
        self._known_era = new
        self._era_noticed_at = self._exchange.fleet_time.now()
        self._loaded_token = None
        self._exchange.send_all_records()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            try:
                seconds = await self.step()
            except Exception:
                # An error here must not end the gateway.
                log.exception("error while reporting usage")
                self._loaded_token = None
                seconds = STORE_RETRY_SECONDS
            await asyncio.sleep(seconds)

    async def step(self) -> float:
        """Do one thing that is due; return the seconds until the next step."""
        try:
            seconds = await self._do_next()
            self._is_store_failing = False
            return seconds
        except StoreUnavailable as exc:
            if not self._is_store_failing:
                log.warning(
                    "usage records: store does not answer", reason=str(exc)[:200]
                )
            self._is_store_failing = True
            # What was written is read again.
            self._loaded_token = None
            return STORE_RETRY_SECONDS

    async def _do_next(self) -> float:
        self._check_era()
        now = self._exchange.fleet_time.now()
        self._forget_old(now)
        permit = self._current_permit()
        if permit is None:
            self._loaded_token = None
            return IDLE_SECONDS
        if self._loaded_token != permit.token:
            await self._load(permit)
            return 0.0
        window = self._next_without_record(now)
        if window is not None:
            await self._close(window)
            return 0.0
        record = self._next_unstored()
        if record is not None:
            await self._store_record(record)
            return 0.0
        record = self._next_unsent(now)
        if record is not None and self._clock.monotonic() >= self._retry_at:
            await self._send(record)
            return 0.0
        return 0.0 if await self._tidy() else IDLE_SECONDS

    def _check_era(self) -> None:
        if self._era() > self._known_era:
            self.on_new_era(self._known_era, self._era())

    async def _load(self, permit: DutyPermit) -> None:
        """Read the records of earlier holders, which may not have been sent."""
        era = self._era()
        listing = await self._store.list(self._kind)
        if self._era() != era:
            return
        oldest = self._oldest_kept(self._exchange.fleet_time.now())
        for item in listing.objects:
            record = decode_record(item, era=era)
            if record is None:
                log.error("invalid usage record", name=item.name)
            elif record.window < oldest:
                self._old_objects.add(item.name)
            else:
                self._book.merge(record)
        self._loaded_token = permit.token

    def _next_without_record(self, now: float) -> int | None:
        if self._exchange.candidate_since == float("inf"):
            # Its counts no longer arrive; the next holder may have them.
            return None
        for window in closed_windows(now, window_seconds=self._cfg.window_seconds):
            if window in self._settled or self._book.get(window) is not None:
                continue
            return window if self._is_complete(window, now) else None
        return None

    def _is_complete(self, window: int, now: float) -> bool:
        """Return whether nothing more of a window is to be waited for."""
        ends_at = (window + 1) * self._cfg.window_seconds
        if now >= ends_at + latest_close(late_seconds=self._cfg.late_seconds):
            return True
        return self._exchange.has_final_counts(window)

    async def _close(self, window: int) -> None:
        """Create the record of a window if its counts are known."""
        exchange = self._exchange
        exchange.update_own_counts()
        coverage = Coverage(
            started_at=exchange.started_at,
            candidate_since=exchange.candidate_since,
            others_since=exchange.table.counting_since(window),
            era_noticed_at=self._era_noticed_at,
            is_incomplete=exchange.table.is_incomplete(window),
        )
        seconds = self._cfg.window_seconds
        if verdict(window, coverage, window_seconds=seconds) is Verdict.UNKNOWN:
            self._settled.add(window)
            # Windows before the start may have been reported by others.
            if (window + 1) * seconds > exchange.started_at:
                self.unknown_count += 1
                log.warning("usage of a window is unknown", window=window)
            return
        record = UsageRecord(
            window=window, counts=exchange.table.total(window), era=self._era()
        )
        await self._store_record(record)

    async def _store_record(self, record: UsageRecord) -> None:
        """Create an object in the present era, or take over the one that exists."""
        era = self._era()
        if self._current_permit() is None:
            return
        result = await self._store.create(
            self._kind,
            str(record.window),
            encode_record(record),
            timeout_seconds=STORE_CALL_SECONDS,
        )
        if self._era() != era:
            # It is unknown in which era the record was written.
            return
        match result:
            case Written(revision=revision):
                stored = evolve(record, era=era, revision=revision)
            case Conflict(current=current):
                stored = decode_record(current, era=era) if current else None
        if stored is None:
            raise StoreUnavailable(f"record {record.window} is not readable")
        self._book.merge(stored)
        self._exchange.table.drop([record.window])

    def _next_unstored(self) -> UsageRecord | None:
        """Return a record that the store of this era may lack, also an accepted one.

        Its window must not be reported again by a gateway that does not know it.
        """
        for record in self._book.all():
            is_sound = record.window not in self._book.conflicts
            if is_sound and not record.is_stored(self._era()):
                return record
        return None

    def _next_unsent(self, now: float) -> UsageRecord | None:
        stored = [r for r in self._sendable(now) if r.is_stored(self._era())]
        # A window that is refused again and again must not hold up the others.
        return min(
            stored,
            key=lambda record: (self._attempts.get(record.window, 0), record.window),
            default=None,
        )

    def _sendable(self, now: float) -> list[UsageRecord]:
        seconds = self._cfg.window_seconds
        return [
            record
            for record in self._book.all()
            if not record.is_accepted
            and record.window not in self._book.conflicts
            and now - (record.window + 1) * seconds <= CLOSE_SECONDS + GIVE_UP_SECONDS
        ]

    async def _send(self, record: UsageRecord) -> None:
        self._exchange.send_record(record)
        permit = self._current_permit()
        if permit is None or not record.is_stored(self._era()):
            return
        self._attempts[record.window] = self._attempts.get(record.window, 0) + 1
        try:
            await self._cloud.report_usage(permit, record.window, record.counts)
        except CloudCallFailed as exc:
            self._retry_at = self._clock.monotonic() + self._backoff_seconds
            log.warning(
                "usage report failed; retrying",
                window=record.window,
                status=exc.status,
                may_have_run=exc.may_have_run,
                reason=str(exc)[:200],
                retry_in=self._backoff_seconds,
            )
            self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)
            return
        self._backoff_seconds = FIRST_BACKOFF_SECONDS
        self._record_accepted(record)

    def _record_accepted(self, record: UsageRecord) -> None:
        ends_at = (record.window + 1) * self._cfg.window_seconds
        seconds = self._exchange.fleet_time.now() - ends_at
        self.reported_count += 1
        is_late = seconds > self._cfg.late_seconds
        self.late_count += is_late
        log.info(
            "usage reported",
            window=record.window,
            accounts=len(record.counts),
            requests=sum(record.counts.values()),
            seconds_after_end=round(seconds, 3),
            is_late=is_late,
        )
        accepted = evolve(record, is_accepted=True)
        self._book.merge(accepted)
        self._exchange.send_record(accepted)
        self._unmarked.add(record.window)

    async def _tidy(self) -> bool:
        """Mark an accepted record, or delete an old one; return whether it did."""
        if self._unmarked:
            await self._mark(self._unmarked.pop())
            return True
        if self._old_objects:
            await self._store.delete(self._kind, self._old_objects.pop())
            return True
        return False

    async def _mark(self, window: int) -> None:
        record = self._book.get(window)
        era = self._era()
        if record is None or not record.is_stored(era):
            return
        result = await self._store.replace(
            self._kind,
            str(window),
            encode_record(record),
            revision=record.revision,
            timeout_seconds=STORE_CALL_SECONDS,
        )
        if isinstance(result, Written) and self._era() == era:
            self._book.merge(evolve(record, revision=result.revision))

    def _oldest_kept(self, now: float) -> int:
        seconds = self._cfg.window_seconds
        return closed_windows(now, window_seconds=seconds).stop - STORED_WINDOWS

    def _forget_old(self, now: float) -> None:
        oldest = self._oldest_kept(now)
        for record in self._book.all():
            if record.window >= oldest:
                break
            if record.is_stored(self._era()):
                self._old_objects.add(str(record.window))
        self._book.drop_before(oldest)
        self._settled = {window for window in self._settled if window >= oldest}
        self._attempts = {k: n for k, n in self._attempts.items() if k >= oldest}
