"""Distribution of model weights to the engine on the same VM.

An agent fetches each target version in chunks, stages them at its engine and
orders the load. Gateways relay the chunks, since their links are wider than
those of the backend servers' VMs. Each chunk has an owner among the gateways,
assigned by `eelgrassdale.weights` so that owners have equal numbers of chunks.
"""

from eelgrassdale_gateway.staging.chunks import ChunkSet, WeightsManifest
from eelgrassdale_gateway.staging.distribution import WeightsDistribution
from eelgrassdale_gateway.staging.engine import (
    Engine,
    EngineState,
    EngineUnavailable,
    LoadOrderResult,
    SourceUnavailable,
    WeightsOrigin,
)
from eelgrassdale_gateway.staging.fetching import Fetcher
from eelgrassdale_gateway.staging.reconciler import (
    ReconcilerSettings,
    WeightsReconciler,
)
from eelgrassdale_gateway.staging.relay import ChunkRelay, GatewayEndpoint, OriginInfo
from eelgrassdale_gateway.staging.serving import WeightsServer

__all__ = [
    "ChunkRelay",
    "ChunkSet",
    "Engine",
    "EngineState",
    "EngineUnavailable",
    "Fetcher",
    "GatewayEndpoint",
    "LoadOrderResult",
    "OriginInfo",
    "ReconcilerSettings",
    "SourceUnavailable",
    "WeightsDistribution",
    "WeightsManifest",
    "WeightsOrigin",
    "WeightsReconciler",
    "WeightsServer",
]
