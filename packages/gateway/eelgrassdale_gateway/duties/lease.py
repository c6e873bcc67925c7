"""Decides who holds the duties; pure, without clock and network.

A candidate takes over an object of the store that it has itself seen unchanged for
longer than any holder may regard its own lease as valid. Only lengths of time on one
clock are compared, never two clocks. The clock includes the time of suspensions.
"""

from collections.abc import Mapping

from attrs import evolve, field, frozen

from eelgrassdale_gateway.duties.settings import DutySettings

ERA_SHIFT = 32
MAX_COUNTER = 2**ERA_SHIFT - 1
# Writes without a response whose outcome a later reading can show.
MAX_OPEN_WRITES = 8


@frozen
class DutyPermit:
    """Permission to make one call now, by the holder's name and fencing token."""

    holder: str
    token: int


@frozen(kw_only=True)
class LeaseRecord:
    """The lease as the store has it."""

    holder: str
    incarnation: int
    token: int
    renewal: int


@frozen(kw_only=True)
class Observation:
    """A record, None if absent, and since when it has been seen unchanged."""

    record: LeaseRecord | None
    revision: int
    since: float


@frozen(kw_only=True)
class HeldLease:
    """A record of this process that the store has, and when its write was sent."""

    record: LeaseRecord
    revision: int
    era: int
    sent_at: float


@frozen(kw_only=True)
class LeaseState:
    """What one process knows of the lease.

    `open_writes` are the times at which records were sent whose outcome may be
    unknown. `reclaim_until` is when a lease of the era before ends; until then nobody
    else can have taken over. `highest_counter` is never rolled back.
    """

    holder: str
    incarnation: int
    era: int = 0
    observed: Observation | None = None
    held: HeldLease | None = None
    read_at: float = float("-inf")
    must_read: bool = True
    reclaim_until: float = float("-inf")
    highest_counter: int = 0
    last_renewal: int = 0
    open_writes: Mapping[LeaseRecord, float] = field(factory=dict)


@frozen(kw_only=True)
class Wait:
    """Nothing to do for this time."""

    seconds: float


@frozen(kw_only=True)
class Read:
    """Read the object."""


@frozen(kw_only=True)
class Write:
    """Write the record if the object has this revision, or if None, does not exist."""

    record: LeaseRecord
    revision: int | None


Action = Wait | Read | Write


def permit_of(
    state: LeaseState, cfg: DutySettings, *, now: float, era: int
) -> DutyPermit | None:
    """Return the permit if this process holds the lease at this moment."""
    held = state.held
    if held is None or held.era != era or now >= held.sent_at + cfg.valid_seconds:
        return None
    return DutyPermit(holder=held.record.holder, token=held.record.token)


def next_action(
    state: LeaseState, cfg: DutySettings, *, now: float, is_candidate: bool
) -> Action:
    """Return what a process does now; one that is no candidate does nothing."""
    if not is_candidate:
        return Wait(seconds=cfg.poll_seconds)
    if state.must_read or (state.held is None and state.observed is None):
        return Read()
    if state.held is not None:
        return _renewal(state, state.held, cfg, now)
    observed = state.observed
    is_reclaimable = now < state.reclaim_until
    takeover_at = now if is_reclaimable else observed.since + cfg.takeover_seconds
    if now >= takeover_at:
        return Write(
            record=_successor(state, observed.record),
            revision=observed.revision if observed.record is not None else None,
        )
    read_at = state.read_at + cfg.poll_seconds
    if now >= read_at:
        return Read()
    return Wait(seconds=min(takeover_at, read_at) - now)


def after_send(state: LeaseState, record: LeaseRecord, *, sent_at: float) -> LeaseState:
    """Return the state once a write is about to be sent; its outcome is unknown."""
    writes = [*state.open_writes.items(), (record, sent_at)]
    return evolve(
        state,
        open_writes=dict(writes[-MAX_OPEN_WRITES:]),
        last_renewal=record.renewal,
        must_read=True,
    )


def after_write(state: LeaseState, record: LeaseRecord, revision: int) -> LeaseState:
    """Return the state once the store has acknowledged a write."""
    held = HeldLease(
        record=record,
        revision=revision,
        era=state.era,
        sent_at=state.open_writes[record],
    )
    return evolve(
        state,
        held=held,
        observed=None,
        must_read=False,
        open_writes={},
        highest_counter=max(state.highest_counter, counter_of(record.token)),
    )


def after_read(
    state: LeaseState, record: LeaseRecord | None, revision: int, *, now: float
) -> LeaseState:
    """Return the state once a reading, or a refused write, has shown the object."""
    if record is not None and record in state.open_writes:
        return after_write(state, record, revision)
    state = evolve(state, must_read=False, read_at=now)
    held = state.held
    if held is not None and record == held.record:
        return evolve(state, held=evolve(held, revision=revision))
    counter = counter_of(record.token) if record is not None else 0
    observed = state.observed
    # An object that was deleted and written again looks the same, but its revision is
    # another one, which the next write has to carry.
    is_unchanged = observed is not None and observed.record == record
    return evolve(
        state,
        held=None,
        observed=Observation(
            record=record,
            revision=revision,
            since=observed.since if is_unchanged else now,
        ),
        highest_counter=max(state.highest_counter, counter),
    )


def after_new_era(
    state: LeaseState, cfg: DutySettings, *, era: int, now: float
) -> LeaseState:
    """Return the state once the store was restored: nobody holds the lease.

    A holder whose lease is still valid may write it again at once, since the others
    wait longer than that from when they noticed.
    """
    if era <= state.era:
        return state
    held = state.held
    reclaim_until = held.sent_at + cfg.valid_seconds if held else float("-inf")
    return evolve(
        state,
        era=era,
        held=None,
        observed=None,
        must_read=True,
        open_writes={},
        reclaim_until=reclaim_until if now < reclaim_until else float("-inf"),
    )


def counter_of(token: int) -> int:
    """Return the part of a token that counts the changes of the holder.

    Examples
    --------
    >>> counter_of((3 << 32) + 7)
    7

    """
    return token & MAX_COUNTER


def _renewal(
    state: LeaseState, held: HeldLease, cfg: DutySettings, now: float
) -> Action:
    due_at = held.sent_at + cfg.renew_seconds
    if now < due_at:
        return Wait(seconds=due_at - now)
    # Each attempt has its own number, so that a reading shows which one was done.
    record = evolve(held.record, renewal=state.last_renewal + 1)
    return Write(record=record, revision=held.revision)


def _successor(state: LeaseState, record: LeaseRecord | None) -> LeaseRecord:
    counter = max(state.highest_counter, counter_of(record.token) if record else 0) + 1
    return LeaseRecord(
        holder=state.holder,
        incarnation=state.incarnation,
        token=(state.era << ERA_SHIFT) + counter,
        renewal=state.last_renewal + 1,
    )
