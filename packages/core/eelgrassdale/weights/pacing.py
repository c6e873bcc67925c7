"""Rate limits for weights on a link: token bucket, fairness and back-off."""

from collections.abc import Mapping

from attrs import evolve, frozen

from eelgrassdale.hashing import rendezvous_weight

# Capacity of the bucket, in seconds at its full rate. A smaller one loses
# throughput to scheduling delays of the threads; a larger one permits bursts that
# delay live traffic.
BURST_SECONDS = 0.1
# Delay of a probe above the baseline at which weights reduce their share of the
# link: half of the 70 ms between two tokens of a stream, so that streams do not
# stall visibly.
YIELD_DELAY_SECONDS = 0.035
SHARE_DECREASE_FACTOR = 0.7
SHARE_INCREASE_STEP = 0.1
MIN_SHARE = 0.1
# The baseline grows by this factor with each probe, so that it follows a path
# that became longer.
BASELINE_GROWTH_FACTOR = 1.01
MEDIAN_PROBES = 3
BACKOFF_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 10.0


@frozen(kw_only=True)
class TokenBucket:
    """Token bucket of a link; `rate` is in bytes per second.

    `tokens` are in bytes and may be negative after a large chunk.
    """

    rate: float
    tokens: float = 0.0
    updated_at: float = 0.0

    def refilled(self, now: float, share: float = 1.0) -> "TokenBucket":
        """Return the bucket at `now`, refilled at `share` of its rate."""
        gained = (now - self.updated_at) * self.rate * share
        tokens = min(self.rate * BURST_SECONDS, self.tokens + gained)
        return evolve(self, tokens=tokens, updated_at=now)

    def consumed(self, size: int) -> "TokenBucket":
        """Return the bucket after `size` bytes were sent or received."""
        return evolve(self, tokens=self.tokens - size)

    def seconds_until_free(self, share: float = 1.0) -> float:
        """Return the time in seconds until the next transfer may start.

        Examples
        --------
        >>> bucket = TokenBucket(rate=100.0).consumed(50)
        >>> bucket.seconds_until_free()
        0.5

        """
        return max(0.0, -self.tokens / (self.rate * share))


@frozen(kw_only=True)
class QueuedTransfer:
    """Transfer of `size` bytes in the queue of a link, in order of `number`."""

    number: int
    model: str
    priority: int
    size: int


def next_transfer(
    waiting: Mapping[int, QueuedTransfer], sent: Mapping[str, int]
) -> QueuedTransfer | None:
    """Return the transfer that uses the link next.

    The highest priority is first. Models of equal priority share the link
    evenly: the model with the fewest bytes in `sent` is next, and its transfers
    are in order of arrival.

    Examples
    --------
    >>> waiting_a = QueuedTransfer(number=1, model="a", priority=1, size=10)
    >>> waiting_b = QueuedTransfer(number=2, model="b", priority=1, size=10)
    >>> next_transfer({1: waiting_a, 2: waiting_b}, {"a": 10, "b": 0}).model
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
class AdaptiveLinkShare:
    """Share of the link that weights may use, adjusted to the delay of probes.

    The share shrinks by a factor while the median of the last `MEDIAN_PROBES`
    round trips exceeds the baseline by more than `YIELD_DELAY_SECONDS`, and
    otherwise grows in steps. The median ignores a single probe that was delayed
    by a busy process. `baseline` is the shortest recent round trip in seconds,
    0 before the first.
    """

    share: float = 1.0
    baseline: float = 0.0
    recent: tuple[float, ...] = ()

    def observed(self, seconds: float) -> "AdaptiveLinkShare":
        """Return the state updated with a probe that took `seconds`.

        Examples
        --------
        >>> idle = AdaptiveLinkShare().observed(0.002)
        >>> idle.observed(0.2).share
        1.0
        >>> idle.observed(0.2).observed(0.2).share
        0.7

        """
        recent = (*self.recent, seconds)[-MEDIAN_PROBES:]
        grown = self.baseline * BASELINE_GROWTH_FACTOR or seconds
        baseline = min(seconds, grown)
        delay = sorted(recent)[len(recent) // 2] - baseline
        if len(recent) == MEDIAN_PROBES and delay > YIELD_DELAY_SECONDS:
            share = max(MIN_SHARE, self.share * SHARE_DECREASE_FACTOR)
        else:
            share = min(1.0, self.share + SHARE_INCREASE_STEP)
        return AdaptiveLinkShare(share=share, baseline=baseline, recent=recent)


def region_rate(
    *,
    total: float,
    agent_count: int,
    priority: int,
    other_priorities: Mapping[str, int],
) -> float:
    """Return the bytes per second that one agent may fetch from another region.

    Parameters
    ----------
    total : float
        Bytes per second for weights on the link between the two regions.
    agent_count : int
        Number of agents that share the rate of this model.
    priority : int
        Priority of this model.
    other_priorities : mapping of str to int
        Priorities of the other models being transferred, by model name.

    Examples
    --------
    >>> region_rate(total=100.0, agent_count=2, priority=1, other_priorities={"b": 1})
    25.0

    """
    if any(other_priority > priority for other_priority in other_priorities.values()):
        return total * MIN_SHARE / max(1, agent_count)
    equal_models = 1 + sum(
        other_priority == priority for other_priority in other_priorities.values()
    )
    return total / equal_models / max(1, agent_count)


def backoff_seconds(failures: int, name: str) -> float:
    """Return the seconds to wait after consecutive failures, with jitter.

    The jitter is a hash of the name, so that agents that fail at the same time
    do not retry at the same time.

    Examples
    --------
    >>> 0.25 <= backoff_seconds(1, "vm-1") <= 0.5
    True
    >>> backoff_seconds(50, "vm-1") <= BACKOFF_MAX_SECONDS
    True

    """
    max_wait = min(BACKOFF_MAX_SECONDS, BACKOFF_SECONDS * 2 ** min(failures - 1, 10))
    jitter = rendezvous_weight(key=f"backoff/{failures}", member=name) / 2**64
    return max_wait * (0.5 + jitter / 2)
