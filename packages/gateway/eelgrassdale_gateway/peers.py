"""Membership, liveness and load reports of gateways, by direct heartbeats.

All nodes have the same role; there is no election. A node sends its heartbeat
to every peer that it knows. Each heartbeat also lists a few live peers, so that
a node that knows one gateway finds the others. Of other regions, a node mostly hears
through the reports of two gateways of each data centre.
"""

import asyncio
import zlib
from collections.abc import Callable, Iterable, Mapping
from functools import lru_cache
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
# often, and the links cost more. Two nodes of a data centre report to them which of
# its gateways are alive, and the first one also the loads of all of them. So the
# messages between regions grow with the number of gateways and not with its square.
REPORT_INTERVAL_HEARTBEATS = 4
SECOND_REPORT_INTERVAL_HEARTBEATS = 8
# The other nodes tell them directly of themselves, in case no reporter reaches them.
DIRECT_INTERVAL_HEARTBEATS = 64
REPORTERS_PER_DATA_CENTRE = 2
# A report lists the gateways heard within the first time, and counts for the second
# one. Both and the interval of reports add up to the time-out of remote peers, so that
# a silent gateway does not stay live for longer than without reports.
REPORTED_AS_LIVE_SECONDS = 1.0
REPORT_LIFETIME_SECONDS = 2.4
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
    """Another gateway; `info` is None until its first heartbeat arrived.

    `heard_at` is when its last heartbeat arrived, `reported_at` when a reporter of its
    data centre last listed it as alive.
    """

    address: Address
    info: NodeInfo | None = None
    sequence: int = -1
    heard_at: float = float("-inf")
    reported_at: float = float("-inf")
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
        self._peers_by_key: dict[int, Peer] = {}
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
        peer = Peer(address=address, added_at=self._clock.monotonic())
        self._peers[address] = self._peers_by_key[_member_key(address)] = peer
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
        remote_interval = self._remote_interval()
        in_region_data = encode(
            self._heartbeat(now, self._loads.own_loads(), with_loads=True)
        )
        remote_data = encode(self._remote_heartbeat(now, remote_interval))
        for position, peer in enumerate(self._peers.values()):
            interval = self._heartbeat_interval(peer, now, remote_interval)
            if (self._sequence + position) % interval == 0:
                data = in_region_data if self._is_in_region(peer) else remote_data
                self._transport.sendto(data, peer.address)

    def _heartbeat_interval(self, peer: Peer, now: float, remote_interval: int) -> int:
        """Return the interval of a peer: it gets one of that many heartbeats."""
        if now - peer.added_at < PEER_TIMEOUT_SECONDS or self.is_leaving:
            return 1
        if _silence_seconds(peer, now) > REMOTE_PEER_TIMEOUT_SECONDS:
            return SILENT_PEER_INTERVAL_HEARTBEATS
        return 1 if self._is_in_region(peer) else remote_interval

    def _is_in_region(self, peer: Peer) -> bool:
        return peer.info is None or peer.info.region == self.me.region

    def _local_peer_names(self) -> list[str]:
        """Return the names of the other live gateways of this data centre."""
        info = (peer.info for peer in self.live_peers())
        return [f.name for f in info if f.data_centre == self.me.data_centre]

    def _remote_interval(self) -> int:
        """Return the interval for peers of other regions, by this node's rank."""
        members = [*self._local_peer_names(), self.me.name]
        topic = f"report/{self.me.data_centre}"
        reporters = rendezvous_order(key=topic, members=members)[
            :REPORTERS_PER_DATA_CENTRE
        ]
        if self.me.name not in reporters:
            return DIRECT_INTERVAL_HEARTBEATS
        if self.me.name == reporters[0]:
            return REPORT_INTERVAL_HEARTBEATS
        return SECOND_REPORT_INTERVAL_HEARTBEATS

    def _remote_heartbeat(self, now: float, interval: int) -> Heartbeat:
        """Return a heartbeat for other regions, with the reports that are due."""
        is_first_reporter = interval == REPORT_INTERVAL_HEARTBEATS
        loads = self._data_centre_loads(now) if is_first_reporter else {}
        heartbeat = self._heartbeat(now, loads, with_loads=is_first_reporter)
        if interval != DIRECT_INTERVAL_HEARTBEATS:
            heartbeat.live_members = [
                _member_key(peer.address)
                for peer in self.live_peers()
                if peer.info.data_centre == self.me.data_centre
                and now - peer.heard_at <= REPORTED_AS_LIVE_SECONDS
            ]
        return heartbeat

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
        if peer is not None and self._update_peer(peer, heartbeat):
            self._apply_report(heartbeat)
        for known in heartbeat.known:
            self.add_peer((known.host, known.port))

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors: peers are judged by their heartbeats only."""
        log.debug("a datagram could not be delivered", error=repr(exc))

    def _apply_report(self, heartbeat: Heartbeat) -> None:
        """Record the gateways that the sender reports as live in its data centre."""
        now = self._clock.monotonic()
        for key in heartbeat.live_members or ():
            peer = self._peers_by_key.get(key)
            if peer is None or peer.info is None:
                continue
            if peer.info.data_centre == heartbeat.data_centre:
                was_live = self._is_live(peer, now)
                peer.reported_at = now
                self._log_liveness(peer, was_live=was_live, now=now)

    def _update_peer(self, peer: Peer, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return False if a later one arrived before."""
        now = self._clock.monotonic()
        info = peer.info
        incarnation = info.incarnation if info else -1
        if (heartbeat.incarnation, heartbeat.sequence) <= (incarnation, peer.sequence):
            return False
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
        self._log_liveness(peer, was_live=was_live, now=now)
        return True

    def _log_liveness(self, peer: Peer, *, was_live: bool, now: float) -> None:
        if was_live != self._is_live(peer, now):
            log.info(
                "peer liveness changed",
                peer=peer.info.name,
                is_live=not was_live,
                incarnation=peer.info.incarnation,
            )

    def _is_live(self, peer: Peer, now: float) -> bool:
        if peer.info is None or peer.is_leaving:
            return False
        if self._is_in_region(peer):
            return now - peer.heard_at <= PEER_TIMEOUT_SECONDS
        return _silence_seconds(peer, now) <= REMOTE_PEER_TIMEOUT_SECONDS

    def _forget_expired(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            last_sign_of_life = max(peer.heard_at, peer.reported_at, peer.added_at)
            if now - last_sign_of_life > PEER_RETENTION_SECONDS:
                del self._peers[address]
                self._peers_by_key.pop(_member_key(address), None)
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


def _silence_seconds(peer: Peer, now: float) -> float:
    """Return the time without a heartbeat, or 0 while a report lists the peer."""
    if now - peer.reported_at <= REPORT_LIFETIME_SECONDS:
        return 0.0
    return now - peer.heard_at


@lru_cache(maxsize=2 * MAX_PEERS)
def _member_key(address: Address) -> int:
    """Return a key of 31 bits that stands for a gateway in reports."""
    return zlib.crc32(_address_label(address).encode()) >> 1


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
