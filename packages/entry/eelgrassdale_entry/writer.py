"""The writer task, which owns the sockets of callers handed over to it."""

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

TICK_INTERVAL_SECONDS = 0.25
# Send buffer of the kernel per caller; without a limit it grows to several
# megabytes.
SEND_BUFFER_BYTES = 64 * 1024
READ_BYTES = 4 * 1024
# Pieces that are written to one caller before the others are served.
PIECES_PER_TURN = 16

NOTHING_PENDING = memoryview(b"")

log = structlog.get_logger(__name__)


@define(kw_only=True, eq=False)
class _CallerConnection:
    sock: socket.socket
    channel: Channel
    last_progress_at: float
    pending: memoryview = NOTHING_PENDING
    release_bytes: int = 0
    events: int = selectors.EVENT_READ


class Writer:
    """Writes channels to non-blocking sockets from one thread.

    Parameters
    ----------
    slow_reader_seconds : float
        A caller is disconnected when its socket accepts no byte for this long while
        bytes wait to be sent.
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
        self._wake_sent = threading.Event()
        self._callers: dict[Channel, _CallerConnection] = {}
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="writer", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close the connections of all callers and stop the thread."""
        self._stopping = True
        self._wake_selector()
        self._thread.join()

    def adopt(self, sock: socket.socket, channel: Channel) -> None:
        """Take ownership of a caller's socket; its channel may already hold bytes."""
        self._inbox.append((sock, channel))
        self._wake_selector()

    def wake(self, channel: Channel) -> None:
        """Schedule a channel that has bytes to write."""
        self._inbox.append((None, channel))
        self._wake_selector()

    def open_callers(self) -> int:
        """Return the number of callers whose responses are not complete."""
        return len(self._callers) + len(self._inbox)

    def _wake_selector(self) -> None:
        if self._wake_sent.is_set():
            return
        self._wake_sent.set()
        with contextlib.suppress(BlockingIOError):
            self._wake_write.send(b"\0")

    def _run(self) -> None:
        next_tick = self._clock.monotonic() + TICK_INTERVAL_SECONDS
        while not self._stopping:
            for key, events in self._selector.select(TICK_INTERVAL_SECONDS):
                self._handle(key.data, events)
            self._process_inbox()
            if self._clock.monotonic() >= next_tick:
                self._disconnect_slow_readers()
                next_tick = self._clock.monotonic() + TICK_INTERVAL_SECONDS
        for caller in list(self._callers.values()):
            self._close_caller(caller)
        self._selector.close()

    def _handle(self, caller: _CallerConnection | None, events: int) -> None:
        if caller is None:
            with contextlib.suppress(BlockingIOError):
                self._wake_read.recv(READ_BYTES)
            return
        if events & selectors.EVENT_READ and not self._is_connected(caller):
            self._disconnect(caller, ResultCode.CALLER_CANCELLED)
        elif events & selectors.EVENT_WRITE:
            self._write(caller)

    def _process_inbox(self) -> None:
        # Cleared before the inbox is read, so that a message added meanwhile wakes the
        # selector again.
        self._wake_sent.clear()
        changed = {}
        while self._inbox:
            sock, channel = self._inbox.popleft()
            if sock is not None:
                self._register_caller(sock, channel)
            changed[channel] = None
        for channel in changed:
            caller = self._callers.get(channel)
            if caller is not None and not caller.events & selectors.EVENT_WRITE:
                self._write(caller)

    def _register_caller(self, sock: socket.socket, channel: Channel) -> None:
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            caller = _CallerConnection(
                sock=sock, channel=channel, last_progress_at=self._clock.monotonic()
            )
            self._selector.register(sock, caller.events, caller)
        except OSError as exc:
            log.info(
                "caller disconnected before the writer took its socket", error=repr(exc)
            )
            sock.close()
            channel.close()
            channel.on_caller_gone(ResultCode.CALLER_CANCELLED)
            return
        self._callers[channel] = caller

    def _is_connected(self, caller: _CallerConnection) -> bool:
        try:
            # Received bytes are pipelined requests. They are discarded, because the
            # connection closes after this response.
            return bool(caller.sock.recv(READ_BYTES))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def _write(self, caller: _CallerConnection) -> None:
        try:
            blocked = self._send_pieces(caller)
        except BlockingIOError:
            blocked = True
        except OSError:
            self._disconnect(caller, ResultCode.CALLER_CANCELLED)
            return
        if not blocked and caller.channel.is_finished():
            self._finish(caller)
            return
        self._update_events(caller, blocked)

    def _send_pieces(self, caller: _CallerConnection) -> bool:
        for _ in range(PIECES_PER_TURN):
            if not caller.pending and not self._refill(caller):
                caller.last_progress_at = self._clock.monotonic()
                return False
            count = caller.sock.send(caller.pending)
            caller.last_progress_at = self._clock.monotonic()
            caller.pending = caller.pending[count:]
            if caller.pending:
                return True
            release_bytes, caller.release_bytes = caller.release_bytes, 0
            caller.channel.release_sent(release_bytes)
        return not caller.channel.is_empty()

    def _refill(self, caller: _CallerConnection) -> bool:
        data, release_bytes = caller.channel.pop_bytes()
        caller.pending = memoryview(data)
        caller.release_bytes = release_bytes
        return bool(data)

    def _update_events(self, caller: _CallerConnection, blocked: bool) -> None:
        events = selectors.EVENT_READ
        if blocked:
            events |= selectors.EVENT_WRITE
        if events != caller.events:
            caller.events = events
            self._selector.modify(caller.sock, events, caller)

    def _disconnect_slow_readers(self) -> None:
        limit = self._clock.monotonic() - self._slow_reader_seconds
        for caller in list(self._callers.values()):
            # The wait for writability shows that a socket is blocked. Pending bytes
            # do not, because a full socket may have accepted the last piece whole.
            is_blocked = caller.events & selectors.EVENT_WRITE
            if is_blocked and caller.last_progress_at < limit:
                self._metrics.count("slow_readers_cut")
                self._reset_on_close(caller.sock)
                self._disconnect(caller, ResultCode.CALLER_TOO_SLOW)

    def _reset_on_close(self, sock: socket.socket) -> None:
        # A reset frees the kernel's send buffer at once; a normal close keeps it for as
        # long as the caller does not read.
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )

    def _disconnect(self, caller: _CallerConnection, code: ResultCode) -> None:
        self._close_caller(caller)
        caller.channel.on_caller_gone(code)

    def _finish(self, caller: _CallerConnection) -> None:
        with contextlib.suppress(OSError):
            caller.sock.shutdown(socket.SHUT_WR)
        self._close_caller(caller)

    def _close_caller(self, caller: _CallerConnection) -> None:
        del self._callers[caller.channel]
        self._selector.unregister(caller.sock)
        caller.sock.close()
        caller.channel.release_sent(caller.release_bytes)
        caller.release_bytes = 0
        caller.channel.close()
