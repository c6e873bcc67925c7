"""What agents say of the engines beside them, ahead of the platform's list."""

import asyncio
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from eelgrassdale_gateway.messages import ServerNotice, encode

Address = tuple[str, int]

# The platform's list shows a change after a heartbeat of the backend server;
# until then the notice is repeated, and counts for this time.
VALID_SECONDS = 0.9
REPEAT_SECONDS = 0.25
REPEATS = 12


@frozen(kw_only=True)
class Notice:
    """One engine's state at a moment."""

    is_open: bool
    model: str
    version: int
    order: tuple[int, int]
    at: float


@define
class NoticeBook:
    """The newest notice of each engine's address."""

    _notices: dict[Address, Notice] = field(factory=dict)

    def note(self, message: ServerNotice, *, now: float) -> bool:
        """Take a notice; false if a newer one is known."""
        address = (message.host, message.port)
        order = (message.incarnation, message.sequence)
        known = self._notices.get(address)
        if known is not None and known.order >= order:
            return False
        self._notices[address] = Notice(
            is_open=bool(message.is_open),
            model=message.model or "",
            version=message.version or 0,
            order=order,
            at=now,
        )
        return True

    def is_closed(self, address: Address, *, now: float) -> bool:
        """Return whether the engine said that it takes no new work."""
        notice = self._valid(address, now)
        return notice is not None and not notice.is_open

    def version_at(self, address: Address, model: str, *, now: float) -> int:
        """Return the version that the engine said it holds, 0 if unknown."""
        notice = self._valid(address, now)
        if notice is None or notice.model != model:
            return 0
        return notice.version

    def _valid(self, address: Address, now: float) -> Notice | None:
        notice = self._notices.get(address)
        if notice is None or now - notice.at > VALID_SECONDS:
            return None
        return notice


class NoticeSender:
    """Tells gateways of one engine, at once and repeated for a while.

    Parameters
    ----------
    engine : tuple of str and int
        Address of the engine.
    gateways : callable
        Returns the peer addresses of the gateways.
    send : callable
        Sends one datagram to an address.
    """

    def __init__(
        self,
        *,
        engine: Address,
        incarnation: int,
        gateways: Callable[[], Iterable[Address]],
        send: Callable[[bytes, Address], None],
    ) -> None:
        self._engine = engine
        self._incarnation = incarnation
        self._gateways = gateways
        self._send = send
        self._sequence = 0
        self._state: tuple[bool, str, int] | None = None
        self._left = 0

    def announce(self, is_open: bool, model: str, version: int) -> None:
        """Tell a state; one that was told before is only repeated for longer."""
        state = (is_open, model, version)
        self._left = REPEATS
        if state != self._state:
            self._state = state
            self._send_all()

    async def run(self) -> None:
        """Repeat the last state until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_SECONDS)
            if self._left > 0:
                self._left -= 1
                self._send_all()

    def _send_all(self) -> None:
        is_open, model, version = self._state
        self._sequence += 1
        data = encode(
            ServerNotice(
                host=self._engine[0],
                port=self._engine[1],
                incarnation=self._incarnation,
                sequence=self._sequence,
                is_open=is_open,
                model=model,
                version=version,
            )
        )
        for address in self._gateways():
            self._send(data, address)
