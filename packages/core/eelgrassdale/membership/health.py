"""Transitions of the state of one member.

A member is suspected after a refused connection or a call without an answer.
It is declared dead only when an indirect probe through another entry node
fails too. A member that answers is alive at once, unless the answer belongs
to an earlier incarnation.
"""

from attrs import evolve, frozen

from eelgrassdale.membership.members import MemberState


@frozen(kw_only=True)
class Health:
    """State of one member as this node observed it directly.

    `last_contact_at` and `suspected_at` are monotonic seconds, None for never.
    """

    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    leaving: bool = False
    last_contact_at: float | None = None
    suspected_at: float | None = None


def after_answer(
    health: Health, *, incarnation: int, leaving: bool | None, now: float
) -> Health:
    """Return the health after the member answered or sent a call.

    If the message does not say whether the member is leaving (`leaving` is
    None), the same incarnation keeps the previous value.

    Examples
    --------
    >>> old = Health(incarnation=7, state=MemberState.DEAD)
    >>> after_answer(old, incarnation=6, leaving=False, now=1.0) == old
    True
    >>> after_answer(old, incarnation=8, leaving=False, now=1.0).state.value
    'alive'

    """
    if incarnation < health.incarnation:
        return health
    if leaving is None:
        leaving = health.leaving and incarnation == health.incarnation
    return Health(
        state=MemberState.ALIVE,
        incarnation=incarnation,
        leaving=leaving,
        last_contact_at=now,
    )


def after_failure(health: Health, *, now: float) -> Health:
    """Return the health after a refused connection or a call that timed out.

    Examples
    --------
    >>> after_failure(Health(), now=1.0).state.value
    'suspect'
    >>> after_failure(Health(state=MemberState.DEAD), now=1.0).state.value
    'dead'

    """
    if health.state is MemberState.ALIVE:
        return evolve(health, state=MemberState.SUSPECT, suspected_at=now)
    return health


def after_indirect_probe(
    health: Health, *, incarnation: int, started_at: float
) -> Health:
    """Return the health of a suspect after a probe through another entry node.

    `incarnation` is that of the answer, 0 without one. A member that answered
    another node stays suspect, because this node cannot reach it. A direct
    answer that arrived after `started_at` takes precedence over the probe.

    Examples
    --------
    >>> suspect = after_failure(Health(), now=1.0)
    >>> after_indirect_probe(suspect, incarnation=0, started_at=1.0).state.value
    'dead'
    >>> after_indirect_probe(suspect, incarnation=5, started_at=1.0).state.value
    'suspect'

    """
    if health.state is MemberState.ALIVE:
        return health
    if health.last_contact_at is not None and health.last_contact_at > started_at:
        return health
    if incarnation > 0:
        return evolve(
            health,
            state=MemberState.SUSPECT,
            incarnation=max(incarnation, health.incarnation),
        )
    return evolve(health, state=MemberState.DEAD)
