"""Usage records: the counts of a window that may be reported, and no others.

The store has each record at most once, and its counts never change. Candidates keep
them in memory as well, for the case that the store is restored from an older copy.
"""

from collections.abc import Mapping
from typing import Any

import structlog
from attrs import evolve, frozen

from eelgrassdale.jsondecoding import is_text, whole_number
from eelgrassdale_gateway.duties.windows import MAX_ACCOUNTS, Counts
from eelgrassdale_gateway.objects import StoredObject

# The sum over all gateways may have more accounts than one of them counts.
MAX_RECORD_ACCOUNTS = 4 * MAX_ACCOUNTS
MAX_COUNT = 2**53
MAX_WINDOW = 2**40
# Older objects are deleted.
STORED_WINDOWS = 20
# Records known without a revision are not known to be in the store.
NOT_STORED = -1

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class UsageRecord:
    """The counts of a window.

    `era` is the one in which the store acknowledged or showed it, `revision` that of
    the object, or `NOT_STORED`.
    """

    window: int
    counts: Counts
    era: int
    revision: int = NOT_STORED
    is_accepted: bool = False

    def is_stored(self, era: int) -> bool:
        """Return whether this process knows that the store of this era has it."""
        return self.era == era and self.revision != NOT_STORED


class RecordBook:
    """The records that this process knows, by window.

    `conflicts` are windows with two different records, of which none may be sent.
    """

    def __init__(self) -> None:
        self._records: dict[int, UsageRecord] = {}
        self.conflicts: set[int] = set()

    def get(self, window: int) -> UsageRecord | None:
        """Return the record of a window, or None."""
        return self._records.get(window)

    def all(self) -> list[UsageRecord]:
        """Return all records, the oldest window first."""
        return [self._records[window] for window in sorted(self._records)]

    def merge(self, record: UsageRecord) -> None:
        """Add a record, or what it says of one that is known already."""
        known = self._records.get(record.window)
        if known is None:
            self._records[record.window] = record
            return
        if known.counts != record.counts:
            if record.window not in self.conflicts:
                log.error(
                    "two usage records of one window; it is not reported",
                    window=record.window,
                )
            self.conflicts.add(record.window)
            return
        newest = max(known, record, key=lambda item: (item.era, item.revision))
        is_accepted = known.is_accepted or record.is_accepted
        self._records[record.window] = evolve(newest, is_accepted=is_accepted)

    def drop_before(self, window: int) -> None:
        """Forget old windows."""
        self._records = {k: v for k, v in self._records.items() if k >= window}
        self.conflicts = {k for k in self.conflicts if k >= window}


def encode_record(record: UsageRecord) -> dict[str, Any]:
    """Return the spec of the object."""
    return {"counts": dict(record.counts), "accepted": record.is_accepted}


def decode_record(item: StoredObject, *, era: int) -> UsageRecord | None:
    """Return the record of an object, or None if it is none.

    Examples
    --------
    >>> item = StoredObject(name="7", revision=3, spec={"counts": {"a": 2}})
    >>> decode_record(item, era=0).counts
    {'a': 2}

    """
    try:
        counts = item.spec["counts"]
        if not isinstance(counts, Mapping) or len(counts) > MAX_RECORD_ACCOUNTS:
            return None
        if not all(is_text(account) for account in counts):
            return None
        return UsageRecord(
            window=whole_number(int(item.name), highest=MAX_WINDOW),
            counts={
                account: whole_number(count, highest=MAX_COUNT)
                for account, count in counts.items()
            },
            era=era,
            revision=item.revision,
            is_accepted=item.spec.get("accepted") is True,
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
