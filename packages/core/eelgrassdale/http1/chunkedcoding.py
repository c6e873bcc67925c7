"""Decodes bodies in chunked transfer coding (RFC 9112, section 7.1)."""

import enum
import re

import h11
from attrs import define

# Chunk extensions and trailers are dropped; sound senders hardly use them.
MAX_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 16_384
# Chunks decoded at a time. A chunk may hold a single byte of the body.
MAX_CHUNKS_PER_PIECE = 512

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*+(?:;[^\r\n]*+)?\r\n")
_LINE_END = b"\r\n"


class _Part(enum.Enum):
    SIZE_LINE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILER = enum.auto()
    END = enum.auto()


@define(kw_only=True, eq=False)
class ChunkDecoder:
    r"""Decodes one body, piece by piece, at a cost linear in its bytes.

    Examples
    --------
    >>> decoder = ChunkDecoder()
    >>> buffer = bytearray(b"2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\nnext")
    >>> decoder.decode(buffer, limit=100), decoder.is_complete, buffer
    (b'abc', True, bytearray(b'next'))

    """

    _part: _Part = _Part.SIZE_LINE
    # Bytes of the present chunk that are still to come.
    _chunk_bytes_left: int = 0
    _trailer_bytes: int = 0
    # Whether a piece ever ended because of the number of its chunks.
    has_many_chunks: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was decoded."""
        return self._part is _Part.END

    def decode(self, buffer: bytearray, *, limit: int) -> bytes:
        """Take bytes from the front of a buffer; return those of the body.

        At most `limit` bytes are taken, and `MAX_CHUNKS_PER_PIECE` chunks, so that the
        caller can do other work before the next piece. An empty result may mean that
        more bytes are needed, or that the body is complete.

        Raises
        ------
        h11.RemoteProtocolError
            If the coding is malformed, or a line exceeds its limit.
        """
        parts: list[bytes] = []
        position = chunk_count = 0
        while position < limit and chunk_count < MAX_CHUNKS_PER_PIECE:
            is_at_size_line = self._part is _Part.SIZE_LINE
            end = self._decode_part(buffer, position, limit, parts)
            if end is None:
                break
            chunk_count += is_at_size_line
            position = end
        self.has_many_chunks |= chunk_count >= MAX_CHUNKS_PER_PIECE
        del buffer[:position]
        return b"".join(parts)

    def _decode_part(
        self, buffer: bytearray, start: int, limit: int, parts: list[bytes]
    ) -> int | None:
        """Decode one part from `start`; return its end, None if it needs more bytes."""
        match self._part:
            case _Part.SIZE_LINE:
                return self._decode_size_line(buffer, start)
            case _Part.DATA:
                return self._decode_data(buffer, start, limit, parts)
            case _Part.DATA_END:
                return self._decode_data_end(buffer, start)
            case _Part.TRAILER:
                return self._skip_trailer_line(buffer, start)
            case _Part.END:
                return None

    def _decode_size_line(self, buffer: bytearray, start: int) -> int | None:
        line = _SIZE_LINE.match(buffer, start, start + MAX_LINE_BYTES)
        if line is None:
            if buffer.find(b"\n", start, start + MAX_LINE_BYTES) >= 0:
                raise h11.RemoteProtocolError("malformed chunk size")
            _require_short_line(buffer, start)
            return None
        self._chunk_bytes_left = int(line[1], base=16)
        self._part = _Part.DATA if self._chunk_bytes_left else _Part.TRAILER
        return line.end()

    def _decode_data(
        self, buffer: bytearray, start: int, limit: int, parts: list[bytes]
    ) -> int | None:
        end = min(start + self._chunk_bytes_left, len(buffer), limit)
        if end == start:
            return None
        parts.append(bytes(buffer[start:end]))
        self._chunk_bytes_left -= end - start
        if not self._chunk_bytes_left:
            self._part = _Part.DATA_END
        return end

    def _decode_data_end(self, buffer: bytearray, start: int) -> int | None:
        end = bytes(buffer[start : start + len(_LINE_END)])
        if not _LINE_END.startswith(end):
            raise h11.RemoteProtocolError("chunk longer than its size")
        if end != _LINE_END:
            return None
        self._part = _Part.SIZE_LINE
        return start + len(end)

    def _skip_trailer_line(self, buffer: bytearray, start: int) -> int | None:
        end = buffer.find(b"\n", start, start + MAX_LINE_BYTES) + 1
        if not end:
            _require_short_line(buffer, start)
            return None
        self._trailer_bytes += end - start
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise h11.RemoteProtocolError(f"trailers exceed {MAX_TRAILER_BYTES} bytes")
        if not buffer[start:end].strip(b"\r\n"):
            self._part = _Part.END
        return end


def _require_short_line(buffer: bytearray, start: int) -> None:
    if len(buffer) - start >= MAX_LINE_BYTES:
        raise h11.RemoteProtocolError(f"line exceeds {MAX_LINE_BYTES} bytes")
