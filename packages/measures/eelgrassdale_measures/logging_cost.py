"""Processor time of one log line, from the call to the write.

The share of logging in a process's processor time is this figure, times the
lines that it writes, over its whole processor time. Lines beyond the rate of
their kind are dropped before they are rendered, and cost less.
"""

import os
import time
from collections.abc import Iterator

import structlog

from eelgrassdale.logs import (
    WRITER_PAUSE_SECONDS,
    BoundedWriter,
    RateLimit,
    configure_logs,
)

LINES = 20_000
# So many lines fit the writer's queue between two pauses.
BATCH = 2_000
UNLIMITED = 1e9
CLOSE_SECONDS = 5.0
US_PER_SECOND = 1e6
# Fields of the two most frequent lines of a gateway.
PLACED = {
    "request": "c3bc93dfa93409e1",
    "server": "i-9f1a4bb7f8",
    "service": "engine",
    "expected": 0.182,
    "waited": 0.0,
    "late": False,
    "configuration": 11,
}
ENDED = {
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
    """Measure written and dropped lines."""
    with open(os.devnull, "w") as sink:
        writer = BoundedWriter(file=sink)
        try:
            written = _us_per_line(RateLimit(burst=UNLIMITED, rate=UNLIMITED), writer)
            dropped = _us_per_line(RateLimit(burst=0.0, rate=0.0), writer)
        finally:
            writer.close(seconds=CLOSE_SECONDS)
            configure_logs(log_format="json", level="warning")
    yield {
        "us_a_written_line": round(written, 1),
        "us_a_dropped_line": round(dropped, 1),
    }


def _us_per_line(limit: RateLimit, writer: BoundedWriter) -> float:
    structlog.reset_defaults()
    configure_logs(
        log_format="json",
        level="info",
        file=writer,
        limit=limit,
        node="front-1",
    )
    log = structlog.get_logger(__name__)
    before = time.process_time()
    for _ in range(LINES // BATCH):
        for _ in range(BATCH // 2):
            log.info("request placed", **PLACED)
            log.info("request ended", **ENDED)
        # The writer's thread writes the batch meanwhile.
        time.sleep(2 * WRITER_PAUSE_SECONDS)
    return (time.process_time() - before) / LINES * US_PER_SECOND
