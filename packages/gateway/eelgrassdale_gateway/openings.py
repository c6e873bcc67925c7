"""Which backend servers opened a moment ago, in the view of this node.

Answers the moment at which an engine opens after a load while requests wait at
all gateways: each would find it empty and send at once, more than it has slots.
"""

from collections.abc import Collection

# Time until the reports of peers show what they sent to a server that opened.
OPENING_SECONDS = 0.5


class OpeningBook:
    """Remembers since when each backend server takes new work.

    Examples
    --------
    >>> book = OpeningBook()
    >>> book.note(listed=["s"], usable=["s"], now=1.0)
    >>> book.is_new("s", now=1.2), book.is_new("s", now=2.0)
    (True, False)
    >>> book.note(listed=["s"], usable=[], now=3.0)
    >>> book.note(listed=["s"], usable=["s"], now=4.0)
    >>> book.is_new("s", now=4.2)
    True

    """

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def note(
        self, *, listed: Collection[str], usable: Collection[str], now: float
    ) -> None:
        """Note which of the listed backend servers take new work now."""
        for server in listed:
            if server not in usable:
                self._since.pop(server, None)
        for server in usable:
            self._since.setdefault(server, now)

    def forget_others(self, known: Collection[str]) -> None:
        """Forget all backend servers but the known ones."""
        for server in self._since.keys() - known:
            del self._since[server]

    def is_new(self, server: str, *, now: float) -> bool:
        """Return whether a backend server opened less than a moment ago."""
        return now - self._since.get(server, now) < OPENING_SECONDS
