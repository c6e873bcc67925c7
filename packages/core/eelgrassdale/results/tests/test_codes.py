"""Tests of the result code table."""

from eelgrassdale.results.codes import VERDICTS, Ran, ResultCode


def test_every_code_has_a_verdict():
    assert set(VERDICTS) == set(ResultCode)


def test_hundreds_digit_matches_the_execution_state():
    expected = {1: Ran.NOT_RUN, 2: Ran.MAY_HAVE_RUN, 3: Ran.RAN}
    for code, verdict in VERDICTS.items():
        hundreds = code // 100
        if hundreds in expected:
            assert verdict.ran is expected[hundreds], code.name
