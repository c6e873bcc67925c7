"""The configuration in force at one node.

A replica moves from one generation to a higher one as a whole: it applies a
delta only when every object matches its digest and all of them together match
the digest of the head.
"""

import threading
from collections.abc import Callable, Iterable, Mapping

import structlog
from attrs import Factory, evolve, frozen

from eelgrassdale.catalog import EMPTY_CONFIGURATION, Configuration
from eelgrassdale.catalog.encoding import (
    CatalogObject,
    configuration_from,
    decode_object,
)
from eelgrassdale.hashing import digest_of
from eelgrassdale.telemetry import InvariantMonitor
from eelgrassdale.wire import ConfigDelta, ConfigObject

# Removals that are kept for partial deltas. A peer that is further
# behind gets all objects.
REMOVAL_LIMIT = 1000

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class StoredObject:
    """An object, its canonical body and the generation that last changed it."""

    digest: str
    body: bytes
    changed_at: int
    value: CatalogObject


@frozen(kw_only=True)
class ReplicaState:
    """One generation and what is needed to bring a peer up to it.

    Deltas from a base below `min_partial_base` carry all objects, because some
    removals since that base are unknown here.
    """

    configuration: Configuration = EMPTY_CONFIGURATION
    head_digest: str = ""
    objects: Mapping[str, StoredObject] = Factory(dict)
    removed_at: Mapping[str, int] = Factory(dict)
    min_partial_base: int = 0

    @property
    def generation(self) -> int:
        """Generation in force, 0 for none."""
        return self.configuration.generation


class Replica:
    """Holds the configuration of a node; thread-safe.

    Parameters
    ----------
    monitor : InvariantMonitor
        Counts a generation that would decrease or change its content.
    """

    def __init__(self, *, monitor: InvariantMonitor) -> None:
        self._monitor = monitor
        self._lock = threading.Lock()
        self._state = ReplicaState()
        self._callbacks: list[Callable[[Configuration], None]] = []

    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._state.configuration

    def state(self) -> ReplicaState:
        """Return the objects and digests in force."""
        return self._state

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with every later configuration; it must not block."""
        self._callbacks.append(callback)

    def apply_if_newer(self, delta: ConfigDelta) -> bool:
        """Apply a delta to a higher generation; return whether it was applied."""
        with self._lock:
            before = self._state
            after = apply_delta(before, delta)
            if after is None:
                self._check_same_content(before, delta)
                return False
            grows = self._monitor.check(
                after.generation > before.generation,
                "generation_grows",
                old=before.generation,
                new=after.generation,
            )
            intact = self._monitor.check(
                matches_digests(after),
                "objects_match_digests",
                generation=after.generation,
                head_digest=after.head_digest,
            )
            if not grows or not intact:
                return False
            self._state = after
            log.info("configuration in force", generation=after.generation)
            # Called under the lock, so that callbacks see generations in order.
            for callback in list(self._callbacks):
                callback(after.configuration)
        return True

    def delta_since(self, generation: int) -> ConfigDelta | None:
        """Return what a peer at `generation` lacks, or None if it lacks nothing."""
        return delta_between(self._state, generation)

    def _check_same_content(self, state: ReplicaState, delta: ConfigDelta) -> None:
        self._monitor.check(
            delta.generation != state.generation
            or delta.generation == 0
            or not delta.head_digest
            or delta.head_digest == state.head_digest,
            "generation_has_one_content",
            generation=delta.generation,
            ours=state.head_digest,
            theirs=delta.head_digest,
        )


def head_digest_of(digests: Mapping[str, str]) -> str:
    """Return the digest over all (name, digest) pairs of a generation.

    Examples
    --------
    >>> head_digest_of({"a": "1", "b": "2"}) == head_digest_of({"b": "2", "a": "1"})
    True

    """
    pairs = "".join(f"{name}\x00{digest}\n" for name, digest in sorted(digests.items()))
    return digest_of(pairs.encode())


def matches_digests(state: ReplicaState) -> bool:
    """Return whether every object and the head match their digests."""
    digests = {name: obj.digest for name, obj in state.objects.items()}
    return head_digest_of(digests) == state.head_digest and all(
        digest_of(obj.body) == obj.digest for obj in state.objects.values()
    )


def apply_delta(state: ReplicaState, delta: ConfigDelta) -> ReplicaState | None:
    """Return the state after a delta, or None if the delta cannot be applied.

    A delta is refused when its generation is not higher, its base is higher
    than the generation in force, or an object or the head does not match its
    digest. A base below the generation in force is accepted: an object that is
    unchanged since the base is also unchanged since any later generation.
    """
    if delta.generation <= state.generation or delta.base > state.generation:
        return None
    changed = _decode_all(delta.changed or [], delta.generation)
    if changed is None:
        return None
    removed = set(delta.removed or [])
    if delta.base == 0:
        changed, removed = _diff_objects(state.objects, changed)
    kept = {name: obj for name, obj in state.objects.items() if name not in removed}
    objects = {**kept, **changed}
    digests = {name: obj.digest for name, obj in objects.items()}
    if head_digest_of(digests) != delta.head_digest:
        return None
    return _next_state(state, delta, objects, removed)


def delta_between(state: ReplicaState, base: int) -> ConfigDelta | None:
    """Return the delta from generation `base` to the state, or None if none."""
    if state.generation <= base:
        return None
    if base < state.min_partial_base:
        base = 0
    return ConfigDelta(
        base=base,
        generation=state.generation,
        head_digest=state.head_digest,
        changed=[
            ConfigObject(name=name, digest=obj.digest, body=obj.body)
            for name, obj in sorted(state.objects.items())
            if base == 0 or obj.changed_at > base
        ],
        removed=[
            name for name, at in sorted(state.removed_at.items()) if 0 < base < at
        ],
        members_version=0,
        members=b"",
    )


def _decode_all(
    changed: Iterable[ConfigObject], generation: int
) -> dict[str, StoredObject] | None:
    stored: dict[str, StoredObject] = {}
    for obj in changed:
        body = obj.body.encode() if isinstance(obj.body, str) else obj.body
        if digest_of(body) != obj.digest:
            log.warning("object does not match its digest", name=obj.name)
            return None
        decoded = decode_object(obj.name, body)
        if decoded.is_error():
            log.warning("object cannot be read", name=obj.name, error=decoded.error)
            return None
        stored[obj.name] = StoredObject(
            digest=obj.digest, body=body, changed_at=generation, value=decoded.ok
        )
    return stored


def _diff_objects(
    old: Mapping[str, StoredObject], new: dict[str, StoredObject]
) -> tuple[dict[str, StoredObject], set[str]]:
    """Return the changed and removed objects between two complete sets."""
    changed = {
        name: obj
        for name, obj in new.items()
        if name not in old or old[name].digest != obj.digest
    }
    return changed, set(old) - set(new)


def _next_state(
    state: ReplicaState,
    delta: ConfigDelta,
    objects: Mapping[str, StoredObject],
    removed: Iterable[str],
) -> ReplicaState:
    removed_at = {**state.removed_at, **dict.fromkeys(removed, delta.generation)}
    removed_at = {name: at for name, at in removed_at.items() if name not in objects}
    min_partial_base = state.min_partial_base if state.generation else delta.generation
    if len(removed_at) > REMOVAL_LIMIT:
        removed_at, min_partial_base = {}, delta.generation
    return evolve(
        state,
        configuration=configuration_from(
            delta.generation, [obj.value for obj in objects.values()]
        ),
        head_digest=delta.head_digest,
        objects=objects,
        removed_at=removed_at,
        min_partial_base=min_partial_base,
    )
