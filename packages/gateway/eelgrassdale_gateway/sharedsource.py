"""Selection of the source from which a gateway or an agent reads objects.

Each call of the store has a price and counts against a rate limit that all
nodes share. So in each data centre only some gateways, the watchers, watch the
store. The other nodes follow the watchers, and read from the store themselves
when none of these answers.
"""

import asyncio
from collections.abc import Callable, Sequence

import structlog
from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale_gateway.eras import EraTracker, Position
from eelgrassdale_gateway.objecthttp import Address, ObjectClient, ObjectQuery
from eelgrassdale_gateway.objects import (
    Changes,
    Listing,
    ObjectSource,
    StoreUnavailable,
)
from eelgrassdale_gateway.staging.relay import GatewayEndpoint

# Two watchers receive each change independently, and their heartbeats show when
# one of them is behind.
WATCHERS_PER_DATA_CENTRE = 2
# A gateway that failed is not asked again for this time.
GATEWAY_COOLDOWN_SECONDS = 0.3
# A source that is behind others is avoided for longer.
STALE_SOURCE_COOLDOWN_SECONDS = 3.0
# The store is asked again after a shorter time, as its failure may be brief.
STORE_COOLDOWN_SECONDS = 0.5
# A listing of the store while it is avoided is given up after this time, as gateways
# that could not answer before it may do so again.
AVOIDED_STORE_TIMEOUT_SECONDS = 1.0
# Time from the first failure of a followed gateway until a follower may read from
# the store, so that its watchers can reconnect. Otherwise one interrupted watch
# would send all nodes to the store.
STORE_FALLBACK_DELAY_SECONDS = 0.7
# Long-poll time of a follower; a watcher that stops answering is detected after it.
FOLLOWER_POLL_SECONDS = 2.0
# Interval at which a node that watches the store checks whether it still should.
ROLE_CHECK_INTERVAL_SECONDS = 0.5

log = structlog.get_logger(__name__)


class _AvoidedStoreSilent(StoreUnavailable):
    """The store did not answer while a copy from it was known to be stale."""


@frozen(kw_only=True)
class LocalTopology:
    """A node, and the live gateways that it knows.

    `is_gateway` is false for an agent. An agent may follow every gateway of its
    data centre, and reads from the store only when none of them answers.
    """

    name: str
    data_centre: str
    gateways: tuple[GatewayEndpoint, ...] = ()
    is_gateway: bool = True


def select_watchers(data_centre: str, names: Sequence[str]) -> list[str]:
    """Return the gateways of a data centre that watch the store.

    Examples
    --------
    >>> len(select_watchers("a", ["n-1", "n-2", "n-3"])), select_watchers("a", ["n-1"])
    (2, ['n-1'])

    """
    return rendezvous_order(key=f"watch/{data_centre}", members=names)[
        :WATCHERS_PER_DATA_CENTRE
    ]


def sources_for(topology: LocalTopology) -> list[GatewayEndpoint | None]:
    """Return the sources of a node, most preferred first; None is the store.

    A watcher prefers the store. While the store fails, it follows other watchers,
    those of its own data centre first.
    """
    by_data_centre: dict[str, list[GatewayEndpoint]] = {}
    for gateway in topology.gateways:
        by_data_centre.setdefault(gateway.data_centre, []).append(gateway)
    local = by_data_centre.pop(topology.data_centre, [])
    local_names = [gateway.name for gateway in local if gateway.name != topology.name]
    if topology.is_gateway:
        watchers = select_watchers(topology.data_centre, [*local_names, topology.name])
    else:
        watchers = local_names
    followed = _gateways_in_order(local, watchers, topology.name)
    remote: list[GatewayEndpoint] = []
    for data_centre_name in sorted(by_data_centre):
        names = [gateway.name for gateway in by_data_centre[data_centre_name]]
        remote += _gateways_in_order(
            by_data_centre[data_centre_name],
            select_watchers(data_centre_name, names),
            topology.name,
        )
    if topology.name in watchers:
        return [None, *followed, *remote]
    return [*followed, None, *remote]


def _gateways_in_order(
    gateways: Sequence[GatewayEndpoint], names: Sequence[str], reader: str
) -> list[GatewayEndpoint]:
    """Return the gateways with the given names, in an order that depends on the reader.

    The reader itself is left out.
    """
    by_name = {gateway.name: gateway for gateway in gateways}
    order = rendezvous_order(key=f"follow/{reader}", members=names)
    return [by_name[name] for name in order if name in by_name and name != reader]


def _source_name(address: Address | None) -> str:
    return "store" if address is None else f"{address[0]}:{address[1]}"


class SharedSource:
    """An `ObjectSource` that reads from the store or from other gateways.

    Parameters
    ----------
    store : ObjectSource
        The platform's store.
    topology : callable
        Returns the present `LocalTopology`.
    known_position : callable
        Returns the position of the newest change of a kind that this node knows;
        older listings of gateways are rejected.
    eras : EraTracker
        Learns the era of each answer. Those of an earlier era than the newest known
        one are rejected.
    poll_seconds : float
        Seconds of one long poll at another gateway.
    """

    def __init__(
        self,
        *,
        store: ObjectSource,
        topology: Callable[[], LocalTopology],
        known_position: Callable[[str], Position],
        clock: Clock,
        eras: EraTracker | None = None,
        poll_seconds: float = FOLLOWER_POLL_SECONDS,
    ) -> None:
        self._store = store
        self._topology = topology
        self._known_position = known_position
        self._eras = eras or EraTracker()
        self._clock = clock
        self._poll_seconds = poll_seconds
        self._client = ObjectClient()
        self._cooldown_until: dict[Address | None, float] = {}
        self._gateways_failed_at: float | None = None
        # Whether the store is in cooldown because a copy from it was stale.
        self._is_store_stale = False
        # Source of the current copy of each kind; None is the store.
        self._sources: dict[str, Address | None] = {}
        # Source from which each kind is being listed; None is the store.
        self._asked_sources: dict[str, Address | None] = {}

    def reads_from_store(self, kind: str) -> bool:
        """Return whether the copy of a kind comes from the store itself."""
        return self._sources.get(kind, ()) is None

    def avoid_current_source(self, kind: str) -> None:
        """Avoid the current source of a kind for a while, as its copy is stale.

        While the kind is being listed, it is the source that has not answered yet.
        """
        for sources in (self._asked_sources, self._sources):
            if kind in sources:
                source = sources[kind]
                self._start_cooldown(source, STALE_SOURCE_COOLDOWN_SECONDS)
                self._is_store_stale |= source is None
                return

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind; raises `StoreUnavailable`."""
        store_failed = False
        for address in self._sources_to_list():
            self._asked_sources[kind] = address
            try:
                listing = await self._list_from(kind, address)
                self._check_era(address, listing.position)
            except StoreUnavailable as exc:
                store_failed |= exc.is_store_failure
                self._record_failure(kind, address, exc)
                continue
            finally:
                # Two listings of a kind may overlap, as one is cancelled.
                self._asked_sources.pop(kind, None)
            self._record_success(kind, address)
            if address is None:
                self._cooldown_until.pop(None, None)
                self._is_store_stale = False
            return listing
        raise StoreUnavailable(
            "no source of objects is available", is_store_failure=store_failed
        )

    async def watch(
        self, kind: str, *, position: Position, wait_seconds: float
    ) -> Changes:
        """Return what changed after a position.

        Raises `StoreUnavailable`, or `HistoryGone` if the source has dropped that
        part of its history.
        """
        available = self._available_sources()
        if not available:
            raise StoreUnavailable(
                "no source of objects is available", is_store_failure=False
            )
        address = available[0]
        try:
            if address is None:
                self._record_success(kind, None)
                return await self._watch_store(kind, position, wait_seconds)
            query = ObjectQuery(
                kind=kind,
                since=position.revision,
                era=position.era,
                wait=self._poll_seconds,
                direct_only=self._topology().is_gateway,
            )
            changes = await self._client.watch(address, query)
            self._check_era(address, changes.position)
        except StoreUnavailable as exc:
            self._record_failure(kind, address, exc)
            raise
        self._record_success(kind, address)
        return changes

    async def _watch_store(self, kind: str, position: Position, wait: float) -> Changes:
        """Watch the store until a change, or until another source is preferred.

        In the second case, return no changes.
        """
        watch_task = asyncio.ensure_future(
            self._store.watch(kind, position=position, wait_seconds=wait)
        )
        try:
            while True:
                await asyncio.wait((watch_task,), timeout=ROLE_CHECK_INTERVAL_SECONDS)
                if watch_task.done():
                    changes = watch_task.result()
                    self._check_era(None, changes.position)
                    return changes
                if self._available_sources()[:1] not in ([None], []):
                    return Changes(
                        changes=(), revision=position.revision, era=position.era
                    )
        finally:
            watch_task.cancel()

    async def _list_from(self, kind: str, address: Address | None) -> Listing:
        if address is None and self._is_store_avoided():
            return await self._list_avoided_store(kind)
        if address is None:
            return await self._store.list(kind)
        query = ObjectQuery(
            kind=kind,
            direct_only=self._topology().is_gateway,
            era=self._eras.era,
        )
        listing, last_change = await self._client.list(address, query)
        if last_change < self._known_position(kind):
            raise StoreUnavailable(
                f"{address} has an outdated copy",
                is_store_failure=False,
            )
        return listing

    def _check_era(self, address: Address | None, position: Position) -> None:
        """Learn the era of an answer; raise `StoreUnavailable` if it is over."""
        self._eras.observe(position.era, position.revision)
        if position.era < self._eras.era:
            log.info(
                "copy of an earlier era dropped",
                source=_source_name(address),
                era=position.era,
                known_era=self._eras.era,
            )
            raise StoreUnavailable(
                f"{_source_name(address)} has a copy of an earlier era",
                is_store_failure=False,
            )

    async def _list_avoided_store(self, kind: str) -> Listing:
        try:
            async with asyncio.timeout(AVOIDED_STORE_TIMEOUT_SECONDS):
                return await self._store.list(kind)
        except TimeoutError as exc:
            raise _AvoidedStoreSilent("no answer of a store that is avoided") from exc

    def _is_store_avoided(self) -> bool:
        """Return whether the store is in cooldown because a copy from it was stale."""
        until = self._cooldown_until.get(None, 0.0)
        return self._is_store_stale and until > self._clock.monotonic()

    def _available_sources(self) -> Sequence[Address | None]:
        """Return the sources that are not in cooldown, most preferred first."""
        now = self._clock.monotonic()
        sources = sources_for(self._topology())
        addresses = [source.address if source else None for source in sources]
        return [
            address
            for rank, address in enumerate(addresses)
            if self._cooldown_until.get(address, 0.0) <= now
            and (address is not None or rank == 0 or self._may_fall_back_to_store(now))
        ]

    def _sources_to_list(self) -> Sequence[Address | None]:
        """Return the sources that may list a kind, most preferred first.

        A watch of the store may be late where its listing is not. So a store that
        is only avoided as stale comes last, for the case that no gateway answers.
        """
        sources = self._available_sources()
        return [*sources, None] if self._is_store_avoided() else sources

    def _may_fall_back_to_store(self, now: float) -> bool:
        """Return whether a follower may read from the store."""
        failed_at = self._gateways_failed_at
        return failed_at is not None and now - failed_at >= STORE_FALLBACK_DELAY_SECONDS

    def _record_success(self, kind: str, address: Address | None) -> None:
        if address is not None:
            self._gateways_failed_at = None
        if self._sources.get(kind, ()) != address:
            source = _source_name(address)
            log.info("source of objects selected", kind=kind, source=source)
        self._sources[kind] = address

    def _record_failure(
        self, kind: str, address: Address | None, exc: StoreUnavailable
    ) -> None:
        self._sources.pop(kind, None)
        log.debug("reading objects from a source failed", kind=kind, reason=str(exc))
        if isinstance(exc, _AvoidedStoreSilent):
            # It goes on to be asked last, as nothing shows that it answers again.
            self._start_cooldown(None, STALE_SOURCE_COOLDOWN_SECONDS)
            return
        if address is None:
            self._start_cooldown(None, STORE_COOLDOWN_SECONDS)
            self._is_store_stale = False
            return
        self._start_cooldown(address, GATEWAY_COOLDOWN_SECONDS)
        if self._gateways_failed_at is None:
            self._gateways_failed_at = self._clock.monotonic()

    def _start_cooldown(self, address: Address | None, seconds: float) -> None:
        now = self._clock.monotonic()
        self._cooldown_until = {
            source: until
            for source, until in self._cooldown_until.items()
            if until > now
        }
        self._cooldown_until[address] = now + seconds
