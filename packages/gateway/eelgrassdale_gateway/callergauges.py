"""Gauges of what the callers of a gateway take of its process."""

from collections.abc import Callable

from eelgrassdale.http1 import CallerBudget


def add_caller_gauges(
    gauge: Callable[[str, str, Callable[[], float]], None], budget: CallerBudget
) -> None:
    """Add the gauges of a budget; `gauge` takes a name, a description and a reader."""
    gauge(
        "caller_bytes",
        "Bytes of callers that wait for a reader or a handler.",
        budget.used_bytes,
    )
    gauge(
        "caller_bytes_limit",
        "Limit of the bytes of all callers.",
        lambda: budget.bytes.limit,
    )
    gauge(
        "caller_connections",
        "Connections of callers, at all ports of the process.",
        budget.used_connections,
    )
    gauge(
        "caller_connections_limit",
        "Limit of the connections of callers and to backend servers.",
        lambda: budget.connections.limit,
    )
    gauge(
        "caller_requests_shed",
        "Requests refused or cut for a lack of room since the start.",
        lambda: budget.refused_requests,
    )
    gauge(
        "caller_connections_closed",
        "Connections closed for a lack of room since the start.",
        lambda: budget.closed_connections,
    )
    gauge(
        "caller_accept_errors",
        "Connections that the kernel could not pass on since the start.",
        lambda: budget.accept_errors,
    )
