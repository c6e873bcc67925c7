"""Decides which backend servers may get a request now.

A server may be excluded because it leaves, its data centre is out of service, its
region is not allowed, it holds no version that may serve, it wants no requests for a
while, or its rate is limited by itself, while it is cold or just became available.
"""

from collections.abc import Callable, Mapping

from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.advisories import (
    AdvisoryRegistry,
    RateLimiter,
    StartForecast,
    StartTimes,
)
from eelgrassdale_gateway.availability import AvailabilityTracker
from eelgrassdale_gateway.candidates import CandidateGroup
from eelgrassdale_gateway.health import HealthTracker
from eelgrassdale_gateway.loads import NO_LOAD, LoadTracker
from eelgrassdale_gateway.model import BackendServer, Service
from eelgrassdale_gateway.notices import NoticeRegistry
from eelgrassdale_gateway.placement import EXTRA_ENGINE_REQUESTS, Candidate
from eelgrassdale_gateway.queueing import Waiter
from eelgrassdale_gateway.recentevents import RecentEvents
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.shares import GatewayGroup, share_of_count, share_of_rate

COLD_WINDOW_SECONDS = 1.0


@frozen(kw_only=True)
class Moment:
    """Monotonic time of a pass over a queue, and the number of live peers."""

    now: float
    peer_count: int


class EligibleServers:
    """Selects the backend servers for requests; owns what is known of each server.

    Not thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    routing_state : RoutingState
        Configuration and backend servers.
    data_centre : str
        Data centre of this gateway.
    gateway_group : callable
        Returns the gateways among which limits are divided.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        routing_state: RoutingState,
        data_centre: str,
        gateway_group: Callable[[], GatewayGroup],
    ) -> None:
        self.loads = LoadTracker()
        self.health = HealthTracker()
        self.advisories = AdvisoryRegistry(on_change=self._group_staying_servers)
        self.notices = NoticeRegistry()
        self._clock = clock
        self._routing_state = routing_state
        self._data_centre = data_centre
        self._gateway_group = gateway_group
        self._rate_limiter = RateLimiter(gateway_group=gateway_group)
        self._availability = AvailabilityTracker()
        self._cold_sends = RecentEvents[None](window_seconds=COLD_WINDOW_SECONDS)
        # Servers that leave are left out.
        self._servers_by_service: dict[str, list[BackendServer]] = {}
        self.update()

    def update(self) -> None:
        """Follow a change of the list of backend servers."""
        servers = self._routing_state.servers
        now = self._clock.monotonic()
        self._availability.retain(servers.keys())
        self.loads.retain(servers.keys())
        self.notices.retain({server.address for server in servers.values()}, now=now)
        self._cold_sends.retain(servers.keys())
        incarnations = {server.incarnation for server in servers.values()}
        self.advisories.retain(incarnations, now=now)
        self._rate_limiter.retain(incarnations)
        self._group_staying_servers()

    def group(self, waiter: Waiter, service: Service, moment: Moment) -> CandidateGroup:
        """Return the candidates for requests like this one."""
        in_service = self._servers_in_service(waiter)
        accepting = self._accepting_servers(in_service, waiter.model, moment.now)
        closed = self._closed_servers(accepting, moment.now)
        usable = [s for s in accepting if s.id not in closed]
        forecast = None
        if closed and not usable:
            forecast = self._forecast(in_service, closed)
        candidates = {
            server.id: candidate
            for server in usable
            if (candidate := self._candidate(server, service, moment))
        }
        return CandidateGroup(
            service=service,
            has_servers=bool(in_service),
            usable=frozenset(server.id for server in usable),
            candidates=candidates,
            forecast=forecast,
        )

    def candidate(
        self, server: BackendServer, service: Service, moment: Moment
    ) -> Candidate | None:
        """Return a server with its load, or None if it may get no request now."""
        if self._closed_servers([server], moment.now):
            return None
        return self._candidate(server, service, moment)

    def _candidate(
        self, server: BackendServer, service: Service, moment: Moment
    ) -> Candidate | None:
        now = moment.now
        if not self._may_send_to_cold(server, service, now):
            return None
        if not self._may_send_to_newly_available(server, service, now):
            return None
        load = self.loads.server_load(server.id, now=now)
        unseen = NO_LOAD
        if moment.peer_count:
            unseen = self.loads.unseen_load(
                server.id, now=now, peer_count=moment.peer_count
            )
        return Candidate(
            server=server,
            load=load if unseen is NO_LOAD else load + unseen,
            unseen_requests=unseen.requests,
            is_avoided=self.health.is_avoided(server.id, now=now),
            is_local=server.data_centre == self._data_centre,
        )

    def record_send(self, server: BackendServer, *, now: float) -> None:
        """Count a request against the limits of its backend server."""
        self._rate_limiter.record_send(server.incarnation, now=now)
        if now < server.cold_until:
            self._cold_sends.add(server.id, None, now=now)

    def loaded_version(self, server: BackendServer, model: str, now: float) -> int:
        """Return the loaded version; it may be out of date, but never too high."""
        if not model:
            return 0
        listed = server.versions.get(model, 0)
        return max(listed, self.notices.loaded_version(server.address, model, now=now))

    def _group_staying_servers(self) -> None:
        """Group the servers that are not leaving, by their entry or their own word."""
        by_service: dict[str, list[BackendServer]] = {}
        for server in self._routing_state.servers.values():
            if not server.is_leaving and not self.advisories.is_leaving(
                server.incarnation
            ):
                by_service.setdefault(server.service, []).append(server)
        self._servers_by_service = by_service

    def _servers_in_service(self, waiter: Waiter) -> list[BackendServer]:
        """Return the backend servers of the service that may run the request.

        Servers in a data centre taken out of service, or in a region that the request
        does not allow, are left out.
        """
        out_of_service = self._routing_state.data_centres_out
        return [
            server
            for server in self._servers_by_service.get(waiter.service, ())
            if server.data_centre not in out_of_service
            and (not waiter.regions or server.region in waiter.regions)
        ]

    def _accepting_servers(
        self, servers: list[BackendServer], model: str, now: float
    ) -> list[BackendServer]:
        """Return the servers that accept requests and hold a version that may serve."""
        min_version = 0
        if model:
            min_version = max(1, self._routing_state.required_version(model, now))
        accepting = [
            server
            for server in servers
            if not self.notices.is_closed(server.address, now=now)
            and self.loaded_version(server, model, now) >= min_version
        ]
        self._availability.update(
            listed=[s.id for s in servers], usable={s.id for s in accepting}, now=now
        )
        return accepting

    def _closed_servers(
        self, servers: list[BackendServer], now: float
    ) -> dict[str, float]:
        """Return when the servers take a request again that take none now, by id."""
        if not self.advisories.has_restrictions:
            return {}
        return {
            server.id: next_at
            for server in servers
            if (next_at := self._next_start(server, now)) > now
        }

    def _next_start(self, server: BackendServer, now: float) -> float:
        """Return when a server takes the next request of this gateway.

        It is `now` or earlier unless the server said that it wants none for a while, or
        so few that this gateway's share is used up.
        """
        incarnation = server.incarnation
        next_at = self.advisories.paused_until(incarnation)
        rate = self.advisories.rate_limit(incarnation, now=now)
        if rate is None:
            self._rate_limiter.forget(incarnation)
            return next_at
        return max(
            next_at,
            self._rate_limiter.next_send_at(incarnation, rate=rate, now=now),
        )

    def _forecast(
        self, servers: list[BackendServer], next_starts: Mapping[str, float]
    ) -> StartForecast:
        """Return the starts of waiting requests at servers that take none now.

        If others, without a next start, may soon take requests too, only the first
        start is known.
        """
        if len(next_starts) < len(servers):
            return StartForecast([StartTimes(next_at=min(next_starts.values()))])
        interval_seconds = self._rate_limiter.interval_seconds
        return StartForecast(
            StartTimes(
                next_at=next_starts[server.id],
                interval_seconds=interval_seconds(server.incarnation),
            )
            for server in servers
        )

    def _may_send_to_newly_available(
        self, server: BackendServer, service: Service, now: float
    ) -> bool:
        """Return whether this gateway may send to an engine that became available.

        For a short time its slots are divided among all gateways.
        """
        if service.engine is None or not self._availability.is_newly_available(
            server.id, now=now
        ):
            return True
        return self.loads.own_requests(server.id) < share_of_count(
            max(server.slots, 1) + EXTRA_ENGINE_REQUESTS,
            resource=server.id,
            gateway_group=self._gateway_group(),
        )

    def _may_send_to_cold(
        self, server: BackendServer, service: Service, now: float
    ) -> bool:
        """Return whether this gateway may send a cold server one more request now."""
        if now >= server.cold_until or not service.cold_requests_per_second:
            return True
        send_count = self._cold_sends.count(server.id, now=now)
        return send_count + 1 <= share_of_rate(
            service.cold_requests_per_second,
            resource=server.id,
            gateway_group=self._gateway_group(),
        )
