"""Copies of the kinds of objects in the platform's store, kept by watching."""

import asyncio
from collections.abc import Callable, Mapping
from random import Random

import structlog

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.changelog import ChangeLog
from eelgrassdale_gateway.objects import (
    HistoryGone,
    ObjectSource,
    StoredObject,
    StoreUnavailable,
)

# Waits between tries while the store does not answer. Each call has a price
# and counts against a rate that all nodes share.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.6
WATCH_SECONDS = 25.0

log = structlog.get_logger(__name__)


class Mirror:
    """Keeps a copy of one kind of objects.

    Parameters
    ----------
    on_change : callable
        Called with all objects by name after each change.
    on_reached : callable
        Called after an outage of the store, with its length in seconds.
    settle : float
        Seconds between a change and the next call. Changes of kinds with many
        writers come in bursts, which then cost one call.
    """

    def __init__(
        self,
        *,
        kind: str,
        source: ObjectSource,
        clock: Clock,
        on_change: Callable[[Mapping[str, StoredObject]], None],
        on_reached: Callable[[float], None] = lambda seconds: None,
        settle: float = 0.0,
    ) -> None:
        self._source = source
        self._clock = clock
        self._on_change = on_change
        self._on_reached = on_reached
        self._settle = settle
        self.kind = kind
        self.log = ChangeLog()
        self._revision: int | None = None
        self._store_failed = False
        self._lost_at: float | None = None
        self._pause = FIRST_PAUSE_SECONDS
        self._stale = asyncio.Event()
        # Backoff needs no reproducible randomness.
        self._rng = Random()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            try:
                await self._step_or_refresh()
            except HistoryGone:
                log.info("store history gone", kind=self.kind, at=self._revision)
                self._revision = None
            except StoreUnavailable as exc:
                # A watch that starts again at an old revision may wait for
                # changes that the store has just dropped from its history.
                self._revision = None
                await self._wait_after(exc)

    def refresh(self) -> None:
        """Read the whole kind anew, because others know more."""
        self._stale.set()

    async def _step_or_refresh(self) -> None:
        step = asyncio.ensure_future(self._step())
        stale = asyncio.ensure_future(self._stale.wait())
        try:
            await asyncio.wait((step, stale), return_when=asyncio.FIRST_COMPLETED)
            if step.done():
                step.result()
                return
            log.info("store read anew", kind=self.kind, at=self._revision)
            self._revision = None
        finally:
            self._stale.clear()
            step.cancel()
            stale.cancel()

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._source.list(self.kind)
            self._note_reached()
            self._revision = listing.revision
            found = {item.name: item for item in listing.objects}
            self.log.replace(found, listing.revision)
            self._on_change(self.log.objects)
            return
        changes = await self._source.watch(
            self.kind, revision=self._revision, wait=WATCH_SECONDS
        )
        self._note_reached()
        self._revision = max(self._revision, changes.revision)
        self.log.add(changes.changes, self._revision)
        if changes.changes:
            self._on_change(self.log.objects)
            await asyncio.sleep(self._settle)

    def _note_reached(self) -> None:
        self._pause = FIRST_PAUSE_SECONDS
        if self._lost_at is None:
            return
        seconds = self._clock.monotonic() - self._lost_at
        self._lost_at = None
        log.info("store reached", kind=self.kind, outage=round(seconds, 3))
        if self._store_failed:
            self._store_failed = False
            self._on_reached(seconds)

    async def _wait_after(self, exc: StoreUnavailable) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            log.warning("store lost", kind=self.kind, reason=str(exc))
            self.log.lose()
        self._store_failed |= exc.of_store
        await asyncio.sleep(self._pause * self._rng.uniform(0.5, 1.0))
        self._pause = min(MAX_PAUSE_SECONDS, 2 * self._pause)
