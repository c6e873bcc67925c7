"""Load of backend servers, from this gateway's requests and its peers' reports."""

from collections import deque
from collections.abc import Collection, Mapping

from attrs import define, field, frozen

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


@define(kw_only=True)
class InFlightRequest:
    """One request sent to a backend server.

    `tokens` are its prompt tokens not yet read; 0 once the response has begun.
    """

    server: str
    tokens: int


@define
class _Report:
    received_at: float
    loads: Mapping[str, Load]


@define
class LoadTracker:
    """Requests in flight from this gateway, and the last reports of its peers.

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
    _reports: dict[str, _Report] = field(factory=dict)
    _recent_sends: dict[str, deque[tuple[float, Load]]] = field(factory=dict)

    def record_send(self, server: str, *, tokens: int, now: float) -> InFlightRequest:
        """Add a request that is about to be sent."""
        load = Load(requests=1, tokens=tokens)
        self._add_own_load(server, load)
        self._recent_sends.setdefault(server, deque()).append((now, load))
        return InFlightRequest(server=server, tokens=tokens)

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
        self._reports[peer] = _Report(now, loads)

    def remove_peer(self, peer: str) -> None:
        """Remove the report of a peer that is gone."""
        self._reports.pop(peer, None)

    def own_requests(self, server: str) -> int:
        """Return how many requests this gateway has in flight at a backend server."""
        return self._own_loads.get(server, Load()).requests

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
                total[server] = total.get(server, Load()) + load
        return total

    def server_load(self, server: str, *, now: float, peer_count: int = 0) -> Load:
        """Return the load of one backend server from all gateways.

        It includes an estimate of what `peer_count` other gateways sent since
        their reports, extrapolated from this gateway's recent sends.
        """
        total = self._own_loads.get(server, Load())
        total += self._recent_load(server, now).scaled(PEER_SEND_SHARE * peer_count)
        for report in self._reports.values():
            if (
                now - report.received_at <= REPORT_TTL_SECONDS
                and server in report.loads
            ):
                total += report.loads[server]
        return total

    def _recent_load(self, server: str, now: float) -> Load:
        recent = self._recent_sends.get(server)
        if recent is None:
            return Load()
        while recent and now - recent[0][0] > REPORT_DELAY_SECONDS:
            recent.popleft()
        if not recent:
            del self._recent_sends[server]
        return sum((load for _, load in recent), Load())

    def _add_own_load(self, server: str, change: Load) -> None:
        load = self._own_loads.get(server, Load()) + change
        if load.requests <= 0:
            self._own_loads.pop(server, None)
        else:
            self._own_loads[server] = load
