"""Waits for a response that stalls, and for another backend server meanwhile.

A sound server may be silent for a while and go on. So an attempt without progress
ends only once the request has a place at another server. If there is none, or no retry
may be sent, a response that has begun is awaited further: to cut it would serve nobody.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

from eelgrassdale.http1 import ClientConnection
from eelgrassdale_gateway.loads import InFlightRequest
from eelgrassdale_gateway.placement import Placement
from eelgrassdale_gateway.progress import ProgressTimer

# Time until another place is sought again after it was refused.
SEEK_INTERVAL_SECONDS = 0.5
# Time to read what has arrived of a head that is not complete.
PARTIAL_READ_SECONDS = 0.05

T = TypeVar("T")
Place = tuple[Placement, InFlightRequest]


class StallWatch:
    """Reads one response, and seeks another place while it makes no progress.

    Parameters
    ----------
    timer : ProgressTimer
        Tells when the response has stalled.
    seek_place : callable
        Waits for a place at another server, and returns it, or None if it is refused.
        Cancelling it gives back what it took.
    release_place : callable
        Gives back a place that is not needed.
    has_begun : callable
        Returns whether the caller has got the beginning of the response.
    """

    def __init__(
        self,
        *,
        timer: ProgressTimer,
        seek_place: Callable[[], Awaitable[Place | None]],
        release_place: Callable[[Place], None],
        has_begun: Callable[[], bool],
    ) -> None:
        self.timer = timer
        self.place: Place | None = None
        self._seek_place = seek_place
        self._release_place = release_place
        self._has_begun = has_begun
        self._seeking: asyncio.Task[Place | None] | None = None

    async def read(
        self, conn: ClientConnection, read: Callable[[float | None], Awaitable[T]]
    ) -> T:
        """Return the result of `read`, which gets the longest time to wait.

        Raises
        ------
        TimeoutError
            If the response stalls and `place` is another place for the request, or
            there is none and the response has not begun.
        """
        while True:
            timeout = self.timer.remaining_seconds()
            if timeout is None or timeout > 0:
                await self.stop_seeking()
                with contextlib.suppress(TimeoutError):
                    return await read(timeout)
            await self._wait_for_bytes_or_place(conn)
            if self._seeking is not None:
                with contextlib.suppress(TimeoutError):
                    return await read(PARTIAL_READ_SECONDS)

    async def stop_seeking(self) -> None:
        """Give up the search for another place, if there is one."""
        seeking, self._seeking = self._seeking, None
        if seeking is None:
            return
        seeking.cancel()
        await asyncio.wait((seeking,))
        if not seeking.cancelled() and (place := seeking.result()) is not None:
            self._release_place(place)

    async def _wait_for_bytes_or_place(self, conn: ClientConnection) -> None:
        """Return when bytes have arrived, or no place is to be had for the moment."""
        if self._seeking is None:
            self._seeking = asyncio.ensure_future(self._seek_place())
        await asyncio.wait(
            (self._seeking, conn.pending_read()), return_when=asyncio.FIRST_COMPLETED
        )
        if not self._seeking.done():
            return
        self.place = self._seeking.result()
        self._seeking = None
        if self.place is not None or not self._has_begun():
            raise TimeoutError
        self.timer.extend(SEEK_INTERVAL_SECONDS)
