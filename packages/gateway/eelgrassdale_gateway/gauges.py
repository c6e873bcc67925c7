"""Gauges of a gateway: its queue, its peers and servers, and what callers take."""

from collections.abc import Callable

from eelgrassdale.clock import Clock
from eelgrassdale.http1 import CallerBudget
from eelgrassdale_gateway.dispatcher import Dispatcher
from eelgrassdale_gateway.telemetry import RequestTelemetry


def add_gauges(
    telemetry: RequestTelemetry,
    *,
    dispatcher: Dispatcher,
    caller_budget: CallerBudget,
    live_gateway_count: Callable[[], int],
    clock: Clock,
) -> None:
    """Export the state of a gateway as metrics."""
    gauge = telemetry.gauge
    gauge(
        "waiting_requests",
        "Requests that wait for a backend server.",
        dispatcher.waiting_count,
    )
    telemetry.service_flags(
        "overload",
        "1 while requests of a service are refused or late as capacity is short.",
        dispatcher.overloads.services,
    )
    gauge("live_gateways", "Live gateways, this one included.", live_gateway_count)
    gauge(
        "quarantined_prompts",
        "Combinations of prompt parts whose requests are refused.",
        lambda: len(dispatcher.quarantine.active()),
    )
    gauge(
        "leaving_servers",
        "Backend servers that said in a response that they leave.",
        dispatcher.advisories.leaving_count,
    )
    gauge(
        "limited_servers",
        "Backend servers that name a limit of requests.",
        lambda: dispatcher.advisories.limited_count(now=clock.monotonic()),
    )
    _add_caller_gauges(gauge, caller_budget)


def _add_caller_gauges(
    gauge: Callable[[str, str, Callable[[], float]], None], budget: CallerBudget
) -> None:
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
