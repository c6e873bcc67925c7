"""Tests of the agent as a process beside a stand-in backend server."""

import time

import pytest

from eelgrassdale.admission import replay
from eelgrassdale.catalog import DataCentre, DataCentreState, Vm, VmState
from eelgrassdale.hashing import digest_of
from eelgrassdale.results import ResultCode
from eelgrassdale.wire import Cursor, UnknownDeliveryError
from eelgrassdale_standins.control import set_faults
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.tests.agentharness import (
    DATA_CENTRE_NAME,
    MODEL_SERVICE,
    NAME,
)

LONG_REQUEST = {"max_tokens": 20_000, "prompt_tokens": 4}


def wait_running(harness, count):
    """Wait until the engine runs `count` requests."""
    wait_until(
        lambda: harness.count_running() == count,
        timeout_seconds=5,
        description=f"{count} running",
    )


def test_whole_answer_matches_its_digest(model_agent):
    answer = model_agent.call("submit", model_agent.build_request("whole"))
    assert answer.code == ResultCode.OK
    data, last_frame = model_agent.read_answer("whole")
    assert (last_frame.code, last_frame.total_length) == (ResultCode.OK, len(data))
    assert last_frame.digest == digest_of(data)
    assert last_frame.model_version == "v1"


def test_duplicate_submit_runs_once(model_agent):
    before = model_agent.count_runs()
    for _ in range(2):
        assert (
            model_agent.call("submit", model_agent.build_request("twice")).code
            == ResultCode.OK
        )
    model_agent.read_answer("twice")
    assert model_agent.count_runs() == before + 1


def test_resumed_answer_continues_at_its_byte_offset(model_agent):
    model_agent.call("submit", model_agent.build_request("first"))
    whole, _ = model_agent.read_answer("first")
    request = model_agent.build_request(
        "rest", resume_offset=25, resume_text=whole[:25].decode(), model_version="v1"
    )
    assert model_agent.call("submit", request).code == ResultCode.OK
    rest, last_frame = model_agent.read_answer("rest", offset=25)
    assert (whole[:25] + rest, last_frame.digest) == (whole, digest_of(whole))


def test_request_for_other_model_version_does_not_run(model_agent):
    before = model_agent.count_runs()
    answer = model_agent.call(
        "submit", model_agent.build_request("other", model_version="v9")
    )
    assert answer.code == ResultCode.MODEL_VERSION_UNAVAILABLE
    assert model_agent.count_runs() == before


def test_unknown_stream_ends_with_outcome_unknown(model_agent):
    cursor = Cursor(request_id="none", attempt=1, offset=0, window_bytes=100)
    frames = model_agent.call("poll", [cursor], 100).frames
    assert (frames[0].is_last, frames[0].code) == (True, ResultCode.OUTCOME_UNKNOWN)


def test_cancel_frees_the_slot_in_the_engine(model_agent):
    model_agent.call("submit", model_agent.build_request("left", **LONG_REQUEST))
    wait_running(model_agent, 1)
    model_agent.call("cancel", "left", 1)
    wait_running(model_agent, 0)
    wait_until(
        lambda: model_agent.headroom().running == 0,
        timeout_seconds=5,
        description="slot free",
    )


def test_deadline_ends_a_running_request(model_agent):
    model_agent.call(
        "submit", model_agent.build_request("late", **LONG_REQUEST), remaining_ms=400
    )
    _, last_frame = model_agent.read_answer("late")
    assert last_frame.code == ResultCode.DEADLINE_EXCEEDED
    wait_running(model_agent, 0)


@pytest.mark.parametrize(
    ("change", "code"),
    [
        (
            {
                "data_centre": DataCentre(
                    name=DATA_CENTRE_NAME, region="occidente", state=DataCentreState.OUT
                )
            },
            ResultCode.DATA_CENTRE_OUT,
        ),
        (
            {
                "vm": Vm(
                    name=NAME,
                    data_centre=DATA_CENTRE_NAME,
                    service=MODEL_SERVICE.name,
                    state=VmState.LEAVING,
                )
            },
            ResultCode.LEAVING,
        ),
    ],
)
def test_out_of_service_refuses_new_requests_and_completes_running_ones(
    model_agent, change, code
):
    model_agent.call(
        "submit", model_agent.build_request(f"stays{code}", max_tokens=100)
    )
    model_agent.configure(**change)
    refused = model_agent.call("submit", model_agent.build_request(f"new{code}"))
    _, last_frame = model_agent.read_answer(f"stays{code}")
    model_agent.configure()
    assert (refused.code, last_frame.code) == (code, ResultCode.OK)


def test_repeat_of_key_gets_same_answer_and_runs_once(plain_agent):
    before = plain_agent.count_runs()
    key = plain_agent.issue_key(nonce="repeat")
    answers = []
    for request_id in ("r1", "r2"):
        plain_agent.call("submit", plain_agent.build_request(request_id, key=key))
        answers.append(plain_agent.read_answer(request_id)[0])
    assert answers[0] == answers[1]
    assert plain_agent.count_runs() == before + 1


def test_lost_answer_of_plain_service_may_have_run(plain_agent):
    before = plain_agent.count_runs()
    set_faults(plain_agent.backend, lose_answers=1)
    plain_agent.call("submit", plain_agent.build_request("lost"))
    assert plain_agent.read_answer("lost")[1].code == ResultCode.BACKEND_FAILED
    assert plain_agent.count_runs() == before + 1


def test_repeat_of_keyed_call_with_lost_answer_does_not_run_again(plain_agent):
    before = plain_agent.count_runs()
    set_faults(plain_agent.backend, lose_answers=1)
    key = plain_agent.issue_key(nonce="lost")
    codes = []
    for request_id in ("l1", "l2"):
        plain_agent.call("submit", plain_agent.build_request(request_id, key=key))
        codes.append(plain_agent.read_answer(request_id)[1].code)
    assert codes == [ResultCode.BACKEND_FAILED] * 2
    assert plain_agent.count_runs() == before + 1


def test_two_readers_wait_for_one_running_keyed_call(plain_agent):
    before = plain_agent.count_runs()
    set_faults(plain_agent.backend, delay_seconds=0.3)
    key = plain_agent.issue_key(nonce="both")
    for request_id in ("b1", "b2"):
        answer = plain_agent.call(
            "submit", plain_agent.build_request(request_id, key=key)
        )
        assert answer.code == ResultCode.OK
    assert plain_agent.read_answer("b1")[0] == plain_agent.read_answer("b2")[0]
    set_faults(plain_agent.backend, delay_seconds=0.0)
    assert plain_agent.count_runs() == before + 1


def test_plain_service_status_and_body_pass_unchanged(plain_agent):
    set_faults(plain_agent.backend, status=418)
    plain_agent.call("submit", plain_agent.build_request("teapot"))
    data, last_frame = plain_agent.read_answer("teapot")
    set_faults(plain_agent.backend, status=0)
    assert (last_frame.code, last_frame.http_status) == (ResultCode.OK, 418)
    assert b'"request_id"' in data


def test_stopped_reader_is_parked_and_resumes_where_it_stopped(agent_factory):
    harness = agent_factory.start_model(
        MODEL_SERVICE, agent_options=("--slow-reader-seconds", 0.5)
    )
    request = harness.build_request("slow", max_tokens=2000, window_bytes=4096)
    harness.call("submit", request, remaining_ms=60_000)
    wait_until(
        lambda: harness.counters()["requests_parked"] == 1,
        timeout_seconds=20,
        description="parked",
    )
    assert harness.counters()["buffered_bytes"] <= 4096 * 2
    assert harness.count_running() == 0
    data, last_frame = harness.read_answer("slow", seconds=40)
    assert (last_frame.code, last_frame.digest) == (ResultCode.OK, digest_of(data))
    assert harness.counters()["violations"] == 0


def test_engine_restart_fails_running_requests_and_resets_the_limit(agent_factory):
    harness = agent_factory.start_model(
        MODEL_SERVICE, agent_options=("--trace-admissions",)
    )
    wait_until(
        lambda: _limit_after_one_request(harness) > 2,
        timeout_seconds=10,
        description="limit rises",
    )
    harness.call("submit", harness.build_request("cut", **LONG_REQUEST))
    wait_running(harness, 1)
    set_faults(harness.backend, restart=True)
    _, last_frame = harness.read_answer("cut")
    assert last_frame.code == ResultCode.BACKEND_FAILED
    assert harness.headroom().limit == 2
    assert harness.counters()["violations"] == 0
    replayed = replay(harness.admission_trace()).ok
    assert (replayed.difference, replayed.violations) == (None, 0)
    assert replayed.decisions > 10


def _limit_after_one_request(harness):
    request_id = f"warm-{time.monotonic()}"
    harness.call("submit", harness.build_request(request_id, max_tokens=1))
    harness.read_answer(request_id)
    return harness.headroom().limit


def test_agent_frozen_past_the_deadline_does_not_run_queued_requests(agent_factory):
    harness = agent_factory.start_model(MODEL_SERVICE)
    harness.process.freeze()
    with pytest.raises(UnknownDeliveryError):
        harness.call(
            "submit", harness.build_request("r"), remaining_ms=1000, timeout_seconds=0.3
        )
    time.sleep(1.5)
    harness.process.resume()
    harness.wait_accepting()
    assert harness.count_runs() == 0


def test_sigterm_drains_and_exits(agent_factory):
    harness = agent_factory.start_model(MODEL_SERVICE)
    harness.call("submit", harness.build_request("last", max_tokens=600))
    harness.process.terminate()
    wait_until(
        lambda: harness.call("probe").state == "leaving",
        timeout_seconds=5,
        description="leaving",
    )
    refused = harness.call("submit", harness.build_request("more"))
    _, last_frame = harness.read_answer("last")
    assert (refused.code, last_frame.code) == (ResultCode.LEAVING, ResultCode.OK)
    assert harness.process.wait(10) == 0
