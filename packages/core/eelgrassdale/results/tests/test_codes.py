"""Tests of the result code table."""

from eelgrassdale.results.codes import VERDICTS, Ran, ResultCode


def test_every_code_has_a_verdict():
    assert set(VERDICTS) == set(ResultCode)


def test_hundreds_agree_with_execution_state():
    expected = {1: Ran.NOT_RUN, 2: Ran.MAY_HAVE_RUN, 3: Ran.RAN}
    for code, verdict in VERDICTS.items():
        hundred = code // 100
        if hundred in expected:
            assert verdict.ran is expected[hundred], code.name
