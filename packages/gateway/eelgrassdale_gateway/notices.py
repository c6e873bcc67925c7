"""Notices of agents on the state of their engines.

A notice arrives earlier than the change in the platform's list of backend
servers.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable

from attrs import define, field, frozen

from eelgrassdale_gateway.messages import ServerNotice, encode

Address = tuple[str, int]

# The platform's list shows a change only after the next heartbeat of the backend
# server. Until then the notice is repeated; each one is valid for this time.
NOTICE_TTL_SECONDS = 0.9
REPEAT_INTERVAL_SECONDS = 0.25
REPEAT_COUNT = 12


@frozen(kw_only=True)
class Notice:
    """State of an engine; `sort_key` orders the notices of one engine."""

    is_open: bool
    model: str
    version: int
    sort_key: tuple[int, int]
    received_at: float


@define
class NoticeRegistry:
    """The newest notice of each engine's address."""

    _notices: dict[Address, Notice] = field(factory=dict)

    def record(self, message: ServerNotice, *, now: float) -> bool:
        """Store a notice; return whether it is newer than the known one."""
        address = (message.host, message.port)
        sort_key = (message.incarnation, message.sequence)
        known = self._notices.get(address)
        if known is not None and known.sort_key >= sort_key:
            return False
        self._notices[address] = Notice(
            is_open=bool(message.is_open),
            model=message.model or "",
            version=message.version or 0,
            sort_key=sort_key,
            received_at=now,
        )
        return True

    def is_closed(self, address: Address, *, now: float) -> bool:
        """Return whether a valid notice says that the engine is closed."""
        notice = self._current_notice(address, now)
        return notice is not None and not notice.is_open

    def loaded_version(self, address: Address, model: str, *, now: float) -> int:
        """Return the loaded version by a valid notice of this model, 0 if unknown."""
        notice = self._current_notice(address, now)
        if notice is None or notice.model != model:
            return 0
        return notice.version

    def retain(self, known_addresses: Collection[Address], *, now: float) -> None:
        """Drop the expired notices of engines at all but the known addresses.

        An engine that starts sends notices before the list shows it, so valid ones
        are kept.
        """
        for address in self._notices.keys() - known_addresses:
            if _is_expired(self._notices[address], now):
                del self._notices[address]

    def _current_notice(self, address: Address, now: float) -> Notice | None:
        notice = self._notices.get(address)
        if notice is None or _is_expired(notice, now):
            return None
        return notice


def _is_expired(notice: Notice, now: float) -> bool:
    return now - notice.received_at > NOTICE_TTL_SECONDS


class NoticeSender:
    """Sends the state of one engine to gateways, at once and then repeatedly.

    Parameters
    ----------
    engine_address : tuple of str and int
        Address of the engine.
    gateways : callable
        Returns the peer addresses of the gateways.
    send : callable
        Sends one datagram to an address.
    """

    def __init__(
        self,
        *,
        engine_address: Address,
        incarnation: int,
        gateways: Callable[[], Iterable[Address]],
        send: Callable[[bytes, Address], None],
    ) -> None:
        self._engine_address = engine_address
        self._incarnation = incarnation
        self._gateways = gateways
        self._send = send
        self._sequence = 0
        self._state: tuple[bool, str, int] | None = None
        self._repeats_left = 0

    def announce(self, is_open: bool, model: str, version: int) -> None:
        """Send a state at once; an unchanged one is only repeated for longer."""
        state = (is_open, model, version)
        self._repeats_left = REPEAT_COUNT
        if state != self._state:
            self._state = state
            self._send_all()

    async def run(self) -> None:
        """Repeat the last state `REPEAT_COUNT` times; run until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_SECONDS)
            if self._repeats_left > 0:
                self._repeats_left -= 1
                self._send_all()

    def _send_all(self) -> None:
        is_open, model, version = self._state
        self._sequence += 1
        data = encode(
            ServerNotice(
                host=self._engine_address[0],
                port=self._engine_address[1],
                incarnation=self._incarnation,
                sequence=self._sequence,
                is_open=is_open,
                model=model,
                version=version,
            )
        )
        for address in self._gateways():
            self._send(data, address)
