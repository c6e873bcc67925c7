"""Waits for a response that stalls, and for another backend server meanwhile.

A sound server may be silent for a while and go on. So a stream is given up only once
another server has sent its next event: until then both are awaited, and the first one
whose next event is valid is relayed. Without another place, or a retry, the response is
awaited further: to cut it would serve nobody. Another response, which is relayed whole,
is given up for another place.

A continuation may stall as well and be continued itself. The attempt that relays an
event claims the stream: it ends its own continuation, and, through the attempt that it
continues, all that began before it.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

import structlog
from attrs import frozen

from eelgrassdale.http1 import ClientConnection
from eelgrassdale_gateway.loads import InFlightRequest
from eelgrassdale_gateway.outcomes import NotRun, Outcome
from eelgrassdale_gateway.placement import Placement
from eelgrassdale_gateway.progress import ProgressTimer

# Time until another place is sought again after it was refused.
SEEK_INTERVAL_SECONDS = 0.5
# Time to read what has arrived while another place or a continuation is awaited.
PARTIAL_READ_SECONDS = 0.05

log = structlog.get_logger(__name__)

T = TypeVar("T")
Place = tuple[Placement, InFlightRequest]


class ResponseSuperseded(Exception):
    """Another backend server has continued the response."""


@frozen(kw_only=True)
class Alternatives:
    """Functions that find and use another backend server for a request.

    `seek_place` waits for a place at another server, and returns None if it is refused;
    cancelling it gives back what it took. `release_place` gives back a place that is
    not needed. `continue_at` runs an attempt at a place; it calls its second argument
    before it relays a further event.
    """

    seek_place: Callable[[], Awaitable[Place | None]]
    release_place: Callable[[Place], None]
    continue_at: Callable[[Place, Callable[[], None]], Awaitable[Outcome]]


class StallWatch:
    """Reads one response, and turns to another server while it makes no progress.

    `place` is another place that was found and is not used yet.

    Parameters
    ----------
    conn : ClientConnection
        The connection on which the response arrives.
    timer : ProgressTimer
        Tells when the response has stalled.
    alternatives : Alternatives
        How to find and use another server.
    is_stream : bool
        Whether the events of the response are relayed as they arrive.
    supersede_predecessor : callable, optional
        Ends the attempt that this one continues; None if it continues none.
    """

    def __init__(
        self,
        *,
        conn: ClientConnection,
        timer: ProgressTimer,
        alternatives: Alternatives,
        is_stream: bool,
        supersede_predecessor: Callable[[], None] | None = None,
    ) -> None:
        self.timer = timer
        self.place: Place | None = None
        self._conn = conn
        self._alternatives = alternatives
        self._is_stream = is_stream
        self._supersede_predecessor = supersede_predecessor
        self._seeking: asyncio.Task[Place | None] | None = None
        self._continuation: asyncio.Task[Outcome] | None = None
        self._superseded: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    async def read(self, read: Callable[[float | None], Awaitable[T]]) -> T:
        """Return the result of `read`, which gets the longest time to wait.

        Raises
        ------
        TimeoutError
            If a response that is no stream stalls and `place` is another place for
            the request.
        ResponseSuperseded
            If the response stalls and another server has continued it.
        """
        while True:
            self._require_current()
            timeout = self.timer.remaining_seconds()
            # Only `claim` ends a continuation: a head or a comment is no event.
            if self._continuation is None and (timeout is None or timeout > 0):
                await self._stop_seeking()
                with contextlib.suppress(TimeoutError):
                    return await read(timeout)
            if self._seeking is not None or self._continuation is not None:
                # The connection may hold more than it returned before.
                with contextlib.suppress(TimeoutError):
                    return await read(PARTIAL_READ_SECONDS)
            await self._wait_for_bytes_or_task()

    def is_sole_reader(self) -> bool:
        """Return whether this attempt continues none and none has continued it."""
        return self._supersede_predecessor is None and not self._superseded.done()

    def is_contested(self) -> bool:
        """Return whether another attempt may still relay the next event."""
        return self._continuation is not None or self._supersede_predecessor is not None

    async def claim(self) -> None:
        """Make this response the one that is relayed; ends its continuation.

        Raises
        ------
        ResponseSuperseded
            If the continuation is relayed already.
        """
        self._require_current()
        await self._stop_continuation()
        self._supersede_earlier()

    async def wait_for_continuation(self) -> None:
        """Wait until the continuation, if there is one, has failed.

        Raises
        ------
        ResponseSuperseded
            If it has continued the response.
        """
        if self._continuation is not None:
            await asyncio.wait(
                (self._continuation, self._superseded),
                return_when=asyncio.FIRST_COMPLETED,
            )
        self._require_current()

    def take_continuation(self) -> "asyncio.Task[Outcome]":
        """Return the attempt that has continued the response; `stop` leaves it then."""
        continuation, self._continuation = self._continuation, None
        return continuation

    async def stop(self) -> None:
        """End the search for another place, and the continuation."""
        await self._stop_seeking()
        await self._stop_continuation()

    async def _wait_for_bytes_or_task(self) -> None:
        """Return when bytes have arrived, or a search or a continuation has ended."""
        if self._seeking is None and self._continuation is None:
            self._seeking = asyncio.ensure_future(self._alternatives.seek_place())
        task = self._seeking or self._continuation
        await asyncio.wait(
            (task, self._superseded, self._conn.pending_read()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._require_current()
        if not task.done():
            return
        if task is self._seeking:
            self._end_search(self._seeking)
        else:
            self._end_continuation(self._continuation)

    def _end_search(self, seeking: "asyncio.Task[Place | None]") -> None:
        self._seeking = None
        self.place = _result_of(seeking)
        if self.place is None:
            self.timer.extend(SEEK_INTERVAL_SECONDS)
        elif not self._is_stream:
            raise TimeoutError
        else:
            self._continuation = asyncio.ensure_future(self._continue())

    def _end_continuation(self, continuation: "asyncio.Task[Outcome]") -> None:
        """Wait for the response itself again, as the continuation has failed."""
        self._continuation = None
        if not isinstance(_result_of(continuation), NotRun):
            self.timer.extend(SEEK_INTERVAL_SECONDS)

    async def _continue(self) -> Outcome:
        place, self.place = self.place, None
        return await self._alternatives.continue_at(place, self._supersede)

    def _supersede(self) -> None:
        if self._superseded.done():
            return
        self._superseded.set_result(None)
        self._conn.close(reset=True)
        self._supersede_earlier()

    def _supersede_earlier(self) -> None:
        supersede, self._supersede_predecessor = self._supersede_predecessor, None
        if supersede is not None:
            supersede()

    def _require_current(self) -> None:
        if self._superseded.done():
            raise ResponseSuperseded

    async def _stop_seeking(self) -> None:
        seeking, self._seeking = self._seeking, None
        if seeking is None:
            return
        seeking.add_done_callback(self._release_found)
        seeking.cancel()
        await asyncio.wait((seeking,))

    async def _stop_continuation(self) -> None:
        continuation, self._continuation = self._continuation, None
        if continuation is None:
            return
        continuation.add_done_callback(self._end_stopped)
        continuation.cancel()
        await asyncio.wait((continuation,))

    def _release_found(self, seeking: "asyncio.Task[Place | None]") -> None:
        place = _result_of(seeking)
        if place is not None:
            self._alternatives.release_place(place)

    def _end_stopped(self, continuation: "asyncio.Task[Outcome]") -> None:
        _result_of(continuation)
        if self.place is not None:
            # It was cancelled before it began.
            place, self.place = self.place, None
            self._alternatives.release_place(place)


def _result_of(task: "asyncio.Task[T]") -> T | None:
    """Return the result of a task, or None if it was cancelled or failed.

    An error of a second attempt must not end the first one, so it is only logged.
    """
    if task.cancelled():
        return None
    if (exc := task.exception()) is not None:
        log.error("search or continuation failed", exc_info=exc)
        return None
    return task.result()
