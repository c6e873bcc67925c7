"""Data model of the configuration and the backend servers in a gateway.

Durations are in seconds, sizes in bytes, points in time in seconds of the
monotonic clock.
"""

from collections.abc import Mapping
from functools import cached_property

from attrs import Factory, field, frozen

from eelgrassdale.http1 import CallerLimits
from eelgrassdale_gateway.prefixes import PrefixTree


@frozen(kw_only=True)
class TrafficSplit:
    """One service of a route and its relative weight among the route's services."""

    service: str
    weight: float = 1.0


@frozen(kw_only=True)
class Route:
    """Requests of one host below one path prefix.

    Requests of an `is_idempotent` route may run more than once. Streams of an
    `is_resumable` route may be continued on another backend server after the last
    event. `objective_seconds` is the target time to the first event,
    `max_event_gap_seconds` the target for the time between two events of a stream.
    `regions` are the only regions that may run or store its requests; empty allows
    all. `priority` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    splits: tuple[TrafficSplit, ...]
    is_stream: bool = False
    is_idempotent: bool = False
    is_resumable: bool = False
    is_anonymous: bool = False
    timeout_seconds: float = 30.0
    objective_seconds: float = 1.0
    max_event_gap_seconds: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    regions: frozenset[str] = frozenset()


@frozen(kw_only=True)
class EngineProfile:
    """Speed and size of a service's model engines.

    `prefill_tokens_per_second` is the prompt tokens read per second, 0 if it is not
    known. In each step of `decode_step_seconds`, every running request generates one
    token. `steps_per_event` is the number of steps between two events, `models` the
    names of the models that they run.
    """

    slots: int
    prefill_tokens_per_second: float
    decode_step_seconds: float
    steps_per_event: int = 1
    memory_tokens: int = 0
    layers: int = 0
    models: tuple[str, ...] = ()


@frozen(kw_only=True)
class Origin:
    """Address and region of the server from which model weights are fetched."""

    address: tuple[str, int]
    region: str = ""


@frozen(kw_only=True)
class Autoscaling:
    """Bounds of the number of a service's backend servers in each data centre.

    `boot_seconds` is the time until an ordered server serves.
    """

    min_servers: int
    max_servers: int
    boot_seconds: float


@frozen(kw_only=True)
class Service:
    """A group of interchangeable backend servers.

    `cold_requests_per_second` is the highest rate of requests per second to one that
    is still cold; 0 means no limit. With `autoscaling`, the number of its servers
    follows its load.
    """

    name: str
    max_connections: int = 64
    cold_requests_per_second: float = 0.0
    engine: EngineProfile | None = None
    origin: Origin | None = None
    autoscaling: Autoscaling | None = None


@frozen(kw_only=True)
class Account:
    """A client account; `priority` overrides the one of the route unless None."""

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@frozen(kw_only=True, slots=False)
class RouteTable:
    """One version of the operators' configuration.

    Examples
    --------
    >>> table = RouteTable(
    ...     version=1,
    ...     routes=(
    ...         Route(name="a", host="h", prefix="/a/", splits=()),
    ...         Route(name="b", host="h", prefix="/a/b/", splits=()),
    ...     ),
    ... )
    >>> table.route_for("h", "/a/b/x").name, table.route_for("h", "/c") is None
    ('b', True)

    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = Factory(dict)
    limits: CallerLimits = Factory(CallerLimits)
    accounts_by_key: Mapping[str, Account] = field(factory=dict, repr=False)
    requires_account: bool = False

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        return by_host

    @cached_property
    def _prefixes_by_host(self) -> dict[str, PrefixTree[Route]]:
        return {
            host: PrefixTree(routes.items()) for host, routes in self._by_host.items()
        }

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None."""
        prefixes = self._prefixes_by_host.get(host)
        return prefixes.find(path) if prefixes else None

    @cached_property
    def competing_services(self) -> frozenset[str]:
        """Services to which routes of different priorities lead.

        Examples
        --------
        >>> routes = [
        ...     Route(name=str(n), host="h", prefix=f"/{n}/", splits=splits, priority=n)
        ...     for n, splits in enumerate(
        ...         [(TrafficSplit(service="m", weight=1.0),)] * 2
        ...         + [(TrafficSplit(service="p", weight=1.0),)]
        ...     )
        ... ]
        >>> RouteTable(version=1, routes=tuple(routes)).competing_services
        frozenset({'m'})

        """
        priorities: dict[str, set[int]] = {}
        for route in self.routes:
            for split in route.splits:
                priorities.setdefault(split.service, set()).add(route.priority)
        return frozenset(name for name, known in priorities.items() if len(known) > 1)

    def routes_of_host(self, host: str) -> tuple[Route, ...]:
        """Return the routes of a host."""
        return tuple(self._by_host.get(host, {}).values())


@frozen(kw_only=True)
class LoadedLayers:
    """Consecutive layers of a model's weights, `end` exclusive."""

    start: int
    end: int
    version: int


# Id and start time of a backend server, which together identify one run of it.
Incarnation = tuple[str, int]


@frozen(kw_only=True)
class BackendServer:
    """One incarnation of a backend server as the platform lists it.

    `id` usually changes when the server restarts, `started_at_ms` (its start time in
    Unix milliseconds) always does. Until `cold_until` the server is cold and gets
    requests at a limited rate. `versions` maps a model to the version whose weights
    are completely loaded. `revision` is the store's revision of the entry.
    """

    id: str
    started_at_ms: int = 0
    service: str
    address: tuple[str, int]
    data_centre: str
    region: str
    slots: int = 1
    is_leaving: bool = False
    cold_until: float = 0.0
    versions: Mapping[str, int] = Factory(dict)
    revision: int = field(default=0, eq=False)

    @property
    def incarnation(self) -> Incarnation:
        """Id and start time, which together identify one run of the server."""
        return (self.id, self.started_at_ms)
