"""Load of backend servers, from this gateway's requests and its peers' reports."""

from collections.abc import Collection, Mapping

from attrs import define, field, frozen

from eelgrassdale_gateway.recentevents import RecentEvents

# Older reports of a peer are ignored: the peer is silent or gone, and the requests
# that it sent will end soon.
REPORT_TTL_SECONDS = 1.5
# Requests sent by peers within this time are not yet in their reports.
REPORT_DELAY_SECONDS = 0.3
# Recent sends assumed for each peer, as a fraction of this gateway's own. When a
# server becomes available, all gateways see it empty at the same moment and would
# together send several times what it can take.
PEER_SEND_SHARE = 0.5


@frozen(kw_only=True)
class Load:
    """Load of one backend server: open requests, and prompt tokens not yet read."""

    requests: int = 0
    tokens: int = 0

    def scaled(self, factor: float) -> "Load":
        """Return this load multiplied by `factor` and rounded."""
        return Load(
            requests=round(self.requests * factor), tokens=round(self.tokens * factor)
        )

    def __add__(self, other: "Load") -> "Load":
        """Return the sum of two loads."""
        return Load(
            requests=self.requests + other.requests, tokens=self.tokens + other.tokens
        )


NO_LOAD = Load()


@define(kw_only=True)
class InFlightRequest:
    """One request sent to a backend server.

    `tokens` are its prompt tokens not yet read; 0 once the response has begun.
    `sent_at` is when it was sent, `objective_at` when its first event is due,
    `min_first_event_seconds` how long that takes at an idle engine.
    """

    server: str
    tokens: int
    sent_at: float = 0.0
    service: str = ""
    priority: int = 0
    objective_at: float = float("inf")
    min_first_event_seconds: float = 0.0


@define
class _Report:
    received_at: float
    loads: Mapping[str, Load]


@define
class _Total:
    """Sum of the loads that peers reported for one backend server."""

    requests: int = 0
    tokens: int = 0
    report_count: int = 0


@define
class LoadTracker:
    """Requests in flight from this gateway, and the last reports of its peers.

    The sum over the reports is updated with each report, so that the cost of reading
    the load of a backend server does not grow with the number of peers.

    Examples
    --------
    >>> loads = LoadTracker()
    >>> in_flight = loads.record_send("s-1", tokens=900, now=0.0)
    >>> loads.record_report("peer", {"s-1": Load(requests=2)}, now=0.0)
    >>> loads.server_load("s-1", now=0.1, peer_count=4)
    Load(requests=5, tokens=2700)
    >>> loads.server_load("s-1", now=0.5)
    Load(requests=3, tokens=900)

    """

    _own_loads: dict[str, Load] = field(factory=dict)
    # In the order in which they were received.
    _reports: dict[str, _Report] = field(factory=dict)
    _reported_totals: dict[str, _Total] = field(factory=dict)
    _recent_sends: RecentEvents[Load] = field(
        factory=lambda: RecentEvents(window_seconds=REPORT_DELAY_SECONDS)
    )

    def record_send(self, server: str, *, tokens: int, now: float) -> InFlightRequest:
        """Add a request that is about to be sent."""
        load = Load(requests=1, tokens=tokens)
        self._add_own_load(server, load)
        self._recent_sends.add(server, load, now=now)
        return InFlightRequest(server=server, tokens=tokens, sent_at=now)

    def record_response_start(self, in_flight: InFlightRequest) -> None:
        """Remove the prompt tokens of a request from the load: they were read."""
        self._add_own_load(in_flight.server, Load(tokens=-in_flight.tokens))
        in_flight.tokens = 0

    def record_end(self, in_flight: InFlightRequest) -> None:
        """Remove a request that succeeded or failed."""
        self._add_own_load(
            in_flight.server, Load(requests=-1, tokens=-in_flight.tokens)
        )
        in_flight.tokens = 0

    def record_report(
        self, peer: str, loads: Mapping[str, Load], *, now: float
    ) -> None:
        """Replace the last report of a peer."""
        self.remove_peer(peer)
        self._reports[peer] = _Report(now, loads)
        for server, load in loads.items():
            total = self._reported_totals.setdefault(server, _Total())
            total.requests += load.requests
            total.tokens += load.tokens
            total.report_count += 1

    def remove_peer(self, peer: str) -> None:
        """Remove the report of a peer that is gone."""
        report = self._reports.pop(peer, None)
        if report is None:
            return
        for server, load in report.loads.items():
            total = self._reported_totals[server]
            total.requests -= load.requests
            total.tokens -= load.tokens
            total.report_count -= 1
            if not total.report_count:
                del self._reported_totals[server]

    def own_requests(self, server: str) -> int:
        """Return how many requests this gateway has in flight at a backend server."""
        return self._own_loads.get(server, NO_LOAD).requests

    def own_loads(self) -> Mapping[str, Load]:
        """Return the load that this gateway causes, by backend server."""
        return dict(self._own_loads)

    def combined_loads(
        self, peers: Collection[str], *, now: float
    ) -> Mapping[str, Load]:
        """Return the load that this gateway and some peers cause, by backend server."""
        total = dict(self._own_loads)
        for peer in peers:
            report = self._reports.get(peer)
            if report is None or now - report.received_at > REPORT_TTL_SECONDS:
                continue
            for server, load in report.loads.items():
                total[server] = total.get(server, NO_LOAD) + load
        return total

    def server_load(self, server: str, *, now: float, peer_count: int = 0) -> Load:
        """Return the load of one backend server from all gateways.

        It includes an estimate of what `peer_count` other gateways sent since
        their reports, extrapolated from this gateway's recent sends.
        """
        self._remove_expired_reports(now)
        load = self._own_loads.get(server, NO_LOAD)
        if peer_count:
            load += self.unseen_load(server, now=now, peer_count=peer_count)
        total = self._reported_totals.get(server)
        if total is not None:
            load += Load(requests=total.requests, tokens=total.tokens)
        return load

    def unseen_load(self, server: str, *, now: float, peer_count: int) -> Load:
        """Return an estimate of what peers sent to a server since their reports."""
        if server not in self._recent_sends:
            return NO_LOAD
        recent_load = sum(self._recent_sends.values(server, now=now), NO_LOAD)
        return recent_load.scaled(PEER_SEND_SHARE * peer_count)

    def retain(self, known_servers: Collection[str]) -> None:
        """Drop the recent sends to all backend servers but the known ones."""
        self._recent_sends.retain(known_servers)

    def _remove_expired_reports(self, now: float) -> None:
        while self._reports:
            peer, report = next(iter(self._reports.items()))
            if now - report.received_at <= REPORT_TTL_SECONDS:
                return
            self.remove_peer(peer)

    def _add_own_load(self, server: str, change: Load) -> None:
        load = self._own_loads.get(server, NO_LOAD) + change
        if load.requests <= 0:
            self._own_loads.pop(server, None)
        else:
            self._own_loads[server] = load
