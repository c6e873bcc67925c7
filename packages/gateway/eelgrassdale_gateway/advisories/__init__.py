"""What backend servers say of themselves in their responses.

`reading` decodes it from the head of a response, `state` holds what is in force,
`exchange` tells it to other gateways, as `statements`, `ratelimiter` divides the rates
that servers name among the gateways, and `forecast` says when requests can start that
wait for limited servers.
"""

from eelgrassdale_gateway.advisories.exchange import AdvisoryExchange
from eelgrassdale_gateway.advisories.forecast import StartForecast, StartTimes
from eelgrassdale_gateway.advisories.ratelimiter import RateLimiter
from eelgrassdale_gateway.advisories.reading import Advisory, read_advisory
from eelgrassdale_gateway.advisories.state import AdvisoryRegistry
from eelgrassdale_gateway.advisories.statements import Leaving, RateLimit, Statement

__all__ = [
    "Advisory",
    "AdvisoryExchange",
    "AdvisoryRegistry",
    "Leaving",
    "RateLimit",
    "RateLimiter",
    "StartForecast",
    "StartTimes",
    "Statement",
    "read_advisory",
]
