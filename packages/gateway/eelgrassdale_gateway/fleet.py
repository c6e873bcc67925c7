"""What a gateway believes: configuration, backend servers, data centres, versions."""

from collections.abc import Callable, Mapping

import structlog
from attrs import frozen

from eelgrassdale_gateway.model import BackendServer, RouteTable

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class NamedVersion:
    """A model version that operators named, binding from a moment on."""

    version: int
    binding_at: float


class Fleet:
    """The newest known state; each update replaces a part of it.

    Parameters
    ----------
    grace : float
        Seconds after the naming of a version in which older ones may serve.
    start_grace : float
        The same for versions that were named before this process started.
    """

    def __init__(self, *, grace: float, start_grace: float) -> None:
        self.table: RouteTable | None = None
        self.servers: Mapping[str, BackendServer] = {}
        self.data_centres_out: frozenset[str] = frozenset()
        self.has_servers = False
        self.grace = grace
        self._start_grace = start_grace
        self._named: dict[str, list[NamedVersion]] = {}
        self.has_versions = False
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every update."""
        self._listeners.append(listener)

    def is_ready(self) -> bool:
        """Return whether requests can be routed."""
        return self.table is not None and self.has_servers

    def offer_table(self, table: RouteTable) -> bool:
        """Take a configuration unless it is older than the one in force."""
        if self.table is not None and table.version <= self.table.version:
            return False
        before = self.table.version if self.table else None
        self.table = table
        log.info("configuration in force", version=table.version, before=before)
        self._notify()
        return True

    def set_servers(self, servers: Mapping[str, BackendServer]) -> None:
        """Replace the list of backend servers."""
        for server_id in servers.keys() - self.servers.keys():
            server = servers[server_id]
            log.info(
                "backend server listed",
                server=server_id,
                service=server.service,
                address=f"{server.address[0]}:{server.address[1]}",
                data_centre=server.data_centre,
                versions=dict(server.versions),
            )
        for server_id in self.servers.keys() - servers.keys():
            log.info("backend server gone", server=server_id)
        self.servers = servers
        self.has_servers = True
        self._notify()

    def set_data_centres_out(self, names: frozenset[str]) -> None:
        """Replace the data centres that operators took out of service."""
        if names == self.data_centres_out:
            return
        log.info("data centres out of service", names=sorted(names))
        self.data_centres_out = names
        self._notify()

    def set_named_versions(
        self, versions: Mapping[str, int], now: float, *, unaware: float = 0.0
    ) -> None:
        """Note the named version of each model.

        A version that is first seen with the first list was named at an
        unknown time before. One that is seen after this process stood still
        may have been named up to `unaware` seconds ago.
        """
        grace = self._start_grace
        if self.has_versions:
            grace = max(grace, self.grace - unaware)
        self.has_versions = True
        for model, version in versions.items():
            named = self._named.setdefault(model, [])
            if named and named[-1].version >= version:
                continue
            named.append(NamedVersion(version=version, binding_at=now + grace))
            log.info("model version named", model=model, version=version, grace=grace)
        self._notify()

    def named_versions(self) -> dict[str, int]:
        """Return the newest named version of each model."""
        return {model: named[-1].version for model, named in self._named.items()}

    def required_version(self, model: str, now: float) -> int:
        """Return the lowest version on which a request may begin; 0 for any."""
        lowest = 0
        for named in self._named.get(model, ()):
            if named.binding_at <= now:
                lowest = named.version
        return lowest

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
