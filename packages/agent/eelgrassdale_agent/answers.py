"""Buffer of one answer between the backend server and its readers."""

import threading
from collections.abc import Callable
from enum import Enum

import xxhash
from attrs import Factory, frozen

from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import InvariantMonitor

# Each answer may buffer this much even when the shared budget is used up, so that
# readers that stopped reading cannot starve the others.
MIN_WINDOW_BYTES = 4 * 1024
# Largest piece that a producer appends after one check for free space.
PIECE_BYTES = 4 * 1024
SPACE_CHECK_INTERVAL_SECONDS = 0.05


@frozen(kw_only=True)
class AnswerStatus:
    """Result code, HTTP status and headers of an answer."""

    code: ResultCode
    http_status: int = 200
    headers: dict[str, str] = Factory(dict)


class SpaceStatus(Enum):
    """Whether the producer may append more to an answer.

    `STALLED` means that the reader freed no space in time, `ENDED` that the answer has
    ended or its producer was superseded.
    """

    FREE = "free"
    STALLED = "stalled"
    ENDED = "gone"


class BufferBudget:
    """Memory budget shared by all answers.

    Parameters
    ----------
    max_bytes : int
        Upper bound on the bytes buffered by all answers together.
    max_answers : int
        Largest number of answers; `MIN_WINDOW_BYTES` plus one piece is reserved
        for each of them.
    """

    def __init__(self, *, max_bytes: int, max_answers: int) -> None:
        self.max_bytes = max_bytes
        self._shared_bytes = max_bytes - max_answers * (MIN_WINDOW_BYTES + PIECE_BYTES)
        self._lock = threading.Lock()
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes buffered now."""
        return self._held_bytes

    def add(self, amount: int) -> None:
        """Add `amount` bytes to the total; a negative amount releases bytes."""
        with self._lock:
            self._held_bytes += amount

    def is_full(self) -> bool:
        """Return whether only the space reserved for each answer is left."""
        return self._held_bytes >= self._shared_bytes


class AnswerBuffer:
    """Bytes of one answer, appended by one thread and read at offsets.

    An answer has either one reader, whose acknowledgements free the bytes that it
    has read, or is retained completely (`is_retained`) for any number of readers.
    A producer passes the epoch in which it was started; `start_epoch` begins a new
    one, so that late bytes of an earlier producer are rejected.

    Parameters
    ----------
    start : int
        Offset of the first byte.
    prefix : bytes
        Text before `start`, included in the digest.
    is_retained : bool
        Whether all bytes are retained.
    window_bytes : int
        Upper bound on the buffered bytes of an answer that is not retained.
    max_bytes : int
        Upper bound on the length of the complete answer.
    budget : BufferBudget
        Memory budget of all answers.
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
        is_retained: bool = False,
        window_bytes: int,
        max_bytes: int,
        budget: BufferBudget,
        monitor: InvariantMonitor,
        model_version: str = "",
        is_text: bool = False,
    ) -> None:
        self.is_text = is_text
        self.is_retained = is_retained
        self.max_bytes = max_bytes
        self.model_version = model_version
        self.final_status: AnswerStatus | None = None
        self.epoch = 1
        self.initial_status = AnswerStatus(code=ResultCode.OK)
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
        """Offset of the first byte in the buffer."""
        return self._base

    @property
    def end(self) -> int:
        """Offset after the last byte received."""
        return self._base + len(self._data)

    @property
    def digest(self) -> str:
        """xxh3_128 digest of the prefix and all bytes received, in hexadecimal."""
        return self._digest.hexdigest()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every change."""
        with self._changed:
            self._listeners = [*self._listeners, listener]

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Stop calling `listener`."""
        with self._changed:
            listeners = list(self._listeners)
            listeners.remove(listener)
            self._listeners = listeners

    def append(
        self, data: bytes, *, epoch: int, offset: int, model_version: str = ""
    ) -> bool:
        """Append bytes at `offset`; return False if they are rejected.

        Bytes are rejected when the answer has ended, when their producer was
        superseded, or when they violate an invariant.
        """
        with self._changed:
            if epoch != self.epoch or self.final_status is not None:
                return False
            is_valid = self._monitor.check(
                offset == self.end, "frames_contiguous", offset=offset, end=self.end
            )
            is_valid &= self._monitor.check(
                model_version == self.model_version,
                "one_model_version",
                admitted=self.model_version,
                received=model_version,
            )
            if not is_valid:
                return False
            self._data += data
            self._digest.update(data)
            self._budget.add(len(data))
        self._notify()
        return True

    def finish(self, finish: AnswerStatus, *, epoch: int | None = None) -> bool:
        """End the answer; return False if it has ended or `epoch` is not current."""
        with self._changed:
            if self.final_status is not None:
                return False
            if epoch is not None and epoch != self.epoch:
                return False
            self.final_status = finish
            self._changed.notify_all()
        self._notify()
        return True

    def start_epoch(self) -> int:
        """Invalidate the current producer and return the epoch of the next one."""
        with self._changed:
            self.epoch += 1
            self._changed.notify_all()
            return self.epoch

    def acknowledge(self, offset: int) -> None:
        """Free the bytes before `offset`, which the only reader has received.

        Does nothing for a retained answer or an offset after the end.
        """
        with self._changed:
            count = offset - self._base
            if self.is_retained or count <= 0 or offset > self.end:
                return
            del self._data[:count]
            self._base = offset
            self._budget.add(-count)
            self._changed.notify_all()

    def read(self, offset: int, max_bytes: int) -> bytes:
        """Return up to `max_bytes` from `offset`, empty if none are in the buffer."""
        with self._changed:
            begin = offset - self._base
            if begin < 0:
                return b""
            return bytes(self._data[begin : begin + max_bytes])

    def has_space(self) -> bool:
        """Return whether the producer may append another piece."""
        held = len(self._data)
        if self.is_retained or held < MIN_WINDOW_BYTES:
            return True
        return held < self._window_bytes and not self._budget.is_full()

    def wait_for_space(self, *, epoch: int, timeout_seconds: float) -> SpaceStatus:
        """Wait for space; return `STALLED` after `timeout_seconds` without any."""
        if epoch == self.epoch and self.final_status is None and self.has_space():
            return SpaceStatus.FREE
        waited = 0.0
        with self._changed:
            while True:
                if epoch != self.epoch or self.final_status is not None:
                    return SpaceStatus.ENDED
                if self.has_space():
                    return SpaceStatus.FREE
                if waited >= timeout_seconds:
                    return SpaceStatus.STALLED
                self._changed.wait(SPACE_CHECK_INTERVAL_SECONDS)
                waited += SPACE_CHECK_INTERVAL_SECONDS

    def discard(self) -> None:
        """Free all bytes and reject further ones from the current producer."""
        with self._changed:
            self.epoch += 1
            self._budget.add(-len(self._data))
            self._base += len(self._data)
            self._data.clear()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
