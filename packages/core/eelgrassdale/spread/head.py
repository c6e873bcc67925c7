"""The `head` object: which objects make up the generation in force.

Objects are stored under their digest before `head` refers to them. A change is
one conditional update of `head`.
"""

import json
from collections.abc import Mapping
from typing import Protocol

from attrs import Factory, frozen
from expression import Error, Ok, Result

from eelgrassdale.hashing import digest_of
from eelgrassdale.platform.objects import ObjectValue
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.spread.replica import ReplicaState, head_digest_of
from eelgrassdale.wire import ConfigDelta, ConfigObject

HEAD_NAME = "head"
OBJECT_PREFIX = "object-"
# Operation ids kept in `head`. An operator whose answer was lost finds its id
# there unless this many later changes were accepted meanwhile.
MAX_KEPT_OPERATIONS = 64
MAX_COMMIT_ATTEMPTS = 4


class Store(Protocol):
    """The calls of the object API that a change needs."""

    def get(self, name: str) -> Result[ObjectValue | None, ResultError]:
        """Return the object, or None if there is none."""
        ...

    def put(
        self, name: str, body: bytes, *, expected_version: int | None
    ) -> Result[int, ResultError]:
        """Write the object if its version is `expected_version`."""
        ...


@frozen(kw_only=True)
class Head:
    """Content of `head`; `operations` are the ids of recent changes, newest last."""

    generation: int = 0
    operations: tuple[str, ...] = ()
    objects: Mapping[str, str] = Factory(dict)


@frozen(kw_only=True)
class VersionedHead:
    """A head and its version in the store, None if there is no head yet."""

    version: int | None = None
    head: Head = Head()


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    fields = {
        "generation": head.generation,
        "operation": head.operations[-1] if head.operations else "",
        "operations": list(head.operations),
        "objects": dict(head.objects),
    }
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def decode_head(body: bytes) -> Result[Head, ResultError]:
    """Return the head of a stored form.

    Examples
    --------
    >>> head = Head(generation=2, operations=("a",), objects={"vms/x": "00"})
    >>> decode_head(encode_head(head)).ok == head
    True
    >>> decode_head(b"{}").is_error()
    True

    """
    try:
        fields = json.loads(body)
        return Ok(
            Head(
                generation=int(fields["generation"]),
                operations=tuple(str(text) for text in fields["operations"]),
                objects={str(k): str(v) for k, v in fields["objects"].items()},
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        return Error(_unavailable(f"head cannot be read: {exc!r}"))


def read_head(store: Store) -> Result[VersionedHead, ResultError]:
    """Return the head in the store, generation 0 if there is none."""
    return store.get(HEAD_NAME).bind(versioned_head_from)


def versioned_head_from(
    value: ObjectValue | None,
) -> Result[VersionedHead, ResultError]:
    """Return the head of a value that was read or watched."""
    if value is None:
        return Ok(VersionedHead())
    return decode_head(value.body).map(
        lambda head: VersionedHead(version=value.version, head=head)
    )


def fetch_delta(
    store: Store, head: Head, state: ReplicaState
) -> Result[ConfigDelta, ResultError]:
    """Return the delta from a replica's state to a head.

    Only the objects that the replica lacks are read. One that is missing or
    does not match its digest is an error, so the head is not applied.
    """
    changed = []
    for name, digest in sorted(head.objects.items()):
        held = state.objects.get(name)
        if held is not None and held.digest == digest:
            continue
        body = _read_object(store, digest)
        if body.is_error():
            return Error(body.error)
        changed.append(ConfigObject(name=name, digest=digest, body=body.ok))
    return Ok(
        ConfigDelta(
            base=state.generation,
            generation=head.generation,
            head_digest=head_digest_of(head.objects),
            changed=changed,
            removed=sorted(set(state.objects) - set(head.objects)),
            members_version=0,
            members=b"",
        )
    )


def full_delta(head: Head, bodies: Mapping[str, bytes]) -> ConfigDelta:
    """Return the delta that carries all objects of a head."""
    return ConfigDelta(
        base=0,
        generation=head.generation,
        head_digest=head_digest_of(head.objects),
        changed=[
            ConfigObject(name=name, digest=head.objects[name], body=body)
            for name, body in sorted(bodies.items())
        ],
        removed=[],
        members_version=0,
        members=b"",
    )


def commit_change(
    store: Store, *, base: VersionedHead, bodies: Mapping[str, bytes], operation: str
) -> Result[Head, ResultError]:
    """Replace the objects of `base` by `bodies` and return the accepted head.

    Parameters
    ----------
    store : Store
        The object API.
    base : VersionedHead
        The head that the change is based on.
    bodies : Mapping[str, bytes]
        All objects of the new generation as canonical JSON by `kind/name`.
    operation : str
        Unique id of this change.

    Returns
    -------
    Result[Head, ResultError]
        `CONFIGURATION_CONFLICT` when another change was accepted first,
        `STORE_UNAVAILABLE` when the outcome could not be established.

    """
    head = next_head(base.head, bodies, operation)
    stored = set(base.head.objects.values())
    for body in bodies.values():
        if digest_of(body) not in stored:
            written = _write_object(store, body)
            if written.is_error():
                return Error(written.error)
    return _update_head(store, base, head, operation)


def next_head(base: Head, bodies: Mapping[str, bytes], operation: str) -> Head:
    """Return the head that follows `base`.

    Examples
    --------
    >>> next_head(Head(generation=4), {"vms/x": b"{}"}, "op").generation
    5

    """
    return Head(
        generation=base.generation + 1,
        operations=(*base.operations, operation)[-MAX_KEPT_OPERATIONS:],
        objects={name: digest_of(body) for name, body in bodies.items()},
    )


def _update_head(
    store: Store, base: VersionedHead, head: Head, operation: str
) -> Result[Head, ResultError]:
    body = encode_head(head)
    for _ in range(MAX_COMMIT_ATTEMPTS):
        # Repeating the put is safe: it carries the same condition and id, so
        # at most one of the attempts can take effect.
        put = store.put(HEAD_NAME, body, expected_version=base.version)
        if put.is_ok():
            return Ok(head)
        read = read_head(store)
        if read.is_error():
            continue
        if operation in read.ok.head.operations:
            return Ok(head)
        if read.ok.version != base.version:
            return Error(_conflict(base.head, read.ok.head))
    return Error(_unavailable("head: the outcome of the update is unknown"))


def _write_object(store: Store, body: bytes) -> Result[None, ResultError]:
    outcome: Result = Error(_unavailable("object was not written"))
    for _ in range(MAX_COMMIT_ATTEMPTS):
        put = store.put(OBJECT_PREFIX + digest_of(body), body, expected_version=None)
        # A conflict means that the object exists; its name is its digest.
        if put.is_ok() or put.error.code is ResultCode.CONFIGURATION_CONFLICT:
            return Ok(None)
        outcome = Error(put.error)
    return outcome


def _read_object(store: Store, digest: str) -> Result[bytes, ResultError]:
    read = store.get(OBJECT_PREFIX + digest)
    if read.is_error():
        return Error(read.error)
    if read.ok is None:
        return Error(_unavailable(f"object {digest} is missing"))
    if digest_of(read.ok.body) != digest:
        return Error(_unavailable(f"object {digest} does not match its digest"))
    return Ok(read.ok.body)


def _conflict(base: Head, found: Head) -> ResultError:
    return ResultError(
        code=ResultCode.CONFIGURATION_CONFLICT,
        message=(
            f"the change is based on generation {base.generation}, "
            f"generation {found.generation} is in force"
        ),
    )


def _unavailable(message: str) -> ResultError:
    return ResultError(code=ResultCode.STORE_UNAVAILABLE, message=message)
