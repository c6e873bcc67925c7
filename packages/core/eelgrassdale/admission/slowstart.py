"""Slow start of the concurrency limit of one backend server."""

from attrs import evolve, frozen

# Largest age of the state that a load report describes. For this long after a
# reset to cold, reports that call the engine warm are ignored.
REPORT_LAG_SECONDS = 2.0
# A cold backend server that refused no request for lack of slots during this
# time counts as warm, so that a model push does not wait for traffic that never
# comes.
IDLE_WARM_SECONDS = 5.0


@frozen(kw_only=True)
class SlowStart:
    """Limit of concurrent requests and the state that it is derived from.

    `epoch` counts the resets to cold; completions of requests admitted in an
    earlier epoch do not raise the limit. `reported_cold` is taken from the last
    load report, false if the backend server sends none.
    """

    cold_slots: int
    max_slots: int
    limit: int
    epoch: int = 0
    cold_since: float = 0.0
    reported_cold: bool = False
    last_slot_refusal_at: float = 0.0


def new_slow_start(*, cold_slots: int, max_slots: int, now: float) -> SlowStart:
    """Return the initial state, limited to the cold slots.

    Examples
    --------
    >>> new_slow_start(cold_slots=2, max_slots=8, now=0.0).limit
    2

    """
    return SlowStart(
        cold_slots=min(cold_slots, max_slots),
        max_slots=max_slots,
        limit=min(cold_slots, max_slots),
        cold_since=now,
        last_slot_refusal_at=now,
    )


def reset_slow_start(state: SlowStart, *, now: float) -> SlowStart:
    """Return the state after a restart or an emptied cache, limited to cold slots."""
    return evolve(
        state,
        limit=state.cold_slots,
        epoch=state.epoch + 1,
        cold_since=now,
        reported_cold=False,
        last_slot_refusal_at=now,
    )


def is_held_cold(state: SlowStart, *, now: float, sends_reports: bool) -> bool:
    """Return whether the limit must stay at the cold slots.

    `sends_reports` tells whether the backend server sends load reports at all.
    """
    if not sends_reports:
        return False
    return state.reported_cold or now - state.cold_since < REPORT_LAG_SECONDS


def raise_limit(
    state: SlowStart, *, epoch: int, now: float, sends_reports: bool
) -> SlowStart:
    """Return the state after one healthy completion.

    Each completion adds one slot, which doubles the limit in the time that one
    request takes.

    Examples
    --------
    >>> cold = new_slow_start(cold_slots=2, max_slots=8, now=0.0)
    >>> raise_limit(cold, epoch=0, now=9.0, sends_reports=True).limit
    3
    >>> raise_limit(cold, epoch=0, now=0.1, sends_reports=True).limit
    2

    """
    if epoch != state.epoch or is_held_cold(
        state, now=now, sends_reports=sends_reports
    ):
        return state
    return evolve(state, limit=min(state.limit + 1, state.max_slots))


def with_bounds(state: SlowStart, *, cold_slots: int, max_slots: int) -> SlowStart:
    """Return the state under changed bounds of the service."""
    cold = min(cold_slots, max_slots)
    limit = min(max(state.limit, cold), max_slots)
    if state.limit == state.cold_slots:
        limit = cold
    return evolve(state, cold_slots=cold, max_slots=max_slots, limit=limit)


def is_warm(state: SlowStart, *, now: float, sends_reports: bool) -> bool:
    """Return whether the backend server counts as warm.

    Its limit is at the maximum, or no request was refused for lack of slots
    during the last `IDLE_WARM_SECONDS`.
    """
    if state.limit >= state.max_slots:
        return True
    if now - state.cold_since < REPORT_LAG_SECONDS and sends_reports:
        return False
    return now - state.last_slot_refusal_at >= IDLE_WARM_SECONDS
