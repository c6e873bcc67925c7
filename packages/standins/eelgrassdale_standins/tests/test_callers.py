"""Tests of how a caller classifies a stream."""

import json

from eelgrassdale.hashing import digest_of
from eelgrassdale_standins.callers import Outcome, classify_stream
from eelgrassdale_standins.models import answer_text

WEIGHTS = {"v1": "w1", "v2": "w2"}


def classify(text, *, version="v1", length=None, end=True):
    lines = [json.dumps({"offset": 0, "text": text}).encode()]
    if end:
        size = len(text.encode()) if length is None else length
        end_line = {
            "end": True,
            "length": size,
            "digest": digest_of(text.encode()),
            "model_version": version,
            "code": 0,
        }
        lines.append(json.dumps(end_line).encode())
    return classify_stream(lines, prompt="p", max_tokens=3, weights=WEIGHTS).outcome


def expected_answer(weights):
    return answer_text(weights=weights, prompt="p", max_tokens=3)


def test_expected_text_is_whole():
    assert classify(expected_answer("w1")) is Outcome.WHOLE


def test_text_of_another_version_is_mixed_weights():
    assert classify(expected_answer("w2")) is Outcome.MIXED_WEIGHTS


def test_missing_end_line_looks_whole():
    assert classify(expected_answer("w1"), end=False) is Outcome.LOOKS_WHOLE


def test_wrong_length_looks_whole():
    assert classify(expected_answer("w1"), length=1) is Outcome.LOOKS_WHOLE
