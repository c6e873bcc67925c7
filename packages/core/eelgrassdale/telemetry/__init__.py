"""Logs, metrics, traces and runtime invariant checks of a process."""

from eelgrassdale.logs import configure_logs
from eelgrassdale.telemetry.invariants import InvariantMonitor
from eelgrassdale.telemetry.metrics import Metrics
from eelgrassdale.telemetry.traces import SpanKind, Tracer, new_tracer

__all__ = [
    "InvariantMonitor",
    "Metrics",
    "SpanKind",
    "Tracer",
    "configure_logs",
    "new_tracer",
]
