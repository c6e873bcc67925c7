"""Receives the bytes of a caller's connection, and counts those not yet read."""

import asyncio
from collections.abc import Callable

# Bytes received at a time, so that no caller exceeds its share by more.
RECEIVE_BYTES = 32_768
# The same while a request is handled and what follows it has to wait.
RECEIVE_AHEAD_BYTES = 4096
# Received bytes that a reader holds before the connection is not read for a while.
READER_BYTES = 16_384


class CallerReader(asyncio.StreamReader):
    """A stream reader that can drop what it holds."""

    def drop(self) -> None:
        """Drop the bytes that were received and not read."""
        self._buffer = bytearray()


class CallerInput(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Passes received bytes to a reader, through a buffer that connections share.

    Parameters
    ----------
    reader : CallerReader
        Gets the bytes.
    buffer : memoryview
        Of `RECEIVE_BYTES`; used only while bytes are being received.

    Attributes
    ----------
    unread : int
        Bytes that the reader holds; the one who reads them subtracts them.
    receives_ahead : bool
        Whether a request is handled, and few bytes are to be received at a time.
    on_received : callable
        Called after bytes were received.
    """

    def __init__(self, *, reader: CallerReader, buffer: memoryview) -> None:
        super().__init__(reader)
        self.unread = 0
        self.receives_ahead = False
        self.on_received: Callable[[], None] | None = None
        self._reader = reader
        self._buffer = buffer
        self._is_discarding = False
        self._has_ended = False
        self._end_waiter: asyncio.Future[None] | None = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where bytes are received."""
        if self.receives_ahead:
            return self._buffer[:RECEIVE_AHEAD_BYTES]
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes received."""
        if self._is_discarding:
            return
        self.unread += nbytes
        self._reader.feed_data(self._buffer[:nbytes])
        if self.on_received is not None:
            self.on_received()

    def discard(self) -> None:
        """Drop what was received, and all that follows."""
        self._is_discarding = True
        self.unread = 0
        self._reader.drop()

    async def wait_for_end(self) -> None:
        """Wait until the caller closes its side of the connection."""
        if not self._has_ended:
            self._end_waiter = asyncio.get_running_loop().create_future()
            await self._end_waiter

    def eof_received(self) -> bool:
        """Note that the caller closed its side."""
        self._on_end()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self._on_end()
        super().connection_lost(exc)

    def _on_end(self) -> None:
        self._has_ended = True
        if self._end_waiter is not None and not self._end_waiter.done():
            self._end_waiter.set_result(None)
