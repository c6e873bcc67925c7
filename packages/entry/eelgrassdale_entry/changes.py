"""Changes of the configuration that the administration API makes.

A change is based on the head in the store. Objects that this node has in
force already are not read again.
"""

import secrets
from collections.abc import Callable, Mapping

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.catalog import (
    CatalogObject,
    Configuration,
    check,
    configuration_from,
    diff_configurations,
    encode_object,
    objects_of,
)
from eelgrassdale.results import Problem, ResultCode, ResultError
from eelgrassdale.spread import HeadRead, ReplicaState, commit_change
from eelgrassdale.spread.head import Store, fetch_delta, full_delta, read_head
from eelgrassdale.spread.replica import apply_delta
from eelgrassdale.wire import ConfigDelta
from eelgrassdale_operators import conflict_error

# Names of objects (`kind/name`) and their new values, None to remove one.
Edits = Mapping[str, CatalogObject | None]


@frozen(kw_only=True)
class Accepted:
    """An accepted change; `delta` carries it, None when nothing differed."""

    generation: int
    diff: str
    delta: ConfigDelta | None


@frozen(kw_only=True)
class _Stored:
    head: HeadRead
    configuration: Configuration


def change_objects(
    store: Store,
    state: ReplicaState,
    edit: Callable[[Configuration], Result[Edits, ResultError]],
    *,
    expected_generation: int | None = None,
) -> Result[Accepted, ResultError]:
    """Apply an edit to the configuration in the store with one update of `head`.

    Parameters
    ----------
    store : Store
        The object API.
    state : ReplicaState
        What this node has in force.
    edit : Callable
        Returns the edits for a configuration, or why there are none.
    expected_generation : int, optional
        Generation that the operator has seen; another one is a conflict.

    Returns
    -------
    Result[Accepted, ResultError]
        `CONFIGURATION_INVALID` with all problems, `CONFIGURATION_CONFLICT`
        with a diff as its only problem, or `STORE_UNAVAILABLE`.

    """
    read = _read_stored(store, state)
    if read.is_error():
        return Error(read.error)
    current = read.ok.configuration
    edits = edit(current)
    if edits.is_error():
        return Error(edits.error)
    proposed = edited(current, edits.ok)
    if expected_generation not in (None, current.generation):
        return Error(conflict_error(expected_generation, current, proposed))
    problems = check(proposed)
    if problems:
        return Error(_invalid(*problems))
    return _commit(store, state, read.ok, proposed)


def edited(configuration: Configuration, edits: Edits) -> Configuration:
    """Return the configuration with the edits made.

    Examples
    --------
    >>> from eelgrassdale.catalog import EMPTY_CONFIGURATION, ClientAccount
    >>> one = {"accounts/a": ClientAccount(name="a")}
    >>> list(edited(EMPTY_CONFIGURATION, one).accounts)
    ['a']

    """
    objects = {encode_object(obj).name: obj for obj in objects_of(configuration)}
    objects |= edits
    kept = [obj for obj in objects.values() if obj is not None]
    return configuration_from(configuration.generation, kept)


def _commit(
    store: Store, state: ReplicaState, base: _Stored, proposed: Configuration
) -> Result[Accepted, ResultError]:
    current = base.configuration
    diff = diff_configurations(current, proposed)
    if not diff and base.head.version is not None:
        return Ok(Accepted(generation=current.generation, diff="", delta=None))
    encoded = [encode_object(obj) for obj in objects_of(proposed)]
    bodies = {obj.name: obj.body for obj in encoded}
    committed = commit_change(
        store, base=base.head, bodies=bodies, operation=secrets.token_hex(16)
    )
    if committed.is_ok():
        delta = full_delta(committed.ok, bodies)
        return Ok(Accepted(generation=delta.generation, diff=diff, delta=delta))
    if committed.error.code is not ResultCode.CONFIGURATION_CONFLICT:
        return Error(committed.error)
    return _read_stored(store, state).bind(
        lambda found: Error(
            conflict_error(current.generation, found.configuration, proposed)
        )
    )


def _read_stored(store: Store, state: ReplicaState) -> Result[_Stored, ResultError]:
    return read_head(store).bind(lambda head: _read_objects(store, state, head))


def _read_objects(
    store: Store, state: ReplicaState, head: HeadRead
) -> Result[_Stored, ResultError]:
    if head.head.generation < state.generation:
        return Error(
            ResultError(
                code=ResultCode.STORE_UNAVAILABLE,
                message=(
                    f"the store holds generation {head.head.generation}, "
                    f"generation {state.generation} is in force"
                ),
            )
        )
    delta = fetch_delta(store, head.head, state)
    if delta.is_error():
        return Error(delta.error)
    if head.head.generation == state.generation:
        return Ok(_Stored(head=head, configuration=state.configuration))
    after = apply_delta(state, delta.ok)
    if after is None:
        return Error(
            ResultError(
                code=ResultCode.STORE_UNAVAILABLE,
                message="the objects in the store cannot be read",
            )
        )
    return Ok(_Stored(head=head, configuration=after.configuration))


def _invalid(*problems: Problem) -> ResultError:
    return ResultError(code=ResultCode.CONFIGURATION_INVALID, problems=tuple(problems))
