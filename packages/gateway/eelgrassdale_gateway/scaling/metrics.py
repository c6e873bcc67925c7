"""Metrics of the holder's decisions and orders."""

from collections.abc import Collection

from prometheus_client import CollectorRegistry, Counter, Gauge

from eelgrassdale_gateway.scaling.picture import Subject
from eelgrassdale_gateway.servicemetrics import ServiceMetrics

_LABELS = ["service", "data_centre"]


class ScalingMetrics:
    """Gauges of the holder, empty on other gateways, and counters of its orders."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._desired = Gauge(
            "eelgrassdale_servers_desired",
            "Backend servers that a service should have in a data centre.",
            _LABELS,
            registry=registry,
        )
        self._missing = Gauge(
            "eelgrassdale_servers_missing",
            "Backend servers that were ordered twice and are not listed.",
            _LABELS,
            registry=registry,
        )
        self._orders = Counter(
            "eelgrassdale_scale_orders",
            "Orders for a number of backend servers that were sent.",
            _LABELS,
            registry=registry,
        )
        self._failed_orders = Counter(
            "eelgrassdale_scale_orders_failed",
            "Orders for a number of backend servers that were not confirmed.",
            _LABELS,
            registry=registry,
        )
        self._service_metrics = ServiceMetrics(
            self._desired, self._missing, self._orders, self._failed_orders
        )

    def retain_services(self, services: Collection[str]) -> None:
        """Remove the series of services that are no longer configured."""
        self._service_metrics.retain(services)

    def record_subject(self, subject: Subject, *, desired: int, missing: int) -> None:
        """Set the gauges of a subject."""
        self._service_metrics.note(subject.service)
        labels = (subject.service, subject.data_centre)
        self._desired.labels(*labels).set(desired)
        self._missing.labels(*labels).set(missing)

    def record_order(self, subject: Subject) -> None:
        """Count an order that is sent."""
        self._service_metrics.note(subject.service)
        self._orders.labels(subject.service, subject.data_centre).inc()

    def record_failed_order(self, subject: Subject) -> None:
        """Count an order that was not confirmed."""
        self._service_metrics.note(subject.service)
        self._failed_orders.labels(subject.service, subject.data_centre).inc()

    def clear(self) -> None:
        """Empty the gauges, as another gateway decides."""
        self._desired.clear()
        self._missing.clear()
