"""Keeps quarantines in the platform's store, for when all gateways restart at once.

The store is read once at the start and written when a quarantine begins, has a trial or
is lifted. In between, gateways tell each other (`exchange`). A store that was restored
from an older copy has lost some entries, which are written again.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import structlog

from eelgrassdale.clock import Clock
from eelgrassdale.hashing import digest_of, rendezvous_order
from eelgrassdale.jsondecoding import whole_number
from eelgrassdale_gateway.eras import (
    REWRITE_JITTER_SECONDS,
    EraTracker,
    call_with_jitter,
)
from eelgrassdale_gateway.objects import Listing, StoredObject, StoreUnavailable
from eelgrassdale_gateway.quarantine.evidence import CrashReport
from eelgrassdale_gateway.quarantine.state import (
    FIRST_TRIAL_SECONDS,
    Finding,
    PromptQuarantine,
    Quarantine,
    SoundAnswer,
)
from eelgrassdale_gateway.shares import GatewayGroup, single_gateway_group

RETRY_SECONDS = 0.5
# An older entry is deleted: engines and models have changed since.
MAX_AGE_SECONDS = 86_400
# States that wait for the store; of each combination of parts only the newest one.
MAX_UNWRITTEN = 64
# The store refuses objects that are too large.
MAX_PARTS = 128
# Bounds of what entries may hold; larger values are errors of their writers.
MAX_SEQUENCE = 2**30
MAX_TRIAL_COUNT = 100

log = structlog.get_logger(__name__)


class ObjectStore(Protocol):
    """The calls of the platform's store that the archive needs."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind; raises `StoreUnavailable`."""
        ...

    async def put(self, kind: str, name: str, spec: Mapping[str, Any]) -> None:
        """Create or replace an object; raises `StoreUnavailable`."""
        ...

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists; raises `StoreUnavailable`."""
        ...


class QuarantineArchive:
    """Reads the stored quarantines at the start and writes those found here.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    kind : str
        Kind of the objects.
    quarantine : PromptQuarantine
        What this gateway knows.
    unix_seconds : callable
        Returns the time of day. The age of entries is compared with a day, so clocks
        that differ by seconds do not matter.
    eras : EraTracker
        Tells when the store was restored.
    gateway_group : callable
        Returns the gateways, one of which rewrites each entry after a restoration, as
        does the one that wrote it.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        kind: str,
        quarantine: PromptQuarantine,
        clock: Clock,
        unix_seconds: Callable[[], float] = time.time,
        eras: EraTracker | None = None,
        gateway_group: Callable[[], GatewayGroup] = single_gateway_group,
    ) -> None:
        self._store = store
        self._kind = kind
        self._quarantine = quarantine
        self._clock = clock
        self._unix_seconds = unix_seconds
        self._unwritten: dict[frozenset[str], Quarantine] = {}
        self._has_unwritten = asyncio.Event()
        # Parts of the quarantines that this gateway wrote last, oldest first.
        self._own: dict[frozenset[str], None] = {}
        self._gateway_group = gateway_group
        quarantine.subscribe(self._record)
        if eras is not None:
            eras.subscribe(self._on_new_era)

    async def run(self) -> None:
        """Read the stored quarantines, then write new states until cancelled."""
        await self._retry(self._load)
        while True:
            await self._has_unwritten.wait()
            self._has_unwritten.clear()
            while self._unwritten:
                await self._retry(self._write_next)

    def _record(self, finding: Finding) -> None:
        match finding:
            case Quarantine():
                is_storable = len(finding.parts) <= MAX_PARTS
                if is_storable and len(self._unwritten) < MAX_UNWRITTEN:
                    self._unwritten[finding.parts] = finding
                    self._has_unwritten.set()
                    self._own.pop(finding.parts, None)
                    self._own[finding.parts] = None
                    while len(self._own) > MAX_UNWRITTEN:
                        del self._own[next(iter(self._own))]
            case CrashReport() | SoundAnswer():
                # Not kept: they count for two minutes only.
                pass

    def _on_new_era(self, _old_era: int, _era: int) -> None:
        call_with_jitter(REWRITE_JITTER_SECONDS, self._rewrite_active)

    def _rewrite_active(self) -> None:
        for quarantine in self._quarantine.active():
            if len(quarantine.parts) <= MAX_PARTS and self._is_writer(quarantine.parts):
                self._unwritten.setdefault(quarantine.parts, quarantine)
                self._has_unwritten.set()

    def _is_writer(self, parts: frozenset[str]) -> bool:
        """Return whether this gateway rewrites an entry, written here or by any."""
        group = self._gateway_group()
        order = rendezvous_order(key=object_name(parts), members=group.members)
        return parts in self._own or order[0] == group.own_name

    async def _retry(self, call) -> None:
        while True:
            try:
                await call()
                return
            except StoreUnavailable as exc:
                log.warning("quarantines not stored; retrying", reason=str(exc))
                await asyncio.sleep(RETRY_SECONDS)

    async def _load(self) -> None:
        listing = await self._store.list(self._kind)
        for item in listing.objects:
            quarantine = self._decode(item)
            if quarantine is None:
                await self._store.delete(self._kind, item.name)
            else:
                self._quarantine.merge(quarantine)

    async def _write_next(self) -> None:
        parts, quarantine = next(iter(self._unwritten.items()))
        name = object_name(parts)
        if quarantine.is_active:
            await self._store.put(self._kind, name, self._encode(quarantine))
        else:
            await self._store.delete(self._kind, name)
        if self._unwritten.get(parts) is quarantine:
            del self._unwritten[parts]

    def _encode(self, quarantine: Quarantine) -> dict[str, Any]:
        return {
            "parts": sorted(quarantine.parts),
            "sequence": quarantine.sequence,
            "trial_count": quarantine.trial_count,
            "written_at": int(self._unix_seconds()),
        }

    def _decode(self, item: StoredObject) -> Quarantine | None:
        """Return the quarantine of an entry, or None if it is invalid or too old."""
        now = self._clock.monotonic()
        unix_now = int(self._unix_seconds())
        try:
            parts = frozenset(str(part) for part in item.spec["parts"] if part)
            if not parts:
                raise ValueError("no parts")
            # The clocks of its writer and of this gateway may differ.
            whole_number(
                item.spec["written_at"],
                lowest=unix_now - MAX_AGE_SECONDS,
                highest=unix_now + MAX_AGE_SECONDS,
            )
            return Quarantine(
                parts=parts,
                sequence=whole_number(item.spec["sequence"], highest=MAX_SEQUENCE),
                is_active=True,
                trial_count=whole_number(
                    item.spec["trial_count"], highest=MAX_TRIAL_COUNT
                ),
                evidence_at=now,
                trial_at=now + FIRST_TRIAL_SECONDS,
            )
        except (KeyError, TypeError, ValueError) as exc:
            log.warning(
                "invalid or old quarantine deleted", name=item.name, error=repr(exc)
            )
            return None


def object_name(parts: frozenset[str]) -> str:
    """Return the name under which a quarantine is stored.

    Examples
    --------
    >>> object_name(frozenset({"m/a", "m/b"})) == object_name(frozenset({"m/b", "m/a"}))
    True

    """
    return digest_of("\n".join(sorted(parts)).encode())
