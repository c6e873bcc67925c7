"""Load of backend servers, from this node's work and its peers' reports."""

from collections import deque
from collections.abc import Collection, Mapping

from attrs import define, field, frozen

# A peer's report is dropped after this time; the peer is then silent or gone,
# and what it sent ends soon.
REPORT_SECONDS = 1.5
# Peers' reports do not show yet what they sent in this time.
UNSEEN_SECONDS = 0.3
# Share of its own recent sends that a node expects of each peer. When a server
# opens, all nodes find it empty at once, and would fill it several times over.
ECHO_SHARE = 0.5


@frozen(kw_only=True)
class Load:
    """Work at one backend server: requests, and prompt tokens yet to be read."""

    requests: int = 0
    tokens: int = 0

    def times(self, factor: float) -> "Load":
        """Return this load `factor` times, rounded."""
        return Load(
            requests=round(self.requests * factor), tokens=round(self.tokens * factor)
        )

    def __add__(self, other: "Load") -> "Load":
        """Return the sum of two loads."""
        return Load(
            requests=self.requests + other.requests, tokens=self.tokens + other.tokens
        )


@define(kw_only=True)
class Work:
    """One request sent to a backend server; `tokens` becomes 0 at its first event."""

    server: str
    tokens: int


@define
class _Report:
    at: float
    loads: Mapping[str, Load]


@define
class LoadBook:
    """Open work of this node and the last reports of its peers.

    Examples
    --------
    >>> book = LoadBook()
    >>> work = book.sent("s-1", tokens=900, now=0.0)
    >>> book.note_report("peer", {"s-1": Load(requests=2)}, now=0.0)
    >>> book.load_of("s-1", now=0.1, peers=4)
    Load(requests=5, tokens=2700)
    >>> book.load_of("s-1", now=0.5)
    Load(requests=3, tokens=900)

    """

    _own: dict[str, Load] = field(factory=dict)
    _reports: dict[str, _Report] = field(factory=dict)
    _recent: dict[str, deque[tuple[float, Load]]] = field(factory=dict)

    def sent(self, server: str, *, tokens: int, now: float) -> Work:
        """Add work that is about to be sent."""
        load = Load(requests=1, tokens=tokens)
        self._add(server, load)
        self._recent.setdefault(server, deque()).append((now, load))
        return Work(server=server, tokens=tokens)

    def started(self, work: Work) -> None:
        """Note that the prompt was read."""
        self._add(work.server, Load(tokens=-work.tokens))
        work.tokens = 0

    def ended(self, work: Work) -> None:
        """Remove work that ended in any way."""
        self._add(work.server, Load(requests=-1, tokens=-work.tokens))
        work.tokens = 0

    def note_report(self, peer: str, loads: Mapping[str, Load], *, now: float) -> None:
        """Replace what a peer last reported."""
        self._reports[peer] = _Report(now, loads)

    def forget_peer(self, peer: str) -> None:
        """Drop the report of a peer that is gone."""
        self._reports.pop(peer, None)

    def own_requests(self, server: str) -> int:
        """Return the number of open requests of this node at a backend server."""
        return self._own.get(server, Load()).requests

    def own_loads(self) -> Mapping[str, Load]:
        """Return the open work of this node by backend server."""
        return dict(self._own)

    def sum_of(self, peers: Collection[str], *, now: float) -> Mapping[str, Load]:
        """Return the open work of this node and some peers by backend server."""
        total = dict(self._own)
        for peer in peers:
            report = self._reports.get(peer)
            if report is None or now - report.at > REPORT_SECONDS:
                continue
            for server, load in report.loads.items():
                total[server] = total.get(server, Load()) + load
        return total

    def load_of(self, server: str, *, now: float, peers: int = 0) -> Load:
        """Return the work of all nodes at one backend server.

        It includes what `peers` other nodes are expected to have sent since
        their reports, judged by what this node sent.
        """
        total = self._own.get(server, Load())
        total += self._recent_load(server, now).times(ECHO_SHARE * peers)
        for report in self._reports.values():
            if now - report.at <= REPORT_SECONDS and server in report.loads:
                total += report.loads[server]
        return total

    def _recent_load(self, server: str, now: float) -> Load:
        recent = self._recent.get(server)
        if recent is None:
            return Load()
        while recent and now - recent[0][0] > UNSEEN_SECONDS:
            recent.popleft()
        if not recent:
            del self._recent[server]
        return sum((load for _, load in recent), Load())

    def _add(self, server: str, change: Load) -> None:
        load = self._own.get(server, Load()) + change
        if load.requests <= 0:
            self._own.pop(server, None)
        else:
            self._own[server] = load
