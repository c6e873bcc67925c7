"""Trace spans, propagated between processes by the W3C `traceparent` header."""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Protocol

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

TRACEPARENT = "traceparent"

_propagator = TraceContextTextMapPropagator()


class SpanKind(Enum):
    """Hop of a request that a span measures."""

    ENTRY = "entry node"
    AGENT = "agent"
    BACKEND = "backend server call"


class Tracer(Protocol):
    """Starts spans."""

    def span(self, kind: SpanKind, *, traceparent: str, **attributes: object):
        """Return a context manager that yields the `traceparent` for the next hop."""
        ...

    def close(self) -> None:
        """Export pending spans and stop."""
        ...


def new_tracer(*, otlp_endpoint: str, node: str) -> Tracer:
    """Return a tracer that exports to `otlp_endpoint`, or a no-op tracer.

    Without an endpoint, a span yields the incoming `traceparent`. With one, a
    background thread exports spans in batches; spans are dropped while its
    queue is full.

    Examples
    --------
    >>> tracer = new_tracer(otlp_endpoint="", node="vm-1")
    >>> with tracer.span(SpanKind.ENTRY, traceparent="00-ab") as outgoing:
    ...     outgoing
    '00-ab'

    """
    if not otlp_endpoint:
        return _NoOpTracer()
    return _OtlpTracer(otlp_endpoint=otlp_endpoint, node=node)


class _NoOpTracer:
    @contextmanager
    def span(self, kind: SpanKind, *, traceparent: str, **_: object) -> Iterator[str]:
        yield traceparent

    def close(self) -> None:
        return None


class _OtlpTracer:
    def __init__(self, *, otlp_endpoint: str, node: str) -> None:
        resource = Resource.create(
            {"service.name": "eelgrassdale", "service.instance.id": node}
        )
        self._provider = TracerProvider(resource=resource)
        exporter = OTLPSpanExporter(endpoint=otlp_endpoint)
        self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("eelgrassdale")

    @contextmanager
    def span(
        self, kind: SpanKind, *, traceparent: str, **attributes: object
    ) -> Iterator[str]:
        parent = _propagator.extract({TRACEPARENT: traceparent})
        with self._tracer.start_as_current_span(
            kind.value, context=parent, attributes=attributes
        ) as span:
            carrier: dict[str, str] = {}
            _propagator.inject(carrier, context=trace.set_span_in_context(span))
            yield carrier.get(TRACEPARENT, traceparent)

    def close(self) -> None:
        self._provider.shutdown()
