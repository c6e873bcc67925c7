"""Tests of the non-blocking log writer and of the rate limit for events."""

import io
import os
import threading
import time

import pytest
import structlog

from eelgrassdale import logs
from eelgrassdale.logs import BoundedWriter, RateLimiter


def test_writer_does_not_block_on_a_full_pipe():
    """Guards against requests that block when the log reader stops reading."""
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as pipe:
        writer = BoundedWriter(file=pipe, limit=100)
        started_at = time.monotonic()
        for number in range(20_000):
            writer.write(f"{number:0100d}\n")
        seconds = time.monotonic() - started_at
        drain_thread = threading.Thread(
            target=_read_until_end, args=(read_end,), daemon=True
        )
        drain_thread.start()
        writer.close(timeout_seconds=5)
    drain_thread.join(5)
    assert seconds < 5
    assert not drain_thread.is_alive()


def _read_until_end(end):
    while os.read(end, 65_536):
        pass
    os.close(end)


def test_dropped_lines_are_counted():
    file = io.StringIO()
    writer = BoundedWriter(file=file, limit=2)
    with writer._lock:
        writer._lines.extend(["a\n", "b\n"])
    writer.write("c\n")
    writer.close(timeout_seconds=5)
    assert '"lines": 1' in file.getvalue()
    assert file.getvalue().startswith("b\nc\n")


def test_queued_lines_take_a_bounded_number_of_characters(monkeypatch):
    """Guards against long lines that fill the memory while nobody reads the log.

    A caller's request id of 16 kB is in each line of its request.
    """
    monkeypatch.setattr(logs, "MAX_QUEUED_CHARACTERS", 1000)
    file = io.StringIO()
    writer = BoundedWriter(file=file)
    with writer._lock:
        writer._lock, lock = threading.RLock(), writer._lock
        for number in range(100):
            writer.write(f"{number:0299d}\n")
        queued = sum(map(len, writer._lines))
        writer._lock = lock
    writer.write(2000 * "x" + "\n")
    writer.close(timeout_seconds=5)
    assert queued == 900
    assert '"lines": 100' in file.getvalue()
    assert file.getvalue().startswith("x")


def test_rate_limit_drops_frequent_events_only():
    now = [0.0]
    limit = RateLimiter(burst=3.0, rate=1.0, clock=lambda: now[0])
    kept = []
    for _ in range(10):
        try:
            kept.append(limit(None, "info", {"event": "sent"}))
        except structlog.DropEvent:
            continue
    assert len(kept) == 3
    assert limit(None, "info", {"event": "ended"})["dropped"] == {"sent": 7}
    now[0] = 2.0
    assert limit(None, "info", {"event": "sent"}) == {"event": "sent"}


@pytest.mark.parametrize("method", ["warning", "error"])
def test_warnings_are_never_dropped(method):
    limit = RateLimiter(burst=0.0, rate=0.0)
    assert (
        limit(None, method, {"event": "objects cannot be read; retrying"})["event"]
        == "objects cannot be read; retrying"
    )


def test_frequent_successes_do_not_drop_a_failure():
    limit = RateLimiter(burst=1.0, rate=0.0)
    success = {"event": "request ended", "code": "OK"}
    limit(None, "info", dict(success))
    with pytest.raises(structlog.DropEvent):
        limit(None, "info", dict(success))
    failure = {"event": "request ended", "code": "QUEUE_FULL"}
    assert limit(None, "info", failure)["dropped"] == {"request ended OK": 1}
