"""Opens the chunk store of a model version from its manifest and staged chunks."""

from collections.abc import Mapping

from expression import Ok, Result

from eelgrassdale.node.context import NodeContext
from eelgrassdale.results import ResultError
from eelgrassdale.weights import Manifest, candidates
from eelgrassdale_agent.orders import EngineWeightsClient
from eelgrassdale_agent.sources import ChunkReader
from eelgrassdale_agent.transfer_store import ChunkStore
from eelgrassdale_agent.transfer_target import Target

MAX_MANIFEST_PEERS = 3


class StoreOpener:
    """Reads manifests and opens stores; used only by the task's thread.

    Parameters
    ----------
    context : NodeContext
        Members and clock.
    orders : EngineWeightsClient
        Client of the engine, whose staging memory may already have chunks.
    reader : ChunkReader
        Reads manifests.
    memory_bytes : int
        Upper bound on the chunks that a store caches in memory.
    """

    def __init__(
        self,
        *,
        context: NodeContext,
        orders: EngineWeightsClient,
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
        """Return a store of the target and the chunk masks of the peers asked.

        The manifest is read from peers first, then from the weight sources.
        """
        masks: dict[str, int] = {}
        found = self._manifest_from_peers(target, masks)
        if found is not None:
            return Ok((self._new_store(found), masks))
        model = target.model
        result = self._reader.manifest_from_source(model.name, model.manifest)
        return result.map(lambda manifest: (self._new_store(manifest), masks))

    def _manifest_from_peers(
        self, target: Target, masks: dict[str, int]
    ) -> Manifest | None:
        """Ask up to `MAX_MANIFEST_PEERS` agents of the data centre.

        Their chunk masks are added to `masks`.
        """
        digest = target.model.manifest
        names = [
            agent.name
            for agent in target.agents
            if agent.data_centre == target.own_location.data_centre
            and agent != target.own_location
        ]
        found = None
        members = self._context.members.current().by_name
        order = candidates(manifest=digest, index=-1, members=names)
        for name in order[:MAX_MANIFEST_PEERS]:
            if name not in members:
                continue
            address = members[name].node_address
            answer = self._reader.manifest_from_peer(address, digest)
            if answer.is_ok():
                found, masks[name] = answer.ok
        return found

    def _new_store(self, manifest: Manifest) -> ChunkStore:
        def read_staged(index: int) -> bytes | None:
            return self._orders.read_staged_chunk(manifest.digest, index).default_value(
                None
            )

        store = ChunkStore(
            manifest=manifest,
            clock=self._context.clock,
            memory_bytes=self._memory_bytes,
            read_staged=read_staged,
        )
        self._add_staged_chunks(store)
        return store

    def _add_staged_chunks(self, store: ChunkStore) -> None:
        """Verify and add chunks that an earlier incarnation of this agent staged."""
        manifest = store.manifest
        staged = self._orders.staged_indices(manifest.digest).default_value(None)
        for index in sorted(staged or ()):
            if not 0 <= index < manifest.count:
                continue
            data = self._orders.read_staged_chunk(manifest.digest, index)
            if data.is_ok() and manifest.matches(index, data.ok):
                store.add(index, data.ok)


def remove_unstaged(
    orders: EngineWeightsClient, store: ChunkStore, incarnation: str
) -> bool:
    """Remove chunks that are no longer staged; return whether any was removed.

    If the engine cannot list its staged chunks, it is taken to have none once its
    incarnation differs from the one in which they were staged.

    Parameters
    ----------
    orders : EngineWeightsClient
        Client of the engine.
    store : ChunkStore
        Chunks that were staged.
    incarnation : str
        Current incarnation of the engine.
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
        store.remove(index)
    return bool(lost)
