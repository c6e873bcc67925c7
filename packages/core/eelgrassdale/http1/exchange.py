"""A caller's request together with the response to it."""

from typing import Protocol

import h11

from eelgrassdale.http1.messages import Headers, Request


class ResponseWriter(Protocol):
    """Where an exchange sends its response."""

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        ...

    async def send(self, event: h11.Event) -> None:
        """Send a part of the response; waits for a slow reader."""
        ...

    def abort(self) -> None:
        """Close the connection immediately."""
        ...


class Exchange:
    """One request of a caller and the response to it.

    `respond` sends a whole response; `start`, `write` and `finish` send one in
    parts. If a handler ends without `finish`, the connection is closed, so
    that a partial response never looks complete. `is_whole` is true once all of the
    response is known, so that nothing is left to do but to send it.
    """

    def __init__(self, *, request: Request, connection: ResponseWriter) -> None:
        self.request = request
        self.is_started = False
        self.is_finished = False
        self.is_whole = False
        self._connection = connection

    async def respond(
        self, status: int, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Send a whole response."""
        self.is_whole = True
        length = (("content-length", str(len(body))),)
        await self.start(status, headers + length)
        if body and self.request.method != "HEAD":
            await self.write(body)
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers; without a length, the body is chunked."""
        self.is_started = True
        await self._connection.send_head(status, headers)

    async def write(self, data: bytes) -> None:
        """Send bytes of the body; waits for a slow reader.

        Raises
        ------
        ConnectionAbortedError
            If the caller read too little for the write to finish in time.
        """
        await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the response."""
        await self._connection.send(h11.EndOfMessage())
        self.is_finished = True

    def abort(self) -> None:
        """Close the connection, so that the response is visibly incomplete."""
        self._connection.abort()
