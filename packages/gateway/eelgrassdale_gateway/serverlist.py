"""The list of backend servers, kept stable over outages of the store.

The entries of live servers can expire while the store is unavailable, and are
written again soon after its recovery. Until then a missing entry does not mean
that its server left.
"""

from collections.abc import Mapping

from attrs import define, field

from eelgrassdale_gateway.eras import START, Position
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.restoration import ServerMemory

# Entries of live servers are written again about 2 s after the store's recovery.
RETENTION_SECONDS = 2.5
# Entries do not expire in shorter outages, such as a single failed call.
MIN_OUTAGE_SECONDS = 0.8


@define
class ServerList:
    """Backend servers by id, including entries that may only have expired.

    Examples
    --------
    >>> server = BackendServer(
    ...     id="s", service="m", address=("", 0), data_centre="", region=""
    ... )
    >>> servers = ServerList()
    >>> _ = servers.update({"s": server}, now=0.0)
    >>> servers.record_store_recovery(5.0, now=10.0)
    >>> sorted(servers.update({}, now=10.1)), sorted(servers.update({}, now=13.0))
    (['s'], [])

    """

    _listed: dict[str, BackendServer] = field(factory=dict)
    _retained: dict[str, BackendServer] = field(factory=dict)
    _retain_until: float = float("-inf")
    _memory: ServerMemory = field(factory=ServerMemory)

    def record_store_recovery(self, outage: float, *, now: float) -> None:
        """Retain entries for a while, as the store is back after `outage` seconds."""
        if outage >= MIN_OUTAGE_SECONDS:
            self._retain_until = now + RETENTION_SECONDS

    def update(
        self,
        listed: Mapping[str, BackendServer],
        *,
        now: float,
        position: Position = START,
    ) -> Mapping[str, BackendServer]:
        """Replace the listed entries and return the servers that count as present.

        An older copy, from which the store was restored, lacks the entries of servers
        that started since; they write them again.
        """
        if self._memory.begins_era(position.era):
            self._retain_until = now + RETENTION_SECONDS
        listed = self._memory.update(listed, position)
        missing = self._listed.keys() - listed.keys()
        if now < self._retain_until:
            self._retained |= {
                server_id: self._listed[server_id] for server_id in missing
            }
        self._listed = dict(listed)
        return self.current(now=now)

    def current(self, *, now: float) -> Mapping[str, BackendServer]:
        """Return the servers that count as present."""
        if now >= self._retain_until:
            self._retained.clear()
        addresses = {server.address for server in self._listed.values()}
        retained = {
            server_id: server
            for server_id, server in self._retained.items()
            if server_id not in self._listed and server.address not in addresses
        }
        return {**retained, **self._listed}

    def seconds_until_expiry(self, *, now: float) -> float | None:
        """Return the seconds until retained entries are dropped, or None."""
        if not self._retained or now >= self._retain_until:
            return None
        return self._retain_until - now
