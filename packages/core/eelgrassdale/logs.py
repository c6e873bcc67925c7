"""Structured logs in JSON or for a console.

Programs that must not block on a slow log reader write through a
`BoundedWriter`, and limit the rate of each kind of event with a `RateLimiter`.
"""

import logging
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping, MutableMapping
from typing import Any, TextIO

import structlog
from attrs import define, field

LOG_FORMATS = ("json", "console")

# Queued for a slow reader. Callers choose some of the ids in a line, which may be long.
MAX_QUEUED_LINES = 5_000
MAX_QUEUED_CHARACTERS = 2_097_152
# Token bucket for each kind of event: burst size and refill rate.
EVENT_BURST_LINES = 200.0
EVENT_LINES_PER_SECOND = 60.0
DROP_REPORT_INTERVAL_SECONDS = 5.0
WRITE_INTERVAL_SECONDS = 0.05


def configure_logs(
    *,
    log_format: str,
    level: str,
    file: TextIO | None = None,
    rate_limit: "RateLimiter | None" = None,
    **context: object,
) -> None:
    """Configure structlog to write one line for each event.

    Parameters
    ----------
    log_format : str
        `json` or `console`.
    level : str
        Lowest level that is written: `debug`, `info`, `warning` or `error`.
    file : TextIO, optional
        Destination of the lines; standard error by default.
    rate_limit : RateLimiter, optional
        Drops debug and info events that exceed a rate.
    **context : object
        Fields added to every event, such as the name of the node.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    processors = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        _add_context(context),
        renderer,
    ]
    if rate_limit is not None:
        processors.insert(0, rate_limit)
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=file or sys.stderr),
        cache_logger_on_first_use=True,
    )


def _add_context(context):
    def processor(_logger, _method, event):
        return {**context, **event}

    return processor


@define
class _Bucket:
    tokens: float
    updated_at: float


@define
class RateLimiter:
    """Structlog processor that limits the rate of each kind of event.

    Warnings and errors always pass. Events with the same text but different
    result codes are different kinds, so that frequent successes do not cause
    the line of a failure to be dropped. Dropped events are counted by kind, and
    the counts are added to a later event as `dropped`.

    Examples
    --------
    >>> limit = RateLimiter(burst=2.0, rate=1.0, clock=lambda: 0.0)
    >>> for _ in range(2):
    ...     _ = limit(None, "info", {"event": "sent"})
    >>> limit(None, "info", {"event": "sent"})
    Traceback (most recent call last):
        ...
    structlog.exceptions.DropEvent
    >>> limit(None, "warning", {"event": "sent"})["dropped"]
    {'sent': 1}

    """

    burst: float = EVENT_BURST_LINES
    rate: float = EVENT_LINES_PER_SECOND
    clock: Callable[[], float] = time.monotonic
    dropped: Counter[str] = field(factory=Counter)
    _buckets: dict[str, _Bucket] = field(factory=dict)
    _reported_at: float = float("-inf")

    def __call__(
        self, _logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> Mapping[str, Any]:
        """Return the event, or raise `structlog.DropEvent`."""
        now = self.clock()
        kind = _event_kind(event)
        if method in ("debug", "info") and not self._try_acquire(kind, now):
            self.dropped[kind] += 1
            raise structlog.DropEvent
        if self.dropped and now - self._reported_at >= DROP_REPORT_INTERVAL_SECONDS:
            self._reported_at = now
            event["dropped"] = dict(self.dropped)
            self.dropped.clear()
        return event

    def _try_acquire(self, kind: str, now: float) -> bool:
        bucket = self._buckets.setdefault(kind, _Bucket(self.burst, now))
        gained = (now - bucket.updated_at) * self.rate
        bucket.tokens = min(self.burst, bucket.tokens + gained)
        bucket.updated_at = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True


def _event_kind(event: Mapping[str, Any]) -> str:
    name = str(event.get("event", ""))
    return f"{name} {event['code']}" if "code" in event else name


class BoundedWriter:
    """Text file whose `write` never blocks.

    A thread writes the queued lines. When the queue is full, the oldest lines
    are dropped, and their number is written with the next batch. The newest line is
    kept whatever its length.
    """

    def __init__(self, *, file: TextIO, limit: int = MAX_QUEUED_LINES) -> None:
        self._file = file
        self._lines: deque[str] = deque()
        self._max_lines = limit
        self._characters = 0
        self._lock = threading.Lock()
        self._dropped_lines = 0
        self._ready = threading.Event()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queue a line."""
        with self._lock:
            self._lines.append(text)
            self._characters += len(text)
            while len(self._lines) > 1 and self._is_full():
                self._characters -= len(self._lines.popleft())
                self._dropped_lines += 1
        self._ready.set()
        return len(text)

    def _is_full(self) -> bool:
        return (
            len(self._lines) > self._max_lines
            or self._characters > MAX_QUEUED_CHARACTERS
        )

    def flush(self) -> None:
        """Do nothing, since the writer thread flushes after each batch."""

    def close(self, *, timeout_seconds: float) -> None:
        """Write the queued lines; return after at most `timeout_seconds`."""
        self._is_closed = True
        self._ready.set()
        self._thread.join(timeout_seconds)

    def _run(self) -> None:
        while not self._is_closed or self._lines:
            self._ready.wait()
            self._ready.clear()
            self._write_queued()
            # The pause collects lines that follow each other closely into one
            # write.
            time.sleep(WRITE_INTERVAL_SECONDS)

    def _write_queued(self) -> None:
        with self._lock:
            text = "".join(self._lines)
            self._lines.clear()
            self._characters = 0
            dropped_lines, self._dropped_lines = self._dropped_lines, 0
        if dropped_lines:
            text += f'{{"event": "log lines dropped", "lines": {dropped_lines}}}\n'
        if text:
            self._file.write(text)
            self._file.flush()
