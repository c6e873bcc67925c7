"""Checks that the frames of one attempt form exactly one whole answer."""

from enum import Enum

import xxhash
from attrs import define, field

from eelgrassdale.results import ResultCode

# Longest answer that is kept for a resumption; a longer one breaks instead.
RESUME_BYTES = 64 * 1024


class FrameVerdict(Enum):
    """What the entry node does with a frame."""

    ACCEPT = "accept"
    DROP = "drop"
    COMPLETE = "complete"
    FAILED = "failed"
    CORRUPT = "corrupt"


@define(kw_only=True)
class AnswerReader:
    """Position and digest of the answer that one attempt has delivered so far.

    Parameters
    ----------
    request_id : str
        Request that the answer belongs to.
    attempt : int
        Attempt that the answer belongs to.
    incarnation : int
        Life of the agent that accepted the attempt.
    offset : int
        Bytes of the answer accepted so far, by this and earlier attempts.
    keep_text : bool
        Whether the text is kept, up to `RESUME_BYTES`, for a resumption.

    Examples
    --------
    >>> reader = AnswerReader(request_id="r", attempt=1, incarnation=7)
    >>> reader.accept(b"lid")
    >>> reader.offset
    3

    """

    request_id: str
    attempt: int
    incarnation: int
    offset: int = 0
    keep_text: bool = False
    _text: bytearray = field(factory=bytearray)
    _digest: xxhash.xxh3_128 = field(factory=xxhash.xxh3_128)

    def judge(self, frame) -> FrameVerdict:
        """Return what to do with a frame; the state is not changed.

        A frame of another life, request or attempt and one that does not
        continue at the exact offset is dropped. A last frame completes the
        answer only when its length and digest match everything accepted.
        """
        if not self._belongs(frame):
            return FrameVerdict.DROP
        if not frame.is_last:
            return FrameVerdict.ACCEPT if frame.data else FrameVerdict.DROP
        if frame.code != ResultCode.OK:
            return FrameVerdict.FAILED
        return self._judge_end(frame)

    def accept(self, data: bytes) -> None:
        """Add bytes that continue the answer."""
        self._digest.update(data)
        self.offset += len(data)
        if not self.keep_text:
            return
        self._text += data
        if len(self._text) > RESUME_BYTES:
            self.keep_text = False
            self._text.clear()

    def text(self) -> bytes | None:
        """Return everything accepted, or None when it was not kept."""
        return bytes(self._text) if self.keep_text else None

    def continued(self, *, attempt: int, incarnation: int) -> "AnswerReader":
        """Return a reader of a later attempt that continues at this offset."""
        return AnswerReader(
            request_id=self.request_id,
            attempt=attempt,
            incarnation=incarnation,
            offset=self.offset,
            keep_text=self.keep_text,
            text=self._text,
            digest=self._digest.copy(),
        )

    def hexdigest(self) -> str:
        """Return the digest of everything accepted."""
        return self._digest.hexdigest()

    def _belongs(self, frame) -> bool:
        return (
            frame.request_id == self.request_id
            and frame.attempt == self.attempt
            and frame.incarnation == self.incarnation
            and frame.offset == self.offset
        )

    def _judge_end(self, frame) -> FrameVerdict:
        data = frame.data or b""
        if frame.total_length != self.offset + len(data):
            return FrameVerdict.CORRUPT
        digest = self._digest.copy()
        digest.update(data)
        if frame.digest != digest.hexdigest():
            return FrameVerdict.CORRUPT
        return FrameVerdict.COMPLETE
