"""Which gateways are alive, and what they report, by direct heartbeats.

No node is special and none is elected. A node sends its heartbeat to every
peer it knows; each heartbeat also names a few other peers, so that a node that
knows one of them finds the rest.
"""

import asyncio
from collections.abc import Callable, Mapping
from random import Random

import structlog
from attrs import define, field, frozen

from eelgrassdale.clock import Clock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale_gateway.loads import Load, LoadBook
from eelgrassdale_gateway.messages import (
    Heartbeat,
    KindRevision,
    PeerAddress,
    ServerLoad,
    ServerNotice,
    decode,
    encode,
)
from eelgrassdale_gateway.notices import NoticeBook
from eelgrassdale_gateway.shares import Sharers

# Loads must be about as fresh as the time between two requests of a node.
HEARTBEAT_SECONDS = 0.15
# Work goes to other regions less often, and their links cost more. One node of
# a data centre reports there for all; the others only show that they live.
REPORT_EVERY = 4
SIGN_OF_LIFE_EVERY = 8
# Three lost heartbeats in a row do not happen on a link that works.
SILENT_SECONDS = 2.0
FAR_SILENT_SECONDS = 4.0
# A silent peer is still told of this node, more rarely, while it may return.
SILENT_EVERY = 10
FORGET_SECONDS = 30.0
KNOWN_PER_HEARTBEAT = 1
MAX_PEERS = 1024
# Gateways assumed by a node that has just started and heard of nobody: both
# deployments of today have 9.
ASSUMED_GATEWAYS = 9

log = structlog.get_logger(__name__)

Address = tuple[str, int]


@frozen(kw_only=True)
class NodeFacts:
    """What a gateway tells its peers of itself."""

    name: str
    incarnation: int
    caller_address: Address
    data_centre: str
    region: str


@define(kw_only=True)
class Peer:
    """Another gateway; `facts` is None until it was heard."""

    address: Address
    facts: NodeFacts | None = None
    sequence: int = -1
    heard_at: float = float("-inf")
    known_since: float = 0.0
    is_leaving: bool = False
    revisions: Mapping[str, int] = field(factory=dict)


class Peers(asyncio.DatagramProtocol):
    """Sends and receives heartbeats; used from the event loop's thread only."""

    def __init__(
        self,
        *,
        clock: Clock,
        me: NodeFacts,
        address: Address,
        loads: LoadBook,
        notices: NoticeBook,
        on_change: Callable[[], None],
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
        self._on_change = on_change
        self._rng = Random(seed)
        self._peers: dict[Address, Peer] = {}
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._started_at = clock.monotonic()

    async def start(self) -> None:
        """Bind the address and send heartbeats from now on."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._address)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def introduce(self, address: Address) -> None:
        """Add a peer that may be alive."""
        if address == self._address or address in self._peers:
            return
        if len(self._peers) >= MAX_PEERS:
            return
        self._peers[address] = Peer(
            address=address, known_since=self._clock.monotonic()
        )

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            await asyncio.sleep(HEARTBEAT_SECONDS * self._rng.uniform(0.9, 1.1))

    def leave(self) -> None:
        """Tell all peers that this node leaves."""
        self.is_leaving = True
        self.send_heartbeats()

    def live(self) -> list[Peer]:
        """Return the peers that are alive and not leaving."""
        now = self._clock.monotonic()
        return [p for p in self._peers.values() if self._is_live(p, now)]

    def live_nodes(self) -> int:
        """Return the number of live gateways, this one included."""
        return 1 + len(self.live())

    def sharers(self) -> Sharers:
        """Return the gateways among which bounds over all of them are divided.

        Silent peers count until they are forgotten: they may be cut off from
        this node only, and still send.
        """
        members = {
            _label(peer.address) for peer in self._peers.values() if not peer.is_leaving
        }
        if not members and self._clock.monotonic() - self._started_at < FORGET_SECONDS:
            members = {f"unknown-{number}" for number in range(1, ASSUMED_GATEWAYS)}
        me = _label(self._address)
        return Sharers(me=me, members=frozenset(members | {me}))

    def newest_revisions(self) -> dict[str, int]:
        """Return the newest revision of each kind that live peers know."""
        newest: dict[str, int] = {}
        for peer in self.live():
            for kind, revision in peer.revisions.items():
                newest[kind] = max(revision, newest.get(kind, 0))
        return newest

    def send_heartbeats(self) -> None:
        """Send one heartbeat to each peer."""
        if self._transport is None:
            return
        now = self._clock.monotonic()
        self._sequence += 1
        self._forget_old(now)
        is_reporter = self._is_reporter()
        near = encode(self._heartbeat(now, self._loads.own_loads(), is_whole=True))
        far = encode(self._heartbeat(now, self._far_loads(now), is_whole=is_reporter))
        for place, peer in enumerate(self._peers.values()):
            turns = self._turns(peer, now, is_reporter=is_reporter)
            if (self._sequence + place) % turns == 0:
                data = near if self._is_near(peer) else far
                self._transport.sendto(data, peer.address)

    def _turns(self, peer: Peer, now: float, *, is_reporter: bool) -> int:
        """Return of how many heartbeats a peer gets one."""
        if now - peer.known_since < SILENT_SECONDS or self.is_leaving:
            return 1
        if now - peer.heard_at > FAR_SILENT_SECONDS:
            return SILENT_EVERY
        if self._is_near(peer):
            return 1
        return REPORT_EVERY if is_reporter else SIGN_OF_LIFE_EVERY

    def _is_near(self, peer: Peer) -> bool:
        return peer.facts is None or peer.facts.region == self.me.region

    def _names_here(self) -> list[str]:
        """Return the live gateways of this data centre, but for this one."""
        facts = (peer.facts for peer in self.live())
        return [f.name for f in facts if f.data_centre == self.me.data_centre]

    def _is_reporter(self) -> bool:
        """Return whether this node reports its data centre to other regions."""
        members = [*self._names_here(), self.me.name]
        topic = f"report/{self.me.data_centre}"
        return rendezvous_order(topic=topic, members=members)[0] == self.me.name

    def _far_loads(self, now: float) -> Mapping[str, Load]:
        """Return the work of this data centre at each backend server."""
        return self._loads.sum_of(self._names_here(), now=now)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take a heartbeat or a notice."""
        message = decode(data)
        if message is None:
            log.warning("datagram dropped", source=f"{addr[0]}:{addr[1]}")
        elif isinstance(message, ServerNotice):
            if self._notices.note(message, now=self._clock.monotonic()):
                self._on_change()
        else:
            self._take_heartbeat(message, addr)

    def _take_heartbeat(self, heartbeat: Heartbeat, addr: Address) -> None:
        self.introduce(addr)
        peer = self._peers.get(addr)
        if peer is not None:
            self._note(peer, heartbeat)
        for known in heartbeat.known:
            self.introduce((known.host, known.port))

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams; silence is what counts."""
        log.debug("datagram refused", error=repr(exc))

    def _note(self, peer: Peer, heartbeat: Heartbeat) -> None:
        now = self._clock.monotonic()
        facts = peer.facts
        incarnation = facts.incarnation if facts else -1
        if (heartbeat.incarnation, heartbeat.sequence) <= (incarnation, peer.sequence):
            return
        was_live = self._is_live(peer, now)
        peer.facts = _facts_of(heartbeat)
        peer.sequence = heartbeat.sequence
        peer.heard_at = now
        peer.is_leaving = heartbeat.is_leaving
        peer.revisions = {
            entry.kind: entry.revision for entry in heartbeat.revisions or ()
        }
        loads = {
            load.server: Load(requests=load.requests, tokens=load.tokens)
            for load in heartbeat.loads
        }
        self._loads.note_report(peer.facts.name, loads, now=now)
        if was_live != self._is_live(peer, now):
            log.info(
                "peer changed",
                peer=peer.facts.name,
                is_live=not was_live,
                incarnation=heartbeat.incarnation,
            )
        self._on_change()

    def _is_live(self, peer: Peer, now: float) -> bool:
        if peer.facts is None or peer.is_leaving:
            return False
        limit = SILENT_SECONDS if self._is_near(peer) else FAR_SILENT_SECONDS
        return now - peer.heard_at <= limit

    def _forget_old(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            last = max(peer.heard_at, peer.known_since)
            if now - last > FORGET_SECONDS:
                del self._peers[address]
                if peer.facts is not None:
                    self._loads.forget_peer(peer.facts.name)

    def _heartbeat(
        self, now: float, loads: Mapping[str, Load], *, is_whole: bool
    ) -> Heartbeat:
        """Return a heartbeat, or one without loads and revisions."""
        live = [peer for peer in self._peers.values() if self._is_live(peer, now)]
        known = self._rng.sample(live, min(KNOWN_PER_HEARTBEAT, len(live)))
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
                for server, load in (loads.items() if is_whole else ())
            ],
            known=[
                PeerAddress(
                    name=peer.facts.name, host=peer.address[0], port=peer.address[1]
                )
                for peer in known
            ],
            revisions=[
                KindRevision(kind=kind, revision=revision)
                for kind, revision in (self._revisions().items() if is_whole else ())
            ],
        )


def _label(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _facts_of(heartbeat: Heartbeat) -> NodeFacts:
    return NodeFacts(
        name=heartbeat.name,
        incarnation=heartbeat.incarnation,
        caller_address=(heartbeat.caller_host, heartbeat.caller_port),
        data_centre=heartbeat.data_centre,
        region=heartbeat.region,
    )
