"""Buffer of one answer between the backend server and its readers."""

import threading
from collections.abc import Callable
from enum import Enum

import xxhash
from attrs import Factory, frozen

from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import InvariantMonitor

# Every answer may hold this much even when the bound of all answers is
# reached, so that stopped readers cannot starve the others.
MIN_WINDOW_BYTES = 4 * 1024
# Largest piece that a producer appends after it was told that there is space.
PIECE_BYTES = 4 * 1024
SPACE_CHECK_SECONDS = 0.05


@frozen(kw_only=True)
class Finish:
    """How an answer ended."""

    code: ResultCode
    http_status: int = 200
    headers: dict[str, str] = Factory(dict)


class Space(Enum):
    """Whether more of the answer may be read from the backend server."""

    FREE = "free"
    STALLED = "stalled"
    GONE = "gone"


class BufferBudget:
    """Bytes that all answers hold together.

    Parameters
    ----------
    max_bytes : int
        Bound of the bytes.
    max_answers : int
        Number of answers that can exist; `MIN_WINDOW_BYTES` and one piece are
        set aside for each of them.
    """

    def __init__(self, *, max_bytes: int, max_answers: int) -> None:
        self.max_bytes = max_bytes
        self._shared_bytes = max_bytes - max_answers * (MIN_WINDOW_BYTES + PIECE_BYTES)
        self._lock = threading.Lock()
        self._held = 0

    @property
    def held_bytes(self) -> int:
        """Bytes held at present."""
        return self._held

    def add(self, amount: int) -> None:
        """Count `amount` more bytes, fewer when it is negative."""
        with self._lock:
            self._held += amount

    def is_full(self) -> bool:
        """Return whether only the part set aside for each answer is left."""
        return self._held >= self._shared_bytes


class Answer:
    """Bytes of one answer, appended by one thread and read at offsets.

    An answer is read by one reader, whose acknowledgement frees the bytes
    before it, or is `kept` whole for any number of readers. A producer names
    the epoch it was started in; `new_epoch` makes the late bytes of an earlier
    producer invalid.

    Parameters
    ----------
    start : int
        Offset of the first byte.
    prefix : bytes
        Text before `start`, part of the digest.
    kept : bool
        Whether all bytes are kept.
    window_bytes : int
        Bound of the bytes held when the answer is not kept.
    max_bytes : int
        Bound of the whole answer.
    budget : BufferBudget
        Bound of all answers.
    monitor : InvariantMonitor
        Checks that the bytes are contiguous and of one model version.
    model_version : str
        Model version that the request was admitted for, empty for none.
    is_text : bool
        Whether the bytes are UTF-8 text.
    """

    def __init__(
        self,
        *,
        start: int = 0,
        prefix: bytes = b"",
        kept: bool = False,
        window_bytes: int,
        max_bytes: int,
        budget: BufferBudget,
        monitor: InvariantMonitor,
        model_version: str = "",
        is_text: bool = False,
    ) -> None:
        self.is_text = is_text
        self.kept = kept
        self.max_bytes = max_bytes
        self.model_version = model_version
        self.finished: Finish | None = None
        self.epoch = 1
        self.head = Finish(code=ResultCode.OK)
        self._window_bytes = max(window_bytes, MIN_WINDOW_BYTES)
        self._budget = budget
        self._monitor = monitor
        self._changed = threading.Condition()
        self._listeners: list[Callable[[], None]] = []
        self._data = bytearray()
        self._base = start
        self._digest = xxhash.xxh3_128(prefix)

    @property
    def base(self) -> int:
        """Offset of the first byte held."""
        return self._base

    @property
    def end(self) -> int:
        """Offset after the last byte received."""
        return self._base + len(self._data)

    @property
    def digest(self) -> str:
        """xxh3_128 of everything received, with the prefix."""
        return self._digest.hexdigest()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every change."""
        with self._changed:
            self._listeners = [*self._listeners, listener]

    def unlisten(self, listener: Callable[[], None]) -> None:
        """Stop calling `listener`."""
        with self._changed:
            listeners = list(self._listeners)
            listeners.remove(listener)
            self._listeners = listeners

    def append(
        self, data: bytes, *, epoch: int, offset: int, model_version: str = ""
    ) -> bool:
        """Add bytes at `offset`; return false for a producer that is over."""
        with self._changed:
            if epoch != self.epoch or self.finished is not None:
                return False
            holds = self._monitor.check(
                offset == self.end, "frames_contiguous", offset=offset, end=self.end
            )
            holds &= self._monitor.check(
                model_version == self.model_version,
                "one_model_version",
                admitted=self.model_version,
                received=model_version,
            )
            if not holds:
                return False
            self._data += data
            self._digest.update(data)
            self._budget.add(len(data))
        self._notify()
        return True

    def finish(self, finish: Finish, *, epoch: int | None = None) -> bool:
        """End the answer once; return false when it had ended or moved on."""
        with self._changed:
            if self.finished is not None:
                return False
            if epoch is not None and epoch != self.epoch:
                return False
            self.finished = finish
            self._changed.notify_all()
        self._notify()
        return True

    def new_epoch(self) -> int:
        """Make the present producer invalid and return the epoch of the next."""
        with self._changed:
            self.epoch += 1
            self._changed.notify_all()
            return self.epoch

    def acknowledge(self, offset: int) -> None:
        """Free the bytes before `offset`, which its only reader has."""
        with self._changed:
            count = offset - self._base
            if self.kept or count <= 0 or offset > self.end:
                return
            del self._data[:count]
            self._base = offset
            self._budget.add(-count)
            self._changed.notify_all()

    def read(self, offset: int, max_bytes: int) -> bytes:
        """Return bytes from `offset`, empty where none are held."""
        with self._changed:
            first = offset - self._base
            if first < 0:
                return b""
            return bytes(self._data[first : first + max_bytes])

    def has_space(self) -> bool:
        """Return whether the producer may read more."""
        held = len(self._data)
        if self.kept or held < MIN_WINDOW_BYTES:
            return True
        return held < self._window_bytes and not self._budget.is_full()

    def wait_for_space(self, *, epoch: int, seconds: float) -> Space:
        """Wait until more may be read, `STALLED` after `seconds` without space."""
        if epoch == self.epoch and self.finished is None and self.has_space():
            return Space.FREE
        waited = 0.0
        with self._changed:
            while True:
                if epoch != self.epoch or self.finished is not None:
                    return Space.GONE
                if self.has_space():
                    return Space.FREE
                if waited >= seconds:
                    return Space.STALLED
                self._changed.wait(SPACE_CHECK_SECONDS)
                waited += SPACE_CHECK_SECONDS

    def discard(self) -> None:
        """Free all bytes and drop those of the present producer."""
        with self._changed:
            self.epoch += 1
            self._budget.add(-len(self._data))
            self._base += len(self._data)
            self._data.clear()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
