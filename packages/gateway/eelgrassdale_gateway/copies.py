"""The copies of the store's kinds that a gateway keeps, and their freshness."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

import structlog

from eelgrassdale_gateway.changelog import ChangeLog
from eelgrassdale_gateway.following import SharedSource
from eelgrassdale_gateway.mirror import Mirror

# Another gateway may hear of a change first; one check later it counts.
CHECK_SECONDS = 0.25

log = structlog.get_logger(__name__)


class Copies:
    """Runs the mirrors, and reads a kind anew when other gateways know more.

    Parameters
    ----------
    newest : callable
        Returns the newest revision of each kind that live gateways report.
    """

    def __init__(
        self,
        *,
        source: SharedSource,
        mirrors: Sequence[Mirror],
        newest: Callable[[], Mapping[str, int]],
    ) -> None:
        self.source = source
        self._mirrors = {mirror.kind: mirror for mirror in mirrors}
        self._newest = newest
        self._behind: dict[str, int] = {}
        # Revisions for which a kind was read anew already.
        self._checked: dict[str, int] = {}

    def logs(self) -> Mapping[str, ChangeLog]:
        """Return the copies by kind."""
        return {kind: mirror.log for kind, mirror in self._mirrors.items()}

    def revisions(self) -> Mapping[str, int]:
        """Return the revision of the newest change of each kind."""
        return {kind: mirror.log.changed_at for kind, mirror in self._mirrors.items()}

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            for mirror in self._mirrors.values():
                group.create_task(mirror.run())
            while True:
                await asyncio.sleep(CHECK_SECONDS)
                self.check()

    def check(self) -> None:
        """Read anew what has been behind other gateways since the last check."""
        behind: dict[str, int] = {}
        newest = self._newest()
        for kind, mirror in self._mirrors.items():
            revision = newest.get(kind, 0)
            known = max(mirror.log.changed_at, self._checked.get(kind, 0))
            if revision > known:
                behind[kind] = revision
        for kind in behind.keys() & self._behind.keys():
            log.info("copy is behind", kind=kind, revision=behind[kind])
            self._checked[kind] = behind[kind]
            self.source.suspect(kind)
            self._mirrors[kind].refresh()
        self._behind = behind
