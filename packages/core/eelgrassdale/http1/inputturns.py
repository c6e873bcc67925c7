"""Lets connections take turns at costly work on requests that are not whole yet."""

import asyncio
from collections import deque


class InputTurns:
    """Lets one waiter go on in each turn of the event loop, in order of arrival.

    Whatever the number of connections with costly input, other tasks then wait for no
    more than one piece of such work in each turn.
    """

    def __init__(self) -> None:
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def wait(self) -> None:
        """Wait for this task's turn."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._schedule()
        await waiter

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._admit_next)

    def _admit_next(self) -> None:
        self._is_scheduled = False
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                break
        if self._waiters:
            self._schedule()
