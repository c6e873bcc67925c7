"""Membership, liveness and load reports of gateways, by direct heartbeats.

All nodes have the same role; there is no election. A node sends its heartbeat
to every peer that it knows. Each heartbeat also lists a few live peers, so that
a node that knows one gateway finds the others.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from random import Random

import structlog
from attrs import define, field, frozen

from eelgrassdale.clock import Clock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale_gateway.loads import Load, LoadTracker
from eelgrassdale_gateway.messages import (
    Heartbeat,
    KindRevision,
    PeerAddress,
    ServerLoad,
    ServerNotice,
    decode,
    encode,
)
from eelgrassdale_gateway.notices import NoticeRegistry
from eelgrassdale_gateway.shares import GatewayGroup

# Reported loads must be about as fresh as the time between two requests of a node.
HEARTBEAT_INTERVAL_SECONDS = 0.15
# Peers of other regions get heartbeats less often: requests are sent there less
# often, and the links cost more. One node of a data centre reports to them the
# loads of all its gateways; the others only send signs of life.
REPORT_INTERVAL_HEARTBEATS = 4
KEEPALIVE_INTERVAL_HEARTBEATS = 8
# Time without a heartbeat after which a peer of the same or of another region
# counts as dead. Both cover at least three heartbeats, since a working link does
# not lose three in a row.
PEER_TIMEOUT_SECONDS = 2.0
REMOTE_PEER_TIMEOUT_SECONDS = 4.0
# A silent peer may return, so it still gets some heartbeats.
SILENT_PEER_INTERVAL_HEARTBEATS = 10
PEER_RETENTION_SECONDS = 30.0
PEERS_PER_HEARTBEAT = 1
MAX_PEERS = 1024
# Number of gateways that a node assumes for a while after its start if it knows
# no peer: both present deployments have 9.
ASSUMED_GATEWAYS = 9

log = structlog.get_logger(__name__)

Address = tuple[str, int]


@frozen(kw_only=True)
class NodeInfo:
    """Identity, location and caller address of a gateway."""

    name: str
    incarnation: int
    caller_address: Address
    data_centre: str
    region: str


@define(kw_only=True)
class Peer:
    """Another gateway; `info` is None until its first heartbeat arrived."""

    address: Address
    info: NodeInfo | None = None
    sequence: int = -1
    heard_at: float = float("-inf")
    added_at: float = 0.0
    is_leaving: bool = False
    revisions: Mapping[str, int] = field(factory=dict)


class Peers(asyncio.DatagramProtocol):
    """Sends and receives heartbeats and notices; not thread-safe."""

    def __init__(
        self,
        *,
        clock: Clock,
        me: NodeInfo,
        address: Address,
        loads: LoadTracker,
        notices: NoticeRegistry,
        on_notice: Callable[[], None],
        revisions: Callable[[], Mapping[str, int]] = dict,
        seed: int | None = None,
    ) -> None:
        self.me = me
        self._revisions = revisions
        self.is_leaving = False
        self._clock = clock
        self._address = address
        self._loads = loads
        self._notices = notices
        self._on_notice = on_notice
        self._rng = Random(seed)
        self._peers: dict[Address, Peer] = {}
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._started_at = clock.monotonic()
        # None after a change of the peers that share limits.
        self._group: GatewayGroup | None = None
        self._assumed_group = self._new_group(
            f"unknown-{number}" for number in range(1, ASSUMED_GATEWAYS)
        )

    async def start(self) -> None:
        """Bind the address and send heartbeats from now on."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._address)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport; called by asyncio."""
        self._transport = transport

    def add_peer(self, address: Address) -> None:
        """Add the address of a possible peer, unless `MAX_PEERS` are known."""
        if address == self._address or address in self._peers:
            return
        if len(self._peers) >= MAX_PEERS:
            return
        self._peers[address] = Peer(address=address, added_at=self._clock.monotonic())
        self._group = None

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1)
            )

    def leave(self) -> None:
        """Announce to all peers that this node leaves."""
        self.is_leaving = True
        self.send_heartbeats()

    def live_peers(self) -> list[Peer]:
        """Return the peers that are alive and not leaving."""
        now = self._clock.monotonic()
        return [p for p in self._peers.values() if self._is_live(p, now)]

    def live_gateway_count(self) -> int:
        """Return the number of live gateways, this one included."""
        return 1 + len(self.live_peers())

    def gateway_group(self) -> GatewayGroup:
        """Return the gateways among which limits on all gateways are divided.

        Silent peers count until they are forgotten: the link to them may be
        broken while they still send requests to backend servers.
        """
        if self._group is None:
            self._group = self._new_group(
                _address_label(peer.address)
                for peer in self._peers.values()
                if not peer.is_leaving
            )
        if (
            self._group.count == 1
            and self._clock.monotonic() - self._started_at < PEER_RETENTION_SECONDS
        ):
            return self._assumed_group
        return self._group

    def _new_group(self, peers: Iterable[str]) -> GatewayGroup:
        me = _address_label(self._address)
        return GatewayGroup(own_name=me, members=frozenset((me, *peers)))

    def newest_revisions(self) -> dict[str, int]:
        """Return the newest revision of each kind that live peers know."""
        newest: dict[str, int] = {}
        for peer in self.live_peers():
            for kind, revision in peer.revisions.items():
                newest[kind] = max(revision, newest.get(kind, 0))
        return newest

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each peer whose interval has passed."""
        if self._transport is None:
            return
        now = self._clock.monotonic()
        self._sequence += 1
        self._forget_expired(now)
        is_reporter = self._is_reporter()
        in_region_data = encode(
            self._heartbeat(now, self._loads.own_loads(), with_loads=True)
        )
        remote_loads = self._data_centre_loads(now) if is_reporter else {}
        remote_data = encode(self._heartbeat(now, remote_loads, with_loads=is_reporter))
        for position, peer in enumerate(self._peers.values()):
            interval = self._heartbeat_interval(peer, now, is_reporter=is_reporter)
            if (self._sequence + position) % interval == 0:
                data = in_region_data if self._is_in_region(peer) else remote_data
                self._transport.sendto(data, peer.address)

    def _heartbeat_interval(self, peer: Peer, now: float, *, is_reporter: bool) -> int:
        """Return the interval of a peer: it gets one of that many heartbeats."""
        if now - peer.added_at < PEER_TIMEOUT_SECONDS or self.is_leaving:
            return 1
        if now - peer.heard_at > REMOTE_PEER_TIMEOUT_SECONDS:
            return SILENT_PEER_INTERVAL_HEARTBEATS
        if self._is_in_region(peer):
            return 1
        return (
            REPORT_INTERVAL_HEARTBEATS if is_reporter else KEEPALIVE_INTERVAL_HEARTBEATS
        )

    def _is_in_region(self, peer: Peer) -> bool:
        return peer.info is None or peer.info.region == self.me.region

    def _local_peer_names(self) -> list[str]:
        """Return the names of the other live gateways of this data centre."""
        info = (peer.info for peer in self.live_peers())
        return [f.name for f in info if f.data_centre == self.me.data_centre]

    def _is_reporter(self) -> bool:
        """Return whether this node reports its data centre's loads to other regions."""
        members = [*self._local_peer_names(), self.me.name]
        topic = f"report/{self.me.data_centre}"
        return rendezvous_order(key=topic, members=members)[0] == self.me.name

    def _data_centre_loads(self, now: float) -> Mapping[str, Load]:
        """Return the load of this data centre's gateways at each backend server."""
        return self._loads.combined_loads(self._local_peer_names(), now=now)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a heartbeat or a notice; called by asyncio."""
        message = decode(data)
        if message is None:
            log.warning("malformed datagram dropped", source=f"{addr[0]}:{addr[1]}")
        elif isinstance(message, ServerNotice):
            if self._notices.record(message, now=self._clock.monotonic()):
                self._on_notice()
        else:
            self._handle_heartbeat(message, addr)

    def _handle_heartbeat(self, heartbeat: Heartbeat, addr: Address) -> None:
        self.add_peer(addr)
        peer = self._peers.get(addr)
        if peer is not None:
            self._update_peer(peer, heartbeat)
        for known in heartbeat.known:
            self.add_peer((known.host, known.port))

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors: peers are judged by their heartbeats only."""
        log.debug("a datagram could not be delivered", error=repr(exc))

    def _update_peer(self, peer: Peer, heartbeat: Heartbeat) -> None:
        now = self._clock.monotonic()
        info = peer.info
        incarnation = info.incarnation if info else -1
        if (heartbeat.incarnation, heartbeat.sequence) <= (incarnation, peer.sequence):
            return
        was_live = self._is_live(peer, now)
        peer.info = _node_info(heartbeat)
        peer.sequence = heartbeat.sequence
        peer.heard_at = now
        if peer.is_leaving != heartbeat.is_leaving:
            peer.is_leaving = heartbeat.is_leaving
            self._group = None
        peer.revisions = {
            entry.kind: entry.revision for entry in heartbeat.revisions or ()
        }
        loads = {
            load.server: Load(requests=load.requests, tokens=load.tokens)
            for load in heartbeat.loads
        }
        self._loads.record_report(peer.info.name, loads, now=now)
        if was_live != self._is_live(peer, now):
            log.info(
                "peer liveness changed",
                peer=peer.info.name,
                is_live=not was_live,
                incarnation=heartbeat.incarnation,
            )

    def _is_live(self, peer: Peer, now: float) -> bool:
        if peer.info is None or peer.is_leaving:
            return False
        timeout = (
            PEER_TIMEOUT_SECONDS
            if self._is_in_region(peer)
            else REMOTE_PEER_TIMEOUT_SECONDS
        )
        return now - peer.heard_at <= timeout

    def _forget_expired(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            last_sign_of_life = max(peer.heard_at, peer.added_at)
            if now - last_sign_of_life > PEER_RETENTION_SECONDS:
                del self._peers[address]
                self._group = None
                if peer.info is not None:
                    self._loads.remove_peer(peer.info.name)

    def _heartbeat(
        self, now: float, loads: Mapping[str, Load], *, with_loads: bool
    ) -> Heartbeat:
        """Return a heartbeat; `with_loads` includes loads and revisions."""
        live = [peer for peer in self._peers.values() if self._is_live(peer, now)]
        known = self._rng.sample(live, min(PEERS_PER_HEARTBEAT, len(live)))
        return Heartbeat(
            name=self.me.name,
            incarnation=self.me.incarnation,
            sequence=self._sequence,
            is_leaving=self.is_leaving,
            caller_host=self.me.caller_address[0],
            caller_port=self.me.caller_address[1],
            data_centre=self.me.data_centre,
            region=self.me.region,
            loads=[
                ServerLoad(server=server, requests=load.requests, tokens=load.tokens)
                for server, load in (loads.items() if with_loads else ())
            ],
            known=[
                PeerAddress(
                    name=peer.info.name, host=peer.address[0], port=peer.address[1]
                )
                for peer in known
            ],
            revisions=[
                KindRevision(kind=kind, revision=revision)
                for kind, revision in (self._revisions().items() if with_loads else ())
            ],
        )


def _address_label(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _node_info(heartbeat: Heartbeat) -> NodeInfo:
    return NodeInfo(
        name=heartbeat.name,
        incarnation=heartbeat.incarnation,
        caller_address=(heartbeat.caller_host, heartbeat.caller_port),
        data_centre=heartbeat.data_centre,
        region=heartbeat.region,
    )
