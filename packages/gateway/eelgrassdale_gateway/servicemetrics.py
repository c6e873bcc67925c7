"""Metrics with a label for the service, without those of removed services."""

from collections.abc import Collection

from prometheus_client import Counter, Gauge, Histogram

SERVICE_LABEL = "service"


class ServiceMetrics:
    """Removes the series of services that are no longer configured.

    A series that a late request begins again is removed with the next change.

    Examples
    --------
    >>> counter = Counter("requests", "Requests.", ["service"], registry=None)
    >>> metrics = ServiceMetrics(counter)
    >>> for name in ("old", "new"):
    ...     metrics.note(name)
    ...     counter.labels(name).inc()
    >>> metrics.retain({"new"})
    >>> [s.labels["service"] for s in next(iter(counter.collect())).samples]
    ['new', 'new']

    """

    def __init__(self, *metrics: Counter | Gauge | Histogram) -> None:
        self._metrics = metrics
        self._services: set[str] = set()

    def note(self, service: str) -> None:
        """Note that a series of a service may begin."""
        self._services.add(service)

    def retain(self, services: Collection[str]) -> None:
        """Remove the series of all other services."""
        for service in self._services.difference(services):
            for metric in self._metrics:
                metric.remove_by_labels({SERVICE_LABEL: service})
        self._services.intersection_update(services)
