"""Repeated sending of news to all peers, since datagrams may be lost."""

from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import Generic, TypeVar

from attrs import define

SENDS_PER_ITEM = 3
MAX_PENDING_ITEMS = 128

Address = tuple[str, int]
Item = TypeVar("Item")


@define
class _Pending(Generic[Item]):
    item: Item
    sends_left: int = SENDS_PER_ITEM


class Broadcaster(Generic[Item]):
    """Sends each item to all peers several times; the caller sets the pace.

    Parameters
    ----------
    peers : callable
        Returns the addresses of the other gateways.
    send : callable
        Sends a datagram to an address.
    encode : callable
        Returns the datagrams that contain some items.
    max_pending : int, optional
        Bound of the items that are not sent often enough yet; the oldest are dropped.

    Examples
    --------
    >>> sent = []
    >>> broadcaster = Broadcaster(
    ...     peers=lambda: [("10.0.0.2", 7700)],
    ...     send=lambda data, address: sent.append(data),
    ...     encode=lambda items: [item.encode() for item in items],
    ... )
    >>> broadcaster.add("news")
    >>> for _ in range(5):
    ...     broadcaster.send_pending()
    >>> sent
    [b'news', b'news', b'news']

    """

    def __init__(
        self,
        *,
        peers: Callable[[], Collection[Address]],
        send: Callable[[bytes, Address], None],
        encode: Callable[[Iterable[Item]], Iterable[bytes]],
        max_pending: int = MAX_PENDING_ITEMS,
    ) -> None:
        self._peers = peers
        self._send = send
        self._encode = encode
        self._pending: deque[_Pending[Item]] = deque(maxlen=max_pending)

    def add(self, item: Item) -> None:
        """Send an item with each of the next calls of `send_pending`."""
        self._pending.append(_Pending(item))

    def discard(self, is_obsolete: Callable[[Item], bool]) -> None:
        """Drop the items that need not be sent any more."""
        kept = [entry for entry in self._pending if not is_obsolete(entry.item)]
        if len(kept) < len(self._pending):
            self._replace(kept)

    def send_pending(self) -> None:
        """Send the items that were not sent often enough yet to all peers."""
        if not self._pending:
            return
        addresses = self._peers()
        for data in self._encode(entry.item for entry in self._pending):
            for address in addresses:
                self._send(data, address)
        for entry in self._pending:
            entry.sends_left -= 1
        self._replace(entry for entry in self._pending if entry.sends_left > 0)

    def _replace(self, entries: Iterable[_Pending[Item]]) -> None:
        self._pending = deque(entries, maxlen=self._pending.maxlen)
