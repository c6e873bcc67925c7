"""What a restoration of the store must not roll back.

The store may be restored from a copy that is some seconds old. That copy lists servers
that have left since, shows draining ones as ready, and lacks entries of data centres
that were taken out of service. All functions here are pure: time and positions are
passed in.
"""

from collections.abc import Mapping

from attrs import define, evolve, field, frozen

from eelgrassdale_gateway.eras import Position
from eelgrassdale_gateway.model import BackendServer, Incarnation

# Incarnations remembered of each kind; the oldest is evicted first.
MAX_REMEMBERED = 4096
# Operators rewrite the entries of data centres within this time after a restoration.
DATA_CENTRE_SECONDS = 5.0


@frozen(kw_only=True)
class _Hidden:
    """What the older copy says of a server that has left."""

    revision: int
    is_leaving: bool


@define
class ServerMemory:
    """Incarnations of backend servers that left or drain, over eras of the store.

    Examples
    --------
    >>> def server(*, revision, is_leaving=False):
    ...     return BackendServer(
    ...         id="s", service="m", address=("", 0), data_centre="", region="",
    ...         revision=revision, is_leaving=is_leaving,
    ...     )
    >>> memory = ServerMemory()
    >>> _ = memory.update({"s": server(revision=5)}, Position(0, 5))
    >>> _ = memory.update({}, Position(0, 7))
    >>> sorted(memory.update({"s": server(revision=5)}, Position(1, 6)))
    []
    >>> sorted(memory.update({"s": server(revision=9)}, Position(1, 9)))
    ['s']

    """

    _era: int | None = None
    _present: set[Incarnation] = field(factory=set)
    _removed: dict[Incarnation, None] = field(factory=dict)
    # Those whose entry said last that they drain, and those of them that were known
    # before a restoration: these stay draining whatever their entry says.
    _draining: dict[Incarnation, None] = field(factory=dict)
    _kept_draining: dict[Incarnation, None] = field(factory=dict)
    _hidden: dict[Incarnation, _Hidden] = field(factory=dict)

    def begins_era(self, era: int) -> bool:
        """Return whether a listing of this era is the first one after a restoration."""
        return self._era is not None and era > self._era

    def update(
        self, listed: Mapping[str, BackendServer], position: Position
    ) -> dict[str, BackendServer]:
        """Return the listed servers, without what the listing must not roll back."""
        incarnations = {server.incarnation: server for server in listed.values()}
        if self.begins_era(position.era):
            self._begin_era(incarnations, position)
        else:
            self._record_removed(incarnations)
        self._era = position.era
        servers = {
            server_id: self._as_known(server)
            for server_id, server in listed.items()
            if not self._is_hidden(server)
        }
        self._present = {server.incarnation for server in servers.values()}
        for incarnation in self._present:
            self._removed.pop(incarnation, None)
        return servers

    def _begin_era(
        self, listed: Mapping[Incarnation, BackendServer], position: Position
    ) -> None:
        for incarnation in self._draining:
            _remember(self._kept_draining, incarnation)
        self._hidden = {
            incarnation: _Hidden(
                revision=position.revision, is_leaving=server.is_leaving
            )
            for incarnation, server in listed.items()
            if incarnation in self._removed
        }

    def _record_removed(self, listed: Mapping[Incarnation, BackendServer]) -> None:
        for incarnation in self._present - listed.keys():
            _remember(self._removed, incarnation)
        for incarnation in self._hidden.keys() - listed.keys():
            del self._hidden[incarnation]

    def _is_hidden(self, server: BackendServer) -> bool:
        """Return whether a server has left and its entry is that of the older copy."""
        hidden = self._hidden.get(server.incarnation)
        if hidden is None:
            return False
        if server.revision <= hidden.revision and (
            server.is_leaving == hidden.is_leaving
        ):
            return True
        del self._hidden[server.incarnation]
        return False

    def _as_known(self, server: BackendServer) -> BackendServer:
        incarnation = server.incarnation
        if incarnation in self._kept_draining:
            _remember(self._kept_draining, incarnation)
            return evolve(server, is_leaving=True)
        if server.is_leaving:
            _remember(self._draining, incarnation)
        else:
            self._draining.pop(incarnation, None)
        return server


@define
class DataCentreMemory:
    """Data centres out of service, over eras of the store.

    Examples
    --------
    >>> memory = DataCentreMemory()
    >>> _ = memory.update(frozenset("a"), era=0, noticed_at=0.0, now=0.0)
    >>> sorted(memory.update(frozenset(), era=1, noticed_at=8.0, now=9.0))
    ['a']
    >>> sorted(memory.current(now=13.0))
    []

    """

    _era: int | None = None
    _listed: frozenset[str] = frozenset()
    _kept: frozenset[str] = frozenset()
    _kept_until: float = float("-inf")

    def update(
        self, listed: frozenset[str], *, era: int, noticed_at: float, now: float
    ) -> frozenset[str]:
        """Replace the listed names and return those that count as out of service.

        `noticed_at` is when the newest change of era was noticed.
        """
        if self._era is not None and era > self._era:
            self._kept = self.current(now=now)
            self._kept_until = noticed_at + DATA_CENTRE_SECONDS
        self._era = era
        self._listed = listed
        # From now on the entry alone decides.
        self._kept -= listed
        return self.current(now=now)

    def current(self, *, now: float) -> frozenset[str]:
        """Return the data centres that count as out of service."""
        return self._listed | self._kept if now < self._kept_until else self._listed

    def seconds_until_expiry(self, *, now: float) -> float | None:
        """Return the seconds until a missing entry counts as removed, or None."""
        is_waiting = self._kept and now < self._kept_until
        return self._kept_until - now if is_waiting else None


def _remember(memory: dict[Incarnation, None], incarnation: Incarnation) -> None:
    """Make an incarnation the newest of a memory."""
    memory.pop(incarnation, None)
    memory[incarnation] = None
    while len(memory) > MAX_REMEMBERED:
        del memory[next(iter(memory))]
