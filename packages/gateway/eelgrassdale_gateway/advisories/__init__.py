"""What backend servers say of themselves in their responses.

`reading` decodes it from the head of a response.
"""

from eelgrassdale_gateway.advisories.reading import Advisory, read_advisory

__all__ = ["Advisory", "read_advisory"]
