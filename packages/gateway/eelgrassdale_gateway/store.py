"""What a gateway needs of the platform's object store, and mirrors of its kinds."""

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Protocol

import structlog
from attrs import frozen

from eelgrassdale.clock import Clock

# Waits between tries while the store does not answer. Each call has a price
# and counts against a rate that all nodes share.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.6
WATCH_SECONDS = 25.0

log = structlog.get_logger(__name__)


class StoreUnavailable(Exception):
    """The store refused a call or did not answer it."""


class HistoryGone(Exception):
    """The store no longer knows what changed since the revision."""


@frozen(kw_only=True)
class StoredObject:
    """One object of a kind; `spec` and `status` are decoded bodies."""

    name: str
    revision: int
    spec: Any = None
    status: Any = None


@frozen(kw_only=True)
class Change:
    """One object that changed or was deleted."""

    object: StoredObject
    is_deleted: bool = False


@frozen(kw_only=True)
class Listing:
    """All objects of a kind at a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


@frozen(kw_only=True)
class Changes:
    """Changes of a kind up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: int


class ObjectSource(Protocol):
    """Reads objects; raises `StoreUnavailable`."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        ...

    async def watch(self, kind: str, *, revision: int, wait: float) -> Changes:
        """Return what changed after a revision, at the latest after `wait` seconds.

        Raises `HistoryGone` if the store dropped that part of its history.
        """
        ...


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
        self._kind = kind
        self._source = source
        self._clock = clock
        self._on_change = on_change
        self._on_reached = on_reached
        self._settle = settle
        self._objects: dict[str, StoredObject] = {}
        self._revision: int | None = None
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
                log.info("store history gone", kind=self._kind, at=self._revision)
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
            log.info("store read anew", kind=self._kind, at=self._revision)
            self._revision = None
        finally:
            self._stale.clear()
            step.cancel()
            stale.cancel()

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._source.list(self._kind)
            self._note_reached()
            self._objects = {item.name: item for item in listing.objects}
            self._revision = listing.revision
            self._on_change(self._objects)
            return
        changes = await self._source.watch(
            self._kind, revision=self._revision, wait=WATCH_SECONDS
        )
        self._note_reached()
        for change in changes.changes:
            if change.is_deleted:
                self._objects.pop(change.object.name, None)
            else:
                self._objects[change.object.name] = change.object
        self._revision = max(self._revision, changes.revision)
        if changes.changes:
            self._on_change(self._objects)
            await asyncio.sleep(self._settle)

    def _note_reached(self) -> None:
        self._pause = FIRST_PAUSE_SECONDS
        if self._lost_at is None:
            return
        seconds = self._clock.monotonic() - self._lost_at
        self._lost_at = None
        log.info("store reached", kind=self._kind, outage=round(seconds, 3))
        self._on_reached(seconds)

    async def _wait_after(self, exc: StoreUnavailable) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()
            log.warning("store lost", kind=self._kind, reason=str(exc))
        await asyncio.sleep(self._pause * self._rng.uniform(0.5, 1.0))
        self._pause = min(MAX_PAUSE_SECONDS, 2 * self._pause)
