"""The writer task: owns the sockets of all callers with streamed answers."""

import collections
import contextlib
import selectors
import socket
import struct
import threading

import structlog
from attrs import define

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import Metrics
from eelgrassdale_entry.channel import Channel

TICK_SECONDS = 0.25
# The kernel's own buffer per caller; unset, it grows to several megabytes.
SEND_BUFFER_BYTES = 64 * 1024
READ_BYTES = 4 * 1024
# Pieces written to one caller before the others get their turn.
PIECES_PER_TURN = 16

NOTHING_PENDING = memoryview(b"")

log = structlog.get_logger(__name__)


@define(kw_only=True, eq=False)
class _Caller:
    sock: socket.socket
    channel: Channel
    progress_at: float
    pending: memoryview = NOTHING_PENDING
    frees: int = 0
    events: int = selectors.EVENT_READ


class Writer:
    """Writes channels to non-blocking sockets from one thread.

    Parameters
    ----------
    slow_reader_seconds : float
        A caller that accepts no byte for this long while some wait is cut.
    """

    def __init__(
        self, *, clock: Clock, metrics: Metrics, slow_reader_seconds: float
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._slow_reader_seconds = slow_reader_seconds
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._inbox: collections.deque = collections.deque()
        self._is_awake = threading.Event()
        self._callers: dict[Channel, _Caller] = {}
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="writer", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close all callers and end the thread."""
        self._stopping = True
        self._notify()
        self._thread.join()

    def adopt(self, sock: socket.socket, channel: Channel) -> None:
        """Take over a caller's socket; its channel may hold bytes already."""
        self._inbox.append((sock, channel))
        self._notify()

    def wake(self, channel: Channel) -> None:
        """Note that a channel has something to write."""
        self._inbox.append((None, channel))
        self._notify()

    def open_callers(self) -> int:
        """Return the number of callers that have not got their whole answer."""
        return len(self._callers) + len(self._inbox)

    def _notify(self) -> None:
        if self._is_awake.is_set():
            return
        self._is_awake.set()
        with contextlib.suppress(BlockingIOError):
            self._wake_write.send(b"\0")

    def _run(self) -> None:
        next_tick = self._clock.monotonic() + TICK_SECONDS
        while not self._stopping:
            for key, events in self._selector.select(TICK_SECONDS):
                self._handle(key.data, events)
            self._empty_inbox()
            if self._clock.monotonic() >= next_tick:
                self._cut_slow_readers()
                next_tick = self._clock.monotonic() + TICK_SECONDS
        for caller in list(self._callers.values()):
            self._drop(caller)
        self._selector.close()

    def _handle(self, caller: _Caller | None, events: int) -> None:
        if caller is None:
            with contextlib.suppress(BlockingIOError):
                self._wake_read.recv(READ_BYTES)
            return
        if events & selectors.EVENT_READ and not self._is_connected(caller):
            self._leave(caller, ResultCode.CALLER_CANCELLED)
        elif events & selectors.EVENT_WRITE:
            self._write(caller)

    def _empty_inbox(self) -> None:
        # Cleared before the inbox is read, so that a message added meanwhile
        # wakes the selector again.
        self._is_awake.clear()
        changed = {}
        while self._inbox:
            sock, channel = self._inbox.popleft()
            if sock is not None:
                self._add(sock, channel)
            changed[channel] = None
        for channel in changed:
            caller = self._callers.get(channel)
            if caller is not None and not caller.events & selectors.EVENT_WRITE:
                self._write(caller)

    def _add(self, sock: socket.socket, channel: Channel) -> None:
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            caller = _Caller(
                sock=sock, channel=channel, progress_at=self._clock.monotonic()
            )
            self._selector.register(sock, caller.events, caller)
        except OSError as exc:
            log.info("caller lost at hand-over", error=repr(exc))
            sock.close()
            channel.close()
            channel.on_gone(ResultCode.CALLER_CANCELLED)
            return
        self._callers[channel] = caller

    def _is_connected(self, caller: _Caller) -> bool:
        try:
            # Bytes after the request are pipelined requests, which a
            # connection that closes after this answer does not serve.
            return bool(caller.sock.recv(READ_BYTES))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def _write(self, caller: _Caller) -> None:
        try:
            blocked = self._send_pieces(caller)
        except BlockingIOError:
            blocked = True
        except OSError:
            self._leave(caller, ResultCode.CALLER_CANCELLED)
            return
        if not blocked and caller.channel.is_finished():
            self._finish(caller)
            return
        self._watch_writable(caller, blocked)

    def _send_pieces(self, caller: _Caller) -> bool:
        for _ in range(PIECES_PER_TURN):
            if not caller.pending and not self._refill(caller):
                caller.progress_at = self._clock.monotonic()
                return False
            count = caller.sock.send(caller.pending)
            caller.progress_at = self._clock.monotonic()
            caller.pending = caller.pending[count:]
            if caller.pending:
                return True
            frees, caller.frees = caller.frees, 0
            caller.channel.sent(frees)
        return not caller.channel.is_empty()

    def _refill(self, caller: _Caller) -> bool:
        data, frees = caller.channel.take()
        caller.pending = memoryview(data)
        caller.frees = frees
        return bool(data)

    def _watch_writable(self, caller: _Caller, blocked: bool) -> None:
        events = selectors.EVENT_READ
        if blocked:
            events |= selectors.EVENT_WRITE
        if events != caller.events:
            caller.events = events
            self._selector.modify(caller.sock, events, caller)

    def _cut_slow_readers(self) -> None:
        limit = self._clock.monotonic() - self._slow_reader_seconds
        for caller in list(self._callers.values()):
            # A full socket may have taken the last piece whole, so it counts
            # that the socket is awaited, not that bytes are pending.
            is_blocked = caller.events & selectors.EVENT_WRITE
            if is_blocked and caller.progress_at < limit:
                self._metrics.count("slow_readers_cut")
                self._reset_on_close(caller.sock)
                self._leave(caller, ResultCode.CALLER_TOO_SLOW)

    def _reset_on_close(self, sock: socket.socket) -> None:
        # A reset frees the kernel's send buffer at once; a normal close keeps
        # it for as long as the caller does not read.
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )

    def _leave(self, caller: _Caller, code: ResultCode) -> None:
        self._drop(caller)
        caller.channel.on_gone(code)

    def _finish(self, caller: _Caller) -> None:
        with contextlib.suppress(OSError):
            caller.sock.shutdown(socket.SHUT_WR)
        self._drop(caller)

    def _drop(self, caller: _Caller) -> None:
        del self._callers[caller.channel]
        self._selector.unregister(caller.sock)
        caller.sock.close()
        caller.channel.sent(caller.frees)
        caller.frees = 0
        caller.channel.close()
