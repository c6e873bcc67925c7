"""How fast weights may use a link: token bucket, order of models, yielding."""

from collections.abc import Mapping

from attrs import evolve, frozen

from eelgrassdale.hashing import rendezvous_weight

# Tokens saved up while a link is idle. Less loses rate to scheduling delays
# of the threads; more makes bursts that delay live traffic.
BURST_SECONDS = 0.1
# Extra delay of a probe at which weights start to yield: half the time of
# 70 ms between two tokens, so that a stream does not visibly stall.
YIELD_DELAY_SECONDS = 0.035
YIELD_FACTOR = 0.7
RECOVERY_STEP = 0.1
MIN_SHARE = 0.1
# The baseline follows a path that became longer within about this many probes.
BASELINE_GROWTH = 1.01
PROBES = 3
BACKOFF_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 10.0


@frozen(kw_only=True)
class TokenBucket:
    """Tokens of a link in bytes; they may be negative after a large chunk."""

    rate: float
    tokens: float = 0.0
    updated_at: float = 0.0

    def refilled(self, now: float, share: float = 1.0) -> "TokenBucket":
        """Return the bucket at `now` when `share` of the rate was granted."""
        gained = (now - self.updated_at) * self.rate * share
        tokens = min(self.rate * BURST_SECONDS, self.tokens + gained)
        return evolve(self, tokens=tokens, updated_at=now)

    def taken(self, size: int) -> "TokenBucket":
        """Return the bucket after `size` bytes were sent or received."""
        return evolve(self, tokens=self.tokens - size)

    def seconds_until_free(self, share: float = 1.0) -> float:
        """Return the time until the next transfer may start.

        Examples
        --------
        >>> bucket = TokenBucket(rate=100.0).taken(50)
        >>> bucket.seconds_until_free()
        0.5

        """
        return max(0.0, -self.tokens / (self.rate * share))


@frozen(kw_only=True)
class Waiting:
    """A transfer that waits for the link; `number` is its place of arrival."""

    number: int
    model: str
    priority: int
    size: int


def next_waiting(
    waiting: Mapping[int, Waiting], sent: Mapping[str, int]
) -> Waiting | None:
    """Return the transfer that uses the link next.

    The highest priority goes first. Models of equal priority share the link
    evenly: the one with the fewest bytes so far is next, and within a model
    the order is that of arrival.

    Examples
    --------
    >>> old = Waiting(number=1, model="a", priority=1, size=10)
    >>> new = Waiting(number=2, model="b", priority=1, size=10)
    >>> next_waiting({1: old, 2: new}, {"a": 10, "b": 0}).model
    'b'

    """
    if not waiting:
        return None
    return min(
        waiting.values(),
        key=lambda item: (
            -item.priority,
            sent.get(item.model, 0),
            item.number,
        ),
    )


@frozen(kw_only=True)
class LiveDelay:
    """Share of the link that weights use, led by the delay of probes.

    The median of the last `PROBES` round trips counts, so that one probe that
    met a busy process changes nothing. `baseline` is the shortest round trip
    in seconds, 0 before the first.
    """

    share: float = 1.0
    baseline: float = 0.0
    recent: tuple[float, ...] = ()

    def observed(self, seconds: float) -> "LiveDelay":
        """Return the state after one probe took `seconds`.

        Examples
        --------
        >>> calm = LiveDelay().observed(0.002)
        >>> calm.observed(0.2).share
        1.0
        >>> calm.observed(0.2).observed(0.2).share
        0.7

        """
        recent = (*self.recent, seconds)[-PROBES:]
        grown = self.baseline * BASELINE_GROWTH or seconds
        baseline = min(seconds, grown)
        delay = sorted(recent)[len(recent) // 2] - baseline
        if len(recent) == PROBES and delay > YIELD_DELAY_SECONDS:
            share = max(MIN_SHARE, self.share * YIELD_FACTOR)
        else:
            share = min(1.0, self.share + RECOVERY_STEP)
        return LiveDelay(share=share, baseline=baseline, recent=recent)


def region_rate(
    *, total: float, fetchers: int, priority: int, others: Mapping[str, int]
) -> float:
    """Return the bytes per second one agent may fetch from another region.

    Parameters
    ----------
    total : float
        Bytes per second of the link between the two regions for weights.
    fetchers : int
        Agents that share the part of this model.
    priority : int
        Priority of this model.
    others : mapping of str to int
        Priorities of the other models in transfer, by model.

    Examples
    --------
    >>> region_rate(total=100.0, fetchers=2, priority=1, others={"b": 1})
    25.0

    """
    if any(other > priority for other in others.values()):
        return total * MIN_SHARE / max(1, fetchers)
    equals = 1 + sum(other == priority for other in others.values())
    return total / equals / max(1, fetchers)


def backoff_seconds(failures: int, name: str) -> float:
    """Return the wait after a number of failures in a row, with jitter.

    The jitter is a hash of the name, so that agents that fail together do not
    try again together.

    Examples
    --------
    >>> 0.25 <= backoff_seconds(1, "vm-1") <= 0.5
    True
    >>> backoff_seconds(50, "vm-1") <= BACKOFF_MAX_SECONDS
    True

    """
    longest = min(BACKOFF_MAX_SECONDS, BACKOFF_SECONDS * 2 ** min(failures - 1, 10))
    draw = rendezvous_weight(topic=f"backoff/{failures}", member=name) / 2**64
    return longest * (0.5 + draw / 2)
