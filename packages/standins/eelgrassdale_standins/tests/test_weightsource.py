"""Tests of the weight source as a process."""

import json

import pytest
import urllib3

from eelgrassdale.hashing import digest_of
from eelgrassdale_standins.control import get_counts, http_url, put_json, set_faults

http_pool = urllib3.PoolManager(retries=False, timeout=10)


@pytest.fixture
def source(start_standin):
    return start_standin(
        "weightsource", "--model", "v1:100000:1", "--chunk-bytes", 40000
    )


def get_manifest(address):
    return http_pool.request("GET", http_url(address, "/models/v1/manifest")).data


def read_range(address, start, stop, digest):
    return http_pool.request(
        "GET",
        http_url(address, "/models/v1/weights"),
        headers={"Range": f"bytes={start}-{stop - 1}", "If-Match": f'"{digest}"'},
    )


def test_range_matches_its_digest_in_the_manifest(source):
    body = get_manifest(source)
    answer = read_range(source, 40000, 80000, digest_of(body))
    assert answer.status == 206
    assert digest_of(answer.data) == json.loads(body)["chunks"][1]
    assert get_counts(source)["bytes_sent"] == 40000


def test_changed_version_is_answered_412(source):
    old = digest_of(get_manifest(source))
    put_json(source, "/models/v1", {"seed": 2, "size_bytes": 100000})
    assert read_range(source, 0, 40000, old).status == 412


def test_corrupt_read_does_not_match_its_digest(source):
    body = get_manifest(source)
    set_faults(source, corrupt_reads=1)
    digests = [
        digest_of(read_range(source, 0, 40000, digest_of(body)).data) for _ in range(2)
    ]
    expected = json.loads(body)["chunks"][0]
    assert [digest == expected for digest in digests] == [False, True]
