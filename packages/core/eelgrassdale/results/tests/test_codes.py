"""Tests of the result code table."""

from eelgrassdale.results.codes import CODE_INFO, ExecutionState, ResultCode


def test_every_code_has_info():
    assert set(CODE_INFO) == set(ResultCode)


def test_hundreds_digit_matches_the_execution_state():
    expected = {
        1: ExecutionState.NOT_RUN,
        2: ExecutionState.MAY_HAVE_RUN,
        3: ExecutionState.RAN,
    }
    for code, info in CODE_INFO.items():
        hundreds = code // 100
        if hundreds in expected:
            assert info.ran is expected[hundreds], code.name
