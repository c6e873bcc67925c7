"""The part of a gateway in the distribution of weights: relay, prefetch and server."""

import asyncio
from collections.abc import Callable, Collection

from eelgrassdale.http1 import Exchange
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.staging.engine import WeightsOrigin
from eelgrassdale_gateway.staging.relay import ChunkRelay, GatewayEndpoint, OriginInfo
from eelgrassdale_gateway.staging.serving import WeightsServer

Address = tuple[str, int]


class WeightsDistribution:
    """Fetches chunks of weights and passes them on to other gateways and agents.

    Parameters
    ----------
    me : GatewayEndpoint
        This gateway.
    gateways : callable
        Returns the other live gateways.
    routing_state : RoutingState
        The configuration names the origin of weights.
    make_origin : callable
        Returns a client of the origin at an address.
    """

    def __init__(
        self,
        *,
        me: GatewayEndpoint,
        gateways: Callable[[], Collection[GatewayEndpoint]],
        routing_state: RoutingState,
        make_origin: Callable[[Address], WeightsOrigin],
    ) -> None:
        self._routing_state = routing_state
        self._make_origin = make_origin
        self._origin: tuple[Address, OriginInfo] | None = None
        self._relay = ChunkRelay(me=me, gateways=gateways, origin=self._origin_info)
        self._server = WeightsServer(read=self._relay.read)
        self._prefetching: dict[str, asyncio.Future[None]] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request for weights."""
        await self._server.handle(exchange)

    def prefetch(self, model: str, version: int) -> None:
        """Fetch a version before it is asked for, in place of an earlier one."""
        previous_prefetch = self._prefetching.get(model)
        if previous_prefetch is not None:
            previous_prefetch.cancel()
        self._prefetching[model] = asyncio.ensure_future(
            self._relay.prefetch(model, version)
        )

    def retain_models(self, models: Collection[str]) -> None:
        """Drop what is kept of all other models, and fetch no more of them."""
        self._relay.retain_models(models)
        for model in self._prefetching.keys() - models:
            self._prefetching.pop(model).cancel()

    def _origin_info(self) -> OriginInfo | None:
        """Return the origin of weights in the configuration, or None."""
        table = self._routing_state.table
        services = table.services.values() if table else ()
        configured_origin = next(
            (s.origin for s in services if s.origin is not None), None
        )
        if configured_origin is None:
            return None
        if self._origin is None or self._origin[0] != configured_origin.address:
            origin_info = OriginInfo(
                origin=self._make_origin(configured_origin.address),
                region=configured_origin.region,
            )
            self._origin = (configured_origin.address, origin_info)
        return self._origin[1]
