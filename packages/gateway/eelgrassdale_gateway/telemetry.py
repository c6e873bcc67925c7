"""Log lines and metrics of requests.

Each decision about a request is logged in one line with the request's id and
the reason. The events are listed in docs/OPERATIONS.md.
"""

from collections.abc import Callable, Collection, Iterable, Iterator

import structlog
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import GaugeMetricFamily
from prometheus_client.registry import Collector

from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.admission import AdmittedRequest
from eelgrassdale_gateway.advisories import Leaving, RateLimit, Statement
from eelgrassdale_gateway.calls import AttemptProgress, Call
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.outcomes import Answered, Outcome
from eelgrassdale_gateway.servicemetrics import ServiceMetrics

SECONDS_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 4.0, 8.0)

log = structlog.get_logger(__name__)


class _ServiceFlags(Collector):
    """A gauge that is 1 for each service that a function returns."""

    def __init__(
        self, name: str, description: str, read_services: Callable[[], Iterable[str]]
    ) -> None:
        self._name = name
        self._description = description
        self._read_services = read_services
        self._seen: set[str] = set()

    def retain(self, services: Collection[str]) -> None:
        """Forget that other services were flagged."""
        self._seen.intersection_update(services)

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the gauge; services that were flagged before are 0."""
        flagged = set(self._read_services())
        self._seen |= flagged
        family = GaugeMetricFamily(self._name, self._description, labels=["service"])
        for service in sorted(self._seen):
            family.add_metric([service], float(service in flagged))
        yield family


class RequestTelemetry:
    """Writes the log lines of requests and maintains their metrics."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        # Called with the service and whether the request is late; None if not needed.
        self.on_placement: Callable[[str, bool], None] | None = None
        self._request_counter = Counter(
            "eelgrassdale_requests",
            "Requests that ended, by result code and service.",
            ["code", "service"],
            registry=self._registry,
        )
        self._attempt_counter = Counter(
            "eelgrassdale_attempts",
            "Attempts at backend servers, by outcome.",
            ["outcome", "service"],
            registry=self._registry,
        )
        self._waiting_histogram = Histogram(
            "eelgrassdale_waiting_seconds",
            "Time from the arrival of a request to its placing.",
            ["service"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._first_response_histogram = Histogram(
            "eelgrassdale_first_answer_seconds",
            "Time from the arrival of a request to the head of its answer.",
            ["service"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._refusal_counter = Counter(
            "eelgrassdale_refused",
            "Requests refused without a place at a backend server.",
            ["reason", "priority", "service"],
            registry=self._registry,
        )
        self._late_start_counter = Counter(
            "eelgrassdale_started_late",
            "Requests sent to a backend server too late to meet their objective.",
            ["priority", "service"],
            registry=self._registry,
        )
        self._gauges: dict[str, Gauge] = {}
        self._service_flags: list[_ServiceFlags] = []
        self._service_metrics = ServiceMetrics(
            self._request_counter,
            self._attempt_counter,
            self._waiting_histogram,
            self._first_response_histogram,
            self._refusal_counter,
            self._late_start_counter,
        )

    @property
    def registry(self) -> CollectorRegistry:
        """Registry of the metrics, to which other components add theirs."""
        return self._registry

    def gauge(self, name: str, description: str, read_value) -> None:
        """Add a gauge whose value `read_value` returns when metrics are scraped."""
        gauge = Gauge(f"eelgrassdale_{name}", description, registry=self._registry)
        gauge.set_function(read_value)
        self._gauges[name] = gauge

    def service_flags(
        self, name: str, description: str, read_services: Callable[[], Iterable[str]]
    ) -> None:
        """Add a gauge that is 1 for the services that `read_services` returns."""
        flags = _ServiceFlags(f"eelgrassdale_{name}", description, read_services)
        self._service_flags.append(flags)
        self._registry.register(flags)

    def retain_services(self, services: Collection[str]) -> None:
        """Remove the series of services that are no longer configured.

        Those of requests without a service stay.
        """
        kept = {"", *services}
        self._service_metrics.retain(kept)
        for flags in self._service_flags:
            flags.retain(kept)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def record_placement(
        self,
        *,
        admitted: AdmittedRequest,
        server: BackendServer,
        first_event_seconds: float,
        waited_seconds: float,
        is_late: bool,
        table_version: int,
    ) -> None:
        """Log the placement of a request and observe its waiting time."""
        self._service_metrics.note(admitted.service)
        self._waiting_histogram.labels(admitted.service).observe(waited_seconds)
        if self.on_placement is not None:
            self.on_placement(admitted.service, is_late)
        if is_late:
            self._late_start_counter.labels(
                str(admitted.priority), admitted.service
            ).inc()
        log.info(
            "request placed",
            request=admitted.request_id,
            server=server.id,
            service=admitted.service,
            expected=round(first_event_seconds, 3),
            waited=round(waited_seconds, 3),
            late=is_late,
            configuration=table_version,
            parts=admitted.logged_parts,
        )

    def record_refusal(self, *, admitted: AdmittedRequest, code: ResultCode) -> None:
        """Count a request that got no place at a backend server."""
        self._service_metrics.note(admitted.service)
        self._refusal_counter.labels(
            code.name, str(admitted.priority), admitted.service
        ).inc()

    def record_response_start(self, *, service: str, seconds: float) -> None:
        """Observe the seconds from arrival to the head of the response."""
        self._service_metrics.note(service)
        self._first_response_histogram.labels(service).observe(seconds)

    def record_attempt_end(
        self,
        *,
        server: BackendServer,
        outcome: Outcome,
        call: Call,
        progress: AttemptProgress,
        is_failure: bool,
    ) -> None:
        """Count an attempt by outcome, and log it if it failed."""
        self._service_metrics.note(call.admitted.service)
        name = type(outcome).__name__
        self._attempt_counter.labels(name, call.admitted.service).inc()
        if not is_failure:
            return
        reason = getattr(outcome, "reason", "")
        if isinstance(outcome, Answered):
            reason = f"status {outcome.head.status}"
        log.info(
            "attempt failed",
            request=call.admitted.request_id,
            server=server.id,
            born=server.started_at_ms,
            outcome=name,
            reason=reason,
            attempt=call.send_count,
            has_head=progress.has_head,
            attempt_events=progress.event_count,
            parts=call.admitted.logged_parts,
        )

    def record_advisory(
        self, *, request_id: str, server: BackendServer, statement: Statement
    ) -> None:
        """Log what a response says of its backend server, if it is new."""
        match statement:
            case Leaving():
                log.info(
                    "backend server says that it leaves",
                    request=request_id,
                    server=server.id,
                    born=server.started_at_ms,
                    is_listed_as_leaving=server.is_leaving,
                )
            case RateLimit(per_second=per_second):
                log.info(
                    "backend server names a limit",
                    request=request_id,
                    server=server.id,
                    born=server.started_at_ms,
                    per_second=per_second,
                )

    def record_cancelled_continuation(
        self, *, request_id: str, server: str, is_claimed: bool
    ) -> None:
        """Log that a silent server went on, or that the caller or time limit ended it.

        `is_claimed` is true if the continuation had relayed an event.
        """
        log.info(
            "continuation cancelled",
            request=request_id,
            server=server,
            is_claimed=is_claimed,
        )

    def record_retry_refusal(self, *, request_id: str, reason: str) -> None:
        """Log why a failed attempt is not retried."""
        log.info("request not retried", request=request_id, reason=reason)

    def record_end(
        self, *, request_id: str, service: str, code: ResultCode, **fields: object
    ) -> None:
        """Count a finished request by result code, and log it."""
        self._service_metrics.note(service)
        self._request_counter.labels(code.name, service).inc()
        log.info(
            "request ended",
            request=request_id,
            service=service,
            code=code.name,
            **fields,
        )
