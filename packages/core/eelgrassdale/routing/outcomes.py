"""Final result codes of keyed requests and of requests with several attempts."""

from eelgrassdale.results import ExecutionState, ResultCode, info_of


def keyed_code(code: int) -> int:
    """Return the code for a keyed request whose result its agent did not decide.

    The caller may have sent the same key through another entry node, where the
    request may have run, so this node must not report `not run`. Only a key
    that was not issued or belongs to another request never runs.

    Examples
    --------
    >>> keyed_code(ResultCode.NO_BACKEND_SERVER).name
    'KEY_UNREACHABLE'
    >>> keyed_code(ResultCode.KEY_NOT_ISSUED).name
    'KEY_NOT_ISSUED'

    """
    if code in (ResultCode.KEY_NOT_ISSUED, ResultCode.KEY_MISMATCH):
        return code
    if code == ResultCode.DEADLINE_PASSED:
        return ResultCode.DEADLINE_EXCEEDED
    if (
        info_of(code).ran is ExecutionState.NOT_RUN
        or code == ResultCode.OUTCOME_UNKNOWN
    ):
        return ResultCode.KEY_UNREACHABLE
    return code


def final_code(code: int, *, delivered: int, may_have_run: bool) -> int:
    """Return the code of a request after its last attempt ended with `code`.

    `delivered` is the number of bytes of the answer that were sent to the
    caller. If it is above 0, the request ran; if an earlier attempt may have
    run, the request may have run, even if the last attempt was refused.

    Examples
    --------
    >>> final_code(ResultCode.SERVER_BUSY, delivered=0, may_have_run=False).name
    'SERVER_BUSY'
    >>> final_code(ResultCode.SERVER_BUSY, delivered=0, may_have_run=True).name
    'OUTCOME_UNKNOWN'
    >>> final_code(ResultCode.SERVER_BUSY, delivered=10, may_have_run=True).name
    'ANSWER_TRUNCATED'

    """
    not_run = info_of(code).ran is ExecutionState.NOT_RUN
    if delivered and (not_run or code in _LOST_OUTCOMES):
        return ResultCode.ANSWER_TRUNCATED
    if not_run and may_have_run:
        return ResultCode.OUTCOME_UNKNOWN
    return code


_LOST_OUTCOMES = frozenset({ResultCode.OUTCOME_UNKNOWN, ResultCode.BACKEND_FAILED})
