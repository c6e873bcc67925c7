"""Tests of answer buffers and of the streams that read them."""

import threading

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale.hashing import digest_of
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.wire import Cursor
from eelgrassdale_agent.answers import (
    MIN_WINDOW_BYTES,
    PIECE_BYTES,
    AnswerBuffer,
    AnswerStatus,
    BufferBudget,
    SpaceStatus,
)
from eelgrassdale_agent.streams import (
    ABANDON_TIMEOUT_SECONDS,
    FINISHED_KEEP_SECONDS,
    UNREAD_KEEP_SECONDS,
    StreamTable,
)

OK = AnswerStatus(code=ResultCode.OK)


class Harness:
    """A stream table with a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.monitor = InvariantMonitor(metrics=Metrics())
        self.budget = BufferBudget(max_bytes=1_000_000, max_answers=4)
        self.abandoned = []
        self.table = StreamTable(
            incarnation=7, clock=self.clock, monitor=self.monitor, max_streams=4
        )

    def answer(self, **values):
        base = {"window_bytes": 8192, "max_bytes": 10**6}
        return AnswerBuffer(
            budget=self.budget, monitor=self.monitor, **{**base, **values}
        )

    def open(self, request_id, answer, *, sender="e1", incarnation=1):
        self.table.open(
            (request_id, 1),
            sender=sender,
            sender_incarnation=incarnation,
            answer=answer,
            on_abandoned=lambda code: self.abandoned.append((request_id, code)),
            on_read=lambda: None,
        )
        return answer

    def poll(self, *cursors, sender="e1", incarnation=1, window=8192):
        return self.table.poll(
            [
                Cursor(request_id=name, attempt=1, offset=at, window_bytes=window)
                for name, at in cursors
            ],
            sender=sender,
            sender_incarnation=incarnation,
            wait_seconds=0.0,
        )


@pytest.fixture
def harness():
    return Harness()


def append_bytes(answer, data, *, epoch=1):
    """Append bytes at the end of an answer; return whether they were accepted."""
    return answer.append(data, epoch=epoch, offset=answer.end)


def test_one_poll_serves_many_cursors(harness):
    for name in ("a", "b", "c"):
        append_bytes(harness.open(name, harness.answer()), name.encode())
    frames = harness.poll(("a", 0), ("b", 0), ("c", 0))
    assert [(f.request_id, f.data) for f in frames] == [
        ("a", b"a"),
        ("b", b"b"),
        ("c", b"c"),
    ]


def test_cursor_frees_the_bytes_before_its_offset(harness):
    answer = harness.open("a", harness.answer())
    append_bytes(answer, b"lid suggestion")
    harness.poll(("a", 4))
    assert (answer.base, harness.budget.held_bytes) == (4, 10)


def test_lost_poll_answer_is_sent_again(harness):
    append_bytes(harness.open("a", harness.answer()), b"lid")
    assert harness.poll(("a", 0))[0].data == harness.poll(("a", 0))[0].data == b"lid"


def test_offset_before_the_buffered_bytes_ends_the_stream(harness):
    append_bytes(harness.open("a", harness.answer()), b"lid")
    harness.poll(("a", 2))
    frame = harness.poll(("a", 0))[0]
    assert (frame.is_last, frame.code) == (True, ResultCode.ANSWER_TRUNCATED)


def test_offset_after_the_end_frees_nothing(harness):
    answer = harness.open("a", harness.answer())
    append_bytes(answer, b"lid")
    harness.poll(("a", 99))
    assert answer.base == 0


def test_last_frame_has_length_and_digest_of_resumed_answer(harness):
    answer = harness.open("a", harness.answer(start=4, prefix=b"lid "))
    append_bytes(answer, b"red")
    answer.finish(OK)
    frame = harness.poll(("a", 4))[0]
    assert (frame.is_last, frame.total_length) == (True, 7)
    assert frame.digest == digest_of(b"lid red")


def test_failed_answer_delivers_its_bytes_before_the_code(harness):
    answer = harness.open("a", harness.answer())
    append_bytes(answer, b"lid")
    answer.finish(AnswerStatus(code=ResultCode.BACKEND_FAILED))
    frame = harness.poll(("a", 0))[0]
    assert (frame.data, frame.code) == (b"lid", ResultCode.BACKEND_FAILED)


def test_late_bytes_of_a_superseded_producer_are_rejected(harness):
    answer = harness.answer()
    append_bytes(answer, b"lid")
    epoch = answer.start_epoch()
    assert not append_bytes(answer, b"late", epoch=1)
    assert append_bytes(answer, b"next", epoch=epoch)
    assert (answer.end, harness.monitor.count) == (7, 0)


def test_bytes_after_the_end_are_rejected(harness):
    answer = harness.answer()
    answer.finish(OK)
    assert not append_bytes(answer, b"late")


def test_gap_in_the_bytes_is_a_violation(harness):
    assert not harness.answer().append(b"x", epoch=1, offset=5)
    assert harness.monitor.count == 1


def test_bytes_of_another_model_version_are_a_violation(harness):
    answer = harness.answer(model_version="v1")
    assert not answer.append(b"x", epoch=1, offset=0, model_version="v2")
    assert (answer.end, harness.monitor.count) == (0, 1)


def test_frame_does_not_split_a_character(harness):
    append_bytes(harness.open("a", harness.answer(is_text=True)), "añb".encode())
    assert harness.poll(("a", 0), window=2)[0].data == b"a"


def test_full_window_stalls_the_producer(harness):
    answer = harness.answer(window_bytes=8192)
    append_bytes(answer, bytes(8192))
    assert answer.wait_for_space(epoch=1, timeout_seconds=0.0) is SpaceStatus.STALLED


def test_retained_answer_never_stalls_and_serves_several_readers(harness):
    answer = harness.answer(is_retained=True)
    append_bytes(answer, bytes(100_000))
    for name, sender in (("a", "e1"), ("b", "e2")):
        harness.open(name, answer, sender=sender)
        harness.poll((name, 50), sender=sender)
    assert answer.wait_for_space(epoch=1, timeout_seconds=0.0) is SpaceStatus.FREE
    assert harness.poll(("b", 0), sender="e2")[0].offset == 0


def test_stopped_readers_stay_within_the_shared_budget(harness):
    answers = [harness.answer(window_bytes=10**6) for _ in range(4)]
    for answer in answers:
        while answer.has_space():
            append_bytes(answer, bytes(PIECE_BYTES))
    assert harness.budget.held_bytes <= harness.budget.max_bytes


def test_full_budget_leaves_each_answer_its_minimum(harness):
    large = harness.answer(window_bytes=10**6)
    while large.has_space():
        append_bytes(large, bytes(PIECE_BYTES))
    other = harness.answer()
    assert other.has_space()
    append_bytes(other, bytes(MIN_WINDOW_BYTES))
    assert not other.has_space()


def test_stream_of_another_entry_node_is_not_served(harness):
    append_bytes(harness.open("a", harness.answer()), b"lid")
    assert harness.poll(("a", 0), sender="e2")[0].code == ResultCode.OUTCOME_UNKNOWN


def test_stream_without_polls_is_abandoned(harness):
    harness.open("a", harness.answer())
    harness.clock.advance(seconds=ABANDON_TIMEOUT_SECONDS + 1)
    harness.table.sweep()
    assert harness.abandoned == [("a", ResultCode.CALLER_CANCELLED)]


def test_stream_of_an_earlier_incarnation_of_the_entry_node_is_abandoned(harness):
    harness.open("a", harness.answer())
    harness.poll(incarnation=2)
    harness.table.sweep()
    assert harness.abandoned == [("a", ResultCode.CALLER_CANCELLED)]


def test_running_stream_without_cursors_is_kept_while_its_entry_node_polls(harness):
    harness.open("a", harness.answer())
    for _ in range(20):
        harness.clock.advance(seconds=ABANDON_TIMEOUT_SECONDS / 2)
        harness.poll()
        harness.table.sweep()
    assert harness.abandoned == []


def test_finished_stream_is_removed_after_its_last_frame(harness):
    harness.open("a", harness.answer()).finish(OK)
    assert harness.poll(("a", 0))[0].is_last
    harness.clock.advance(seconds=FINISHED_KEEP_SECONDS + 1)
    harness.table.sweep()
    assert len(harness.table) == 0


def test_finished_stream_without_cursors_is_removed_after_a_time(harness):
    harness.open("a", harness.answer()).finish(OK)
    harness.clock.advance(seconds=UNREAD_KEEP_SECONDS + 1)
    harness.poll()
    harness.table.sweep()
    assert len(harness.table) == 0


def test_discarded_answer_frees_its_bytes_and_rejects_more(harness):
    answer = harness.answer()
    append_bytes(answer, b"lid")
    answer.discard()
    assert not append_bytes(answer, b"more")
    assert harness.budget.held_bytes == 0


def test_token_wakes_a_waiting_poll(harness):
    answer = harness.open("a", harness.answer())
    frames = []
    cursor = Cursor(request_id="a", attempt=1, offset=0, window_bytes=100)

    def wait():
        frames.extend(
            harness.table.poll(
                [cursor], sender="e1", sender_incarnation=1, wait_seconds=5.0
            )
        )

    waiting = threading.Thread(target=wait)
    waiting.start()
    append_bytes(answer, b"lid")
    waiting.join(10)
    assert [frame.data for frame in frames] == [b"lid"]
