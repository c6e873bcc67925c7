"""Brings named model versions to the engine beside this process.

The decisions, who reads which chunk from whom, are those of
`eelgrassdale.weights`; this package carries them out over HTTP in one event
loop.
"""

from eelgrassdale_gateway.staging.chunks import ChunkSet, WeightsManifest
from eelgrassdale_gateway.staging.engine import (
    Engine,
    EngineState,
    EngineUnavailable,
    OrderAnswer,
    WeightsOrigin,
)
from eelgrassdale_gateway.staging.keeper import Keeper, KeeperSettings

__all__ = [
    "ChunkSet",
    "Engine",
    "EngineState",
    "EngineUnavailable",
    "Keeper",
    "KeeperSettings",
    "OrderAnswer",
    "WeightsManifest",
    "WeightsOrigin",
]
