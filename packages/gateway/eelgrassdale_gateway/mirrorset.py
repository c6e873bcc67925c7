"""The mirrors of a gateway, and the detection of stale ones."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

import structlog

from eelgrassdale_gateway.changelog import ChangeLog
from eelgrassdale_gateway.copycheck import CopyCheck
from eelgrassdale_gateway.mirror import Mirror
from eelgrassdale_gateway.sharedsource import SharedSource

# Another gateway may receive a change slightly earlier, so a copy counts as stale
# only if it is behind at two checks in succession.
CHECK_INTERVAL_SECONDS = 0.25

log = structlog.get_logger(__name__)


class MirrorSet:
    """Runs mirrors, and refreshes those that stay behind other gateways.

    Parameters
    ----------
    peer_revisions : callable
        Returns the newest revision of each kind that live gateways report.
    copy_check : CopyCheck
        Compares the copies with the store.
    """

    def __init__(
        self,
        *,
        source: SharedSource,
        mirrors: Sequence[Mirror],
        peer_revisions: Callable[[], Mapping[str, int]],
        copy_check: CopyCheck,
    ) -> None:
        self.source = source
        self._mirrors = {mirror.kind: mirror for mirror in mirrors}
        self._peer_revisions = peer_revisions
        self._copy_check = copy_check
        self._previously_behind: dict[str, int] = {}
        # Newest revision for which each kind was refreshed already.
        self._refreshed_at_revision: dict[str, int] = {}

    def change_logs(self) -> Mapping[str, ChangeLog]:
        """Return the copies by kind."""
        return {kind: mirror.change_log for kind, mirror in self._mirrors.items()}

    def revisions(self) -> Mapping[str, int]:
        """Return the revision of the newest change of each kind."""
        return {
            kind: mirror.change_log.last_change_revision
            for kind, mirror in self._mirrors.items()
        }

    def longest_silence_seconds(self) -> float:
        """Return for how long the kind that waits longest has had no answer."""
        return max(mirror.seconds_without_answer() for mirror in self._mirrors.values())

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            for mirror in self._mirrors.values():
                group.create_task(mirror.run())
            group.create_task(self._copy_check.run())
            while True:
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                self.refresh_stale()

    def refresh_stale(self) -> None:
        """Refresh the mirrors that were behind at this check and the last one."""
        behind: dict[str, int] = {}
        newest = self._peer_revisions()
        for kind, mirror in self._mirrors.items():
            revision = newest.get(kind, 0)
            known = max(
                mirror.change_log.last_change_revision,
                self._refreshed_at_revision.get(kind, 0),
            )
            if revision > known:
                behind[kind] = revision
        for kind in behind.keys() & self._previously_behind.keys():
            log.info(
                "copy is outdated; avoiding its source",
                kind=kind,
                revision=behind[kind],
            )
            self._refreshed_at_revision[kind] = behind[kind]
            self.source.avoid_current_source(kind)
            self._mirrors[kind].refresh()
        self._previously_behind = behind
