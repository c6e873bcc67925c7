"""What backend servers say of themselves in their responses.

`reading` decodes it from the head of a response, `state` holds what is in force,
`exchange` tells it to other gateways, as `statements`, and `ratelimiter` divides the
rates that servers name among the gateways.
"""

from eelgrassdale_gateway.advisories.exchange import AdvisoryExchange
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
    "Statement",
    "read_advisory",
]
