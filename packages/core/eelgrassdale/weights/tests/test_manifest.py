"""Tests of manifests."""

import json

import pytest

from eelgrassdale.results import ResultCode
from eelgrassdale.weights import manifest_of, parse_manifest

MANIFEST = manifest_of(version="m-1", data=bytes(range(10)), chunk_bytes=4)


def changed(**fields) -> bytes:
    """Return the manifest with some fields replaced."""
    return json.dumps({**json.loads(MANIFEST.body), **fields}).encode()


def test_parsed_manifest_equals_the_encoded_one():
    assert parse_manifest(MANIFEST.body, expected=MANIFEST.digest).ok == MANIFEST


def test_manifest_with_another_digest_is_a_changed_version():
    body = changed(version="m-2")
    error = parse_manifest(body, expected=MANIFEST.digest).error
    assert error.code is ResultCode.VERSION_CHANGED


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b"\xff",
        changed(chunks=["x"]),
        changed(chunk_bytes=0),
        changed(size_bytes=-1),
        changed(chunks=None),
    ],
)
def test_malformed_manifest_is_an_error(body):
    assert parse_manifest(body).error.code is ResultCode.CHUNK_CORRUPT


def test_last_chunk_is_shorter():
    assert [MANIFEST.length_of(index) for index in range(3)] == [4, 4, 2]


def test_chunk_of_other_index_does_not_match():
    assert MANIFEST.matches(0, bytes(range(4)))
    assert not MANIFEST.matches(1, bytes(range(4)))
