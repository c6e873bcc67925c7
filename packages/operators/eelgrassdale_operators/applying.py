"""Reads the configuration in the object API and applies a new one."""

import secrets

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.catalog import (
    CatalogObject,
    Configuration,
    configuration_from,
    decode_object,
    diff_configurations,
    encode_object,
    objects_of,
)
from eelgrassdale.results import Problem, ResultCode, ResultError
from eelgrassdale.spread import (
    HeadRead,
    ReplicaState,
    commit_change,
    fetch_delta,
    read_head,
)
from eelgrassdale.spread.head import Store


@frozen(kw_only=True)
class StoredConfiguration:
    """A configuration as the object API holds it, and the head that names it."""

    head: HeadRead
    configuration: Configuration


@frozen(kw_only=True)
class AppliedChange:
    """An accepted change; `generation` is the one to wait for."""

    generation: int
    diff: str
    changed: bool


def read_stored(store: Store) -> Result[StoredConfiguration, ResultError]:
    """Return the configuration in the object API, empty if there is none."""
    return read_head(store).bind(lambda head: _read_objects(store, head))


def apply_configuration(
    store: Store,
    proposed: Configuration,
    *,
    expected_generation: int | None = None,
) -> Result[AppliedChange, ResultError]:
    """Make `proposed` the configuration in force with one conditional update.

    Parameters
    ----------
    store : Store
        The object API.
    proposed : Configuration
        A checked configuration; its generation is ignored.
    expected_generation : int, optional
        Generation that the operator's change is based on. When another one is
        in force the change is refused.

    Returns
    -------
    Result[AppliedChange, ResultError]
        The new generation, or the current one when nothing differs.
        `CONFIGURATION_CONFLICT` with a diff as its only problem when another
        operator was first; `STORE_UNAVAILABLE` when the outcome is unknown.

    """
    return read_stored(store).bind(
        lambda stored: _apply(store, stored, proposed, expected_generation)
    )


def _apply(
    store: Store,
    stored: StoredConfiguration,
    proposed: Configuration,
    expected_generation: int | None,
) -> Result[AppliedChange, ResultError]:
    current = stored.configuration
    if expected_generation not in (None, current.generation):
        return Error(conflict_error(expected_generation, current, proposed))
    diff = diff_configurations(current, proposed)
    if not diff and stored.head.version is not None:
        return Ok(AppliedChange(generation=current.generation, diff="", changed=False))
    committed = commit_change(
        store,
        base=stored.head,
        bodies={
            encoded.name: encoded.body
            for encoded in map(encode_object, objects_of(proposed))
        },
        operation=secrets.token_hex(16),
    )
    if committed.is_ok():
        generation = committed.ok.generation
        return Ok(AppliedChange(generation=generation, diff=diff, changed=True))
    if committed.error.code is not ResultCode.CONFIGURATION_CONFLICT:
        return Error(committed.error)
    return read_stored(store).bind(
        lambda found: Error(
            conflict_error(current.generation, found.configuration, proposed)
        )
    )


def _read_objects(
    store: Store, head: HeadRead
) -> Result[StoredConfiguration, ResultError]:
    delta = fetch_delta(store, head.head, ReplicaState())
    if delta.is_error():
        return Error(delta.error)
    objects: list[CatalogObject] = []
    for stored in delta.ok.changed:
        decoded = decode_object(stored.name, stored.body)
        if decoded.is_error():
            return Error(decoded.error)
        objects.append(decoded.ok)
    configuration = configuration_from(head.head.generation, objects)
    return Ok(StoredConfiguration(head=head, configuration=configuration))


def conflict_error(
    expected: int | None, current: Configuration, proposed: Configuration
) -> ResultError:
    """Return the error of a change that another operator overtook.

    Its only problem carries the diff from the configuration in force to the
    proposed one.
    """
    return ResultError(
        code=ResultCode.CONFIGURATION_CONFLICT,
        message=(
            f"the change is based on generation {expected}, "
            f"generation {current.generation} is in force"
        ),
        problems=(
            Problem(
                field="configuration",
                value=diff_configurations(current, proposed),
                allowed="a change of the generation in force",
            ),
        ),
    )
