"""Changes to the configuration through the administration API.

A change is based on the head in the store. Only objects that differ from the
configuration in force at this node are read from the store.
"""

import secrets
from collections.abc import Callable, Mapping

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.catalog import (
    CatalogObject,
    Configuration,
    configuration_from,
    diff_configurations,
    encode_object,
    objects_of,
    validate_configuration,
)
from eelgrassdale.results import Problem, ResultCode, ResultError
from eelgrassdale.spread import ReplicaState, VersionedHead, commit_change
from eelgrassdale.spread.head import Store, fetch_delta, full_delta, read_head
from eelgrassdale.spread.replica import apply_delta
from eelgrassdale.wire import ConfigDelta
from eelgrassdale_operators import conflict_error

# Names of objects (`kind/name`) and their new values, None to remove one.
Edits = Mapping[str, CatalogObject | None]


@frozen(kw_only=True)
class AcceptedChange:
    """Outcome of an accepted edit; `delta` is None when nothing changed."""

    generation: int
    diff: str
    delta: ConfigDelta | None


@frozen(kw_only=True)
class _StoredConfiguration:
    head: VersionedHead
    configuration: Configuration


def change_objects(
    store: Store,
    state: ReplicaState,
    edit: Callable[[Configuration], Result[Edits, ResultError]],
    *,
    expected_generation: int | None = None,
) -> Result[AcceptedChange, ResultError]:
    """Apply an edit to the configuration in the store with one update of `head`.

    Parameters
    ----------
    store : Store
        The object API.
    state : ReplicaState
        Configuration in force at this node.
    edit : Callable
        Returns the edits to a configuration, or an error.
    expected_generation : int, optional
        Generation that the edit is based on; another one in the store is a
        conflict.

    Returns
    -------
    Result[AcceptedChange, ResultError]
        `CONFIGURATION_INVALID` with all problems, `CONFIGURATION_CONFLICT`
        with a diff as its only problem, or `STORE_UNAVAILABLE`.

    """
    stored_result = _read_stored(store, state)
    if stored_result.is_error():
        return Error(stored_result.error)
    current = stored_result.ok.configuration
    edits = edit(current)
    if edits.is_error():
        return Error(edits.error)
    proposed = apply_edits(current, edits.ok)
    if expected_generation not in (None, current.generation):
        return Error(conflict_error(expected_generation, current, proposed))
    problems = validate_configuration(proposed)
    if problems:
        return Error(_invalid_configuration(*problems))
    return _commit(store, state, stored_result.ok, proposed)


def apply_edits(configuration: Configuration, edits: Edits) -> Configuration:
    """Return the configuration with the edits applied.

    Examples
    --------
    >>> from eelgrassdale.catalog import EMPTY_CONFIGURATION, ClientAccount
    >>> one = {"accounts/a": ClientAccount(name="a")}
    >>> list(apply_edits(EMPTY_CONFIGURATION, one).accounts)
    ['a']

    """
    objects = {encode_object(obj).name: obj for obj in objects_of(configuration)}
    objects |= edits
    kept = [obj for obj in objects.values() if obj is not None]
    return configuration_from(configuration.generation, kept)


def _commit(
    store: Store,
    state: ReplicaState,
    base: _StoredConfiguration,
    proposed: Configuration,
) -> Result[AcceptedChange, ResultError]:
    current = base.configuration
    diff = diff_configurations(current, proposed)
    if not diff and base.head.version is not None:
        return Ok(AcceptedChange(generation=current.generation, diff="", delta=None))
    encoded = [encode_object(obj) for obj in objects_of(proposed)]
    bodies = {obj.name: obj.body for obj in encoded}
    committed = commit_change(
        store, base=base.head, bodies=bodies, operation=secrets.token_hex(16)
    )
    if committed.is_ok():
        delta = full_delta(committed.ok, bodies)
        return Ok(AcceptedChange(generation=delta.generation, diff=diff, delta=delta))
    if committed.error.code is not ResultCode.CONFIGURATION_CONFLICT:
        return Error(committed.error)
    return _read_stored(store, state).bind(
        lambda found: Error(
            conflict_error(current.generation, found.configuration, proposed)
        )
    )


def _read_stored(
    store: Store, state: ReplicaState
) -> Result[_StoredConfiguration, ResultError]:
    return read_head(store).bind(
        lambda head_read: _read_objects(store, state, head_read)
    )


def _read_objects(
    store: Store, state: ReplicaState, head_read: VersionedHead
) -> Result[_StoredConfiguration, ResultError]:
    if head_read.head.generation < state.generation:
        return Error(
            ResultError(
                code=ResultCode.STORE_UNAVAILABLE,
                message=(
                    f"the store holds generation {head_read.head.generation}, "
                    f"generation {state.generation} is in force"
                ),
            )
        )
    delta = fetch_delta(store, head_read.head, state)
    if delta.is_error():
        return Error(delta.error)
    if head_read.head.generation == state.generation:
        return Ok(
            _StoredConfiguration(head=head_read, configuration=state.configuration)
        )
    new_state = apply_delta(state, delta.ok)
    if new_state is None:
        return Error(
            ResultError(
                code=ResultCode.STORE_UNAVAILABLE,
                message="the objects in the store cannot be applied as a configuration",
            )
        )
    return Ok(
        _StoredConfiguration(head=head_read, configuration=new_state.configuration)
    )


def _invalid_configuration(*problems: Problem) -> ResultError:
    return ResultError(code=ResultCode.CONFIGURATION_INVALID, problems=tuple(problems))
