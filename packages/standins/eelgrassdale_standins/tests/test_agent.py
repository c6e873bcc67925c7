"""Tests of the agent as a process beside a stand-in."""

import time

import pytest

from eelgrassdale.admission import replay
from eelgrassdale.catalog import DataCentre, DataCentreState, Vm, VmState
from eelgrassdale.hashing import digest_of
from eelgrassdale.results import ResultCode
from eelgrassdale.wire import Cursor, UnknownDeliveryError
from eelgrassdale_standins.control import set_faults
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.tests.agentlab import MODEL, NAME, PLACE

LONG = {"max_tokens": 20_000, "prompt_tokens": 4}


def wait_running(lab, count):
    """Wait until the engine holds `count` requests."""
    wait_until(lambda: lab.running() == count, seconds=5, what=f"{count} running")


def test_whole_answer_matches_its_digest(model):
    answer = model.call("submit", model.request("whole"))
    assert answer.code == ResultCode.OK
    data, last = model.read("whole")
    assert (last.code, last.total_length) == (ResultCode.OK, len(data))
    assert last.digest == digest_of(data)
    assert last.model_version == "v1"


def test_duplicate_submit_runs_once(model):
    before = model.runs()
    for _ in range(2):
        assert model.call("submit", model.request("twice")).code == ResultCode.OK
    model.read("twice")
    assert model.runs() == before + 1


def test_resumed_answer_continues_at_the_byte(model):
    model.call("submit", model.request("first"))
    whole, _ = model.read("first")
    request = model.request(
        "rest", resume_offset=25, resume_text=whole[:25].decode(), model_version="v1"
    )
    assert model.call("submit", request).code == ResultCode.OK
    rest, last = model.read("rest", offset=25)
    assert (whole[:25] + rest, last.digest) == (whole, digest_of(whole))


def test_request_for_other_model_version_does_not_run(model):
    before = model.runs()
    answer = model.call("submit", model.request("other", model_version="v9"))
    assert answer.code == ResultCode.MODEL_VERSION_UNAVAILABLE
    assert model.runs() == before


def test_unknown_stream_is_told_as_outcome_unknown(model):
    cursor = Cursor(request_id="none", attempt=1, offset=0, window_bytes=100)
    frames = model.call("poll", [cursor], 100).frames
    assert (frames[0].is_last, frames[0].code) == (True, ResultCode.OUTCOME_UNKNOWN)


def test_cancel_frees_the_slot_in_the_engine(model):
    model.call("submit", model.request("left", **LONG))
    wait_running(model, 1)
    model.call("cancel", "left", 1)
    wait_running(model, 0)
    wait_until(lambda: model.headroom().running == 0, seconds=5, what="slot free")


def test_deadline_ends_a_running_request(model):
    model.call("submit", model.request("late", **LONG), remaining_ms=400)
    _, last = model.read("late")
    assert last.code == ResultCode.DEADLINE_EXCEEDED
    wait_running(model, 0)


@pytest.mark.parametrize(
    ("change", "code"),
    [
        (
            {
                "place": DataCentre(
                    name=PLACE, region="occidente", state=DataCentreState.OUT
                )
            },
            ResultCode.DATA_CENTRE_OUT,
        ),
        (
            {
                "vm": Vm(
                    name=NAME,
                    data_centre=PLACE,
                    service=MODEL.name,
                    state=VmState.LEAVING,
                )
            },
            ResultCode.LEAVING,
        ),
    ],
)
def test_out_of_service_refuses_new_and_ends_running(model, change, code):
    model.call("submit", model.request(f"stays{code}", max_tokens=100))
    model.configure(**change)
    refused = model.call("submit", model.request(f"new{code}"))
    _, last = model.read(f"stays{code}")
    model.configure()
    assert (refused.code, last.code) == (code, ResultCode.OK)


def test_repeat_of_key_gets_same_answer_and_runs_once(desk):
    before = desk.runs()
    key = desk.key(nonce="repeat")
    answers = []
    for request_id in ("r1", "r2"):
        desk.call("submit", desk.request(request_id, key=key))
        answers.append(desk.read(request_id)[0])
    assert answers[0] == answers[1]
    assert desk.runs() == before + 1


def test_lost_answer_of_plain_service_may_have_run(desk):
    before = desk.runs()
    set_faults(desk.backend, lose_answers=1)
    desk.call("submit", desk.request("lost"))
    assert desk.read("lost")[1].code == ResultCode.BACKEND_FAILED
    assert desk.runs() == before + 1


def test_lost_answer_of_keyed_call_is_repeated_not_run_again(desk):
    before = desk.runs()
    set_faults(desk.backend, lose_answers=1)
    key = desk.key(nonce="lost")
    codes = []
    for request_id in ("l1", "l2"):
        desk.call("submit", desk.request(request_id, key=key))
        codes.append(desk.read(request_id)[1].code)
    assert codes == [ResultCode.BACKEND_FAILED] * 2
    assert desk.runs() == before + 1


def test_two_readers_wait_for_one_running_keyed_call(desk):
    before = desk.runs()
    set_faults(desk.backend, delay_seconds=0.3)
    key = desk.key(nonce="both")
    for request_id in ("b1", "b2"):
        answer = desk.call("submit", desk.request(request_id, key=key))
        assert answer.code == ResultCode.OK
    assert desk.read("b1")[0] == desk.read("b2")[0]
    set_faults(desk.backend, delay_seconds=0.0)
    assert desk.runs() == before + 1


def test_plain_service_status_and_body_pass_unchanged(desk):
    set_faults(desk.backend, status=418)
    desk.call("submit", desk.request("teapot"))
    data, last = desk.read("teapot")
    set_faults(desk.backend, status=0)
    assert (last.code, last.http_status) == (ResultCode.OK, 418)
    assert b'"request_id"' in data


def test_stopped_reader_is_parked_and_resumes_where_it_stopped(labs):
    lab = labs.start_model(MODEL, agent=("--slow-reader-seconds", 0.5))
    request = lab.request("slow", max_tokens=2000, window_bytes=4096)
    lab.call("submit", request, remaining_ms=60_000)
    wait_until(
        lambda: lab.counters()["requests_parked"] == 1, seconds=20, what="parked"
    )
    assert lab.counters()["buffered_bytes"] <= 4096 * 2
    assert lab.running() == 0
    data, last = lab.read("slow", seconds=40)
    assert (last.code, last.digest) == (ResultCode.OK, digest_of(data))
    assert lab.counters()["violations"] == 0


def test_engine_restart_fails_running_and_falls_to_cold(labs):
    lab = labs.start_model(MODEL, agent=("--trace-admissions",))
    wait_until(lambda: _limit_after_one(lab) > 2, seconds=10, what="limit rises")
    lab.call("submit", lab.request("cut", **LONG))
    wait_running(lab, 1)
    set_faults(lab.backend, restart=True)
    _, last = lab.read("cut")
    assert last.code == ResultCode.BACKEND_FAILED
    assert lab.headroom().limit == 2
    assert lab.counters()["violations"] == 0
    replayed = replay(lab.admission_trace()).ok
    assert (replayed.difference, replayed.violations) == (None, 0)
    assert replayed.decisions > 10


def _limit_after_one(lab):
    request_id = f"warm-{time.monotonic()}"
    lab.call("submit", lab.request(request_id, max_tokens=1))
    lab.read(request_id)
    return lab.headroom().limit


def test_agent_frozen_past_the_deadline_does_not_run_what_waited(labs):
    lab = labs.start_model(MODEL)
    lab.process.freeze()
    with pytest.raises(UnknownDeliveryError):
        lab.call("submit", lab.request("r"), remaining_ms=1000, timeout_seconds=0.3)
    time.sleep(1.5)
    lab.process.resume()
    lab.wait_accepting()
    assert lab.runs() == 0


def test_sigterm_drains_and_exits(labs):
    lab = labs.start_model(MODEL)
    lab.call("submit", lab.request("last", max_tokens=600))
    lab.process.terminate()
    wait_until(lambda: lab.call("probe").state == "leaving", seconds=5, what="leaving")
    refused = lab.call("submit", lab.request("more"))
    _, last = lab.read("last")
    assert (refused.code, last.code) == (ResultCode.LEAVING, ResultCode.OK)
    assert lab.process.wait(10) == 0
