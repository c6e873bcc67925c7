"""Eras of the platform's store, and positions in it.

After an outage the store may be restored from an older copy of itself. It then begins a
new era, and uses revisions again that had other changes in the era before.
"""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

import structlog

from eelgrassdale.http1 import Headers

MAX_ERA = 2**31
# All nodes notice a new era at nearly the same time. Each spreads its listings over
# this time, which is short against the 2 s in which a draining server has to be left.
RELIST_JITTER_SECONDS = 0.2
# Rewriting own entries is less urgent, and up to 300 gateways do it.
REWRITE_JITTER_SECONDS = 2.0

log = structlog.get_logger(__name__)

# Called with the old and the new era.
EraListener = Callable[[int, int], None]


class Position(NamedTuple):
    """A position in the store's history; positions are ordered by era first.

    Examples
    --------
    >>> Position(1, 7) > Position(0, 90)
    True

    """

    era: int
    revision: int


# Precedes every change of a store.
START = Position(0, 0)


def parse_era(values: Sequence[str]) -> int | None:
    """Return the era that a header's values name, or None without the header.

    Raises
    ------
    ValueError
        If they name no era from 0 to `MAX_ERA`, or several.

    Examples
    --------
    >>> parse_era(["3"]), parse_era([])
    (3, None)

    """
    if not values:
        return None
    text = values[0]
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_ERA))
    if len(set(values)) > 1 or not is_number or int(text) > MAX_ERA:
        raise ValueError(f"not an era: {', '.join(values)[:100]!r}")
    return int(text)


def read_era(headers: Headers, name: str) -> int | None:
    """Return the era in a header, None without it; raises `ValueError`."""
    return parse_era([value for key, value in headers if key == name])


class EraTracker:
    """The newest era of the store that this process knows; not thread-safe.

    It learns from the store and from other gateways. The first era that a process
    learns is no change.

    Examples
    --------
    >>> eras = EraTracker()
    >>> eras.observe(4)
    >>> eras.observe(3)
    >>> eras.era
    4

    """

    def __init__(self) -> None:
        self._era: int | None = None
        self._listeners: list[EraListener] = []

    @property
    def era(self) -> int:
        """The newest known era, 0 while none is known."""
        return self._era or 0

    def subscribe(self, listener: EraListener) -> None:
        """Call a function with the old and the new era after each change."""
        self._listeners.append(listener)

    def observe(self, era: int, revision: int | None = None) -> None:
        """Record an era that the store or a gateway named, with a revision of it."""
        known = self._era
        if known is not None and era <= known:
            return
        self._era = era
        if known is None:
            return
        log.warning(
            "store was restored from an older copy",
            old_era=known,
            new_era=era,
            revision=revision,
        )
        for listener in self._listeners:
            listener(known, era)


def call_with_jitter(seconds: float, callback: Callable[[], None]) -> None:
    """Call a function after a random time of up to `seconds`."""
    # The spread needs no reproducible randomness.
    asyncio.get_running_loop().call_later(Random().uniform(0.0, seconds), callback)
