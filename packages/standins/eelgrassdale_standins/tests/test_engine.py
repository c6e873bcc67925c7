"""Tests of the engine as a process."""

import json
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from eelgrassdale_standins.control import get_counts, http_url, set_faults
from eelgrassdale_standins.models import answer_text, make_weights
from eelgrassdale_standins.processes import wait_until

STREAMS = 300
http_pool = urllib3.PoolManager(retries=False, timeout=30, maxsize=STREAMS)
WEIGHTS = make_weights(version="v1", seed=1, size_bytes=1000, chunk_bytes=400)


def stage_and_load(address, indices, fencing=1):
    manifest = WEIGHTS.manifest_digest
    for index in indices:
        chunk = WEIGHTS.data[index * 400 : (index + 1) * 400]
        http_pool.request(
            "PUT", http_url(address, f"/weights/{manifest}/{index}"), body=chunk
        )
    return send_load_order(address, fencing)


def send_load_order(address, fencing):
    body = {
        "order": "load",
        "model_version": "v1",
        "manifest": WEIGHTS.manifest_digest,
        "fencing": fencing,
    }
    return http_pool.request("POST", http_url(address, "/orders"), json=body).status


def generate(address, request_id, **fields):
    body = {"request_id": request_id, "prompt": "a lid", "max_tokens": 5, **fields}
    return http_pool.request("POST", http_url(address, "/generate"), json=body)


def wait_for_waiting_streams(address, number):
    wait_until(
        lambda: get_counts(address)["waiting"] == number,
        timeout_seconds=30,
        description="streams",
    )


def parse_text(answer):
    lines = [json.loads(line) for line in answer.data.splitlines()]
    assert lines[-1]["end"]
    return "".join(line["t"] for line in lines[:-1])


def expected_text(max_tokens=5):
    return answer_text(
        weights=WEIGHTS.loaded_digest, prompt="a lid", max_tokens=max_tokens
    )


@pytest.fixture
def engine(start_standin):
    return start_standin("engine", "--cold-seconds", 0, "--max-running", STREAMS)


def test_tokens_are_those_of_the_loaded_weights(engine):
    assert stage_and_load(engine, range(3)) == 200
    assert parse_text(generate(engine, "r1")) == expected_text()


def test_partial_weights_are_visible_in_the_tokens(engine):
    assert stage_and_load(engine, range(2)) == 200
    assert parse_text(generate(engine, "r1")) != expected_text()


def test_stale_fencing_token_is_refused(engine):
    stage_and_load(engine, range(3), fencing=5)
    assert send_load_order(engine, fencing=4) == 409


def test_resumed_stream_continues_at_its_token(engine):
    stage_and_load(engine, range(3))
    rest = parse_text(generate(engine, "r1", resume_from=2))
    assert expected_text(2) + rest == expected_text()


def test_restart_breaks_running_streams(engine):
    stage_and_load(engine, range(3))
    set_faults(engine, hang=True)
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(generate, engine, "r1")
        wait_for_waiting_streams(engine, 1)
        set_faults(engine, restart=True)
        with pytest.raises(urllib3.exceptions.HTTPError):
            answer.result()


def test_engine_holds_hundreds_of_concurrent_streams(engine):
    stage_and_load(engine, range(3))
    set_faults(engine, hang=True)
    with ThreadPoolExecutor(STREAMS) as pool:
        answers = [pool.submit(generate, engine, f"r{n}") for n in range(STREAMS)]
        wait_for_waiting_streams(engine, STREAMS)
        set_faults(engine, hang=False)
        assert {parse_text(answer.result()) for answer in answers} == {expected_text()}


def test_too_many_requests_in_cold_start_crash_the_engine(start_standin):
    engine = start_standin("engine", "--cold-seconds", 60, "--cold-requests", 1)
    stage_and_load(engine, range(3))
    set_faults(engine, hang=True)
    with ThreadPoolExecutor(2) as pool:
        answers = [pool.submit(generate, engine, f"r{n}") for n in range(2)]
        failures = [answer.exception() for answer in answers]
    assert all(isinstance(exc, urllib3.exceptions.HTTPError) for exc in failures)
    assert get_counts(engine)["crashes_cold"] == 1
