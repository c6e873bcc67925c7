"""Log lines and metrics for what happens to a request.

One line for each decision, with the request's id and what decided it. The
events are listed in docs/OPERATIONS.md.
"""

import structlog
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.outcomes import Answered, Outcome

SECONDS_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 4.0, 8.0)

log = structlog.get_logger(__name__)


class RequestEvents:
    """Writes the log lines of requests and keeps their metrics."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._ended = Counter(
            "eelgrassdale_requests",
            "Requests that ended, by result code and service.",
            ["code", "service"],
            registry=self._registry,
        )
        self._attempts = Counter(
            "eelgrassdale_attempts",
            "Attempts at backend servers, by outcome.",
            ["outcome", "service"],
            registry=self._registry,
        )
        self._waited = Histogram(
            "eelgrassdale_waiting_seconds",
            "Time from the arrival of a request to its placing.",
            ["service"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._first = Histogram(
            "eelgrassdale_first_answer_seconds",
            "Time from the arrival of a request to the head of its answer.",
            ["service"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._gauges: dict[str, Gauge] = {}

    def gauge(self, name: str, text: str, read) -> None:
        """Add a gauge that is read when metrics are fetched."""
        gauge = Gauge(f"eelgrassdale_{name}", text, registry=self._registry)
        gauge.set_function(read)
        self._gauges[name] = gauge

    def exposition(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)

    def placed(
        self,
        *,
        request: str,
        service: str,
        server: BackendServer,
        expected: float,
        waited: float,
        late: bool,
        table_version: int,
    ) -> None:
        """Note that a request goes to a backend server."""
        self._waited.labels(service).observe(waited)
        log.info(
            "request placed",
            request=request,
            server=server.id,
            service=service,
            expected=round(expected, 3),
            waited=round(waited, 3),
            late=late,
            configuration=table_version,
        )

    def began(self, *, service: str, seconds: float) -> None:
        """Note the head of an answer."""
        self._first.labels(service).observe(seconds)

    def attempt_ended(
        self,
        *,
        request: str,
        service: str,
        server: BackendServer,
        outcome: Outcome,
        number: int,
        is_failure: bool,
    ) -> None:
        """Note the end of one attempt."""
        name = type(outcome).__name__
        self._attempts.labels(name, service).inc()
        if not is_failure:
            return
        reason = getattr(outcome, "reason", "")
        if isinstance(outcome, Answered):
            reason = f"status {outcome.head.status}"
        log.info(
            "attempt failed",
            request=request,
            server=server.id,
            born=server.born,
            outcome=name,
            reason=reason,
            attempt=number,
        )

    def repeat_refused(self, *, request: str, reason: str) -> None:
        """Note why a failed attempt is not followed by another."""
        log.info("request not repeated", request=request, reason=reason)

    def ended(
        self, *, request: str, service: str, code: ResultCode, **fields: object
    ) -> None:
        """Note the end of a request."""
        self._ended.labels(code.name, service).inc()
        log.info(
            "request ended", request=request, service=service, code=code.name, **fields
        )
