"""Tests of the object API as a process."""

import threading

import pytest
import urllib3

from eelgrassdale_standins.control import get_counts, get_json, http_url, set_faults
from eelgrassdale_standins.objectapi import WriteRateLimiter

http_pool = urllib3.PoolManager(retries=False, timeout=10)


@pytest.fixture
def api(start_standin):
    return start_standin("objectapi")


def put_object(address, name, body, **headers):
    return http_pool.request(
        "PUT", http_url(address, f"/objects/{name}"), body=body, headers=headers
    )


def test_update_with_old_version_is_a_conflict(api):
    assert (
        put_object(api, "head", b"1", **{"If-None-Match": "*"}).headers["ETag"] == '"1"'
    )
    assert put_object(api, "head", b"2", **{"If-Match": '"1"'}).headers["ETag"] == '"2"'
    assert put_object(api, "head", b"3", **{"If-Match": '"1"'}).status == 412
    assert get_json(api, "/objects/head") == 2


def test_watch_returns_when_version_is_higher(api):
    put_object(api, "head", b"1", **{"If-None-Match": "*"})
    answers = []

    def watch():
        answers.append(get_json(api, "/objects/head?watch=1&timeout=10"))

    watcher = threading.Thread(target=watch)
    watcher.start()
    put_object(api, "head", b"2", **{"If-Match": '"1"'})
    watcher.join(10)
    assert answers == [2]


def test_update_with_lost_answer_takes_effect(api):
    set_faults(api, lose_answers=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        put_object(api, "service/a", b"1", **{"If-None-Match": "*"})
    assert get_json(api, "/objects/service/a") == 1
    assert get_counts(api)["lost_answers"] == 1


def test_outage_is_answered_503(api):
    set_faults(api, outage=True)
    assert http_pool.request("GET", http_url(api, "/objects/head")).status == 503


def test_write_rate_admits_a_burst_of_one_second():
    rate = WriteRateLimiter()
    admitted = [rate.admit(10.0, now=100.0) for _ in range(12)]
    assert admitted.count(True) == 10
    assert rate.admit(10.0, now=100.5)
