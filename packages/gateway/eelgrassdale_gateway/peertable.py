"""What a gateway knows of the others: where they are and whether they are alive."""

import zlib
from collections.abc import Callable, Iterable, Mapping
from functools import lru_cache

import structlog
from attrs import define, field, frozen

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.eras import Position
from eelgrassdale_gateway.shares import GatewayGroup

# Time without a heartbeat after which a peer of the same or of another region
# counts as dead. Both cover at least three heartbeats, since a working link does
# not lose three in a row.
PEER_TIMEOUT_SECONDS = 2.0
REMOTE_PEER_TIMEOUT_SECONDS = 4.0
# A report lists the gateways heard within the first time, and counts for the second
# one. Both and the interval of reports add up to the time-out of remote peers, so that
# a silent gateway does not stay live for longer than without reports.
REPORTED_AS_LIVE_SECONDS = 1.0
REPORT_LIFETIME_SECONDS = 2.4
PEER_RETENTION_SECONDS = 30.0
# The list of live peers is read far more often than silence can change it.
LIVE_LIST_SECONDS = 0.05
MAX_PEERS = 1024
# Number of gateways that a node assumes for a while after its start if it knows
# no peer: the smaller deployments have 9.
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
    positions: Mapping[str, Position] = field(factory=dict)

    @property
    def incarnation(self) -> int:
        """Incarnation of the peer's process, -1 while it is unknown."""
        return self.info.incarnation if self.info else -1

    def silence_seconds(self, now: float) -> float:
        """Return the time without a heartbeat, or 0 while a report lists the peer."""
        if now - self.reported_at <= REPORT_LIFETIME_SECONDS:
            return 0.0
        return now - self.heard_at


class PeerTable:
    """The peers of one gateway by address; not thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    me : NodeInfo
        This gateway.
    address : tuple of str and int
        Its peer address.
    on_forget : callable
        Called with the name of a peer that is dropped after a long silence.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        me: NodeInfo,
        address: Address,
        on_forget: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._me = me
        self._address = address
        self._on_forget = on_forget
        self._peers: dict[Address, Peer] = {}
        self._peers_by_key: dict[int, Peer] = {}
        self._started_at = clock.monotonic()
        # None after a peer became live or not by a message.
        self._live: list[Peer] | None = None
        self._live_at = 0.0
        # None after a change of the peers that share limits.
        self._group: GatewayGroup | None = None
        self._assumed_group = self._new_group(
            f"unknown-{number}" for number in range(1, ASSUMED_GATEWAYS)
        )

    def add(self, address: Address) -> None:
        """Add the address of a possible peer, unless `MAX_PEERS` are known."""
        if address == self._address or address in self._peers:
            return
        if len(self._peers) >= MAX_PEERS:
            return
        peer = Peer(address=address, added_at=self._clock.monotonic())
        self._peers[address] = self._peers_by_key[member_key(address)] = peer
        self._group = None

    def get(self, address: Address) -> Peer | None:
        """Return the peer at an address, or None."""
        return self._peers.get(address)

    def all(self) -> Iterable[Peer]:
        """Return all known peers."""
        return self._peers.values()

    def live(self) -> list[Peer]:
        """Return the peers that are alive and not leaving; the list is shared."""
        now = self._clock.monotonic()
        if self._live is None or now - self._live_at > LIVE_LIST_SECONDS:
            self._live_at = now
            self._live = [p for p in self._peers.values() if self._is_live(p, now)]
        return self._live

    def live_in_data_centre(self) -> list[Peer]:
        """Return the live peers of this gateway's data centre."""
        data_centre = self._me.data_centre
        return [peer for peer in self.live() if peer.info.data_centre == data_centre]

    def is_in_region(self, peer: Peer) -> bool:
        """Return whether a peer is in this gateway's region, or may be."""
        return peer.info is None or peer.info.region == self._me.region

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

    def record_heartbeat(
        self,
        peer: Peer,
        info: NodeInfo,
        *,
        sequence: int,
        is_leaving: bool,
        positions: Mapping[str, Position],
    ) -> bool:
        """Apply a heartbeat; return False if a later one arrived before."""
        now = self._clock.monotonic()
        if (info.incarnation, sequence) <= (peer.incarnation, peer.sequence):
            return False
        was_live = self._is_live(peer, now)
        peer.info = info
        peer.sequence = sequence
        peer.heard_at = now
        peer.positions = positions
        if peer.is_leaving != is_leaving:
            peer.is_leaving = is_leaving
            self._group = None
        self._log_liveness(peer, was_live=was_live, now=now)
        return True

    def record_report(self, keys: Iterable[int], *, data_centre: str) -> None:
        """Record that a reporter lists these gateways of its data centre as live."""
        now = self._clock.monotonic()
        for key in keys:
            peer = self._peers_by_key.get(key)
            if peer is None or peer.info is None:
                continue
            if peer.info.data_centre == data_centre:
                was_live = self._is_live(peer, now)
                peer.reported_at = now
                self._log_liveness(peer, was_live=was_live, now=now)

    def reported_keys(self) -> list[int]:
        """Return the keys of the live gateways that this one may report."""
        now = self._clock.monotonic()
        return [
            member_key(peer.address)
            for peer in self.live_in_data_centre()
            if now - peer.heard_at <= REPORTED_AS_LIVE_SECONDS
        ]

    def forget_expired(self) -> None:
        """Drop the peers without a sign of life for a long time."""
        now = self._clock.monotonic()
        for address, peer in list(self._peers.items()):
            last_sign_of_life = max(peer.heard_at, peer.reported_at, peer.added_at)
            if now - last_sign_of_life > PEER_RETENTION_SECONDS:
                del self._peers[address]
                self._peers_by_key.pop(member_key(address), None)
                self._group = self._live = None
                if peer.info is not None:
                    self._on_forget(peer.info.name)

    def _is_live(self, peer: Peer, now: float) -> bool:
        if peer.info is None or peer.is_leaving:
            return False
        if self.is_in_region(peer):
            return now - peer.heard_at <= PEER_TIMEOUT_SECONDS
        return peer.silence_seconds(now) <= REMOTE_PEER_TIMEOUT_SECONDS

    def _log_liveness(self, peer: Peer, *, was_live: bool, now: float) -> None:
        if was_live != self._is_live(peer, now):
            self._live = None
            log.info(
                "peer liveness changed",
                peer=peer.info.name,
                is_live=not was_live,
                incarnation=peer.info.incarnation,
            )

    def _new_group(self, peers: Iterable[str]) -> GatewayGroup:
        me = _address_label(self._address)
        return GatewayGroup(own_name=me, members=frozenset((me, *peers)))


@lru_cache(maxsize=2 * MAX_PEERS)
def member_key(address: Address) -> int:
    """Return a key of 31 bits that stands for a gateway in reports.

    Examples
    --------
    >>> member_key(("10.1.0.40", 7700)) == member_key(("10.1.0.40", 7700)) < 2**31
    True

    """
    return zlib.crc32(_address_label(address).encode()) >> 1


def _address_label(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
