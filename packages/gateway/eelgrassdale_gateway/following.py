"""Where a gateway or an agent reads the objects of the store from.

Each call of the store has a price and counts against a rate that all nodes
share, so in each data centre only some gateways watch it. The others follow
these, and go to the store themselves when none of them answers.
"""

import asyncio
from collections.abc import Callable, Sequence

import structlog
from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale_gateway.objects import (
    Changes,
    Listing,
    ObjectSource,
    StoreUnavailable,
)
from eelgrassdale_gateway.objectserving import Address, ObjectClient, ObjectQuery
from eelgrassdale_gateway.staging.relay import GatewayPlace

# Gateways in each data centre that watch the store. Two see a change
# independently, and heartbeats show when one of them is behind.
WATCHERS = 2
# A gateway that failed is not asked again for this time.
SKIP_SECONDS = 0.3
# One that is behind others is left for longer.
SUSPECT_SECONDS = 3.0
# The store is asked again sooner, since it may be in trouble for a moment only.
STORE_SKIP_SECONDS = 0.5
# A follower leaves its watchers this time to find the store again, so that a
# watch that was cut does not bring all nodes to the store.
PATIENCE_SECONDS = 0.7
# One wait of a follower; a watcher that falls silent is noticed after it.
FOLLOWER_WAIT_SECONDS = 2.0
# How often a node that watches the store looks whether it still should.
ROLE_CHECK_SECONDS = 0.5

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class Surroundings:
    """A node and the live gateways around it.

    `is_gateway` is false for an agent, which may follow every gateway and
    watches the store only when no gateway answers.
    """

    name: str
    data_centre: str
    gateways: tuple[GatewayPlace, ...] = ()
    is_gateway: bool = True


def watchers_of(data_centre: str, names: Sequence[str]) -> list[str]:
    """Return the gateways of a data centre that watch the store.

    Examples
    --------
    >>> len(watchers_of("a", ["n-1", "n-2", "n-3"])), watchers_of("a", ["n-1"])
    (2, ['n-1'])

    """
    return rendezvous_order(topic=f"watch/{data_centre}", members=names)[:WATCHERS]


def sources_for(here: Surroundings) -> list[GatewayPlace | None]:
    """Return where a node reads, the best first; None is the store.

    A watcher prefers the store. When the store turns it away, it follows other
    watchers, those of its own data centre first.
    """
    by_centre: dict[str, list[GatewayPlace]] = {}
    for place in here.gateways:
        by_centre.setdefault(place.data_centre, []).append(place)
    near = by_centre.pop(here.data_centre, [])
    near_names = [place.name for place in near if place.name != here.name]
    if here.is_gateway:
        watchers = watchers_of(here.data_centre, [*near_names, here.name])
    else:
        watchers = near_names
    followed = _places(near, watchers, here.name)
    far: list[GatewayPlace] = []
    for centre in sorted(by_centre):
        names = [place.name for place in by_centre[centre]]
        far += _places(by_centre[centre], watchers_of(centre, names), here.name)
    if here.name in watchers:
        return [None, *followed, *far]
    return [*followed, None, *far]


def _places(
    places: Sequence[GatewayPlace], names: Sequence[str], reader: str
) -> list[GatewayPlace]:
    """Return the named places in an order that differs between readers."""
    by_name = {place.name: place for place in places}
    order = rendezvous_order(topic=f"follow/{reader}", members=names)
    return [by_name[name] for name in order if name in by_name and name != reader]


class SharedSource:
    """An `ObjectSource` over the store and other gateways.

    Parameters
    ----------
    store : ObjectSource
        The platform's store.
    here : callable
        Returns the present `Surroundings`.
    known : callable
        Returns the revision of the newest change of a kind that is known.
    wait : float
        Seconds of one wait at another gateway.
    """

    def __init__(
        self,
        *,
        store: ObjectSource,
        here: Callable[[], Surroundings],
        known: Callable[[str], int],
        clock: Clock,
        wait: float = FOLLOWER_WAIT_SECONDS,
    ) -> None:
        self._store = store
        self._here = here
        self._known = known
        self._clock = clock
        self._wait = wait
        self._client = ObjectClient()
        self._skip_until: dict[Address | None, float] = {}
        self._gateways_failed_at: float | None = None
        # The source of each kind's present copy; None is the store.
        self._sources: dict[str, Address | None] = {}

    def is_direct(self, kind: str) -> bool:
        """Return whether the copy of a kind comes from the store itself."""
        return self._sources.get(kind, ()) is None

    def suspect(self, kind: str) -> None:
        """Pass over the source of a kind for a while, because others know more."""
        if kind in self._sources:
            self._skip(self._sources[kind], SUSPECT_SECONDS)

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind; raises `StoreUnavailable`."""
        store_failed = False
        for address in self._usable():
            try:
                listing = await self._list_from(kind, address)
            except StoreUnavailable as exc:
                store_failed |= exc.of_store
                self._note_failure(kind, address, exc)
                continue
            self._note_success(kind, address)
            return listing
        raise StoreUnavailable("no source of objects", of_store=store_failed)

    async def watch(self, kind: str, *, revision: int, wait: float) -> Changes:
        """Return what changed after a revision; raises as `Mirror` expects."""
        usable = self._usable()
        if not usable:
            raise StoreUnavailable("no source of objects", of_store=False)
        address = usable[0]
        try:
            if address is None:
                self._note_success(kind, None)
                return await self._watch_store(kind, revision, wait)
            query = ObjectQuery(
                kind=kind,
                since=revision,
                wait=self._wait,
                is_direct=self._here().is_gateway,
            )
            changes = await self._client.watch(address, query)
        except StoreUnavailable as exc:
            self._note_failure(kind, address, exc)
            raise
        self._note_success(kind, address)
        return changes

    async def _watch_store(self, kind: str, revision: int, wait: float) -> Changes:
        """Watch the store until something changes or another node should."""
        call = asyncio.ensure_future(
            self._store.watch(kind, revision=revision, wait=wait)
        )
        try:
            while True:
                await asyncio.wait((call,), timeout=ROLE_CHECK_SECONDS)
                if call.done():
                    return call.result()
                if self._usable()[:1] not in ([None], []):
                    return Changes(changes=(), revision=revision)
        finally:
            call.cancel()

    async def _list_from(self, kind: str, address: Address | None) -> Listing:
        if address is None:
            return await self._store.list(kind)
        query = ObjectQuery(kind=kind, is_direct=self._here().is_gateway)
        listing, changed_at = await self._client.list(address, query)
        if changed_at < self._known(kind):
            raise StoreUnavailable(f"{address} is behind", of_store=False)
        return listing

    def _usable(self) -> Sequence[Address | None]:
        """Return the sources that did not fail lately, the best first."""
        now = self._clock.monotonic()
        places = sources_for(self._here())
        addresses = [place.address if place else None for place in places]
        return [
            address
            for rank, address in enumerate(addresses)
            if self._skip_until.get(address, 0.0) <= now
            and (address is not None or rank == 0 or self._may_ask_store(now))
        ]

    def _may_ask_store(self, now: float) -> bool:
        """Return whether a node that should follow others may ask the store."""
        failed_at = self._gateways_failed_at
        return failed_at is not None and now - failed_at >= PATIENCE_SECONDS

    def _note_success(self, kind: str, address: Address | None) -> None:
        if address is not None:
            self._gateways_failed_at = None
        if self._sources.get(kind, ()) != address:
            source = "store" if address is None else f"{address[0]}:{address[1]}"
            log.info("objects read from", kind=kind, source=source)
        self._sources[kind] = address

    def _note_failure(
        self, kind: str, address: Address | None, exc: StoreUnavailable
    ) -> None:
        self._sources.pop(kind, None)
        log.debug("objects not read", kind=kind, reason=str(exc))
        if address is None:
            self._skip(None, STORE_SKIP_SECONDS)
            return
        self._skip(address, SKIP_SECONDS)
        if self._gateways_failed_at is None:
            self._gateways_failed_at = self._clock.monotonic()

    def _skip(self, address: Address | None, seconds: float) -> None:
        self._skip_until[address] = self._clock.monotonic() + seconds
