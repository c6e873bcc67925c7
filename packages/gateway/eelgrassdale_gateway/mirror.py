"""Copies of the objects in the platform's store, kept up to date by watching."""

import asyncio
from collections.abc import Callable, Mapping
from random import Random

import structlog

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.changelog import ChangeLog
from eelgrassdale_gateway.eras import RELIST_JITTER_SECONDS, Position
from eelgrassdale_gateway.objects import (
    HistoryGone,
    ObjectSource,
    StoredObject,
    StoreUnavailable,
)

# Bounds of the exponential backoff while no source answers. Each call of the
# store has a price and counts against a rate limit that all nodes share.
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.6
WATCH_TIMEOUT_SECONDS = 25.0

log = structlog.get_logger(__name__)


class Mirror:
    """Maintains a copy of all objects of one kind.

    Parameters
    ----------
    on_change : callable
        Called after each change, with all objects by name.
    on_recovery : callable
        Called when the objects can be read again after an outage in which a call
        of the store itself failed, here or at the gateway from which changes come,
        with its length in seconds.
    debounce_seconds : float
        Seconds between a change and the next call. Kinds with many writers change
        in bursts, which then cost one call.
    follows_gateway : callable
        Returns whether the copy comes from another gateway, which may stand still.

    Attributes
    ----------
    staleness_seconds : float
        How long ago the changes may have been made with which `on_change` is called.
        It is above 0 where the whole kind was read again as the gateway from which
        changes came did not tell of them. An outage of the store does not count.
    answer_count : int
        Number of listings and watches that the source has answered.
    """

    def __init__(
        self,
        *,
        kind: str,
        source: ObjectSource,
        clock: Clock,
        on_change: Callable[[Mapping[str, StoredObject]], None],
        on_recovery: Callable[[float], None] = lambda seconds: None,
        debounce_seconds: float = 0.0,
        follows_gateway: Callable[[], bool] = lambda: False,
    ) -> None:
        self._source = source
        self._clock = clock
        self._on_change = on_change
        self._on_recovery = on_recovery
        self._debounce_seconds = debounce_seconds
        self._follows_gateway = follows_gateway
        self.kind = kind
        self.change_log = ChangeLog()
        self.staleness_seconds = 0.0
        self.answer_count = 0
        self._position: Position | None = None
        self._answered_at: float | None = None
        self._store_failed = False
        self._unavailable_since: float | None = None
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._refresh_requested = asyncio.Event()
        # Backoff needs no reproducible randomness.
        self._rng = Random()

    @property
    def position(self) -> Position | None:
        """Position in the store's history to which the copy is known to be complete.

        None while the kind has to be read as a whole.
        """
        return self._position

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        while True:
            try:
                await self._step_or_refresh()
            except HistoryGone:
                log.info(
                    "change history expired; reading all objects",
                    kind=self.kind,
                    at=self._revision(),
                )
                self._position = None
            except StoreUnavailable as exc:
                # A new watch from the old revision may wait for changes that the
                # store has just dropped from its history.
                self._position = None
                await self._back_off(exc)

    def refresh(self) -> None:
        """Read the whole kind again, because other nodes have newer changes."""
        self._refresh_requested.set()

    def refresh_for_era(self, era: int) -> None:
        """Read the whole kind again if the copy is of an earlier era."""
        if self.change_log.era < era:
            self.refresh()

    def confirm(self, position: Position) -> None:
        """Record that the store has no further changes up to a position.

        The next watch starts there, so that it needs no history of before. A position
        of another era says nothing of this copy.
        """
        if self._position is not None and self._position.era == position.era:
            self._position = max(self._position, position)
            self._answered_at = self._clock.monotonic()

    def record_store_failure(self, *, since: float) -> None:
        """Record that the store itself does not answer, although a watch is open."""
        self._store_failed = True
        if self._unavailable_since is None:
            self._unavailable_since = since

    def record_store_answer(self) -> None:
        """Record that the store answers again, although a watch is still open."""
        self._end_outage()

    async def _step_or_refresh(self) -> None:
        step = asyncio.ensure_future(self._step())
        refresh = asyncio.ensure_future(self._refresh_requested.wait())
        try:
            await asyncio.wait((step, refresh), return_when=asyncio.FIRST_COMPLETED)
            if step.done():
                step.result()
                if not self._refresh_requested.is_set():
                    return
            log.info(
                "copy is stale; reading the whole kind again",
                kind=self.kind,
                at=self._revision(),
            )
            self._position = None
        finally:
            self._refresh_requested.clear()
            step.cancel()
            refresh.cancel()

    async def _step(self) -> None:
        if self._position is None:
            has_followed = self._follows_gateway()
            listing = await self._source.list(self.kind)
            self._require_known_era(listing.position)
            self.staleness_seconds = 0.0
            if has_followed and not self._store_failed:
                self.staleness_seconds = self.seconds_without_answer()
            self._record_success()
            self._record_reported_outage(listing.outage_seconds)
            self._position = listing.position
            objects = {item.name: item for item in listing.objects}
            self.change_log.replace(objects, listing.position)
            self._apply_change()
            return
        changes = await self._source.watch(
            self.kind, position=self._position, wait_seconds=WATCH_TIMEOUT_SECONDS
        )
        self._require_known_era(changes.position)
        if changes.era > self._position.era:
            # The changes do not follow on the copy, which lacks what the store lost.
            log.info(
                "store was restored; reading the whole kind again",
                kind=self.kind,
                at=self._revision(),
                era=changes.era,
            )
            self._position = None
            await asyncio.sleep(self._rng.uniform(0.0, RELIST_JITTER_SECONDS))
            return
        self.staleness_seconds = 0.0
        self._record_success()
        self._record_reported_outage(changes.outage_seconds)
        self._position = max(self._position, changes.position)
        self.change_log.add(changes.changes, self._position)
        if changes.changes:
            self._apply_change()
            await asyncio.sleep(self._debounce_seconds)

    def _revision(self) -> int | None:
        return None if self._position is None else self._position.revision

    def _require_known_era(self, position: Position) -> None:
        """Raise `StoreUnavailable` for an answer from before the era of the copy."""
        if position.era < self.change_log.era:
            log.warning(
                "answer of an earlier era dropped",
                kind=self.kind,
                era=position.era,
                known_era=self.change_log.era,
            )
            raise StoreUnavailable(
                "answer of an earlier era of the store", is_store_failure=False
            )

    def _apply_change(self) -> None:
        try:
            self._on_change(self.change_log.objects)
        except Exception:
            # The task that runs this mirror would end the process, with all requests.
            log.exception("objects cannot be applied", kind=self.kind)

    def seconds_without_answer(self) -> float:
        """Return the seconds since the source last answered, 0 before it first did."""
        if self._answered_at is None:
            return 0.0
        return self._clock.monotonic() - self._answered_at

    def _record_success(self) -> None:
        self.answer_count += 1
        self._answered_at = self._clock.monotonic()
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._end_outage()

    def _end_outage(self) -> None:
        if self._unavailable_since is None:
            return
        seconds = self._clock.monotonic() - self._unavailable_since
        self._unavailable_since = None
        log.info("objects can be read again", kind=self.kind, outage=round(seconds, 3))
        if self._store_failed:
            self._store_failed = False
            self.change_log.record_outage(seconds, now=self._clock.monotonic())
            self._on_recovery(seconds)

    def _record_reported_outage(self, seconds: float) -> None:
        """Record an outage that another gateway reports; 0 if there was none."""
        if seconds > 0:
            self._on_recovery(seconds)

    async def _back_off(self, exc: StoreUnavailable) -> None:
        is_first_failure = self._unavailable_since is None
        if is_first_failure:
            self._unavailable_since = self._clock.monotonic()
        # The store may have failed checks before its watch failed.
        if is_first_failure or self.change_log.position is not None:
            log.warning(
                "objects cannot be read; retrying", kind=self.kind, reason=str(exc)
            )
            self.change_log.mark_unavailable()
        self._store_failed |= exc.is_store_failure
        await asyncio.sleep(self._backoff_seconds * self._rng.uniform(0.5, 1.0))
        self._backoff_seconds = min(MAX_BACKOFF_SECONDS, 2 * self._backoff_seconds)
