"""Tests of answers and of the streams that read them."""

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
    Answer,
    BufferBudget,
    Finish,
    Space,
)
from eelgrassdale_agent.streams import (
    ABANDON_SECONDS,
    FINISHED_KEEP_SECONDS,
    UNREAD_KEEP_SECONDS,
    StreamTable,
)

OK = Finish(code=ResultCode.OK)


class Bench:
    """A stream table with a clock that the test moves."""

    def __init__(self):
        self.clock = ManualClock()
        self.monitor = InvariantMonitor(metrics=Metrics())
        self.budget = BufferBudget(max_bytes=1_000_000, max_answers=4)
        self.gone = []
        self.table = StreamTable(
            incarnation=7, clock=self.clock, monitor=self.monitor, max_streams=4
        )

    def answer(self, **values):
        base = {"window_bytes": 8192, "max_bytes": 10**6}
        return Answer(budget=self.budget, monitor=self.monitor, **{**base, **values})

    def open(self, request_id, answer, *, sender="e1", incarnation=1):
        self.table.open(
            (request_id, 1),
            sender=sender,
            sender_incarnation=incarnation,
            answer=answer,
            on_abandoned=lambda code: self.gone.append((request_id, code)),
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
def bench():
    return Bench()


def put(answer, data, *, epoch=1):
    """Append bytes at the end of an answer."""
    return answer.append(data, epoch=epoch, offset=answer.end)


def test_one_poll_serves_many_cursors(bench):
    for name in ("a", "b", "c"):
        put(bench.open(name, bench.answer()), name.encode())
    frames = bench.poll(("a", 0), ("b", 0), ("c", 0))
    assert [(f.request_id, f.data) for f in frames] == [
        ("a", b"a"),
        ("b", b"b"),
        ("c", b"c"),
    ]


def test_offset_frees_what_it_acknowledges(bench):
    answer = bench.open("a", bench.answer())
    put(answer, b"lid suggestion")
    bench.poll(("a", 4))
    assert (answer.base, bench.budget.held_bytes) == (4, 10)


def test_lost_poll_answer_is_sent_again(bench):
    put(bench.open("a", bench.answer()), b"lid")
    assert bench.poll(("a", 0))[0].data == bench.poll(("a", 0))[0].data == b"lid"


def test_offset_before_what_is_held_ends_the_stream(bench):
    put(bench.open("a", bench.answer()), b"lid")
    bench.poll(("a", 2))
    frame = bench.poll(("a", 0))[0]
    assert (frame.is_last, frame.code) == (True, ResultCode.ANSWER_TRUNCATED)


def test_offset_after_the_end_frees_nothing(bench):
    answer = bench.open("a", bench.answer())
    put(answer, b"lid")
    bench.poll(("a", 99))
    assert answer.base == 0


def test_last_frame_has_length_and_digest_of_resumed_answer(bench):
    answer = bench.open("a", bench.answer(start=4, prefix=b"lid "))
    put(answer, b"red")
    answer.finish(OK)
    frame = bench.poll(("a", 4))[0]
    assert (frame.is_last, frame.total_length) == (True, 7)
    assert frame.digest == digest_of(b"lid red")


def test_failed_answer_delivers_its_bytes_before_the_code(bench):
    answer = bench.open("a", bench.answer())
    put(answer, b"lid")
    answer.finish(Finish(code=ResultCode.BACKEND_FAILED))
    frame = bench.poll(("a", 0))[0]
    assert (frame.data, frame.code) == (b"lid", ResultCode.BACKEND_FAILED)


def test_late_bytes_of_a_cancelled_engine_stream_are_dropped(bench):
    answer = bench.answer()
    put(answer, b"lid")
    epoch = answer.new_epoch()
    assert not put(answer, b"late", epoch=1)
    assert put(answer, b"next", epoch=epoch)
    assert (answer.end, bench.monitor.count) == (7, 0)


def test_bytes_after_the_end_are_dropped(bench):
    answer = bench.answer()
    answer.finish(OK)
    assert not put(answer, b"late")


def test_gap_in_the_bytes_is_a_violation(bench):
    assert not bench.answer().append(b"x", epoch=1, offset=5)
    assert bench.monitor.count == 1


def test_bytes_of_another_model_version_are_a_violation(bench):
    answer = bench.answer(model_version="v1")
    assert not answer.append(b"x", epoch=1, offset=0, model_version="v2")
    assert (answer.end, bench.monitor.count) == (0, 1)


def test_frame_does_not_split_a_character(bench):
    put(bench.open("a", bench.answer(is_text=True)), "añb".encode())
    assert bench.poll(("a", 0), window=2)[0].data == b"a"


def test_full_window_stalls_the_producer(bench):
    answer = bench.answer(window_bytes=8192)
    put(answer, bytes(8192))
    assert answer.wait_for_space(epoch=1, seconds=0.0) is Space.STALLED


def test_kept_answer_never_stalls_and_serves_several_readers(bench):
    answer = bench.answer(kept=True)
    put(answer, bytes(100_000))
    for name, sender in (("a", "e1"), ("b", "e2")):
        bench.open(name, answer, sender=sender)
        bench.poll((name, 50), sender=sender)
    assert answer.wait_for_space(epoch=1, seconds=0.0) is Space.FREE
    assert bench.poll(("b", 0), sender="e2")[0].offset == 0


def test_stopped_readers_stay_within_the_bound_of_all(bench):
    answers = [bench.answer(window_bytes=10**6) for _ in range(4)]
    for answer in answers:
        while answer.has_space():
            put(answer, bytes(PIECE_BYTES))
    assert bench.budget.held_bytes <= bench.budget.max_bytes


def test_full_bound_leaves_each_answer_its_minimum(bench):
    hog = bench.answer(window_bytes=10**6)
    while hog.has_space():
        put(hog, bytes(PIECE_BYTES))
    other = bench.answer()
    assert other.has_space()
    put(other, bytes(MIN_WINDOW_BYTES))
    assert not other.has_space()


def test_stream_of_another_entry_node_is_not_served(bench):
    put(bench.open("a", bench.answer()), b"lid")
    assert bench.poll(("a", 0), sender="e2")[0].code == ResultCode.OUTCOME_UNKNOWN


def test_stream_without_polls_is_abandoned(bench):
    bench.open("a", bench.answer())
    bench.clock.advance(seconds=ABANDON_SECONDS + 1)
    bench.table.sweep()
    assert bench.gone == [("a", ResultCode.CALLER_CANCELLED)]


def test_stream_of_an_earlier_life_of_the_entry_node_is_abandoned(bench):
    bench.open("a", bench.answer())
    bench.poll(incarnation=2)
    bench.table.sweep()
    assert bench.gone == [("a", ResultCode.CALLER_CANCELLED)]


def test_reader_that_is_not_asked_for_keeps_its_running_stream(bench):
    bench.open("a", bench.answer())
    for _ in range(20):
        bench.clock.advance(seconds=ABANDON_SECONDS / 2)
        bench.poll()
        bench.table.sweep()
    assert bench.gone == []


def test_finished_stream_is_dropped_after_its_last_frame(bench):
    bench.open("a", bench.answer()).finish(OK)
    assert bench.poll(("a", 0))[0].is_last
    bench.clock.advance(seconds=FINISHED_KEEP_SECONDS + 1)
    bench.table.sweep()
    assert len(bench.table) == 0


def test_finished_answer_that_nobody_asks_for_is_dropped(bench):
    bench.open("a", bench.answer()).finish(OK)
    bench.clock.advance(seconds=UNREAD_KEEP_SECONDS + 1)
    bench.poll()
    bench.table.sweep()
    assert len(bench.table) == 0


def test_discarded_answer_holds_nothing_and_takes_nothing(bench):
    answer = bench.answer()
    put(answer, b"lid")
    answer.discard()
    assert not put(answer, b"more")
    assert bench.budget.held_bytes == 0


def test_token_wakes_a_waiting_poll(bench):
    answer = bench.open("a", bench.answer())
    frames = []
    cursor = Cursor(request_id="a", attempt=1, offset=0, window_bytes=100)

    def wait():
        frames.extend(
            bench.table.poll(
                [cursor], sender="e1", sender_incarnation=1, wait_seconds=5.0
            )
        )

    waiting = threading.Thread(target=wait)
    waiting.start()
    put(answer, b"lid")
    waiting.join(10)
    assert [frame.data for frame in frames] == [b"lid"]
