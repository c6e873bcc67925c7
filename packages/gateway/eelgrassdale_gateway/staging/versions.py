"""Which versions of a model an agent knows and holds, and which it fetches next."""

from enum import Enum

from attrs import define, field

from eelgrassdale_gateway.staging.chunks import ChunkSet

# A transfer that is further is ended before a newer version is fetched.
KEEP_FETCHING_SHARE = 0.5
# Versions held in memory for each model: one to load or serve to peers, and
# the one that is being fetched.
MAX_SETS = 2


class Transfer(Enum):
    """How a transfer ended; only a useless one loses its chunks."""

    WHOLE = "whole"
    SUPERSEDED = "superseded"
    STALLED = "stalled"
    USELESS = "useless"


@define(kw_only=True)
class _Named:
    version: int
    at: float


@define(kw_only=True)
class HeldVersions:
    """Versions of one model, oldest first, and the sets held of them.

    `stalled` is the version whose transfer made way last, as no chunk came.
    `staging` is the version of which the chunks in `staged` were staged last.
    """

    named: list[_Named] = field(factory=list)
    sets: dict[int, ChunkSet] = field(factory=dict)
    stalled: int = 0
    staging: int = 0
    staged: set[int] = field(factory=set)

    @property
    def newest(self) -> int:
        """The newest version that was named, 0 before the first."""
        return self.named[-1].version if self.named else 0

    def name(self, version: int, *, now: float, grace: float) -> bool:
        """Note a named version; return whether it is newer than the others.

        The first one may have been named long before this process started, so
        it counts as named `grace` seconds ago, and its load waits for no turn.

        Examples
        --------
        >>> model = HeldVersions()
        >>> model.name(2, now=10.0, grace=6.5), model.named_at(2)
        (True, 3.5)
        >>> model.name(3, now=11.0, grace=6.5), model.named_at(3)
        (True, 11.0)

        """
        if version <= self.newest:
            return False
        at = now if self.named else now - grace
        self.named.append(_Named(version=version, at=at))
        return True

    def named_at(self, version: int) -> float:
        """Return the monotonic moment at which a version was named."""
        return next(named.at for named in self.named if named.version == version)

    def whole(self) -> ChunkSet | None:
        """Return the newest set that is whole."""
        whole = [version for version, held in self.sets.items() if held.is_whole]
        return self.sets[max(whole)] if whole else None

    def is_wanted(self, chunks: ChunkSet) -> bool:
        """Return whether a version is worth fetching.

        An older one is, while the origin does not give the newest or its
        transfer stands still, or once most of it is there.
        """
        version = chunks.manifest.version
        if version == self.newest or self.newest not in self.sets:
            return True
        if not self._is_previous(version):
            return False
        most = KEEP_FETCHING_SHARE * chunks.manifest.count
        return self.stalled == self.newest or chunks.count > most

    def may_give_way(self, chunks: ChunkSet) -> bool:
        """Return whether another set could be fetched while this one stands still."""
        return any(
            held is not chunks
            and not held.is_whole
            and (version == self.newest or self._is_previous(version))
            for version, held in self.sets.items()
        )

    def next_to_fetch(self, loaded: int) -> ChunkSet | None:
        """Return the oldest wanted set with missing chunks, a stalled one last."""
        wanted = [
            chunks
            for version, chunks in sorted(self.sets.items())
            if version > loaded and not chunks.is_whole and self.is_wanted(chunks)
        ]
        moving = [c for c in wanted if c.manifest.version != self.stalled]
        return next(iter(moving or wanted), None)

    def next_to_stage(self, loaded: int) -> ChunkSet | None:
        """Return the set that the engine is likely to load next."""
        whole = self.whole()
        if whole is not None and whole.manifest.version > loaded:
            return whole
        return self.next_to_fetch(loaded)

    def unstaged(self, chunks: ChunkSet) -> list[int]:
        """Return the indexes of held chunks that were not staged yet."""
        if self.staging != chunks.manifest.version:
            self.staging = chunks.manifest.version
            self.staged.clear()
        return sorted(chunks.held() - self.staged)

    def keep(self, chunks: ChunkSet) -> None:
        """Hold a set, and drop those of the oldest versions."""
        self.sets[chunks.manifest.version] = chunks
        for version in sorted(self.sets)[:-MAX_SETS]:
            del self.sets[version]

    def drop(self, chunks: ChunkSet) -> None:
        """Hold a set no longer, unless it was replaced already."""
        version = chunks.manifest.version
        if self.sets.get(version) is chunks:
            del self.sets[version]

    def _is_previous(self, version: int) -> bool:
        return len(self.named) > 1 and version == self.named[-2].version
