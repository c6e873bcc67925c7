"""The numbered result codes.

Codes below 100 mean success. 1xx: the request did not run. 2xx: it may have
run. 3xx: it ran, at least in part. 4xx: errors of operators and configuration.
5xx: weight distribution.
"""

from enum import Enum, IntEnum

from attrs import frozen


class ExecutionState(Enum):
    """Whether a backend server ran the request."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


class RetryRule(Enum):
    """How a caller may retry after a result."""

    NO = "no"
    SAME_KEY = "with the same key, at any entry node"
    ANY_NODE = "at any entry node, after a delay"
    NEW_KEY = "with a new key"
    IF_IDEMPOTENT = "only if the request is idempotent"
    AFTER_READ = "after reading the current state"


class ResultCode(IntEnum):
    """Numeric result code; `CODE_INFO` has the `CodeInfo` of each."""

    OK = 0
    INVALID_REQUEST = 101
    UNKNOWN_SERVICE = 102
    UNKNOWN_ACCOUNT = 103
    REQUEST_TOO_LARGE = 104
    QUEUE_FULL = 105
    DEADLINE_PASSED = 106
    SERVER_BUSY = 107
    SERVER_LOADING = 108
    DATA_CENTRE_OUT = 109
    LEAVING = 110
    NO_BACKEND_SERVER = 111
    KEY_NOT_ISSUED = 112
    KEY_REFUSED = 113
    MODEL_VERSION_UNAVAILABLE = 114
    NOT_READY = 115
    ACCOUNT_LIMIT = 116
    KEY_MISMATCH = 117
    UNKNOWN_ROUTE = 118
    UNKNOWN_API_KEY = 119
    PROMPT_QUARANTINED = 120
    OUTCOME_UNKNOWN = 201
    KEY_EXPIRED = 202
    INCARNATION_GONE = 203
    KEY_UNREACHABLE = 204
    KEY_IN_PROGRESS = 205
    KEY_TABLE_FULL = 206
    DEADLINE_EXCEEDED = 207
    BACKEND_FAILED = 208
    ANSWER_TRUNCATED = 301
    CALLER_TOO_SLOW = 302
    CALLER_CANCELLED = 303
    ANSWER_TOO_LARGE = 304
    CONFIGURATION_INVALID = 401
    CONFIGURATION_CONFLICT = 402
    STORE_UNAVAILABLE = 403
    UNAUTHORISED = 404
    SETTINGS_INVALID = 405
    GENERATION_OLD = 406
    ADDRESS_UNAVAILABLE = 407
    CHUNK_NOT_HELD = 501
    CHUNK_CORRUPT = 502
    VERSION_CHANGED = 503
    HOLDER_BUSY = 504
    SOURCE_UNAVAILABLE = 505
    FENCED = 506
    LOAD_FAILED = 507


@frozen(kw_only=True)
class CodeInfo:
    """HTTP status, execution state and permitted retry of one result code."""

    http_status: int
    ran: ExecutionState
    retry: RetryRule
    meaning: str


def _not_run(http_status: int, retry: RetryRule, meaning: str) -> CodeInfo:
    return CodeInfo(
        http_status=http_status,
        ran=ExecutionState.NOT_RUN,
        retry=retry,
        meaning=meaning,
    )


def _may_have_run(http_status: int, retry: RetryRule, meaning: str) -> CodeInfo:
    return CodeInfo(
        http_status=http_status,
        ran=ExecutionState.MAY_HAVE_RUN,
        retry=retry,
        meaning=meaning,
    )


def _ran(http_status: int, retry: RetryRule, meaning: str) -> CodeInfo:
    return CodeInfo(
        http_status=http_status, ran=ExecutionState.RAN, retry=retry, meaning=meaning
    )


_C = ResultCode

CODE_INFO: dict[ResultCode, CodeInfo] = {
    _C.OK: _ran(200, RetryRule.NO, "the whole answer follows"),
    _C.INVALID_REQUEST: _not_run(
        400, RetryRule.NO, "a field of the request is invalid"
    ),
    _C.UNKNOWN_SERVICE: _not_run(404, RetryRule.NO, "no service has this name"),
    _C.UNKNOWN_ACCOUNT: _not_run(403, RetryRule.NO, "no client account has this name"),
    _C.REQUEST_TOO_LARGE: _not_run(
        413, RetryRule.NO, "the request exceeds a size limit"
    ),
    _C.QUEUE_FULL: _not_run(
        503, RetryRule.ANY_NODE, "the queue of the service at this entry node is full"
    ),
    _C.DEADLINE_PASSED: _not_run(
        504, RetryRule.ANY_NODE, "the deadline passed before the request was sent"
    ),
    _C.SERVER_BUSY: _not_run(
        503, RetryRule.ANY_NODE, "no backend server has a free slot and memory"
    ),
    _C.SERVER_LOADING: _not_run(
        503, RetryRule.ANY_NODE, "the backend server is loading weights"
    ),
    _C.DATA_CENTRE_OUT: _not_run(
        503, RetryRule.ANY_NODE, "the data centre is out of service"
    ),
    _C.LEAVING: _not_run(503, RetryRule.ANY_NODE, "the process is stopping gracefully"),
    _C.NO_BACKEND_SERVER: _not_run(
        503, RetryRule.ANY_NODE, "no live backend server runs this service"
    ),
    _C.KEY_NOT_ISSUED: _not_run(
        400, RetryRule.NEW_KEY, "the key was not issued by this system"
    ),
    _C.KEY_REFUSED: _not_run(
        409, RetryRule.NEW_KEY, "an attempt with this key was refused; the key is void"
    ),
    _C.MODEL_VERSION_UNAVAILABLE: _not_run(
        503, RetryRule.ANY_NODE, "the requested model version is not loaded"
    ),
    _C.NOT_READY: _not_run(
        503, RetryRule.ANY_NODE, "the node has no configuration generation yet"
    ),
    _C.ACCOUNT_LIMIT: _not_run(
        429,
        RetryRule.ANY_NODE,
        "the client account exceeds its share of a full service",
    ),
    _C.KEY_MISMATCH: _not_run(
        409, RetryRule.NO, "the key belongs to a different request or service"
    ),
    _C.UNKNOWN_ROUTE: _not_run(
        404, RetryRule.NO, "no route of the configuration fits host and path"
    ),
    _C.UNKNOWN_API_KEY: _not_run(
        401, RetryRule.NO, "no client account holds this API key"
    ),
    _C.PROMPT_QUARANTINED: _not_run(
        503,
        RetryRule.ANY_NODE,
        "backend servers ended one after the other under prompts that share a part "
        "with this one",
    ),
    _C.OUTCOME_UNKNOWN: _may_have_run(
        502, RetryRule.IF_IDEMPOTENT, "the agent's answer was lost"
    ),
    _C.KEY_EXPIRED: _may_have_run(
        410, RetryRule.NO, "the key expired, its outcome is forgotten"
    ),
    _C.INCARNATION_GONE: _may_have_run(
        502, RetryRule.NO, "the agent process that the key names is gone"
    ),
    _C.KEY_UNREACHABLE: _may_have_run(
        503, RetryRule.SAME_KEY, "the agent that the key names cannot be reached"
    ),
    _C.KEY_IN_PROGRESS: _may_have_run(
        409, RetryRule.SAME_KEY, "an earlier attempt with this key is still running"
    ),
    _C.KEY_TABLE_FULL: _may_have_run(
        503, RetryRule.SAME_KEY, "the agent cannot remember another key"
    ),
    _C.DEADLINE_EXCEEDED: _may_have_run(
        504, RetryRule.SAME_KEY, "the deadline passed after the request was sent"
    ),
    _C.BACKEND_FAILED: _may_have_run(
        502, RetryRule.IF_IDEMPOTENT, "the backend server failed during the request"
    ),
    _C.ANSWER_TRUNCATED: _ran(
        502, RetryRule.IF_IDEMPOTENT, "the answer ended early and cannot be resumed"
    ),
    _C.CALLER_TOO_SLOW: _ran(
        408, RetryRule.IF_IDEMPOTENT, "the caller read too slowly for too long"
    ),
    _C.CALLER_CANCELLED: _ran(
        499, RetryRule.IF_IDEMPOTENT, "the caller closed its connection"
    ),
    _C.ANSWER_TOO_LARGE: _ran(502, RetryRule.NO, "the answer exceeds a size limit"),
    _C.CONFIGURATION_INVALID: _not_run(
        400, RetryRule.NO, "the configuration breaks a rule"
    ),
    _C.CONFIGURATION_CONFLICT: _not_run(
        409, RetryRule.AFTER_READ, "another operator changed the configuration first"
    ),
    _C.STORE_UNAVAILABLE: _may_have_run(
        503, RetryRule.AFTER_READ, "the object API did not confirm the change"
    ),
    _C.UNAUTHORISED: _not_run(
        401, RetryRule.NO, "the operator token is missing or wrong"
    ),
    _C.SETTINGS_INVALID: _not_run(
        400, RetryRule.NO, "a setting of the process is invalid"
    ),
    _C.GENERATION_OLD: _not_run(
        409, RetryRule.AFTER_READ, "a higher configuration generation is in force"
    ),
    _C.ADDRESS_UNAVAILABLE: _not_run(
        400, RetryRule.NO, "an address of the process cannot be bound"
    ),
    _C.CHUNK_NOT_HELD: _not_run(
        404, RetryRule.ANY_NODE, "the peer does not hold the chunk"
    ),
    _C.CHUNK_CORRUPT: _not_run(
        502, RetryRule.ANY_NODE, "the chunk does not match its digest"
    ),
    _C.VERSION_CHANGED: _not_run(
        412, RetryRule.NO, "the source no longer serves this manifest"
    ),
    _C.HOLDER_BUSY: _not_run(
        503, RetryRule.ANY_NODE, "the peer serves its maximum number of chunk reads"
    ),
    _C.SOURCE_UNAVAILABLE: _not_run(
        503, RetryRule.ANY_NODE, "no weight source answers"
    ),
    _C.FENCED: _not_run(409, RetryRule.NO, "the order carries an old fencing number"),
    _C.LOAD_FAILED: _may_have_run(
        502, RetryRule.ANY_NODE, "the engine could not load the weights"
    ),
}


def info_of(code: int) -> CodeInfo:
    """Return the `CodeInfo` of a result code.

    A code unknown to this release, sent by a newer node, is treated as
    `may have run`, since that is always safe to assume.

    Examples
    --------
    >>> info_of(ResultCode.QUEUE_FULL).ran
    <ExecutionState.NOT_RUN: 'not run'>
    >>> info_of(9999).ran
    <ExecutionState.MAY_HAVE_RUN: 'may have run'>

    """
    try:
        return CODE_INFO[ResultCode(code)]
    except ValueError:
        return CODE_INFO[ResultCode.OUTCOME_UNKNOWN]
