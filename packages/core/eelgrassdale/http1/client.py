"""Client connections to one address, one request at a time on each."""

import asyncio
import socket
import struct

import h11

from eelgrassdale.clock import boottime_seconds
from eelgrassdale.http1.messages import (
    Request,
    ResponseHead,
    decode_headers,
    encode_headers,
)
from eelgrassdale.http1.parsing import MessageParser
from eelgrassdale.http1.receiving import Receiver
from eelgrassdale.http1.sockets import enable_keepalive

Address = tuple[str, int]

MAX_RESPONSE_HEAD_BYTES = 65_536
# Interim responses (1xx) before the response. A server that sends more has failed.
MAX_INTERIM_RESPONSES = 16
RESPONSE_PREFIX = b"HTTP/1."


class ConnectFailed(Exception):
    """No connection was made, so no byte of the request was sent."""


class ExchangeFailed(Exception):
    """The connection failed or sent no valid response; the request may have run."""


class ClientConnection:
    """One connection, used for one request at a time.

    `idle_since` is the time at which it last became reusable, in seconds of
    `boottime_seconds`. `keep_alive_seconds` is the idle time-out that the server
    announced, or None. `is_disconnected` is true once the server ended the connection
    during a response.
    """

    def __init__(
        self,
        *,
        address: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.address = address
        self.idle_since = boottime_seconds()
        self.keep_alive_seconds: float | None = None
        self.request_count = 0
        self.is_disconnected = False
        # First bytes of the response, as far as they have arrived.
        self._response_start = b""
        self._receiver = Receiver(reader=reader)
        self._writer = writer
        self._parser = MessageParser(
            role=h11.CLIENT, max_head_bytes=MAX_RESPONSE_HEAD_BYTES
        )

    async def send(self, req: Request) -> None:
        """Send a whole request.

        Raises
        ------
        ExchangeFailed
            If the connection failed; parts of the request may have arrived.
        """
        self.request_count += 1
        self._response_start = b""
        try:
            headers = encode_headers(req.headers)
            if req.body or req.method not in ("GET", "HEAD", "DELETE"):
                headers.append((b"content-length", str(len(req.body)).encode()))
            data = self._parser.send(
                h11.Request(
                    method=req.method.encode(),
                    target=req.target.encode("latin-1"),
                    headers=headers,
                )
            )
            if req.body:
                data += self._parser.send(h11.Data(data=req.body))
            data += self._parser.send(h11.EndOfMessage())
            self._writer.write(data)
            await self._writer.drain()
        except (OSError, h11.ProtocolError, UnicodeEncodeError) as exc:
            raise ExchangeFailed(f"cannot send to {self.address}: {exc!r}") from exc

    async def head(self, timeout: float | None = None) -> ResponseHead:
        """Return the status and headers of the response.

        It may be called again after a timeout.

        Raises
        ------
        ExchangeFailed
            If the connection closed or sent something else.
        TimeoutError
            If the head was not complete after `timeout` seconds.
        """
        async with asyncio.timeout(timeout):
            await self._require_response_start()
            for _ in range(MAX_INTERIM_RESPONSES + 1):
                event = await self._next()
                if isinstance(event, h11.InformationalResponse):
                    continue
                if not isinstance(event, h11.Response):
                    raise ExchangeFailed(f"{self.address} sent no response: {event!r}")
                head = ResponseHead(
                    status=event.status_code, headers=decode_headers(event.headers)
                )
                self._record_keep_alive(head)
                return head
        raise ExchangeFailed(
            f"{self.address} sent more than {MAX_INTERIM_RESPONSES} interim responses"
        )

    async def chunk(self, timeout: float | None = None) -> bytes | None:
        """Return the next bytes of the body, or None after its end.

        Raises as `head` does; the timeout is that for the next bytes.
        """
        async with asyncio.timeout(timeout):
            event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ExchangeFailed(f"{self.address} ended its response early: {event!r}")

    async def body(self, *, limit: int, timeout: float | None = None) -> bytes:
        """Return the whole body.

        Raises as `head` does, and `ExchangeFailed` for a body of more than
        `limit` bytes.
        """
        parts: list[bytes] = []
        size = 0
        while (part := await self.chunk(timeout=timeout)) is not None:
            size += len(part)
            if size > limit:
                raise ExchangeFailed(
                    f"response of {self.address} exceeds {limit} bytes"
                )
            parts.append(part)
        return b"".join(parts)

    def pending_read(self) -> "asyncio.Future[bytes]":
        """Return a future that is done when bytes or the end have arrived."""
        return self._receiver.pending_read()

    def release(self) -> bool:
        """Prepare the connection for another request; false if that is impossible.

        Bytes after a complete response belong to no request, so a connection
        that received any is not reused.
        """
        parser = self._parser
        if parser.has_bytes_ahead or parser.is_closed:
            return False
        if parser.their_state is not h11.DONE or parser.our_state is not h11.DONE:
            return False
        parser.start_next_cycle()
        self.idle_since = boottime_seconds()
        self._receiver.pending_read()
        return True

    def is_idle(self) -> bool:
        """Return whether an idle connection is open and has received no bytes."""
        return not self._receiver.pending_read().done()

    def is_closed(self) -> bool:
        """Return whether this side closed the connection."""
        return self._writer.is_closing()

    def close(self, *, reset: bool = False) -> None:
        """Close the connection immediately and discard unsent data.

        With `reset`, the operating system also discards what it has not delivered
        yet. Otherwise it goes on sending that after a broken link has healed.
        """
        self._receiver.cancel_read()
        transport = self._writer.transport
        sock = transport.get_extra_info("socket")
        if reset and sock is not None and not transport.is_closing():
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        transport.abort()

    async def _require_response_start(self) -> None:
        """Read until the first bytes show whether they begin a response.

        The parser waits for a whole line, which garbage may never end.
        """
        while len(self._response_start) < len(RESPONSE_PREFIX):
            data = await self._receive()
            self._parser.receive_data(data)
            self._response_start += data[: len(RESPONSE_PREFIX)]
            start = self._response_start[: len(RESPONSE_PREFIX)]
            if not RESPONSE_PREFIX.startswith(start):
                raise ExchangeFailed(f"{self.address} sent no response: {start!r}")
            if not data:
                return

    async def _next(self) -> object:
        try:
            event = self._parser.next_event()
            if isinstance(event, h11.Data) and self._parser.has_bytes_ahead:
                # Other tasks run between two pieces that arrived together.
                await asyncio.sleep(0)
            while event is h11.NEED_DATA:
                self._parser.receive_data(await self._receive())
                event = self._parser.next_event()
        except h11.ProtocolError as exc:
            raise ExchangeFailed(
                f"reading the response of {self.address}: {exc!r}"
            ) from exc
        return event

    async def _receive(self) -> bytes:
        try:
            data = await self._receiver.receive(timeout=None)
        except OSError as exc:
            self.is_disconnected = True
            raise ExchangeFailed(
                f"reading the response of {self.address}: {exc!r}"
            ) from exc
        self.is_disconnected = not data
        return data

    def _record_keep_alive(self, head: ResponseHead) -> None:
        for part in head.header("keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdecimal():
                self.keep_alive_seconds = float(value)


async def connect(address: Address, *, timeout: float) -> ClientConnection:
    """Open a connection.

    Raises
    ------
    ConnectFailed
        If the connection was refused or not established within `timeout`
        seconds.
    """
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as exc:
        raise ConnectFailed(f"{address}: {exc!r}") from exc
    enable_keepalive(writer.get_extra_info("socket"))
    return ClientConnection(address=address, reader=reader, writer=writer)
