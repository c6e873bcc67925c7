"""Comparison of a gateway's copies of objects with the store's position.

A watch of the store may never be answered although its connection stays open: the
store does not answer a call that arrives while it is out of service, nor does it
afterwards. All watchers can lose a watch at the same moment, and then no gateway
knows more than the others. So each gateway that reads from the store asks it at
short intervals whether anything has changed that its watches did not report.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import TypeVar

import structlog

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.eras import Position
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.objects import HistoryGone, ObjectSource, StoreUnavailable

# Well above the answer of a slow store; no further check begins meanwhile.
CALL_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.5
# A watch may be about to report a change that a check has found.
WATCH_LAG_SECONDS = 0.25
# One call may fail with its connection; the next one uses another connection.
FAILURES_OF_OUTAGE = 2

log = structlog.get_logger(__name__)

T = TypeVar("T")


def _has_all_changes(mirrors: Sequence[Mirror], store_revision: int) -> bool:
    """Return whether mirrors of one era account for each step of the store's revision.

    The store has one revision for all kinds, which each change increases. Where other
    programs write kinds without a mirror, or a change is counted as several, this is
    false, and the kinds have to be read.
    """
    complete_to = min(mirror.position.revision for mirror in mirrors)
    known: set[int] = set()
    for mirror in mirrors:
        known |= mirror.change_log.revisions_after(complete_to)
    steps = sum(revision <= store_revision for revision in known)
    return steps >= store_revision - complete_to


class CopyCheck:
    """Refreshes the mirrors whose watches have missed changes.

    Parameters
    ----------
    store : ObjectSource
        The platform's store.
    mirrors : sequence of Mirror
        The copies of this gateway.
    reads_from_store : callable
        Returns whether the copy of a kind comes from the store itself. Other copies
        are kept up to date by the gateways that they come from.
    interval_seconds : float
        Longest time between two checks. It is part of the time after which a change
        is known that a watch has missed.
    """

    def __init__(
        self,
        *,
        store: ObjectSource,
        mirrors: Sequence[Mirror],
        reads_from_store: Callable[[str], bool],
        clock: Clock,
        interval_seconds: float,
    ) -> None:
        self._store = store
        self._mirrors = mirrors
        self._reads_from_store = reads_from_store
        self._clock = clock
        self._interval_seconds = interval_seconds
        self._failure_count = 0
        self._failing_since = 0.0
        # Intervals need no reproducible randomness.
        self._rng = Random()

    async def run(self) -> None:
        """Check at each interval until cancelled."""
        while True:
            await asyncio.sleep(self._interval_seconds * self._rng.uniform(0.8, 1.0))
            while not await self.check():
                if self._failure_count >= FAILURES_OF_OUTAGE:
                    await asyncio.sleep(RETRY_SECONDS)

    async def check(self) -> bool:
        """Compare all copies once; return False if the store did not answer."""
        mirrors = [m for m in self._mirrors if self._is_from_store(m)]
        if not mirrors:
            self._failure_count = 0
            return True
        started_at = self._clock.monotonic()
        try:
            await self._check_mirrors(mirrors)
        except StoreUnavailable as exc:
            self._record_failure(mirrors, exc, started_at=started_at)
            return False
        return True

    def _is_from_store(self, mirror: Mirror) -> bool:
        return mirror.position is not None and self._reads_from_store(mirror.kind)

    async def _check_mirrors(self, mirrors: Sequence[Mirror]) -> None:
        smallest = min(mirrors, key=lambda mirror: len(mirror.change_log.objects))
        listing = await self._call(self._store.list(smallest.kind))
        self._record_answer(mirrors)
        mirrors = self._mirrors_of_era(mirrors, listing.era)
        if not mirrors:
            return
        if _has_all_changes(mirrors, listing.revision):
            for mirror in mirrors:
                mirror.confirm(listing.position)
            return
        for mirror in mirrors:
            if mirror.position is not None and mirror.position < listing.position:
                await self._check_mirror(mirror, listing.position)

    def _mirrors_of_era(self, mirrors: Sequence[Mirror], era: int) -> list[Mirror]:
        """Return the mirrors of the store's era; refresh those of an earlier one."""
        for mirror in mirrors:
            mirror.refresh_for_era(era)
        return [m for m in mirrors if m.position is not None and m.position.era == era]

    async def _check_mirror(self, mirror: Mirror, store_position: Position) -> None:
        """Look for changes between a mirror's position and the store's."""
        answers = mirror.answer_count
        position = mirror.position
        try:
            changes = await self._call(
                self._store.watch(mirror.kind, position=position, wait_seconds=0.0)
            )
        except HistoryGone:
            mirror.refresh()
            return
        if changes.era != position.era:
            mirror.refresh_for_era(changes.era)
            return
        if changes.changes:
            await asyncio.sleep(WATCH_LAG_SECONDS)
        if mirror.answer_count != answers:
            # The copy is another one now; the next check compares it.
            return
        if changes.changes:
            log.warning(
                "watch missed changes; reading the whole kind again",
                kind=mirror.kind,
                at=position.revision,
                changes=len(changes.changes),
                silence=round(mirror.seconds_without_answer(), 3),
            )
            mirror.refresh()
        else:
            mirror.confirm(store_position)

    async def _call(self, call: Awaitable[T]) -> T:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await call
        except TimeoutError as exc:
            raise StoreUnavailable("no answer to a check") from exc

    def _record_failure(
        self, mirrors: Sequence[Mirror], exc: StoreUnavailable, *, started_at: float
    ) -> None:
        if self._failure_count == 0:
            self._failing_since = started_at
        self._failure_count += 1
        if self._failure_count == FAILURES_OF_OUTAGE:
            log.warning("store does not answer checks", reason=str(exc))
        if self._failure_count >= FAILURES_OF_OUTAGE:
            for mirror in mirrors:
                mirror.record_store_failure(since=self._failing_since)

    def _record_answer(self, mirrors: Sequence[Mirror]) -> None:
        if self._failure_count >= FAILURES_OF_OUTAGE:
            for mirror in mirrors:
                mirror.record_store_answer()
        self._failure_count = 0
