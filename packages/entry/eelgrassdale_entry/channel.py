"""The bytes on their way to one caller.

Tasks of the agents add to a channel; the writer task takes from it and owns
the caller's socket.
"""

import threading
from collections.abc import Callable

from eelgrassdale.results import ResultCode
from eelgrassdale_entry.memory import PIECE_BYTES, READER_WINDOW_BYTES, ReaderMemory

# A smaller window is not worth a poll.
MIN_WINDOW_BYTES = READER_WINDOW_BYTES // 4
UTF8_CONTINUATION_MASK = 0xC0
UTF8_CONTINUATION = 0x80


def character_boundary(data: bytes | bytearray, end: int) -> int:
    """Return the largest position up to `end` that splits no character.

    Examples
    --------
    >>> character_boundary("aé".encode(), 2)
    1
    >>> character_boundary("aé".encode(), 3)
    3

    """
    if end >= len(data):
        return _whole_tail(data)
    while end and data[end] & UTF8_CONTINUATION_MASK == UTF8_CONTINUATION:
        end -= 1
    return end


def _whole_tail(data: bytes | bytearray) -> int:
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
    """Bytes held for one caller, with the bound of one reader.

    Parameters
    ----------
    request_id : str
        Request of the caller.
    memory : ReaderMemory
        Counts what all channels hold.
    encode : callable
        Turns an offset and a piece of the answer into what the caller gets.
    on_gone : callable
        Called once with a result code when the caller left or was too slow.
    whole_characters : bool
        Whether pieces must not split a UTF-8 character.
    """

    def __init__(
        self,
        *,
        request_id: str,
        memory: ReaderMemory,
        encode: Callable[[int, bytes], bytes],
        on_gone: Callable[[ResultCode], None],
        whole_characters: bool,
    ) -> None:
        self.request_id = request_id
        self.on_gone = on_gone
        self.wake: Callable[[Channel], None] = _ignore
        self._memory = memory
        self._encode = encode
        self._whole_characters = whole_characters
        self._lock = threading.Lock()
        self.written = 0
        self._head = b""
        self._text = bytearray()
        self._offset = 0
        self._tail: bytes | None = None
        self._closed = False
        self._on_room: Callable[[], None] | None = None

    def reserve(self, on_room: Callable[[], None]) -> int:
        """Reserve and return the bytes this reader may be sent by the agent.

        After a return of 0, `on_room` is called once when half the window of
        this reader is free.
        """
        with self._lock:
            if self._closed or self._tail is not None:
                return 0
            held = len(self._text)
            is_full = held > READER_WINDOW_BYTES - MIN_WINDOW_BYTES
            self._on_room = on_room if is_full else None
        if is_full:
            return 0
        wanted = READER_WINDOW_BYTES - held
        return self._memory.reserve(wanted=wanted, held=held)

    def settle(self, *, reserved: int, received: int) -> None:
        """Turn a reservation into the bytes that `write` will be given."""
        self._memory.settle(reserved=reserved, received=received)

    def held(self) -> int:
        """Return the bytes of the answer that wait for the socket."""
        with self._lock:
            return len(self._text)

    def head(self, data: bytes) -> None:
        """Set the status line and headers, which precede everything."""
        with self._lock:
            self._head += data

    def write(self, data: bytes) -> None:
        """Add bytes that `settle` has counted already."""
        self.written += len(data)
        with self._lock:
            if self._closed or self._tail is not None:
                dropped = len(data)
            else:
                dropped = 0
                self._text += data
        if dropped:
            self._memory.release(dropped)
        self.wake(self)

    def end(self, tail: bytes) -> None:
        """Set the last bytes; the connection closes after them."""
        with self._lock:
            self._tail = tail
        self.wake(self)

    def take(self) -> tuple[bytes, int]:
        """Return the next bytes for the socket and the held bytes they free."""
        with self._lock:
            head, self._head = self._head, b""
            offset, piece = self._take_piece()
            if not piece and self._tail:
                tail, self._tail = self._tail, b""
                return head + tail, 0
        if not piece:
            return head, 0
        data = self._encode(offset, piece)
        self._memory.encoded(len(data) - len(piece))
        return head + data, len(data)

    def take_all(self) -> bytes:
        """Return and free everything held, for an answer sent as a whole."""
        with self._lock:
            data = bytes(self._text)
            self._text.clear()
        self._memory.release(len(data))
        return data

    def drop_text(self) -> None:
        """Free what is held, before an error is written instead."""
        self.take_all()

    def _take_piece(self) -> tuple[int, bytes]:
        end = min(PIECE_BYTES, len(self._text))
        if self._whole_characters:
            end = character_boundary(self._text, end)
        piece = bytes(self._text[:end])
        del self._text[:end]
        offset, self._offset = self._offset, self._offset + end
        return offset, piece

    def is_finished(self) -> bool:
        """Return whether everything including the tail was taken."""
        with self._lock:
            return self._tail == b"" and not self._head and not self._text

    def is_empty(self) -> bool:
        """Return whether nothing waits for the socket."""
        with self._lock:
            return not (self._head or self._text or self._tail)

    def sent(self, count: int) -> None:
        """Free bytes that the socket accepted."""
        if count:
            self._memory.release(count)
        with self._lock:
            on_room = self._on_room
            if on_room is None or len(self._text) > READER_WINDOW_BYTES // 2:
                return
            self._on_room = None
        on_room()

    def close(self) -> None:
        """Drop what is held; later writes are dropped as well."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
            dropped = len(self._text)
            self._text.clear()
            self._head = b""
            self._tail = b""
        self._memory.release(dropped)
        self._memory.close_reader()


def _ignore(_channel: Channel) -> None:
    return None
