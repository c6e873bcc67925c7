"""Routing state of a gateway.

It consists of the configuration, the backend servers, the data centres out of
service and the target versions of models.
"""

from collections.abc import Callable, Mapping

import structlog
from attrs import frozen

from eelgrassdale_gateway.model import BackendServer, Incarnation, RouteTable

# Models without a target in the present list whose targets are kept. They may come back
# with a restored store, and must not get an older version then.
MAX_UNLISTED_MODELS = 256

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class TargetVersion:
    """A target version; from `mandatory_at` on, no older version may serve."""

    version: int
    mandatory_at: float


class RoutingState:
    """The newest known routing state; each update replaces a part of it.

    Parameters
    ----------
    version_grace_seconds : float
        Seconds after a version became the target in which older versions may
        still serve.
    start_grace : float
        The same for versions that are in the first list that this process gets,
        which became the target at an unknown time. It counts from `started_at`.
    queue_seconds : float
        Seconds after the grace in which a request that was sent in time may still
        begin on an older version.
    started_at : float
        Monotonic time of the start of this process.
    """

    def __init__(
        self,
        *,
        version_grace_seconds: float,
        start_grace: float,
        queue_seconds: float = 0.5,
        started_at: float = 0.0,
    ) -> None:
        self.table: RouteTable | None = None
        self.servers: Mapping[str, BackendServer] = {}
        self.data_centres_out: frozenset[str] = frozenset()
        self.has_servers = False
        self.version_grace_seconds = version_grace_seconds
        self.queue_seconds = queue_seconds
        self._start_grace = start_grace
        self._started_at = started_at
        self._targets: dict[str, list[TargetVersion]] = {}
        self.has_target_versions = False
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every update."""
        self._listeners.append(listener)

    def is_ready(self) -> bool:
        """Return whether requests can be routed."""
        return self.table is not None and self.has_servers

    def apply_table(self, table: RouteTable) -> bool:
        """Apply a configuration if it is newer than the current one.

        Return whether it was applied.
        """
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
            log.info("backend server no longer listed", server=server_id)
        for server_id, server in servers.items():
            known = self.servers.get(server_id)
            if server.is_leaving and (known is None or not known.is_leaving):
                log.info(
                    "backend server listed as leaving",
                    server=server_id,
                    born=server.started_at_ms,
                )
        self.servers = servers
        self.has_servers = True
        self._notify()

    def is_listed_as_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether the list shows that an incarnation leaves."""
        server = self.servers.get(incarnation[0])
        return (
            server is not None
            and server.incarnation == incarnation
            and server.is_leaving
        )

    def set_data_centres_out(self, names: frozenset[str]) -> None:
        """Replace the data centres that operators took out of service."""
        if names == self.data_centres_out:
            return
        log.info("data centres out of service", names=sorted(names))
        self.data_centres_out = names
        self._notify()

    def set_target_versions(
        self, versions: Mapping[str, int], now: float, *, staleness_seconds: float = 0.0
    ) -> None:
        """Record the target version of each model.

        Versions in the first list became the target at an unknown earlier time, and
        the list itself may arrive late, so their grace counts from the start of this
        process. After a pause of this process, a new version may have become the target
        up to `staleness_seconds` ago, so its grace is shortened by that time, but not
        below `start_grace`.
        """
        if self.has_target_versions:
            grace = max(
                self._start_grace, self.version_grace_seconds - staleness_seconds
            )
        else:
            grace = max(0.0, self._started_at + self._start_grace - now)
        self.has_target_versions = True
        for model, version in versions.items():
            targets = self._targets.setdefault(model, [])
            if targets and targets[-1].version >= version:
                continue
            targets.append(TargetVersion(version=version, mandatory_at=now + grace))
            log.info("target version set", model=model, version=version, grace=grace)
        self._forget_old_targets(versions, now)
        self._notify()

    def _forget_old_targets(self, listed: Mapping[str, int], now: float) -> None:
        """Drop the targets that decide nothing any more, and the oldest models."""
        for model, targets in self._targets.items():
            passed = [
                index
                for index, target in enumerate(targets)
                if target.mandatory_at + self.queue_seconds <= now
            ]
            if passed:
                # From it on, the earlier ones decide nothing.
                self._targets[model] = targets[passed[-1] :]
        unlisted = [model for model in self._targets if model not in listed]
        for model in unlisted[: max(0, len(unlisted) - MAX_UNLISTED_MODELS)]:
            del self._targets[model]

    def target_versions(self) -> dict[str, int]:
        """Return the newest target version of each model."""
        return {model: targets[-1].version for model, targets in self._targets.items()}

    def required_version(self, model: str, now: float) -> int:
        """Return the lowest version on which a request may begin, 0 if any may."""
        lowest = 0
        for target in self._targets.get(model, ()):
            if target.mandatory_at <= now:
                lowest = target.version
        return lowest

    def latest_start(self, model: str, version: int) -> float:
        """Return until when a request may begin on a version of a model.

        It is infinity while no newer version is the target.
        """
        return min(
            (
                target.mandatory_at + self.queue_seconds
                for target in self._targets.get(model, ())
                if target.version > version
            ),
            default=float("inf"),
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
