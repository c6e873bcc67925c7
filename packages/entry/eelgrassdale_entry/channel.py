"""Bounded buffer between the polls of the agents and the socket of one caller.

The poll tasks add bytes to a channel. The writer task, which owns the caller's
socket, removes and sends them.
"""

import threading
from collections.abc import Callable

from eelgrassdale.results import ResultCode
from eelgrassdale_entry.readermemory import (
    MAX_PIECE_BYTES,
    READER_WINDOW_BYTES,
    ReaderMemoryBudget,
)

# With less free space than this, a reader asks for no data: so small a window is
# not worth a poll.
MIN_WINDOW_BYTES = READER_WINDOW_BYTES // 4
UTF8_CONTINUATION_MASK = 0xC0
UTF8_CONTINUATION = 0x80


def character_boundary(data: bytes | bytearray, end: int) -> int:
    """Return the largest position up to `end` that splits no UTF-8 character.

    Examples
    --------
    >>> character_boundary("aé".encode(), 2)
    1
    >>> character_boundary("aé".encode(), 3)
    3

    """
    if end >= len(data):
        return _complete_length(data)
    while end and data[end] & UTF8_CONTINUATION_MASK == UTF8_CONTINUATION:
        end -= 1
    return end


def _complete_length(data: bytes | bytearray) -> int:
    end = len(data)
    start = end
    while start and data[start - 1] & UTF8_CONTINUATION_MASK == UTF8_CONTINUATION:
        start -= 1
    if not start or end - start > 3:
        return end
    lead = data[start - 1]
    length = 1 if lead < 0xC0 else 2 if lead < 0xE0 else 3 if lead < 0xF0 else 4
    return end if end - start + 1 >= length else start - 1


class Channel:
    """Bytes of a response that wait for the socket of one caller.

    At most `READER_WINDOW_BYTES` of the body are held or requested at a time.

    Parameters
    ----------
    request_id : str
        ID of the caller's request.
    memory : ReaderMemoryBudget
        Budget that all channels share.
    encode : callable
        Encodes a piece of the body at an offset for the caller.
    on_caller_gone : callable
        Called with a result code when the caller disconnected or was too slow.
    whole_characters : bool
        Whether pieces must not split a UTF-8 character.
    """

    def __init__(
        self,
        *,
        request_id: str,
        memory: ReaderMemoryBudget,
        encode: Callable[[int, bytes], bytes],
        on_caller_gone: Callable[[ResultCode], None],
        whole_characters: bool,
    ) -> None:
        self.request_id = request_id
        self.on_caller_gone = on_caller_gone
        self.wake: Callable[[Channel], None] = _ignore_wake
        self._memory = memory
        self._encode = encode
        self._whole_characters = whole_characters
        self._lock = threading.Lock()
        self.written_bytes = 0
        self._head = b""
        self._body = bytearray()
        self._offset = 0
        self._tail: bytes | None = None
        self._closed = False
        self._on_window_free: Callable[[], None] | None = None

    def reserve(self, on_window_free: Callable[[], None]) -> int:
        """Reserve and return the bytes that the agent may send for this reader.

        When the reader's window is too full, 0 is returned, and `on_window_free` is
        called once as soon as half of the window is free.
        """
        with self._lock:
            if self._closed or self._tail is not None:
                return 0
            held = len(self._body)
            is_full = held > READER_WINDOW_BYTES - MIN_WINDOW_BYTES
            self._on_window_free = on_window_free if is_full else None
        if is_full:
            return 0
        wanted = READER_WINDOW_BYTES - held
        return self._memory.reserve(wanted=wanted, held=held)

    def settle(self, *, reserved: int, received: int) -> None:
        """Replace a reservation by the bytes received, which `write` then adds."""
        self._memory.settle(reserved=reserved, received=received)

    def held_bytes(self) -> int:
        """Return the number of body bytes that wait for the socket."""
        with self._lock:
            return len(self._body)

    def add_head(self, data: bytes) -> None:
        """Add the status line and headers, which are sent before the body."""
        with self._lock:
            self._head += data

    def write(self, data: bytes) -> None:
        """Add body bytes, which `settle` has counted already."""
        self.written_bytes += len(data)
        with self._lock:
            if self._closed or self._tail is not None:
                dropped = len(data)
            else:
                dropped = 0
                self._body += data
        if dropped:
            self._memory.release(dropped)
        self.wake(self)

    def end(self, tail: bytes) -> None:
        """Set the bytes after the body; the connection closes after them."""
        with self._lock:
            self._tail = tail
        self.wake(self)

    def pop_bytes(self) -> tuple[bytes, int]:
        """Remove the next bytes to send; return them and how many to release then."""
        with self._lock:
            head, self._head = self._head, b""
            offset, piece = self._pop_piece()
            if not piece and self._tail:
                tail, self._tail = self._tail, b""
                return head + tail, 0
        if not piece:
            return head, 0
        data = self._encode(offset, piece)
        self._memory.add_encoding_overhead(len(data) - len(piece))
        return head + data, len(data)

    def pop_body(self) -> bytes:
        """Remove and release the whole body, to send it in one response."""
        with self._lock:
            data = bytes(self._body)
            self._body.clear()
        self._memory.release(len(data))
        return data

    def discard_body(self) -> None:
        """Discard the body, before an error response is written instead."""
        self.pop_body()

    def _pop_piece(self) -> tuple[int, bytes]:
        end = min(MAX_PIECE_BYTES, len(self._body))
        if self._whole_characters:
            end = character_boundary(self._body, end)
        piece = bytes(self._body[:end])
        del self._body[:end]
        offset, self._offset = self._offset, self._offset + end
        return offset, piece

    def is_finished(self) -> bool:
        """Return whether everything including the tail was removed for sending."""
        with self._lock:
            return self._tail == b"" and not self._head and not self._body

    def is_empty(self) -> bool:
        """Return whether nothing waits for the socket."""
        with self._lock:
            return not (self._head or self._body or self._tail)

    def release_sent(self, count: int) -> None:
        """Release bytes that the socket accepted, and report a free window."""
        if count:
            self._memory.release(count)
        with self._lock:
            on_window_free = self._on_window_free
            if on_window_free is None or len(self._body) > READER_WINDOW_BYTES // 2:
                return
            self._on_window_free = None
        on_window_free()

    def close(self) -> None:
        """Discard the held bytes; later writes are discarded as well."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
            dropped = len(self._body)
            self._body.clear()
            self._head = b""
            self._tail = b""
        self._memory.release(dropped)
        self._memory.close_reader()


def _ignore_wake(_channel: Channel) -> None:
    return None
