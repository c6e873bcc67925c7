"""Table of the idempotency keys that an agent has seen, bounded in size."""

import heapq
from enum import Enum

from attrs import evolve, frozen

from eelgrassdale.results import ResultCode


class KeyState(Enum):
    """What is known about the request of a key."""

    NEW = "new"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"


@frozen(kw_only=True)
class KeyRecord:
    """Record of one key.

    `held_bytes` is the size of the answer, or its upper bound while the request
    runs. `ticket` identifies the answer; 0 if the key was refused before
    admission.
    """

    state: KeyState
    digest: str
    expires_at_ms: int
    code: ResultCode = ResultCode.OK
    held_bytes: int = 0
    ticket: int = 0


@frozen(kw_only=True)
class KeyLookup:
    """Result of a lookup: the state of the key and the code to answer."""

    state: KeyState
    code: ResultCode = ResultCode.OK
    ticket: int = 0


class KeyTable:
    """Keeps a record of every key until the key expires.

    Parameters
    ----------
    max_keys : int
        Largest number of records.
    max_bytes : int
        Largest sum of the answer sizes in bytes.

    Examples
    --------
    >>> table = KeyTable(max_keys=1, max_bytes=100)
    >>> table.lookup("k1", digest="d").state.value
    'new'
    >>> table.refuse("k1", digest="d", expires_at_ms=9, code=ResultCode.SERVER_BUSY)
    >>> table.lookup("k1", digest="d").code.name
    'KEY_REFUSED'
    >>> table.lookup("k2", digest="d").code.name
    'KEY_TABLE_FULL'
    >>> table.drop_expired(now_ms=10)
    []
    >>> table.lookup("k2", digest="d").code.name
    'OK'

    """

    def __init__(self, *, max_keys: int, max_bytes: int) -> None:
        self._max_keys = max_keys
        self._max_bytes = max_bytes
        self._records: dict[str, KeyRecord] = {}
        self._expiries: list[tuple[int, str]] = []
        self._held_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    @property
    def held_bytes(self) -> int:
        """Bytes of all answers, counting running ones with their upper bound."""
        return self._held_bytes

    def lookup(self, key: str, *, digest: str, answer_bytes: int = 0) -> KeyLookup:
        """Return the state of a key that has not expired and the code to answer.

        `answer_bytes` is the upper bound of its answer, for which there must be
        space if the key is new.
        """
        record = self._records.get(key)
        if record is None:
            return self._lookup_new(answer_bytes)
        if record.digest != digest:
            return KeyLookup(state=record.state, code=ResultCode.KEY_MISMATCH)
        if record.state is KeyState.REFUSED:
            return KeyLookup(state=record.state, code=ResultCode.KEY_REFUSED)
        return KeyLookup(state=record.state, ticket=record.ticket)

    def start(
        self, key: str, *, digest: str, expires_at_ms: int, ticket: int, max_bytes: int
    ) -> None:
        """Record that the request of a new key started."""
        record = KeyRecord(
            state=KeyState.RUNNING,
            digest=digest,
            expires_at_ms=expires_at_ms,
            held_bytes=max_bytes,
            ticket=ticket,
        )
        self._put(key, record)

    def refuse(
        self, key: str, *, digest: str, expires_at_ms: int, code: ResultCode
    ) -> None:
        """Record that a new key was refused, so that repeats are refused too."""
        record = KeyRecord(
            state=KeyState.REFUSED,
            digest=digest,
            expires_at_ms=expires_at_ms,
            code=code,
        )
        self._put(key, record)

    def finish(self, key: str, *, code: ResultCode, held_bytes: int) -> None:
        """Record the outcome of a running key that ran or may have run."""
        record = self._records.get(key)
        if record is None:
            return
        done = evolve(record, state=KeyState.DONE, code=code, held_bytes=held_bytes)
        self._replace(key, record, done)

    def record_not_run(self, key: str, *, code: ResultCode) -> None:
        """Record that the admitted request of a key certainly did not run."""
        record = self._records.get(key)
        if record is None:
            return
        refused = evolve(record, state=KeyState.REFUSED, code=code, held_bytes=0)
        self._replace(key, record, refused)

    def drop_expired(self, *, now_ms: int) -> list[int]:
        """Drop the records past their expiry and return their tickets."""
        tickets = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiries)
            record = self._records.pop(key)
            self._held_bytes -= record.held_bytes
            if record.ticket:
                tickets.append(record.ticket)
        return tickets

    def _lookup_new(self, answer_bytes: int) -> KeyLookup:
        full = len(self._records) >= self._max_keys
        if full or self._held_bytes + answer_bytes > self._max_bytes:
            return KeyLookup(state=KeyState.NEW, code=ResultCode.KEY_TABLE_FULL)
        return KeyLookup(state=KeyState.NEW)

    def _put(self, key: str, record: KeyRecord) -> None:
        self._records[key] = record
        self._held_bytes += record.held_bytes
        heapq.heappush(self._expiries, (record.expires_at_ms, key))

    def _replace(self, key: str, old: KeyRecord, new: KeyRecord) -> None:
        self._records[key] = new
        self._held_bytes += new.held_bytes - old.held_bytes
