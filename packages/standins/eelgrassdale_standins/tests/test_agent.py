"""Tests of the agent as a process beside a stand-in."""

import signal

import pytest

from eelgrassdale.hashing import digest_of
from eelgrassdale.results import ResultCode
from eelgrassdale_standins.control import counts_of, set_faults
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.tests.agentlab import DESK, MODEL, AgentLab

PRELOAD = ("--preload", "v1:manifest-1:weights-1")


@pytest.fixture
def start_lab(start_standin, ports, tmp_path):
    """Return a function that starts an agent beside a stand-in."""
    labs = []

    def start(service, module, *options):
        backend = start_standin(module, *options)
        lab = AgentLab(
            address=ports.new_address(),
            backend=backend,
            log=tmp_path / f"agent-{len(labs)}.log",
            service=service,
        )
        labs.append(lab)
        lab.backend = backend
        lab.configure()
        lab.wait_accepting()
        return lab

    yield start
    for lab in labs:
        lab.close()


@pytest.fixture
def model(start_lab):
    """An agent beside an engine with weights."""
    return start_lab(MODEL, "engine", *PRELOAD)


@pytest.fixture
def desk(start_lab):
    """An agent beside a plain service."""
    return start_lab(DESK, "plainservice")


def test_whole_answer_matches_its_digest(model):
    answer = model.call("submit", model.request("r1"))
    assert answer.code == ResultCode.OK
    data, last = model.read("r1")
    assert (last.code, last.total_length) == (ResultCode.OK, len(data))
    assert last.digest == digest_of(data)
    assert last.model_version == "v1"


def test_duplicate_submit_runs_once(model):
    for _ in range(2):
        assert model.call("submit", model.request("r1")).code == ResultCode.OK
    model.read("r1")
    assert counts_of(model.backend)["requests"] == 1


def test_repeat_of_key_gets_same_answer_and_runs_once(desk):
    key = desk.key()
    answers = []
    for request_id in ("r1", "r2"):
        desk.call("submit", desk.request(request_id, key=key))
        answers.append(desk.read(request_id)[0])
    assert answers[0] == answers[1]
    assert counts_of(desk.backend)["requests"] == 1


def test_lost_answer_of_plain_service_may_have_run(desk):
    set_faults(desk.backend, lose_answers=1)
    desk.call("submit", desk.request("r1"))
    _, last = desk.read("r1")
    assert last.code == ResultCode.BACKEND_FAILED
    assert counts_of(desk.backend)["requests"] == 1


def test_sigterm_drains_and_exits(model):
    model.call("submit", model.request("r1", max_tokens=60))
    model.process.signal(signal.SIGTERM)
    wait_until(
        lambda: model.call("probe").state == "leaving", seconds=5, what="leaving"
    )
    refused = model.call("submit", model.request("r2"))
    assert refused.code == ResultCode.LEAVING
    _, last = model.read("r1")
    assert last.code == ResultCode.OK
    assert model.process.wait(10) == 0
