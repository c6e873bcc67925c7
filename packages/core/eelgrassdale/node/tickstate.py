"""Detection of pauses of the whole process, such as a frozen VM."""

from attrs import evolve, frozen

from eelgrassdale.pauses import MIN_PAUSE_SECONDS


@frozen(kw_only=True)
class TickState:
    """Time of the last tick, and whether a comparison is due after a pause.

    `last_tick_at` is in monotonic seconds.
    """

    last_tick_at: float
    paused: bool = False


def after_tick(tick_state: TickState, now: float) -> TickState:
    """Return the state after a tick of the loop.

    Examples
    --------
    >>> after_tick(TickState(last_tick_at=10.0), 10.3).paused
    False
    >>> after_tick(TickState(last_tick_at=10.0), 14.0).paused
    True

    """
    return TickState(
        last_tick_at=now, paused=tick_state.paused or is_overdue(tick_state, now)
    )


def is_overdue(tick_state: TickState, now: float) -> bool:
    """Return whether the loop missed its ticks for too long."""
    return now - tick_state.last_tick_at >= MIN_PAUSE_SECONDS


def after_comparison(tick_state: TickState) -> TickState:
    """Return the state after generations were compared with a peer."""
    return evolve(tick_state, paused=False)
