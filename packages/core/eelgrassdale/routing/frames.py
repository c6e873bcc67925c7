"""Checks that the frames of an attempt form exactly one complete answer."""

from enum import Enum

import xxhash
from attrs import define, field

from eelgrassdale.results import ResultCode

# Longest answer whose text is kept so that another attempt can resume it. A
# longer answer that is interrupted cannot be resumed.
MAX_RESUME_BYTES = 64 * 1024
# Statuses of responses that callers may get.
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599


class FrameVerdict(Enum):
    """How the entry node handles a frame."""

    ACCEPT = "accept"
    DROP = "drop"
    COMPLETE = "complete"
    FAILED = "failed"
    CORRUPT = "corrupt"
    INVALID = "invalid"


@define(kw_only=True)
class AnswerValidator:
    """Offset and digest of the answer received so far, and checks of the next frame.

    Parameters
    ----------
    request_id : str
        Request that the answer belongs to.
    attempt : int
        Attempt that the answer belongs to.
    incarnation : int
        Incarnation of the agent that accepted the attempt.
    offset : int
        Bytes of the answer accepted so far, in this and earlier attempts.
    keep_text : bool
        Whether the text is kept, up to `MAX_RESUME_BYTES`, for resumption.

    Examples
    --------
    >>> validator = AnswerValidator(request_id="r", attempt=1, incarnation=7)
    >>> validator.accept(b"lid")
    >>> validator.offset
    3

    """

    request_id: str
    attempt: int
    incarnation: int
    offset: int = 0
    keep_text: bool = False
    _text: bytearray = field(factory=bytearray)
    _digest: xxhash.xxh3_128 = field(factory=xxhash.xxh3_128)

    def check_frame(self, frame) -> FrameVerdict:
        """Return how to handle a frame, without changing the state.

        Frames of another incarnation, request or attempt, and frames that do
        not start at the current offset, are dropped. A last frame completes the
        answer only if its total length and digest match all accepted bytes. A frame
        whose HTTP status is not one of a final response is invalid.
        """
        if not self._is_next_frame(frame):
            return FrameVerdict.DROP
        if frame.http_status and not _is_final_status(frame.http_status):
            return FrameVerdict.INVALID
        if not frame.is_last:
            return FrameVerdict.ACCEPT if frame.data else FrameVerdict.DROP
        if frame.code != ResultCode.OK:
            return FrameVerdict.FAILED
        return self._judge_last(frame)

    def accept(self, data: bytes) -> None:
        """Append bytes to the answer."""
        self._digest.update(data)
        self.offset += len(data)
        if not self.keep_text:
            return
        self._text += data
        if len(self._text) > MAX_RESUME_BYTES:
            self.keep_text = False
            self._text.clear()

    def text(self) -> bytes | None:
        """Return the accepted bytes, or None if they were not kept."""
        return bytes(self._text) if self.keep_text else None

    def for_next_attempt(self, *, attempt: int, incarnation: int) -> "AnswerValidator":
        """Return a validator for a later attempt that resumes at this offset."""
        return AnswerValidator(
            request_id=self.request_id,
            attempt=attempt,
            incarnation=incarnation,
            offset=self.offset,
            keep_text=self.keep_text,
            text=self._text,
            digest=self._digest.copy(),
        )

    def hexdigest(self) -> str:
        """Return the digest of all accepted bytes."""
        return self._digest.hexdigest()

    def _is_next_frame(self, frame) -> bool:
        return (
            frame.request_id == self.request_id
            and frame.attempt == self.attempt
            and frame.incarnation == self.incarnation
            and frame.offset == self.offset
        )

    def _judge_last(self, frame) -> FrameVerdict:
        data = frame.data or b""
        if frame.total_length != self.offset + len(data):
            return FrameVerdict.CORRUPT
        digest = self._digest.copy()
        digest.update(data)
        if frame.digest != digest.hexdigest():
            return FrameVerdict.CORRUPT
        return FrameVerdict.COMPLETE


def _is_final_status(status: int) -> bool:
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS
