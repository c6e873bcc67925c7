"""Reads a stream in the background while another task is awaited."""

import asyncio

READ_BYTES = 65_536
# Time to take bytes over that the event loop has read already.
LATE_READ_SECONDS = 0.01


class Receiver:
    """Reads a stream with at most one read in progress.

    A caller that awaits something else can also await `pending_read` to learn of
    bytes or of the end of the connection. A read that is still in progress
    afterwards is completed by the next `receive`, so that no bytes are lost.
    """

    def __init__(self, *, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._read: asyncio.Task[bytes] | None = None
        self._is_cancelled = False

    def pending_read(self) -> "asyncio.Task[bytes]":
        """Return the read in progress, started if there is none."""
        if self._read is None:
            self._read = asyncio.ensure_future(self._reader.read(READ_BYTES))
        return self._read

    async def receive(self, *, timeout: float | None) -> bytes:
        """Return the next bytes, empty at the end of the stream.

        Raises
        ------
        TimeoutError
            If no byte arrived for `timeout` seconds.
        OSError
            If the connection was reset, or its reads were cancelled.
        """
        try:
            return await self._receive(timeout)
        except TimeoutError:
            if timeout is None:
                raise
            # If the event loop is late, bytes that came in time are there by now.
            return await self._receive(LATE_READ_SECONDS)

    async def _receive(self, timeout: float | None) -> bytes:
        self._require_open()
        if self._read is None:
            # No read is in progress, so the stream is read without a task.
            async with asyncio.timeout(timeout):
                return await self._reader.read(READ_BYTES)
        read = self._read
        done, _ = await asyncio.wait((read,), timeout=timeout)
        if not done:
            raise TimeoutError
        self._require_open()
        return self.take_result()

    def take_result(self) -> bytes:
        """Return the result of a finished read."""
        read, self._read = self._read, None
        return read.result()

    def cancel_read(self) -> None:
        """Cancel the read in progress, if any, as the connection is closed."""
        self._is_cancelled = True
        if self._read is not None:
            self._read.cancel()
            self._read.add_done_callback(_ignore_result)
            self._read = None

    def _require_open(self) -> None:
        if self._is_cancelled:
            raise ConnectionAbortedError("connection closed by this process")


def _ignore_result(read: "asyncio.Task[bytes]") -> None:
    if not read.cancelled():
        read.exception()
