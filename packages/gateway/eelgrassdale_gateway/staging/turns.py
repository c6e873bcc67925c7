"""When an engine may load a version, so that not all of a service load at once.

Agents decide alone, from the same list and the same clock of the version's
naming, so the rule holds while the platform's store is away.
"""

from collections.abc import Collection

# Half of the agents of a data centre load when they are ready, the others
# this much later, when the first are back. Seconds.
TURN_SECONDS = 2.2
GROUPS = 2


def turn_of(me: str, agents: Collection[str]) -> int:
    """Return the group of an agent among those of its data centre.

    Examples
    --------
    >>> [turn_of(name, ["c", "a", "b"]) for name in "abc"]
    [0, 1, 0]

    """
    order = sorted({*agents, me})
    return order.index(me) % GROUPS


def load_at(*, turn: int, ready_at: float, binding_at: float, is_empty: bool) -> float:
    """Return when an engine may load, as a monotonic moment.

    Parameters
    ----------
    turn : int
        Result of `turn_of`.
    ready_at : float
        When the version was held whole.
    binding_at : float
        When older versions may no longer serve; waiting longer is no use.
    is_empty : bool
        Whether the engine serves no version, so that a load takes nothing away.

    Examples
    --------
    >>> load_at(turn=1, ready_at=4.0, binding_at=6.5, is_empty=False)
    6.2
    >>> load_at(turn=1, ready_at=4.0, binding_at=6.5, is_empty=True)
    4.0

    """
    if is_empty:
        return ready_at
    return max(ready_at, min(binding_at, ready_at + turn * TURN_SECONDS))
