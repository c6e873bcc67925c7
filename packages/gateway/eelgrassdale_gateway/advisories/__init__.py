"""What backend servers say of themselves in their responses.

`reading` decodes it from the head of a response, `state` holds what is in force, and
`exchange` tells it to other gateways.
"""

from eelgrassdale_gateway.advisories.exchange import AdvisoryExchange
from eelgrassdale_gateway.advisories.reading import Advisory, read_advisory
from eelgrassdale_gateway.advisories.state import AdvisoryRegistry, Leaving

__all__ = [
    "Advisory",
    "AdvisoryExchange",
    "AdvisoryRegistry",
    "Leaving",
    "read_advisory",
]
