"""Brings named model versions to the engine beside this process.

Gateways relay the chunks, since their links are wider than those of the
backend servers' VMs. Who fetches which chunk is decided by the balanced owners
of `eelgrassdale.weights`.
"""

from eelgrassdale_gateway.staging.chunks import ChunkSet, WeightsManifest
from eelgrassdale_gateway.staging.engine import (
    Engine,
    EngineState,
    EngineUnavailable,
    OrderAnswer,
    SourceUnavailable,
    WeightsOrigin,
)
from eelgrassdale_gateway.staging.fetching import Fetcher
from eelgrassdale_gateway.staging.keeper import Keeper, KeeperSettings
from eelgrassdale_gateway.staging.relay import ChunkRelay, GatewayPlace, OriginFacts
from eelgrassdale_gateway.staging.serving import WeightsServer

__all__ = [
    "ChunkRelay",
    "ChunkSet",
    "Engine",
    "EngineState",
    "EngineUnavailable",
    "Fetcher",
    "GatewayPlace",
    "Keeper",
    "KeeperSettings",
    "OrderAnswer",
    "OriginFacts",
    "SourceUnavailable",
    "WeightsManifest",
    "WeightsOrigin",
    "WeightsServer",
]
