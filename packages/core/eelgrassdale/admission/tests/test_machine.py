"""Tests of the admission decisions."""

import pytest

from eelgrassdale.admission import events as ev
from eelgrassdale.admission.machine import KEY_GRACE_SECONDS
from eelgrassdale.admission.tests.cases import (
    configured,
    key,
    new_admission,
    ready_admission,
    report,
    submitted,
)
from eelgrassdale.results import ResultCode as C


def codes_of(admission, count, *, start=0, now=10.0, **values):
    """Submit `count` requests and return their codes."""
    return [
        admission.apply(submitted(f"r{start + n}", now=now, **values)).code
        for n in range(count)
    ]


def complete(admission, ticket, *, now, **values):
    """Complete a request as healthy unless `values` say otherwise."""
    base = {"healthy": True, "code": C.OK}
    admission.apply(ev.Completed(now=now, ticket=ticket, **{**base, **values}))


def warm_up(admission):
    """Complete enough requests to reach the highest limit."""
    for n in range(4):
        outcome = admission.apply(submitted(f"w{n}", now=5.0))
        complete(admission, outcome.ticket, now=5.0)


def test_cold_limit_refuses_third_request():
    assert codes_of(ready_admission(), 3) == [C.OK, C.OK, C.SERVER_BUSY]


def test_healthy_completions_raise_limit_to_maximum():
    admission = ready_admission()
    warm_up(admission)
    assert codes_of(admission, 7) == [C.OK] * 6 + [C.SERVER_BUSY]


@pytest.mark.parametrize(
    "event",
    [
        report(now=6.0, incarnation="e2"),
        report(now=6.0, sequence=0),
        ev.EngineLost(now=6.0),
        ev.LoadingEnded(now=6.0, model_version="v1"),
    ],
)
def test_restart_resets_limit_to_cold_slots(event):
    admission = ready_admission()
    warm_up(admission)
    admission.apply(event)
    assert admission.headroom(now=6.0).limit == 2


def test_completion_from_before_restart_does_not_raise_limit():
    admission = ready_admission()
    outcome = admission.apply(submitted("r1", now=5.0))
    admission.apply(ev.EngineLost(now=6.0))
    complete(admission, outcome.ticket, now=20.0)
    assert admission.headroom(now=20.0).limit == 2


def test_engine_that_reports_cold_stays_at_cold_limit():
    admission = ready_admission()
    admission.apply(report(now=4.0, sequence=2, cold=True))
    warm_up(admission)
    assert admission.headroom(now=5.0).limit == 2


def test_memory_bound_refuses_while_slots_are_free():
    admission = ready_admission(memory_bytes=300)
    assert codes_of(admission, 2) == [C.OK, C.SERVER_BUSY]


def test_request_larger_than_all_memory_is_too_large():
    outcome = ready_admission().apply(submitted("r1", max_tokens=5000))
    assert outcome.code == C.REQUEST_TOO_LARGE


def test_work_of_earlier_agent_incarnation_takes_slots():
    admission = ready_admission()
    admission.apply(report(now=9.0, sequence=2, running=1, waiting=1))
    assert codes_of(admission, 1) == [C.SERVER_BUSY]


def test_own_work_in_lagging_report_is_not_counted_twice():
    admission = ready_admission()
    first = admission.apply(submitted("a", now=9.0))
    complete(admission, first.ticket, now=9.5)
    admission.apply(report(now=9.6, sequence=2, running=1))
    assert codes_of(admission, 1) == [C.OK]


@pytest.mark.parametrize(
    ("event", "code"),
    [
        (configured(generation=2, data_centre_in_service=False), C.DATA_CENTRE_OUT),
        (configured(generation=2, vm_in_service=False), C.LEAVING),
        (configured(generation=2, service="desk"), C.NO_BACKEND_SERVER),
        (ev.Stopping(now=1.0), C.LEAVING),
        (ev.LoadingStarted(now=1.0), C.SERVER_LOADING),
        (ev.VersionMismatch(now=1.0), C.SERVER_LOADING),
        (ev.PauseSeen(now=1.0, seconds=2.0), C.NOT_READY),
        (report(now=1.0, incarnation="e2", model_version=""), C.SERVER_LOADING),
    ],
)
def test_state_refuses_new_request(event, code):
    admission = ready_admission()
    admission.apply(event)
    assert codes_of(admission, 1) == [code]


@pytest.mark.parametrize(
    ("seconds", "code"), [(0.5, C.OK), (KEY_GRACE_SECONDS, C.DATA_CENTRE_OUT)]
)
def test_issued_key_is_honoured_shortly_after_the_data_centre_went_out(seconds, code):
    """Guards against refusing such a key although its agent has capacity."""
    admission = ready_admission()
    admission.apply(configured(now=10.0, generation=2, data_centre_in_service=False))
    admission.apply(configured(now=10.1, generation=3, data_centre_in_service=False))
    event = submitted("a", now=10.0 + seconds, key=key(), key_digest="d")
    assert admission.apply(event).code == code


def test_agent_that_starts_in_a_data_centre_that_is_out_honours_no_key():
    admission, _ = new_admission()
    admission.apply(configured(now=10.0, data_centre_in_service=False))
    admission.apply(report(now=10.0))
    event = submitted("a", now=10.5, key=key(), key_digest="d")
    assert admission.apply(event).code == C.DATA_CENTRE_OUT


@pytest.mark.parametrize(
    ("values", "code"),
    [
        ({"service": "other"}, C.UNKNOWN_SERVICE),
        ({"remaining_ms": 0}, C.DEADLINE_PASSED),
        ({"model_version": "v2"}, C.MODEL_VERSION_UNAVAILABLE),
        ({"max_tokens": 0}, C.INVALID_REQUEST),
        ({"refuse_with": int(C.REQUEST_TOO_LARGE)}, C.REQUEST_TOO_LARGE),
    ],
)
def test_request_is_refused(values, code):
    assert codes_of(ready_admission(), 1, **values) == [code]


def test_without_configuration_is_not_ready():
    admission, _ = new_admission()
    assert codes_of(admission, 1) == [C.NOT_READY]


def test_model_of_former_service_is_not_used_for_new_one():
    admission = ready_admission()
    admission.apply(
        configured(now=1.0, generation=2, service="desk", model_version="d1")
    )
    assert codes_of(admission, 1, service="desk") == [C.SERVER_LOADING]


def test_old_version_is_served_until_new_one_is_loaded():
    admission = ready_admission()
    admission.apply(configured(now=1.0, generation=2, model_version="v2"))
    assert admission.apply(submitted("r1")).model_version == "v1"


def test_request_that_waited_during_pause_is_past_its_deadline():
    admission = ready_admission()
    admission.apply(ev.PauseSeen(now=10.0, seconds=6.0))
    admission.apply(ev.PauseChecked(now=10.1))
    assert codes_of(admission, 1, now=10.2) == [C.DEADLINE_PASSED]


def test_duplicate_submit_after_pause_does_not_run_again():
    admission = ready_admission()
    admission.apply(submitted("r1", now=10.0))
    admission.apply(ev.PauseSeen(now=200.0, seconds=190.0))
    admission.apply(ev.PauseChecked(now=200.0))
    assert not admission.apply(submitted("r1", now=200.1, remaining_ms=10**6)).run


def test_duplicate_submit_gets_same_outcome_without_run():
    admission = ready_admission()
    first = admission.apply(submitted("r1"))
    again = admission.apply(submitted("r1"))
    assert (first.run, again.run, again.ticket) == (True, False, first.ticket)


def test_repeat_of_key_joins_running_answer():
    admission = ready_admission()
    first = admission.apply(submitted("r1", key=key(), key_digest="d"))
    again = admission.apply(submitted("r2", key=key(), key_digest="d"))
    assert (again.code, again.run, again.ticket) == (C.OK, False, first.ticket)


def test_refused_key_stays_refused():
    admission = ready_admission()
    admission.apply(ev.LoadingStarted(now=1.0))
    admission.apply(submitted("r1", key=key(), key_digest="d"))
    admission.apply(ev.LoadingEnded(now=2.0, model_version="v1"))
    again = admission.apply(submitted("r2", key=key(), key_digest="d"))
    assert again.code == C.KEY_REFUSED


def test_key_that_did_not_run_after_admission_is_refused():
    admission = ready_admission()
    first = admission.apply(submitted("r1", key=key(), key_digest="d"))
    complete(admission, first.ticket, now=11.0, healthy=False, code=C.NO_BACKEND_SERVER)
    again = admission.apply(submitted("r2", key=key(), key_digest="d"))
    assert again.code == C.KEY_REFUSED


def test_answer_of_key_that_did_not_run_is_released_at_expiry():
    # Guards against an answer that is never released, because its ticket was
    # dropped together with the key.
    admission = ready_admission()
    first = admission.apply(submitted("r1", key=key(), key_digest="d"))
    complete(admission, first.ticket, now=11.0, healthy=False, code=C.NO_BACKEND_SERVER)
    admission.apply(ev.EngineLost(now=61.0))
    assert admission.pop_expired_tickets() == [first.ticket]


def test_key_with_other_body_is_mismatch():
    admission = ready_admission()
    admission.apply(submitted("r1", key=key(), key_digest="d"))
    again = admission.apply(submitted("r2", key=key(), key_digest="other"))
    assert again.code == C.KEY_MISMATCH


@pytest.mark.parametrize(
    ("values", "code"),
    [
        ({"agent": "vm-b"}, C.KEY_UNREACHABLE),
        ({"incarnation": 6}, C.INCARNATION_GONE),
        ({"service": "desk"}, C.KEY_MISMATCH),
        ({"lifetime_ms": 10_000}, C.KEY_EXPIRED),
        ({"lifetime_ms": 10**9}, C.KEY_TABLE_FULL),
    ],
)
def test_key_is_not_run(values, code):
    assert codes_of(ready_admission(), 1, key=key(**values)) == [code]


def test_key_that_was_not_issued_is_refused():
    assert codes_of(ready_admission(), 1, key="mine") == [C.KEY_NOT_ISSUED]


def test_full_key_table_does_not_run_new_key():
    admission = ready_admission()
    for n in range(8):
        admission.apply(submitted(f"r{n}", key=key(f"n{n}"), remaining_ms=0))
    assert codes_of(admission, 1, start=9, key=key("new")) == [C.KEY_TABLE_FULL]


def test_key_table_is_bounded_in_bytes():
    admission = ready_admission()
    warm_up(admission)
    codes = [
        admission.apply(submitted(f"r{n}", now=5.0, key=key(f"n{n}"))).code
        for n in range(6)
    ]
    outcome = admission.apply(submitted("r9", now=5.0, key=key("n9")))
    assert (codes, outcome.code) == ([C.OK] * 6, C.KEY_TABLE_FULL)


def test_parked_request_resumes_with_same_version_only():
    admission = ready_admission()
    values = {"request_id": "r1", "attempt": 1, "prompt_tokens": 1, "max_tokens": 9}
    same = admission.apply(ev.Resumed(now=5.0, model_version="v1", **values))
    other = admission.apply(ev.Resumed(now=5.0, model_version="v2", **values))
    assert (same.run, other.code) == (True, C.MODEL_VERSION_UNAVAILABLE)


def test_cold_server_without_demand_counts_as_warm():
    admission = ready_admission()
    assert not admission.backend.is_warm(now=3.0)
    assert admission.backend.is_warm(now=6.0)
