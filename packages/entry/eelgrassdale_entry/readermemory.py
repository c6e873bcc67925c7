"""Bound on the memory of all responses that wait for callers in this node."""

import threading

from eelgrassdale.telemetry import InvariantMonitor, Metrics

READER_WINDOW_BYTES = 64 * 1024
# The writer holds at most one encoded piece per reader: 2 KiB of text, which JSON
# escapes make at most six times longer, and its chunk header.
MAX_PIECE_BYTES = 2 * 1024
MAX_ENCODED_PIECE_BYTES = 6 * MAX_PIECE_BYTES + 256


class ReaderMemoryBudget:
    """Counts bytes held for callers and grants windows within one bound.

    A window is reserved before data is requested from the agent, so the bound holds
    even if every stream returns all that was requested. Each reader's window is at
    most an equal share of the bound, so that callers that stopped reading cannot
    use up the windows of the others.

    Parameters
    ----------
    bound_bytes : int
        Largest sum of held and reserved bytes.

    Examples
    --------
    >>> metrics = Metrics()
    >>> monitor = InvariantMonitor(metrics=metrics)
    >>> memory = ReaderMemoryBudget(bound_bytes=100, metrics=metrics, monitor=monitor)
    >>> memory.reserve(wanted=80, held=0), memory.reserve(wanted=80, held=0)
    (80, 20)
    >>> memory.settle(reserved=80, received=30)
    >>> memory.release(30)
    >>> memory.reserve(wanted=100, held=0)
    80

    """

    def __init__(
        self, *, bound_bytes: int, metrics: Metrics, monitor: InvariantMonitor
    ) -> None:
        self.bound_bytes = bound_bytes
        self._metrics = metrics
        self._monitor = monitor
        self._lock = threading.Lock()
        self._held = 0
        self._reserved = 0
        self._peak = 0
        self._readers = 0

    def open_reader(self) -> bool:
        """Count a new reader; return False when memory does not allow another one."""
        with self._lock:
            needed = (self._readers + 1) * MAX_ENCODED_PIECE_BYTES
            fits = needed <= self.bound_bytes // 2
            self._readers += fits
        return fits

    def close_reader(self) -> None:
        """Stop counting a reader that `open_reader` counted."""
        with self._lock:
            self._readers -= 1

    def reserve(self, *, wanted: int, held: int) -> int:
        """Reserve a window for a reader that already holds `held` bytes.

        Return the number of granted bytes, at most `wanted`.
        """
        with self._lock:
            usable = self.bound_bytes - self._readers * MAX_ENCODED_PIECE_BYTES
            share = usable // max(self._readers, 1) - held
            free = usable - self._held - self._reserved
            granted = max(0, min(wanted, share, free))
            self._reserved += granted
        return granted

    def settle(self, *, reserved: int, received: int) -> None:
        """Replace a reservation by the bytes that were received."""
        with self._lock:
            self._reserved -= reserved
            self._held += received
            self._peak = max(self._peak, self._held)
            held = self._held
        self._monitor.check(
            held <= self.bound_bytes,
            "reader_memory_bound",
            held=held,
            bound=self.bound_bytes,
        )

    def add_encoding_overhead(self, extra_bytes: int) -> None:
        """Count the bytes that encoding added to a held piece."""
        with self._lock:
            self._held += extra_bytes
            self._peak = max(self._peak, self._held)

    def release(self, count: int) -> None:
        """Release held bytes that were sent or discarded."""
        with self._lock:
            self._held -= count

    def publish_gauges(self) -> None:
        """Set the gauges that `status` reports."""
        with self._lock:
            held, peak = self._held, self._peak
        self._metrics.gauge("reader_bytes", held)
        self._metrics.gauge("reader_bytes_peak", peak)
