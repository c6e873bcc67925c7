"""A socket's incoming bytes, readable while something else is awaited."""

import asyncio

READ_BYTES = 65_536


class Receiver:
    """Reads a stream with at most one read at a time, which may outlive a wait.

    A task that waits for something else can watch for bytes or the end of the
    connection with `pending`, and the bytes still reach the next `receive`.
    """

    def __init__(self, *, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._read: asyncio.Task[bytes] | None = None

    def pending(self) -> "asyncio.Task[bytes]":
        """Return the read in progress, started if there is none."""
        if self._read is None:
            self._read = asyncio.ensure_future(self._reader.read(READ_BYTES))
        return self._read

    async def receive(self, *, timeout: float | None) -> bytes:
        """Return the next bytes, empty at the end of the stream.

        Raises
        ------
        TimeoutError
            If nothing came for `timeout` seconds.
        OSError
            If the connection was reset.
        """
        if self._read is None:
            # Nothing else watches the stream, and no task is needed.
            async with asyncio.timeout(timeout):
                return await self._reader.read(READ_BYTES)
        read = self._read
        done, _ = await asyncio.wait((read,), timeout=timeout)
        if not done:
            raise TimeoutError
        if self._read is not read:
            raise ConnectionAbortedError("the connection was closed here")
        return self.take()

    def take(self) -> bytes:
        """Return the result of a finished read."""
        read, self._read = self._read, None
        return read.result()

    def stop(self) -> None:
        """Give up the read in progress."""
        if self._read is not None:
            self._read.cancel()
            self._read.add_done_callback(_ignore_result)
            self._read = None


def _ignore_result(read: "asyncio.Task[bytes]") -> None:
    if not read.cancelled():
        read.exception()
