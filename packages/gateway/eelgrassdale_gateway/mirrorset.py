"""The mirrors of a gateway, and the detection of stale ones."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from functools import partial

import structlog

from eelgrassdale_gateway.changelog import ChangeLog
from eelgrassdale_gateway.copycheck import CopyCheck
from eelgrassdale_gateway.eras import (
    RELIST_JITTER_SECONDS,
    START,
    EraTracker,
    Position,
    call_with_jitter,
)
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
    peer_positions : callable
        Returns the position of the newest change of each kind that live gateways
        report.
    copy_check : CopyCheck
        Compares the copies with the store.
    eras : EraTracker
        Learns the eras that live gateways report. After a change of era, all kinds are
        listed again.
    """

    def __init__(
        self,
        *,
        source: SharedSource,
        mirrors: Sequence[Mirror],
        peer_positions: Callable[[], Mapping[str, Position]],
        copy_check: CopyCheck,
        eras: EraTracker | None = None,
    ) -> None:
        self.source = source
        self._mirrors = {mirror.kind: mirror for mirror in mirrors}
        self._peer_positions = peer_positions
        self._copy_check = copy_check
        self._eras = eras or EraTracker()
        self._eras.subscribe(self._list_again)
        self._previously_behind: dict[str, Position] = {}
        # Newest position for which each kind was refreshed already.
        self._refreshed_at: dict[str, Position] = {}

    def change_logs(self) -> Mapping[str, ChangeLog]:
        """Return the copies by kind."""
        return {kind: mirror.change_log for kind, mirror in self._mirrors.items()}

    def positions(self) -> Mapping[str, Position]:
        """Return the position of the newest change of each kind."""
        return {
            kind: mirror.change_log.last_change
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
        behind: dict[str, Position] = {}
        newest = self._peer_positions()
        era = self._eras.era
        for kind, mirror in self._mirrors.items():
            position = newest.get(kind, START)
            if position.era:
                # A gateway that has no copy yet reports era 0.
                self._eras.observe(position.era, position.revision)
            known = max(
                mirror.change_log.last_change, self._refreshed_at.get(kind, START)
            )
            if position > known:
                behind[kind] = position
        if self._eras.era > era:
            # The listings that the new era has just begun get a whole interval.
            behind = {}
        for kind in behind.keys() & self._previously_behind.keys():
            log.info(
                "copy is outdated; avoiding its source",
                kind=kind,
                revision=behind[kind].revision,
            )
            self._refreshed_at[kind] = behind[kind]
            self.source.avoid_current_source(kind)
            self._mirrors[kind].refresh()
        self._previously_behind = behind

    def _list_again(self, _old_era: int, era: int) -> None:
        """List all kinds again, but those that have been listed meanwhile."""
        for mirror in self._mirrors.values():
            refresh = partial(mirror.refresh_for_era, era)
            call_with_jitter(RELIST_JITTER_SECONDS, refresh)
