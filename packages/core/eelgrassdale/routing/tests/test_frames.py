"""Tests that an attempt completes only with the exact bytes of its answer."""

from types import SimpleNamespace

import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.routing.frames import MAX_RESUME_BYTES, AnswerValidator, FrameVerdict

ANSWER = bytes(range(40))


def frame(start, end, *, is_last=False, answer=ANSWER, **changes):
    """Return a frame with the bytes from `start` to before `end` of the answer."""
    fields = {
        "request_id": "r",
        "attempt": 1,
        "incarnation": 7,
        "offset": start,
        "data": answer[start:end],
        "is_last": is_last,
        "total_length": len(answer),
        "digest": xxhash.xxh3_128_hexdigest(answer),
        "code": 0,
        "http_status": 0,
        **changes,
    }
    return SimpleNamespace(**fields)


def validator() -> AnswerValidator:
    """Return a validator that has accepted no bytes yet."""
    return AnswerValidator(request_id="r", attempt=1, incarnation=7, keep_text=True)


FRAMES = st.builds(
    frame,
    st.integers(0, 40),
    st.integers(0, 41),
    is_last=st.booleans(),
    request_id=st.sampled_from(["r", "other"]),
    attempt=st.sampled_from([1, 2]),
    incarnation=st.sampled_from([7, 8]),
    total_length=st.sampled_from([40, 39]),
)


@settings(derandomize=True, max_examples=500)
@given(frames=st.lists(FRAMES, max_size=25))
def test_stale_reordered_and_duplicate_frames_never_change_the_answer(frames):
    state = validator()
    received = b""
    for got in frames:
        verdict = state.check_frame(got)
        if verdict is FrameVerdict.DROP:
            continue
        if verdict is FrameVerdict.CORRUPT:
            break
        state.accept(got.data)
        received += got.data
        assert received == ANSWER[: len(received)]
        if verdict is FrameVerdict.COMPLETE:
            assert received == ANSWER
            break


def test_resumed_attempt_checks_the_digest_of_the_whole_answer():
    state = validator()
    state.accept(ANSWER[:15])
    assert state.text() == ANSWER[:15]
    resumed = state.for_next_attempt(attempt=2, incarnation=9)
    remainder = frame(15, 40, is_last=True, attempt=2, incarnation=9)
    assert state.check_frame(remainder) is FrameVerdict.DROP
    assert resumed.check_frame(remainder) is FrameVerdict.COMPLETE


def test_wrong_length_is_corrupt():
    assert validator().check_frame(frame(0, 40, is_last=True, total_length=41)) is (
        FrameVerdict.CORRUPT
    )


def test_text_of_a_long_answer_is_not_kept():
    state = validator()
    state.accept(bytes(MAX_RESUME_BYTES + 1))
    assert state.text() is None


def test_frame_with_a_status_that_no_caller_may_get_is_invalid():
    for status in (-1, 99, 102, 199, 600, 999):
        got = frame(0, 40, is_last=True, http_status=status)
        assert validator().check_frame(got) is FrameVerdict.INVALID
    for status in (200, 599):
        got = frame(0, 40, is_last=True, http_status=status)
        assert validator().check_frame(got) is FrameVerdict.COMPLETE
