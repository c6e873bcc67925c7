"""The list of backend servers, steady over outages of the store.

Entries of living servers can lapse while the store is away; they are written
again soon after its return. Until then a missing entry is no sign that its
server left.
"""

from collections.abc import Mapping

from attrs import define, field

from eelgrassdale_gateway.model import BackendServer

# Entries of living servers are back about 2 s after the store's return.
LAPSED_SECONDS = 2.5
# Shorter failures of a call are no outage in which entries lapse.
LEAST_OUTAGE_SECONDS = 0.8


@define
class ServerList:
    """Backend servers by id; `current` includes entries that may have lapsed.

    Examples
    --------
    >>> server = BackendServer(
    ...     id="s", service="m", address=("", 0), data_centre="", region=""
    ... )
    >>> servers = ServerList()
    >>> _ = servers.update({"s": server}, now=0.0)
    >>> servers.store_returned(5.0, now=10.0)
    >>> sorted(servers.update({}, now=10.1)), sorted(servers.update({}, now=13.0))
    (['s'], [])

    """

    _listed: dict[str, BackendServer] = field(factory=dict)
    _held: dict[str, BackendServer] = field(factory=dict)
    _hold_until: float = float("-inf")

    def store_returned(self, outage: float, *, now: float) -> None:
        """Note that the store answers again after `outage` seconds."""
        if outage >= LEAST_OUTAGE_SECONDS:
            self._hold_until = now + LAPSED_SECONDS

    def update(
        self, listed: Mapping[str, BackendServer], *, now: float
    ) -> Mapping[str, BackendServer]:
        """Take a new list and return the servers that count as present."""
        missing = self._listed.keys() - listed.keys()
        if now < self._hold_until:
            self._held |= {server_id: self._listed[server_id] for server_id in missing}
        self._listed = dict(listed)
        return self.current(now=now)

    def current(self, *, now: float) -> Mapping[str, BackendServer]:
        """Return the servers that count as present."""
        if now >= self._hold_until:
            self._held.clear()
        addresses = {server.address for server in self._listed.values()}
        held = {
            server_id: server
            for server_id, server in self._held.items()
            if server_id not in self._listed and server.address not in addresses
        }
        return {**held, **self._listed}

    def next_check(self, *, now: float) -> float | None:
        """Return after how many seconds held entries expire, or None."""
        if not self._held or now >= self._hold_until:
            return None
        return self._hold_until - now
