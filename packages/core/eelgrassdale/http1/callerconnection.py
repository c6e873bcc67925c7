"""A caller's connection to a server: its requests, one after the other."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11
import structlog
from attrs import frozen

from eelgrassdale.http1.callerbudget import ServerShare
from eelgrassdale.http1.callerinput import CallerInput, CallerReader
from eelgrassdale.http1.exchange import Exchange
from eelgrassdale.http1.handlererrors import answer_failed_handler
from eelgrassdale.http1.messages import (
    Headers,
    Request,
    decode_headers,
    encode_headers,
    get_header,
    header_size,
)
from eelgrassdale.http1.parsing import MessageParser
from eelgrassdale.http1.receiving import Receiver
from eelgrassdale.http1.sockets import (
    RESPONSE_UNACKED_TIMEOUT_MS,
    UNACKED_TIMEOUT_MS,
    enable_keepalive,
    has_unread_bytes,
    set_unacked_timeout,
)

# Unsent bytes of a response before `Exchange.write` waits for a slow reader.
WRITE_BUFFER_BYTES = 32_768
# A caller that reads too little for a write to finish in this time is
# disconnected. The limit of unacknowledged bytes is longer.
STALLED_READER_SECONDS = 8.0
# Pipelined bytes after a request that are parsed while it is handled.
READ_AHEAD_BYTES = 16_384
# Time for a caller to read an error before its connection is closed.
LINGER_SECONDS = 0.5
# After this time, callers may send a request again that did not fit.
REFUSED_RETRY_SECONDS = 1
# Memory of a header field beside its bytes, which a request holds as objects.
FIELD_BYTES = 320
# The same of an entry of a list in a header, such as the parts of a prompt, which a
# request holds as up to two strings and in two collections.
LIST_ENTRY_BYTES = 256
# The rest of a response is not cut for a lack of room before this time has passed since
# its request ended, so that an ordinary reader gets it whole.
UNREAD_GRACE_SECONDS = 2.0
# For a caller whose connection is needed at once.
CLOSED_FOR_ROOM = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class CallerLimits:
    """Limits on what a caller sends, in bytes, and how long it takes, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    body_seconds: float = 10.0
    idle_seconds: float = 15.0


Handler = Callable[[Exchange], Awaitable[None]]


class ConnectionOwner(Protocol):
    """The server to which a connection belongs."""

    share: ServerShare
    handler: Handler
    request_id_header: str
    limits: Callable[[], CallerLimits]
    is_draining: bool
    takes_requests: bool
    active_requests: int

    def keeps_connections(self) -> bool:
        """Return whether a connection may be used again after a response."""
        ...


class CallerConnection:
    """Reads the requests of one connection and passes each to the server's handler."""

    def __init__(
        self,
        *,
        server: ConnectionOwner,
        reader: CallerReader,
        protocol: CallerInput,
        transport: asyncio.Transport,
    ) -> None:
        enable_keepalive(transport.get_extra_info("socket"))
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._loop = asyncio.get_running_loop()
        self._server = server
        self._share = server.share
        self._reader = reader
        self._protocol = protocol
        self._receiver = Receiver(reader=reader)
        # Without the reader, whose error would also end the writing of a refusal.
        self._writer = asyncio.StreamWriter(transport, protocol, None, self._loop)
        self._transport = transport
        self.is_idle = True
        self._parser = MessageParser(
            role=h11.SERVER, max_head_bytes=server.limits().header_bytes
        )
        # Of the request that is read or handled.
        self._body = bytearray()
        self._request_bytes = 0
        self._exchange: Exchange | None = None
        self._refusal: _RequestRefused | None = None
        self._is_ending = False
        self._is_closed = False
        self._is_held_back = False
        # As `Member` describes.
        self.charged_bytes = 0
        self.since = self._loop.time()
        self.has_been_answered = False
        self._answered_at = float("-inf")
        protocol.on_received = self._update_charge

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            self._update_charge()
            await self._serve_requests()
        finally:
            self._release_all()

    async def _serve_requests(self) -> None:
        while True:
            exchange = await self._next_exchange()
            if exchange is None:
                await self._flush()
                return
            if self._transport.is_closing():
                # Its caller could not learn what became of the request.
                log.debug("request dropped, as its connection is closed")
                return
            await self._handle(exchange)
            self._on_request_end()
            if not exchange.is_finished or self._parser.our_state is not h11.DONE:
                await self._close_after_response(exchange)
                return
            may_go_on = self._parser.has_bytes_ahead or self._server.keeps_connections()
            if self._parser.their_state is not h11.DONE or not may_go_on:
                await self._close_after_response(exchange)
                return
            self._parser.start_next_cycle()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._receiver.cancel_read()
        self._transport.abort()

    @property
    def can_be_closed(self) -> bool:
        """Whether no handler has a request of it, or only its response is unread."""
        exchange = self._exchange
        return not self._is_closed and (exchange is None or exchange.is_whole)

    def refuse(self) -> None:
        """Drop what was received, and refuse the request that is being read."""
        if not self._held_bytes():
            # What was charged last was sent meanwhile.
            self._share.release_bytes(self)
            return
        if self._has_fresh_response():
            self._share.recharge(self, self._held_bytes())
            return
        if self._exchange is not None or self._is_ending:
            self._close(abort=True)
        elif self._refusal is None:
            self._refusal = _RequestRefused(503, "memory for callers is exhausted")
            self._reader.set_exception(self._refusal)
        self._drop_input()
        self._update_charge()

    def close_for_room(self) -> bool:
        """Close the connection at once; False if that would cut off a request."""
        if self._has_fresh_response():
            return False
        if self.is_idle and self._has_input():
            return False
        is_reading = self._exchange is None and not self._is_ending and not self.is_idle
        if is_reading and not self._transport.get_write_buffer_size():
            self._transport.write(CLOSED_FOR_ROOM)
        self._close(abort=self._transport.get_write_buffer_size() > 0)
        return True

    def _has_fresh_response(self) -> bool:
        """Return whether a handler has ended lately, and its response is unsent."""
        is_unsent = self._transport.get_write_buffer_size() > 0
        elapsed_seconds = self._loop.time() - self._answered_at
        return (
            self._exchange is None
            and is_unsent
            and elapsed_seconds < UNREAD_GRACE_SECONDS
        )

    def hold_back(self) -> None:
        """Receive nothing more until the request that is handled has ended."""
        if not self._is_held_back and not self._transport.is_closing():
            self._is_held_back = True
            self._transport.pause_reading()

    def _close(self, *, abort: bool) -> None:
        """Close the connection, and count it no more."""
        self._receiver.cancel_read()
        self._reader.set_exception(ConnectionAbortedError("closed for a lack of room"))
        if abort:
            self._transport.abort()
        else:
            self._transport.close()
        self._drop_input()
        self._release_all()

    def _release_all(self) -> None:
        self._share.release_bytes(self)
        if not self._is_closed:
            self._is_closed = True
            self._share.release_connection()

    def _drop_input(self) -> None:
        self._protocol.discard()
        self._parser.drop_buffered()
        self._body = bytearray()
        self._request_bytes = 0

    def _held_bytes(self) -> int:
        return (
            self._protocol.unread
            + self._parser.buffered_bytes
            + self._request_bytes
            + self._transport.get_write_buffer_size()
        )

    def _update_charge(self) -> None:
        """Charge what the connection holds, unless that is what is charged."""
        held = self._held_bytes()
        if held != self.charged_bytes and not self._is_closed:
            self._share.charge(self, held)

    def _charge_request(self, size: int) -> None:
        """Charge the request that is being read; raises `_RequestRefused`."""
        self._request_bytes = size
        self._update_charge()
        if self._refusal is not None:
            raise self._refusal

    def _on_request_end(self) -> None:
        self._exchange = None
        self._request_bytes = 0
        self.since = self._answered_at = self._loop.time()
        self.has_been_answered = True
        if self._is_held_back:
            self._is_held_back = False
            self._transport.resume_reading()
        self._update_charge()

    def is_busy(self) -> bool:
        """Return whether a request has arrived, or a response is not yet sent whole."""
        return (
            not self.is_idle
            or self._transport.get_write_buffer_size() > 0
            or self._has_input()
        )

    def _has_input(self) -> bool:
        """Return whether the process or the kernel holds bytes that were not parsed."""
        return self._protocol.unread > 0 or has_unread_bytes(
            self._transport.get_extra_info("socket")
        )

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun."""
        if self.is_idle:
            self._writer.close()

    def pause_reading(self) -> None:
        """Read nothing until `resume_reading`."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read what the caller sends."""
        self._transport.resume_reading()

    def close_if_unused(self) -> None:
        """Close an idle connection, unless a request has reached this machine."""
        if self.is_idle and not self._has_input():
            self._writer.close()

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send status and headers of a response."""
        self._set_unacked_timeout(RESPONSE_UNACKED_TIMEOUT_MS)
        if self._server.is_draining and not get_header(headers, "connection"):
            headers = (*headers, ("connection", "close"))
        await self.send(
            h11.Response(status_code=status, headers=encode_headers(headers))
        )

    async def send(self, event: h11.Event) -> None:
        """Send a part of a response; waits for a slow reader."""
        data = self._parser.send(event)
        if data:
            self._writer.write(data)
        if not self._transport.get_write_buffer_size():
            await self._drain()
            return
        self._update_charge()
        await self._drain()
        self._update_charge()

    def _set_unacked_timeout(self, milliseconds: int) -> None:
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            # The connection may have been lost meanwhile.
            set_unacked_timeout(sock, milliseconds)

    async def _drain(self) -> None:
        try:
            async with asyncio.timeout(STALLED_READER_SECONDS):
                await self._writer.drain()
        except TimeoutError:
            self.abort()
            raise ConnectionAbortedError(
                "caller did not read its response in time"
            ) from None

    async def _next_exchange(self) -> Exchange | None:
        try:
            request = await self._read_request()
        except h11.RemoteProtocolError as exc:
            await self._refuse(exc.error_status_hint, str(exc))
            return None
        except _RequestRefused as exc:
            await self._refuse(exc.status, str(exc))
            return None
        if request is None:
            return None
        self._exchange = Exchange(request=request, connection=self)
        return self._exchange

    async def _read_request(self) -> Request | None:
        limits = self._server.limits()
        head = await self._read_head(limits)
        if head is None:
            return None
        # A caller that asks again has read the last response.
        self._set_unacked_timeout(UNACKED_TIMEOUT_MS)
        headers = decode_headers(head.headers)
        head_bytes = header_size(headers)
        if head_bytes > limits.header_bytes:
            raise _RequestRefused(431, f"headers exceed {limits.header_bytes} bytes")
        declared = get_header(headers, "content-length")
        if declared and int(declared) > limits.body_bytes:
            raise _RequestRefused(413, f"body exceeds {limits.body_bytes} bytes")
        if self._parser.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        head_bytes += FIELD_BYTES * len(headers)
        head_bytes += LIST_ENTRY_BYTES * sum(v.count(",") for _, v in headers)
        self._charge_request(head_bytes)
        return Request(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            headers=headers,
            body=await self._read_body(limits, head_bytes),
        )

    async def _read_head(self, limits: CallerLimits) -> h11.Request | None:
        loop = self._loop
        deadline = loop.time() + limits.idle_seconds
        has_begun = False
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            self.is_idle = not has_begun and not self._parser.has_bytes_ahead
            if not self.is_idle and not has_begun:
                has_begun = True
                self.since = loop.time()
                deadline = self.since + limits.header_seconds
            try:
                await self._receive(timeout=deadline - loop.time())
            except TimeoutError:
                if not has_begun:
                    return None
                raise _RequestRefused(408, "headers not received in time") from None
        if not has_begun:
            self.since = loop.time()
        self.is_idle = False
        return event if isinstance(event, h11.Request) else None

    async def _read_body(self, limits: CallerLimits, head_bytes: int) -> bytes:
        deadline = self._loop.time() + limits.body_seconds
        while True:
            if self._parser.has_many_chunks:
                await self._share.budget.input_turns.wait()
            event = self._parser.next_event()
            if isinstance(event, h11.EndOfMessage):
                if not self._body:
                    return b""
                # A body is copied as it is sent on.
                self._charge_request(head_bytes + 2 * len(self._body))
                body, self._body = bytes(self._body), bytearray()
                return body
            if isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > limits.body_bytes:
                    raise _RequestRefused(
                        413, f"body exceeds {limits.body_bytes} bytes"
                    )
                # These bytes were charged as they were received.
                self._request_bytes = head_bytes + len(self._body)
                if self._parser.has_bytes_ahead:
                    # Other tasks run between two pieces that arrived together.
                    await asyncio.sleep(0)
                if self._refusal is not None:
                    raise self._refusal
                if self._loop.time() > deadline:
                    raise _RequestRefused(408, "body not received in time")
                continue
            try:
                await self._receive(timeout=deadline - self._loop.time())
            except TimeoutError:
                raise _RequestRefused(408, "body not received in time") from None

    async def _receive(self, *, timeout: float) -> None:
        """Pass the next bytes to the parser."""
        data = await self._receiver.receive(timeout=timeout)
        if self._refusal is not None:
            raise self._refusal
        self._protocol.unread -= len(data)
        self._parser.receive_data(data)

    async def _refuse(self, status: int, reason: str) -> None:
        log.info("request refused before it was read", status=status, reason=reason)
        self._drop_input()
        self._update_charge()
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = f"{reason}\n".encode()
        headers = (
            ("content-type", "text/plain"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        )
        if status == 503:
            headers += (("retry-after", str(REFUSED_RETRY_SECONDS)),)
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            await self.send_head(status, headers)
            await self.send(h11.Data(data=body))
            await self.send(h11.EndOfMessage())
            await self._linger()

    async def _handle(self, exchange: Exchange) -> None:
        """Run the handler, and cancel it when the caller closes the connection."""
        if not self._server.takes_requests:
            headers = (("retry-after", str(REFUSED_RETRY_SECONDS)),)
            await exchange.respond(503, headers, b"the server has stopped\n")
            return
        if not self._share.begin_request():
            self._share.budget.refused_requests += 1
            headers = (("retry-after", str(REFUSED_RETRY_SECONDS)),)
            await exchange.respond(503, headers, b"connections are exhausted\n")
            return
        self._protocol.receives_ahead = True
        self._server.active_requests += 1
        task = asyncio.ensure_future(self._server.handler(exchange))
        try:
            await self._wait_for_handler(task)
            if task.done():
                await self._answer_if_failed(exchange, task)
        finally:
            self._server.active_requests -= 1
            self._protocol.receives_ahead = False
            self._share.end_request()
            if not task.done():
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await task

    async def _answer_if_failed(
        self, exchange: Exchange, task: "asyncio.Future[None]"
    ) -> None:
        """Answer a request whose handler ended by an error of its own."""
        exc = asyncio.CancelledError() if task.cancelled() else task.exception()
        if exc is not None:
            await answer_failed_handler(
                exchange,
                exc,
                request_id_header=self._server.request_id_header,
                is_closed=self._transport.is_closing,
            )

    async def _wait_for_handler(self, task: "asyncio.Future[None]") -> None:
        """Wait until the handler ends or the caller closes the connection.

        Bytes of pipelined requests are passed to the parser meanwhile.
        """
        bytes_ahead = 0
        while not task.done() and bytes_ahead < READ_AHEAD_BYTES:
            read = self._receiver.pending_read()
            await asyncio.wait((task, read), return_when=asyncio.FIRST_COMPLETED)
            if not read.done():
                continue
            if task.done() or read.cancelled():
                # `abort` cancels the read; the connection is closed then.
                return
            data = self._receiver.take_result()
            self._protocol.unread -= len(data)
            if not data:
                log.debug("caller closed its connection")
                return
            self._parser.receive_data(data)
            bytes_ahead += len(data)
        await asyncio.wait((task,))

    async def _close_after_response(self, exchange: Exchange) -> None:
        if exchange.is_finished:
            await self._linger()
        else:
            self.abort()

    async def _flush(self) -> None:
        """Wait until the kernel has all bytes, which it delivers after the close."""
        self._transport.set_write_buffer_limits(high=0)
        with contextlib.suppress(OSError):
            await self._drain()

    async def _linger(self) -> None:
        """Wait for a slow reader; read and discard what the caller still sends.

        Closing a socket with unread bytes sends a reset, which may destroy the
        response before the caller has read it.
        """
        self._is_ending = True
        self._drop_input()
        await self._flush()
        self._update_charge()
        with contextlib.suppress(OSError, TimeoutError):
            self._writer.write_eof()
            self._transport.resume_reading()
            async with asyncio.timeout(LINGER_SECONDS):
                await self._protocol.wait_for_end()


class _RequestRefused(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
