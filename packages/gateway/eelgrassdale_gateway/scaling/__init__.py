"""Orders backend servers of a service by the load of each data centre.

`decision` says how many servers a service should have, from a `picture` of it; `state`
is what the holder of the duty remembers between decisions, `fleet` and `counting` make
the pictures, `waiting` has the waiting requests of all gateways, and `runner` sends the
orders.
"""

from eelgrassdale_gateway.scaling.fleet import FleetReader, autoscaled_services
from eelgrassdale_gateway.scaling.lateness import LateShares
from eelgrassdale_gateway.scaling.metrics import ScalingMetrics
from eelgrassdale_gateway.scaling.picture import Subject
from eelgrassdale_gateway.scaling.runner import Fleet, ScalingRunner
from eelgrassdale_gateway.scaling.waiting import WaitingRequests

__all__ = [
    "Fleet",
    "FleetReader",
    "LateShares",
    "ScalingMetrics",
    "ScalingRunner",
    "Subject",
    "WaitingRequests",
    "autoscaled_services",
]
