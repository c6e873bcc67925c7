"""Counts of requests by window and client account.

Window k begins k times the length of a window after 1970-01-01 UTC.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

# Older windows are dropped.
KEPT_WINDOWS = 12
# Clocks of other gateways may be ahead by seconds.
MAX_WINDOWS_AHEAD = 3
MAX_ACCOUNTS = 512
# About 10 MB in all; a gateway has as little as 152 MB. A window of which something
# was refused is not reported.
MAX_ENTRIES = 100_000

Counts = Mapping[str, int]
# Name and incarnation.
Sender = tuple[str, int]


def window_at(unix_seconds: float, window_seconds: float) -> int:
    """Return the window in which a time lies.

    Examples
    --------
    >>> window_at(12.0, 5.0), window_at(15.0, 5.0)
    (2, 3)

    """
    return int(unix_seconds // window_seconds)


class OwnCounts:
    """The counts of this process, by the wall clock."""

    def __init__(self, *, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._windows: dict[int, dict[str, int]] = {}
        self.refused_count = 0

    def add(self, account: str, *, unix_seconds: float) -> None:
        """Count a request that begins to run now."""
        window = window_at(unix_seconds, self._window_seconds)
        counts = self._windows.get(window)
        if counts is None:
            counts = self._windows[window] = {}
            self._drop_old()
        count = counts.get(account, 0)
        if not count and len(counts) >= MAX_ACCOUNTS:
            self.refused_count += 1
            return
        counts[account] = count + 1

    def windows(self) -> Mapping[int, Counts]:
        """Return the counts of the newest windows."""
        return self._windows

    def _drop_old(self) -> None:
        # A clock that jumps ahead and back leaves windows of both times.
        for window in sorted(self._windows)[: -KEPT_WINDOWS - MAX_WINDOWS_AHEAD]:
            del self._windows[window]


@frozen(kw_only=True)
class SenderCounts:
    """Cumulative counts of one window as one gateway counted them.

    `counting_since` is in seconds of the sender's wall clock. They are final if they
    were sent after the end of the window.
    """

    sender: Sender
    window: int
    counts: Counts
    counting_since: float
    is_final: bool


@define(kw_only=True)
class _Window:
    counts: dict[Sender, dict[str, int]] = field(factory=dict)
    # The earliest start among the senders, in seconds of the wall clock.
    counting_since: float = float("inf")
    is_incomplete: bool = False


class CountTable:
    """The counts of all gateways, as a candidate has received them.

    Datagrams may be lost, repeated or overtake each other. Counts of a sender only
    grow, so the highest one is the newest.
    """

    def __init__(self) -> None:
        self._windows: dict[int, _Window] = {}
        self._entry_count = 0
        # Names of the senders that counted in a window, also if it was dropped, and
        # of those whose final counts have arrived.
        self._names: dict[int, set[str]] = {}
        self._final_names: dict[int, set[str]] = {}

    def record(self, message: SenderCounts, *, current_window: int) -> None:
        """Apply counts of a sender, unless their window is too far away."""
        ahead = message.window - current_window
        if not -KEPT_WINDOWS <= ahead <= MAX_WINDOWS_AHEAD:
            return
        window = self._windows.get(message.window)
        if window is None:
            window = self._windows[message.window] = _Window()
            self._drop_before(current_window - KEPT_WINDOWS)
        window.counting_since = min(window.counting_since, message.counting_since)
        self._record_sender(message)
        known = window.counts.setdefault(message.sender, {})
        for account, count in message.counts.items():
            if account not in known:
                if len(known) >= MAX_ACCOUNTS or self._entry_count >= MAX_ENTRIES:
                    window.is_incomplete = True
                    continue
                self._entry_count += 1
            known[account] = max(count, known.get(account, 0))

    def total(self, window: int) -> dict[str, int]:
        """Return the sums of a window over all gateways and incarnations."""
        sums: dict[str, int] = {}
        entry = self._windows.get(window)
        for counts in entry.counts.values() if entry else ():
            for account, count in counts.items():
                sums[account] = sums.get(account, 0) + count
        return sums

    def counting_since(self, window: int) -> float:
        """Return since when the earliest sender of a window has counted."""
        entry = self._windows.get(window)
        return entry.counting_since if entry else float("inf")

    def is_incomplete(self, window: int) -> bool:
        """Return whether counts of a window had no room."""
        entry = self._windows.get(window)
        return entry is not None and entry.is_incomplete

    def silent_senders(self, window: int) -> set[str]:
        """Return who counted in a window or the one before, and lacks final counts."""
        names = self._names.get(window, set()) | self._names.get(window - 1, set())
        return names - self._final_names.get(window, set())

    def drop(self, windows: Iterable[int]) -> None:
        """Drop windows whose sums are no longer needed."""
        for window in windows:
            entry = self._windows.pop(window, None)
            if entry is not None:
                self._entry_count -= sum(map(len, entry.counts.values()))

    def _record_sender(self, message: SenderCounts) -> None:
        name = message.sender[0]
        if message.counts:
            self._names.setdefault(message.window, set()).add(name)
        if message.is_final:
            self._final_names.setdefault(message.window, set()).add(name)

    def _drop_before(self, oldest: int) -> None:
        for names in (self._names, self._final_names):
            for window in [window for window in names if window < oldest]:
                del names[window]
        self.drop([window for window in self._windows if window < oldest])
