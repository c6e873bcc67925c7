"""State of the peers that hold chunks of a model version, as one agent sees them."""

from collections.abc import Mapping

from attrs import evolve, frozen

from eelgrassdale.results import ResultCode

INITIAL_SKIP_SECONDS = 4.0
MAX_SKIP_SECONDS = 60.0
CORRUPT_SKIP_SECONDS = 60.0
MIN_BUSY_SECONDS = 0.02
DEVIATIONS_IN_UPPER_BOUND = 4
EWMA_WEIGHT = 0.125
MIN_TIMEOUT_SECONDS = 1.5
MAX_TIMEOUT_SECONDS = 30.0
# Time-out of the first read, if the rate of the link is unknown as well.
FIRST_TIMEOUT_SECONDS = 5.0


@frozen(kw_only=True)
class Holder:
    """One peer: the chunks it is known to hold and when it may be read from.

    `held` is a bit mask of chunks, `outstanding` the number of reads in
    progress. The peer is not read from before `busy_until`, set when it refused
    a read as busy, and `skip_until`, set when it failed or sent a corrupt chunk.
    """

    held: int = 0
    outstanding: int = 0
    busy_until: float = 0.0
    skip_until: float = 0.0
    failures: int = 0
    corrupt_chunks: int = 0


@frozen(kw_only=True)
class ChunkTimes:
    """Smoothed time of a chunk read and its mean deviation, in seconds."""

    mean: float = 0.0
    deviation: float = 0.0

    def observed(self, seconds: float) -> "ChunkTimes":
        """Return the times updated with a successful read of `seconds`."""
        if self.mean == 0.0:
            return ChunkTimes(mean=seconds, deviation=seconds / 2)
        error = abs(seconds - self.mean)
        return ChunkTimes(
            mean=self.mean + EWMA_WEIGHT * (seconds - self.mean),
            deviation=self.deviation + 2 * EWMA_WEIGHT * (error - self.deviation),
        )

    @property
    def upper(self) -> float:
        """Time in seconds within which almost all reads end; 0 before the first."""
        return self.mean + DEVIATIONS_IN_UPPER_BOUND * self.deviation

    @property
    def timeout(self) -> float:
        """Time in seconds after which a read counts as failed.

        Examples
        --------
        >>> ChunkTimes().timeout
        5.0
        >>> ChunkTimes(mean=2.0, deviation=0.5).timeout
        8.0

        """
        if self.mean == 0.0:
            return FIRST_TIMEOUT_SECONDS
        return min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, 2 * self.upper))


def is_skipped(holder: Holder, now: float) -> bool:
    """Return whether a holder is currently skipped, as if it were dead."""
    return holder.skip_until > now


def skipped_names(holders: Mapping[str, Holder], now: float) -> frozenset[str]:
    """Return the names of the holders that are currently skipped."""
    return frozenset(
        name for name, holder in holders.items() if is_skipped(holder, now)
    )


def after_read(
    holder: Holder, code: ResultCode, now: float, *, busy_seconds: float
) -> Holder:
    """Return the state of a holder after a read from it ended with `code`.

    Parameters
    ----------
    holder : Holder
        State before the read ended.
    code : ResultCode
        `OK`, `CHUNK_NOT_HELD`, `HOLDER_BUSY` or `CHUNK_CORRUPT`; any other code
        counts as a failure of the peer.
    now : float
        Monotonic time in seconds.
    busy_seconds : float
        How long no read is sent to a busy holder.
    """
    if code is ResultCode.OK:
        return evolve(holder, failures=0, skip_until=0.0, busy_until=0.0)
    if code is ResultCode.HOLDER_BUSY:
        busy_wait = max(MIN_BUSY_SECONDS, busy_seconds)
        return evolve(holder, failures=0, busy_until=now + busy_wait)
    if code is ResultCode.CHUNK_NOT_HELD:
        return evolve(holder, failures=0)
    if code is ResultCode.CHUNK_CORRUPT:
        corrupt_chunks = holder.corrupt_chunks + 1
        until = now + CORRUPT_SKIP_SECONDS * corrupt_chunks
        return evolve(holder, corrupt_chunks=corrupt_chunks, skip_until=until)
    failures = holder.failures + 1
    skip_seconds = min(MAX_SKIP_SECONDS, INITIAL_SKIP_SECONDS * 2 ** (failures - 1))
    return evolve(holder, failures=failures, skip_until=now + skip_seconds)
