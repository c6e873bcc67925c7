"""Keeps the lease of the duties in the platform's store."""

import asyncio
from collections.abc import Callable
from typing import Any

import structlog

from eelgrassdale.clock import Clock
from eelgrassdale.jsondecoding import is_text, whole_number
from eelgrassdale_gateway.duties.dutystore import DutyStore
from eelgrassdale_gateway.duties.lease import (
    DutyPermit,
    LeaseRecord,
    LeaseState,
    Read,
    Wait,
    Write,
    after_new_era,
    after_read,
    after_send,
    after_write,
    next_action,
    permit_of,
)
from eelgrassdale_gateway.duties.settings import DutySettings
from eelgrassdale_gateway.objects import Conflict, StoreUnavailable, Written

OBJECT_NAME = "duties"
# Interval between calls while the store fails; each one has a price.
RETRY_SECONDS = 0.5
MIN_STEP_SECONDS = 0.01
# A gateway that has just started knows few others, and each one would be among the
# first three; heartbeats of all peers arrive within this time.
START_SECONDS = 2.0
MAX_TOKEN = 2**63 - 1

log = structlog.get_logger(__name__)


class LeaseKeeper:
    """Acquires and renews the lease while this gateway is a candidate.

    Parameters
    ----------
    clock : Clock
        Its monotonic time includes the time while the VM is suspended.
    era : callable
        Returns the newest era of the store that this process knows.
    is_candidate : callable
        Returns whether this gateway may hold the lease.
    """

    def __init__(
        self,
        *,
        cfg: DutySettings,
        store: DutyStore,
        kind: str,
        holder: str,
        incarnation: int,
        clock: Clock,
        is_candidate: Callable[[], bool],
        era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._kind = kind
        self._clock = clock
        self._is_candidate = is_candidate
        self._era = era
        self._state = LeaseState(holder=holder, incarnation=incarnation, era=era())
        self._acquired_at: float | None = None
        self._logged_token = 0
        self._is_store_failing = False

    def current_permit(self) -> DutyPermit | None:
        """Return the permit if the lease is valid now; call it before each call."""
        return permit_of(
            self._state, self._cfg, now=self._clock.monotonic(), era=self._era()
        )

    def held_seconds(self) -> float:
        """Return for how long this gateway has held the lease, 0 if it does not."""
        if self._acquired_at is None or self.current_permit() is None:
            return 0.0
        return self._clock.monotonic() - self._acquired_at

    def on_new_era(self, old: int, new: int) -> None:
        """End the lease: the store was restored and may have lost it."""
        if new > self._state.era:
            self._state = after_new_era(
                self._state, self._cfg, era=new, now=self._clock.monotonic()
            )
            self._log_changes(f"store went from era {old} to {new}")

    async def run(self) -> None:
        """Keep the lease until cancelled."""
        await asyncio.sleep(START_SECONDS)
        while True:
            try:
                seconds = await self.step()
            except Exception:
                # An error here must not end the gateway.
                log.exception("error while keeping the lease of the duties")
                seconds = RETRY_SECONDS
            await asyncio.sleep(max(MIN_STEP_SECONDS, seconds))

    async def step(self) -> float:
        """Make at most one call; return the seconds until the next step."""
        self._check_era()
        self._log_changes("not renewed in time")
        now = self._clock.monotonic()
        action = next_action(
            self._state, self._cfg, now=now, is_candidate=self._is_candidate()
        )
        try:
            match action:
                case Wait(seconds=seconds):
                    return seconds
                case Read():
                    await self._read()
                case Write(record=record, revision=revision):
                    is_written = await self._write(record, revision)
                    self._is_store_failing = False
                    if not is_written:
                        return RETRY_SECONDS
        except StoreUnavailable as exc:
            if not self._is_store_failing:
                log.warning("duty lease: store does not answer", reason=str(exc)[:200])
            self._is_store_failing = True
            return RETRY_SECONDS
        finally:
            self._check_era()
        self._is_store_failing = False
        return 0.0

    async def _read(self) -> None:
        era = self._state.era
        try:
            async with asyncio.timeout(self._cfg.store_call_seconds):
                listing = await self._store.list(self._kind)
        except TimeoutError as exc:
            raise StoreUnavailable("reading the lease took too long") from exc
        self._check_era()
        if era != self._state.era:
            # The listing may be of the era before.
            return
        found = [item for item in listing.objects if item.name == OBJECT_NAME]
        self._apply_object(found[0] if found else None)

    async def _write(self, record: LeaseRecord, revision: int | None) -> bool:
        """Write a record; return whether it was done and its era still lasts."""
        era = self._state.era
        sent_at = self._clock.monotonic()
        self._state = after_send(self._state, record, sent_at=sent_at)
        spec = _encode(record)
        seconds = self._cfg.store_call_seconds
        if revision is None:
            result = await self._store.create(
                self._kind, OBJECT_NAME, spec, timeout_seconds=seconds
            )
        else:
            result = await self._store.replace(
                self._kind,
                OBJECT_NAME,
                spec,
                revision=revision,
                timeout_seconds=seconds,
            )
        self._check_era()
        if era != self._state.era:
            # The record holds in the era before only.
            return False
        match result:
            case Written(revision=new_revision):
                self._state = after_write(self._state, record, new_revision)
                self._log_changes("")
                return True
            case Conflict(current=current):
                self._apply_object(current)
                return False

    def _apply_object(self, item: Any) -> None:
        record = _decode(item.spec) if item is not None else None
        if item is not None and record is None:
            # Writing it anew would need no waiting; the operator has to look at it.
            log.error("invalid lease of the duties", spec=repr(item.spec)[:200])
            record = LeaseRecord(holder="", incarnation=0, token=0, renewal=0)
        self._state = after_read(
            self._state,
            record,
            item.revision if item is not None else 0,
            now=self._clock.monotonic(),
        )
        self._log_changes(f"held by {record.holder!r}" if record else "no lease found")

    def _check_era(self) -> None:
        if self._era() > self._state.era:
            self.on_new_era(self._state.era, self._era())

    def _log_changes(self, reason: str) -> None:
        """Log that the lease was acquired or lost since the last call."""
        permit = self.current_permit()
        token = permit.token if permit else 0
        if token == self._logged_token:
            return
        if self._logged_token:
            log.info("duty lease lost", token=self._logged_token, reason=reason)
        if token:
            log.info("duty lease acquired", token=token, era=self._state.era)
        self._acquired_at = self._clock.monotonic() if token else None
        self._logged_token = token


def _encode(record: LeaseRecord) -> dict[str, Any]:
    return {
        "holder": record.holder,
        "incarnation": record.incarnation,
        "token": record.token,
        "renewal": record.renewal,
    }


def _decode(spec: Any) -> LeaseRecord | None:
    try:
        if not is_text(spec["holder"]):
            return None
        return LeaseRecord(
            holder=spec["holder"],
            incarnation=whole_number(spec["incarnation"], highest=MAX_TOKEN),
            token=whole_number(spec["token"], highest=MAX_TOKEN),
            renewal=whole_number(spec["renewal"], highest=MAX_TOKEN),
        )
    except (KeyError, TypeError, ValueError):
        return None
