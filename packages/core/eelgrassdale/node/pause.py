"""Detection of pauses of the whole process, such as a frozen VM."""

from attrs import evolve, frozen

from eelgrassdale.pauses import LEAST_PAUSE_SECONDS


@frozen(kw_only=True)
class Pulse:
    """Monotonic time of the last tick, and whether a pause is unresolved."""

    ticked_at: float
    paused: bool = False


def after_tick(pulse: Pulse, now: float) -> Pulse:
    """Return the pulse after a tick of the loop.

    Examples
    --------
    >>> after_tick(Pulse(ticked_at=10.0), 10.3).paused
    False
    >>> after_tick(Pulse(ticked_at=10.0), 14.0).paused
    True

    """
    return Pulse(ticked_at=now, paused=pulse.paused or is_overdue(pulse, now))


def is_overdue(pulse: Pulse, now: float) -> bool:
    """Return whether the loop missed its ticks for too long."""
    return now - pulse.ticked_at >= LEAST_PAUSE_SECONDS


def after_comparison(pulse: Pulse) -> Pulse:
    """Return the pulse after generations were compared with a peer."""
    return evolve(pulse, paused=False)
