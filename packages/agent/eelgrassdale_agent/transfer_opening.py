"""Opens the chunk store of a model version: manifest first, then what is staged."""

from collections.abc import Mapping

from expression import Ok, Result

from eelgrassdale.node.context import NodeContext
from eelgrassdale.results import ResultError
from eelgrassdale.weights import Manifest, candidates
from eelgrassdale_agent.orders import OrderClient
from eelgrassdale_agent.sources import ChunkReader
from eelgrassdale_agent.transfer_store import ChunkStore
from eelgrassdale_agent.transfer_target import Target

MANIFEST_PEERS = 3


class StoreOpener:
    """Finds manifests and opens stores; owned by the task's thread.

    Parameters
    ----------
    context : NodeContext
        Members and clock.
    orders : OrderClient
        Engine whose staging may hold chunks already.
    reader : ChunkReader
        Reads manifests.
    memory_bytes : int
        Bound on the chunks of a store in memory.
    """

    def __init__(
        self,
        *,
        context: NodeContext,
        orders: OrderClient,
        reader: ChunkReader,
        memory_bytes: int,
    ) -> None:
        self._context = context
        self._orders = orders
        self._reader = reader
        self._memory_bytes = memory_bytes

    def open(
        self, target: Target
    ) -> Result[tuple[ChunkStore, Mapping[str, int]], ResultError]:
        """Return a store of the target and the chunks that asked peers have."""
        masks: dict[str, int] = {}
        found = self._from_peers(target, masks)
        if found is not None:
            return Ok((self._store(found), masks))
        model = target.model
        result = self._reader.manifest_from_source(model.name, model.manifest)
        return result.map(lambda manifest: (self._store(manifest), masks))

    def _from_peers(self, target: Target, masks: dict[str, int]) -> Manifest | None:
        """Ask a few agents of the data centre and note what they hold."""
        digest = target.model.manifest
        names = [
            place.name
            for place in target.agents
            if place.data_centre == target.me.data_centre and place != target.me
        ]
        found = None
        members = self._context.members.current().by_name
        order = candidates(manifest=digest, index=-1, members=names)
        for name in order[:MANIFEST_PEERS]:
            if name not in members:
                continue
            address = members[name].node_address
            answer = self._reader.manifest_from_peer(address, digest)
            if answer.is_ok():
                found, masks[name] = answer.ok
        return found

    def _store(self, manifest: Manifest) -> ChunkStore:
        def read_back(index: int) -> bytes | None:
            return self._orders.staged(manifest.digest, index).default_value(None)

        store = ChunkStore(
            manifest=manifest,
            clock=self._context.clock,
            memory_bytes=self._memory_bytes,
            read_back=read_back,
        )
        self._take_staged(store)
        return store

    def _take_staged(self, store: ChunkStore) -> None:
        """Take chunks that an earlier life of this agent staged, once verified."""
        manifest = store.manifest
        staged = self._orders.staged_indices(manifest.digest).default_value(None)
        for index in sorted(staged or ()):
            if not 0 <= index < manifest.count:
                continue
            data = self._orders.staged(manifest.digest, index)
            if data.is_ok() and manifest.matches(index, data.ok):
                store.add(index, data.ok)


def drop_unstaged(orders: OrderClient, store: ChunkStore, incarnation: str) -> bool:
    """Forget chunks that are no longer staged; return whether any was forgotten.

    An engine that cannot list its staging counts as empty once its incarnation
    differs from the one that the chunks were staged in.

    Parameters
    ----------
    orders : OrderClient
        The engine.
    store : ChunkStore
        Chunks that were staged.
    incarnation : str
        Present incarnation of the engine.
    """
    staged = orders.staged_indices(store.manifest.digest).default_value(None)
    if staged is None:
        if store.engine_incarnation == incarnation:
            return False
        staged = set()
    store.engine_incarnation = incarnation
    lost = [
        index
        for index in range(store.manifest.count)
        if store.held >> index & 1 and index not in staged
    ]
    for index in lost:
        store.drop(index)
    return bool(lost)
