"""Processor time of one log line, from the call to the write.

Multiplied by the number of lines that a process writes and divided by its
total processor time, this figure gives the share of logging. Lines above the
rate limit of their event are dropped before they are rendered and cost less.
"""

import os
import time
from collections.abc import Iterator

import structlog

from eelgrassdale.logs import (
    WRITE_INTERVAL_SECONDS,
    BoundedWriter,
    RateLimiter,
    configure_logs,
)

LINE_COUNT = 20_000
# Small enough for the writer's queue to hold a batch between two writes.
BATCH_LINES = 2_000
UNLIMITED = 1e9
CLOSE_TIMEOUT_SECONDS = 5.0
US_PER_SECOND = 1e6
# Fields of the two most frequent log lines of a gateway.
PLACED_FIELDS = {
    "request": "c3bc93dfa93409e1",
    "server": "i-9f1a4bb7f8",
    "service": "engine",
    "expected": 0.182,
    "waited": 0.0,
    "late": False,
    "configuration": 11,
}
ENDED_FIELDS = {
    "request": "c3bc93dfa93409e1",
    "service": "engine",
    "code": "OK",
    "route": "r-7uxp6cm",
    "seconds": 0.9,
    "allowed": 2.247,
    "sends": 1,
    "events": 21,
}


def run() -> Iterator[dict[str, object]]:
    """Yield the processor time of a written and of a dropped line in microseconds."""
    with open(os.devnull, "w") as sink:
        writer = BoundedWriter(file=sink)
        try:
            written_us = _us_per_line(
                RateLimiter(burst=UNLIMITED, rate=UNLIMITED), writer
            )
            dropped_us = _us_per_line(RateLimiter(burst=0.0, rate=0.0), writer)
        finally:
            writer.close(timeout_seconds=CLOSE_TIMEOUT_SECONDS)
            configure_logs(log_format="json", level="warning")
    yield {
        "us_a_written_line": round(written_us, 1),
        "us_a_dropped_line": round(dropped_us, 1),
    }


def _us_per_line(rate_limit: RateLimiter, writer: BoundedWriter) -> float:
    structlog.reset_defaults()
    configure_logs(
        log_format="json",
        level="info",
        file=writer,
        rate_limit=rate_limit,
        node="front-1",
    )
    log = structlog.get_logger(__name__)
    before = time.process_time()
    for _ in range(LINE_COUNT // BATCH_LINES):
        for _ in range(BATCH_LINES // 2):
            log.info("request placed", **PLACED_FIELDS)
            log.info("request ended", **ENDED_FIELDS)
        # The writer's thread writes the batch during this pause.
        time.sleep(2 * WRITE_INTERVAL_SECONDS)
    return (time.process_time() - before) / LINE_COUNT * US_PER_SECOND
