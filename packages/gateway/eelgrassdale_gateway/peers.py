"""Membership, liveness and load reports of gateways, by direct heartbeats.

All nodes have the same role; there is no election. A node sends its heartbeat
to every peer that it knows. Each heartbeat also lists a few live peers, so that
a node that knows one gateway finds the others. Of other regions, a node mostly hears
through the reports of two gateways of each data centre.
"""

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import structlog

from eelgrassdale.clock import Clock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale_gateway.eras import MAX_ERA, START, Position
from eelgrassdale_gateway.loads import Load, LoadTracker
from eelgrassdale_gateway.messages import (
    MAX_INT32,
    AdvisoryNotice,
    DutyNotice,
    Heartbeat,
    KindRevision,
    PeerAddress,
    PromptNotice,
    ServerLoad,
    ServerNotice,
    WaitingCount,
    decode,
    encode,
)
from eelgrassdale_gateway.notices import NoticeRegistry
from eelgrassdale_gateway.peertable import (
    PEER_TIMEOUT_SECONDS,
    REMOTE_PEER_TIMEOUT_SECONDS,
    Address,
    NodeInfo,
    Peer,
    PeerTable,
)
from eelgrassdale_gateway.scaling import Subject, WaitingRequests

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
# A silent peer may return, so it still gets some heartbeats.
SILENT_PEER_INTERVAL_HEARTBEATS = 10
PEERS_PER_HEARTBEAT = 1
log = structlog.get_logger(__name__)


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
        positions: Callable[[], Mapping[str, Position]] = dict,
        on_prompt_notice: Callable[[PromptNotice], None] = lambda _notice: None,
        on_advisory_notice: Callable[[AdvisoryNotice], None] = lambda _notice: None,
        on_duty_notice: Callable[[DutyNotice], None] = lambda _notice: None,
        on_new_process: Callable[[Address], None] = lambda _address: None,
        waiting: WaitingRequests | None = None,
        seed: int | None = None,
    ) -> None:
        self.me = me
        self._positions = positions
        self._on_prompt_notice = on_prompt_notice
        self._on_advisory_notice = on_advisory_notice
        self._on_duty_notice = on_duty_notice
        self._on_new_process = on_new_process
        self.is_leaving = False
        self._clock = clock
        self._address = address
        self._loads = loads
        self._notices = notices
        self._on_notice = on_notice
        self._waiting = waiting or WaitingRequests(
            data_centre=me.data_centre, read_own=dict
        )
        self._rng = Random(seed)
        self.table = PeerTable(
            clock=clock, me=me, address=address, on_forget=self._forget
        )
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Bind the address and send heartbeats from now on."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._address)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport; called by asyncio."""
        self._transport = transport

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

    def _forget(self, name: str) -> None:
        self._loads.remove_peer(name)
        self._waiting.remove_peer(name)

    def addresses(self) -> list[Address]:
        """Return the addresses of all known gateways but this one."""
        return [peer.address for peer in self.table.all()]

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram to a gateway."""
        if self._transport is not None:
            self._transport.sendto(data, address)

    def newest_positions(self) -> dict[str, Position]:
        """Return the position of the newest change of each kind that peers know."""
        newest: dict[str, Position] = {}
        for peer in self.table.live():
            for kind, position in peer.positions.items():
                newest[kind] = max(position, newest.get(kind, START))
        return newest

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each peer whose interval has passed."""
        if self._transport is None:
            return
        now = self._clock.monotonic()
        self._sequence += 1
        self.table.forget_expired()
        remote_interval = self._remote_interval()
        in_region_data = encode(
            self._heartbeat(
                self._loads.own_loads(), with_loads=True, waiting=self._waiting.own()
            )
        )
        remote_data = encode(self._remote_heartbeat(now, remote_interval))
        for position, peer in enumerate(self.table.all()):
            interval = self._heartbeat_interval(peer, now, remote_interval)
            if (self._sequence + position) % interval == 0:
                is_in_region = self.table.is_in_region(peer)
                data = in_region_data if is_in_region else remote_data
                self._transport.sendto(data, peer.address)

    def _heartbeat_interval(self, peer: Peer, now: float, remote_interval: int) -> int:
        """Return the interval of a peer: it gets one of that many heartbeats."""
        if now - peer.added_at < PEER_TIMEOUT_SECONDS or self.is_leaving:
            return 1
        if peer.silence_seconds(now) > REMOTE_PEER_TIMEOUT_SECONDS:
            return SILENT_PEER_INTERVAL_HEARTBEATS
        return 1 if self.table.is_in_region(peer) else remote_interval

    def _local_peer_names(self) -> list[str]:
        """Return the names of the other live gateways of this data centre."""
        return [peer.info.name for peer in self.table.live_in_data_centre()]

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
        waiting = {}
        if is_first_reporter:
            waiting = self._waiting.combined(self._local_peer_names(), now=now)
        heartbeat = self._heartbeat(
            loads, with_loads=is_first_reporter, waiting=waiting
        )
        if interval != DIRECT_INTERVAL_HEARTBEATS:
            heartbeat.live_members = self.table.reported_keys()
        return heartbeat

    def _data_centre_loads(self, now: float) -> Mapping[str, Load]:
        """Return the load of this data centre's gateways at each backend server."""
        return self._loads.combined_loads(self._local_peer_names(), now=now)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a heartbeat or a notice; called by asyncio."""
        message = decode(data)
        try:
            if message is None:
                raise ValueError("no message")
            self._handle_message(message, addr)
        except (AttributeError, TypeError, ValueError) as exc:
            # The decoder sets fields that are missing to None.
            source = f"{addr[0]}:{addr[1]}"
            log.warning("malformed datagram dropped", source=source, error=repr(exc))

    def _handle_message(self, message: Any, addr: Address) -> None:
        if isinstance(message, ServerNotice):
            if self._notices.record(message, now=self._clock.monotonic()):
                self._on_notice()
        elif isinstance(message, PromptNotice):
            self._on_prompt_notice(message)
        elif isinstance(message, AdvisoryNotice):
            self._on_advisory_notice(message)
        elif isinstance(message, DutyNotice):
            self._on_duty_notice(message)
        else:
            self._handle_heartbeat(message, addr)

    def _handle_heartbeat(self, heartbeat: Heartbeat, addr: Address) -> None:
        if not _is_complete(heartbeat):
            # Applied in part, it would make the sums over all peers wrong.
            raise ValueError("incomplete heartbeat")
        self.table.add(addr)
        peer = self.table.get(addr)
        if peer is None:
            return
        is_new_process = peer.incarnation != heartbeat.incarnation
        if self._record_heartbeat(peer, heartbeat):
            if is_new_process:
                self._on_new_process(addr)
            self._record_loads(heartbeat)
            self.table.record_report(
                heartbeat.live_members or (), data_centre=heartbeat.data_centre
            )
        for known in heartbeat.known:
            self.table.add((known.host, known.port))

    def _record_heartbeat(self, peer: Peer, heartbeat: Heartbeat) -> bool:
        return self.table.record_heartbeat(
            peer,
            _node_info(heartbeat),
            sequence=heartbeat.sequence,
            is_leaving=heartbeat.is_leaving,
            positions={
                entry.kind: Position(entry.era or 0, entry.revision)
                for entry in heartbeat.revisions or ()
                if 0 <= (entry.era or 0) <= MAX_ERA
            },
        )

    def _record_loads(self, heartbeat: Heartbeat) -> None:
        loads = {
            load.server: Load(requests=load.requests, tokens=load.tokens)
            for load in heartbeat.loads
        }
        now = self._clock.monotonic()
        self._loads.record_report(heartbeat.name, loads, now=now)
        waiting = {
            Subject(
                service=entry.service_name, data_centre=entry.data_centre
            ): entry.requests
            for entry in heartbeat.waiting or ()
        }
        self._waiting.record_report(heartbeat.name, waiting, now=now)

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors: peers are judged by their heartbeats only."""
        log.debug("a datagram could not be delivered", error=repr(exc))

    def _heartbeat(
        self,
        loads: Mapping[str, Load],
        *,
        with_loads: bool,
        waiting: Mapping[Subject, int],
    ) -> Heartbeat:
        """Return a heartbeat; `with_loads` includes loads and positions."""
        live = self.table.live()
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
                ServerLoad(
                    server=server,
                    requests=load.requests,
                    tokens=min(load.tokens, MAX_INT32),
                )
                for server, load in (loads.items() if with_loads else ())
            ],
            known=[
                PeerAddress(
                    name=peer.info.name, host=peer.address[0], port=peer.address[1]
                )
                for peer in known
            ],
            revisions=[
                KindRevision(
                    kind=kind, revision=position.revision, era=position.era or None
                )
                for kind, position in (self._positions().items() if with_loads else ())
            ],
            waiting=_waiting_counts(waiting) or None,
        )


def _is_complete(heartbeat: Heartbeat) -> bool:
    """Return whether no field is missing that is compared or added up."""
    entries = (
        *((load.server, load.requests, load.tokens) for load in heartbeat.loads),
        *((known.host, known.port) for known in heartbeat.known),
        *((entry.kind, entry.revision) for entry in heartbeat.revisions or ()),
        *(
            (entry.service_name, entry.data_centre, entry.requests)
            for entry in heartbeat.waiting or ()
        ),
    )
    order = (heartbeat.incarnation, heartbeat.sequence)
    return all(None not in fields for fields in (order, *entries))


def _waiting_counts(waiting: Mapping[Subject, int]) -> list[WaitingCount]:
    return [
        WaitingCount(
            service_name=subject.service,
            data_centre=subject.data_centre,
            requests=min(count, MAX_INT32),
        )
        for subject, count in waiting.items()
    ]


def _node_info(heartbeat: Heartbeat) -> NodeInfo:
    return NodeInfo(
        name=heartbeat.name,
        incarnation=heartbeat.incarnation,
        caller_address=(heartbeat.caller_host, heartbeat.caller_port),
        data_centre=heartbeat.data_centre,
        region=heartbeat.region,
    )
