"""What an agent knows about the other holders of a model version."""

from collections.abc import Mapping

from attrs import evolve, frozen

from eelgrassdale.results import ResultCode

SKIP_SECONDS = 4.0
SKIP_SECONDS_MAX = 60.0
CORRUPT_SKIP_SECONDS = 60.0
MIN_BUSY_SECONDS = 0.02
DEVIATIONS = 4
EWMA_SHARE = 0.125
MIN_TIMEOUT_SECONDS = 1.5
MAX_TIMEOUT_SECONDS = 30.0
# Before the first read, when the rate of the link is not known either.
FIRST_TIMEOUT_SECONDS = 5.0


@frozen(kw_only=True)
class Holder:
    """One peer: the chunks it is known to hold and whether to ask it.

    `held` is a bit mask; it is not asked before `busy_until` (it refused a
    read) and `skip_until` (it failed or sent a corrupt chunk).
    """

    held: int = 0
    outstanding: int = 0
    busy_until: float = 0.0
    skip_until: float = 0.0
    strikes: int = 0
    corrupt: int = 0


@frozen(kw_only=True)
class ChunkTimes:
    """Smoothed time of a chunk read and its mean deviation, in seconds."""

    mean: float = 0.0
    deviation: float = 0.0

    def observed(self, seconds: float) -> "ChunkTimes":
        """Return the times after one more successful read."""
        if self.mean == 0.0:
            return ChunkTimes(mean=seconds, deviation=seconds / 2)
        error = abs(seconds - self.mean)
        return ChunkTimes(
            mean=self.mean + EWMA_SHARE * (seconds - self.mean),
            deviation=self.deviation + 2 * EWMA_SHARE * (error - self.deviation),
        )

    @property
    def upper(self) -> float:
        """Time within which almost every read ends, or 0 before the first."""
        return self.mean + DEVIATIONS * self.deviation

    @property
    def timeout(self) -> float:
        """Time after which a read counts as failed.

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
    """Return whether a holder is passed over as if it were dead."""
    return holder.skip_until > now


def skipped_names(holders: Mapping[str, Holder], now: float) -> frozenset[str]:
    """Return the names of the holders that are passed over."""
    return frozenset(
        name for name, holder in holders.items() if is_skipped(holder, now)
    )


def after_answer(
    holder: Holder, code: ResultCode, now: float, *, busy_seconds: float
) -> Holder:
    """Return the holder after a read ended with `code`.

    Parameters
    ----------
    holder : Holder
        State before.
    code : ResultCode
        `OK`, `CHUNK_NOT_HELD`, `HOLDER_BUSY`, `CHUNK_CORRUPT`, or any other
        code for a peer that did not answer.
    now : float
        Monotonic time in seconds.
    busy_seconds : float
        How long a busy holder is left alone.
    """
    if code is ResultCode.OK:
        return evolve(holder, strikes=0, skip_until=0.0, busy_until=0.0)
    if code is ResultCode.HOLDER_BUSY:
        wait = max(MIN_BUSY_SECONDS, busy_seconds)
        return evolve(holder, strikes=0, busy_until=now + wait)
    if code is ResultCode.CHUNK_NOT_HELD:
        return evolve(holder, strikes=0)
    if code is ResultCode.CHUNK_CORRUPT:
        corrupt = holder.corrupt + 1
        until = now + CORRUPT_SKIP_SECONDS * corrupt
        return evolve(holder, corrupt=corrupt, skip_until=until)
    strikes = holder.strikes + 1
    pause = min(SKIP_SECONDS_MAX, SKIP_SECONDS * 2 ** (strikes - 1))
    return evolve(holder, strikes=strikes, skip_until=now + pause)
