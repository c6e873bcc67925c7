"""Target versions of a model, and the chunks that an agent holds of them."""

from enum import Enum

from attrs import define, field

from eelgrassdale_gateway.staging.chunks import ChunkSet

# A transfer that has more than this share of its chunks is completed before a
# newer version is fetched.
KEEP_FETCHING_SHARE = 0.5
# Versions held in memory for each model: one to load, and the one that is being
# fetched.
MAX_SETS = 2


class TransferOutcome(Enum):
    """How a transfer ended; the chunks are dropped only after `USELESS`."""

    COMPLETE = "whole"
    SUPERSEDED = "superseded"
    STALLED = "stalled"
    USELESS = "useless"


@define(kw_only=True)
class _Target:
    version: int
    set_at: float


@define(kw_only=True)
class HeldVersions:
    """Target versions of one model, oldest first, and the chunk sets held.

    `stalled` is the version whose transfer was last interrupted because no
    chunk arrived. `staged_indexes` are the chunks of `staging_version` that
    this process has staged at the engine.
    """

    targets: list[_Target] = field(factory=list)
    sets: dict[int, ChunkSet] = field(factory=dict)
    stalled: int = 0
    staging_version: int = 0
    staged_indexes: set[int] = field(factory=set)

    @property
    def newest_target(self) -> int:
        """The newest target version, 0 before the first."""
        return self.targets[-1].version if self.targets else 0

    def add_target(self, version: int, *, now: float, grace: float) -> bool:
        """Add a target version; return whether it is newer than the others.

        The first one may have become the target long before this process
        started. It counts as set `grace` seconds ago, so that its load is not
        staggered.

        Examples
        --------
        >>> model = HeldVersions()
        >>> model.add_target(2, now=10.0, grace=6.5), model.target_set_at(2)
        (True, 3.5)
        >>> model.add_target(3, now=11.0, grace=6.5), model.target_set_at(3)
        (True, 11.0)

        """
        if version <= self.newest_target:
            return False
        set_at = now if self.targets else now - grace
        self.targets.append(_Target(version=version, set_at=set_at))
        return True

    def target_set_at(self, version: int) -> float:
        """Return the monotonic time at which a version became the target."""
        return next(
            target.set_at for target in self.targets if target.version == version
        )

    def completed(self) -> ChunkSet | None:
        """Return the newest complete set, or None."""
        completed = [version for version, held in self.sets.items() if held.is_complete]
        return self.sets[max(completed)] if completed else None

    def outcome_of(self, chunks: ChunkSet, *, is_complete: bool) -> TransferOutcome:
        """Return how a transfer that has ended by itself ended."""
        if is_complete:
            return TransferOutcome.COMPLETE
        # That of a wanted version ends early only when its manifest is in doubt.
        if self.is_wanted(chunks):
            return TransferOutcome.USELESS
        return TransferOutcome.SUPERSEDED

    def is_wanted(self, chunks: ChunkSet) -> bool:
        """Return whether a version is worth fetching.

        The newest target always is. An older version is while there is no
        manifest of the newest. The one before the newest also is while the
        transfer of the newest is stalled, and once more than
        `KEEP_FETCHING_SHARE` of its chunks are held.
        """
        version = chunks.manifest.version
        if version == self.newest_target or self.newest_target not in self.sets:
            return True
        if not self._is_previous(version):
            return False
        threshold = KEEP_FETCHING_SHARE * chunks.manifest.count
        return self.stalled == self.newest_target or chunks.count > threshold

    def has_alternative(self, chunks: ChunkSet) -> bool:
        """Return whether another set could be fetched while this one is stalled."""
        return any(
            held is not chunks
            and not held.is_complete
            and (version == self.newest_target or self._is_previous(version))
            for version, held in self.sets.items()
        )

    def next_to_fetch(self, loaded: int) -> ChunkSet | None:
        """Return the oldest wanted set with missing chunks, or None.

        The stalled version comes last.
        """
        wanted = [
            chunks
            for version, chunks in sorted(self.sets.items())
            if version > loaded and not chunks.is_complete and self.is_wanted(chunks)
        ]
        progressing = [c for c in wanted if c.manifest.version != self.stalled]
        return next(iter(progressing or wanted), None)

    def next_to_stage(self, loaded: int) -> ChunkSet | None:
        """Return the set that the engine is likely to load next."""
        completed = self.completed()
        if completed is not None and completed.manifest.version > loaded:
            return completed
        return self.next_to_fetch(loaded)

    def unstaged_indexes(self, chunks: ChunkSet) -> list[int]:
        """Return the indexes of held chunks that are not staged yet."""
        if self.staging_version != chunks.manifest.version:
            self.staging_version = chunks.manifest.version
            self.staged_indexes.clear()
        return sorted(chunks.held() - self.staged_indexes)

    def add_set(self, chunks: ChunkSet) -> None:
        """Hold a set, and drop the oldest sets beyond `MAX_SETS`."""
        self.sets[chunks.manifest.version] = chunks
        for version in sorted(self.sets)[:-MAX_SETS]:
            del self.sets[version]

    def drop_set(self, chunks: ChunkSet) -> None:
        """Drop a set, unless it was replaced already."""
        version = chunks.manifest.version
        if self.sets.get(version) is chunks:
            del self.sets[version]

    def _is_previous(self, version: int) -> bool:
        return len(self.targets) > 1 and version == self.targets[-2].version
