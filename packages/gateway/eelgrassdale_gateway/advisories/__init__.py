"""What backend servers say of themselves in their responses.

`reading` decodes it from the head of a response, and `state` holds what is in force.
"""

from eelgrassdale_gateway.advisories.reading import Advisory, read_advisory
from eelgrassdale_gateway.advisories.state import AdvisoryRegistry

__all__ = ["Advisory", "AdvisoryRegistry", "read_advisory"]
