"""Result codes that stay true for keyed and for partly answered requests."""

from eelgrassdale.results import Ran, ResultCode, verdict_of


def keyed_code(code: int) -> int:
    """Return the code of a keyed request that the agent did not decide.

    A repeat of the key through another entry node may have run, so this node
    must not say `not run` on its own. A wrong key never runs anywhere.

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
    if verdict_of(code).ran is Ran.NOT_RUN or code == ResultCode.OUTCOME_UNKNOWN:
        return ResultCode.KEY_UNREACHABLE
    return code


def final_code(code: int, *, delivered: int, may_have_run: bool) -> int:
    """Return the code of a request after all its attempts.

    `delivered` counts the bytes of the answer that the caller has. Once a part
    was sent the request ran, and once an attempt may have run the request may
    have run, whatever a later attempt was refused for.

    Examples
    --------
    >>> final_code(ResultCode.SERVER_BUSY, delivered=0, may_have_run=False).name
    'SERVER_BUSY'
    >>> final_code(ResultCode.SERVER_BUSY, delivered=0, may_have_run=True).name
    'OUTCOME_UNKNOWN'
    >>> final_code(ResultCode.SERVER_BUSY, delivered=10, may_have_run=True).name
    'ANSWER_TRUNCATED'

    """
    not_run = verdict_of(code).ran is Ran.NOT_RUN
    if delivered and (not_run or code in _LOST):
        return ResultCode.ANSWER_TRUNCATED
    if not_run and may_have_run:
        return ResultCode.OUTCOME_UNKNOWN
    return code


_LOST = frozenset({ResultCode.OUTCOME_UNKNOWN, ResultCode.BACKEND_FAILED})
