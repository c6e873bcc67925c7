"""Read the stored configuration from the object API and apply a new one."""

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
    ReplicaState,
    VersionedHead,
    commit_change,
    fetch_delta,
    read_head,
)
from eelgrassdale.spread.head import Store


@frozen(kw_only=True)
class StoredConfiguration:
    """A configuration in the object API, and the head that lists its objects."""

    head: VersionedHead
    configuration: Configuration


@frozen(kw_only=True)
class AppliedChange:
    """Result of applying a configuration.

    `generation` has the applied configuration; callers wait until it is in
    force at the nodes. `diff` is empty and `changed` false if the stored
    configuration was already the same.
    """

    generation: int
    diff: str
    changed: bool


def read_stored(store: Store) -> Result[StoredConfiguration, ResultError]:
    """Return the stored configuration, which is empty if there is none.

    Returns the error of the store or of an object that cannot be decoded.
    """
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
        Generation that the operator's change is based on. The change is
        refused if another one is in force.

    Returns
    -------
    Result[AppliedChange, ResultError]
        The new generation, or the current one if nothing differs.
        `CONFIGURATION_CONFLICT` with a diff as its only problem if another
        change was accepted first or `expected_generation` is not in force;
        `STORE_UNAVAILABLE` if the outcome is unknown.

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
        lambda latest: Error(
            conflict_error(current.generation, latest.configuration, proposed)
        )
    )


def _read_objects(
    store: Store, head: VersionedHead
) -> Result[StoredConfiguration, ResultError]:
    delta = fetch_delta(store, head.head, ReplicaState())
    if delta.is_error():
        return Error(delta.error)
    objects: list[CatalogObject] = []
    for config_object in delta.ok.changed:
        decoded = decode_object(config_object.name, config_object.body)
        if decoded.is_error():
            return Error(decoded.error)
        objects.append(decoded.ok)
    configuration = configuration_from(head.head.generation, objects)
    return Ok(StoredConfiguration(head=head, configuration=configuration))


def conflict_error(
    expected: int | None, current: Configuration, proposed: Configuration
) -> ResultError:
    """Return the error for a change whose base generation is not in force.

    Its only problem holds the diff from the configuration in force to the
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
