"""Staggers loads, so that not all engines of a service load at once.

Each agent decides by itself, from the list of the engines in its data centre
and the moment at which the version became the target. So loads are staggered
also while the platform's store is unavailable.
"""

from collections.abc import Collection

# Half of the engines of a data centre load as soon as they are ready, the
# others this much later, when the first ones serve again.
TURN_SECONDS = 2.2
TURN_COUNT = 2


def turn_of(agent: str, agents: Collection[str]) -> int:
    """Return the turn of an agent among those of its data centre, from 0.

    Examples
    --------
    >>> [turn_of(name, ["c", "a", "b"]) for name in "abc"]
    [0, 1, 0]

    """
    members = sorted({*agents, agent})
    return members.index(agent) % TURN_COUNT


def load_at(
    *, turn: int, ready_at: float, mandatory_at: float, has_no_version: bool
) -> float:
    """Return the monotonic time, in seconds, from which an engine may load.

    Parameters
    ----------
    turn : int
        Result of `turn_of`.
    ready_at : float
        When all chunks of the version were held.
    mandatory_at : float
        When older versions may no longer serve. The engine then serves nothing
        until it has loaded, so it waits no longer.
    has_no_version : bool
        Whether the engine serves no version, so that a load costs no capacity.

    Examples
    --------
    >>> load_at(turn=1, ready_at=4.0, mandatory_at=6.5, has_no_version=False)
    6.2
    >>> load_at(turn=1, ready_at=4.0, mandatory_at=6.5, has_no_version=True)
    4.0

    """
    if has_no_version:
        return ready_at
    return max(ready_at, min(mandatory_at, ready_at + turn * TURN_SECONDS))
