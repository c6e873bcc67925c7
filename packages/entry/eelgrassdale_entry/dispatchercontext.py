"""State of the process that the dispatcher task uses."""

from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale.membership.members import MembersView
from eelgrassdale.routing.choice import Location
from eelgrassdale.spread.replica import Replica
from eelgrassdale.telemetry import InvariantMonitor, Metrics


@frozen(kw_only=True)
class DispatcherContext:
    """State of the process that the dispatcher uses."""

    clock: Clock
    metrics: Metrics
    monitor: InvariantMonitor
    replica: Replica
    members: MembersView
    location: Location
