"""Validation of callers' requests before they are routed."""

import json
import math
from collections.abc import Mapping

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.catalog import ClientAccount, Configuration, Service, ServiceKind
from eelgrassdale.hashing import digest_of
from eelgrassdale.results import Problem, ResultCode, ResultError
from eelgrassdale.routing.keys import IssuedKey, parse_key
from eelgrassdale.routing.outcomes import keyed_code

MAX_TOKENS = 32_768
MAX_DEADLINE_MS = 600_000
MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5
MAX_TRACEPARENT_CHARACTERS = 128
BYTES_PER_TOKEN = 4
# Prompts that agree in this many first characters have the same affinity, since
# engines cache prefixes of at least this length.
AFFINITY_CHARACTERS = 256
ALLOWED_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
FORWARDED_HEADERS = ("accept", "accept-language", "content-type", "user-agent")


@frozen(kw_only=True)
class CallerHeaders:
    """Validated request headers; `deadline_ms` 0 selects the service's default."""

    account: str
    deadline_ms: int
    priority: int
    key: IssuedKey | None
    key_text: str
    traceparent: str


@frozen(kw_only=True)
class Prompt:
    """Validated body of a request for generated text."""

    prompt: str
    max_tokens: int

    @property
    def tokens(self) -> int:
        """Estimated number of tokens in the prompt."""
        return math.ceil(len(self.prompt.encode()) / BYTES_PER_TOKEN)

    @property
    def affinity(self) -> str:
        """Digest of the beginning of the prompt."""
        return digest_of(self.prompt[:AFFINITY_CHARACTERS].encode())


def parse_headers(headers: Mapping[str, str]) -> Result[CallerHeaders, ResultError]:
    """Return the validated request headers, or an error with all problems.

    The headers are those of docs/design.md, section 3.1.

    Examples
    --------
    >>> result = parse_headers({"X-Deadline-Ms": "soon", "X-Priority": "11"})
    >>> [problem.field for problem in result.error.problems]
    ['X-Client-Account', 'X-Deadline-Ms', 'X-Priority']

    """
    problems: list[Problem] = []
    account = headers.get("X-Client-Account", "").strip()
    if not account:
        problems.append(
            Problem(
                field="X-Client-Account",
                value="",
                allowed="the name of a client account",
            )
        )
    deadline_ms = _integer_header(
        headers, "X-Deadline-Ms", 0, 1, MAX_DEADLINE_MS, problems
    )
    priority = _integer_header(
        headers, "X-Priority", DEFAULT_PRIORITY, 0, MAX_PRIORITY, problems
    )
    traceparent = headers.get("traceparent", "")
    if len(traceparent) > MAX_TRACEPARENT_CHARACTERS:
        problems.append(
            Problem(field="traceparent", value="(long)", allowed="a W3C trace context")
        )
    if problems:
        return Error(_invalid_request(problems))
    key_text = headers.get("Idempotency-Key", "")
    key = None
    if key_text:
        parsed = parse_key(key_text)
        if parsed.is_error():
            return Error(parsed.error)
        key = parsed.ok
    return Ok(
        CallerHeaders(
            account=account,
            deadline_ms=deadline_ms,
            priority=priority,
            key=key,
            key_text=key_text,
            traceparent=traceparent,
        )
    )


def parse_prompt(body: bytes) -> Result[Prompt, ResultError]:
    """Return the validated body of `generate`, or an error with all problems.

    Examples
    --------
    >>> parse_prompt(b'{"prompt": "a lid", "max_tokens": 3}').ok.tokens
    2
    >>> error = parse_prompt(b'{"prompt": ""}').error
    >>> [problem.field for problem in error.problems]
    ['prompt', 'max_tokens']

    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        fields = None
    if not isinstance(fields, dict):
        problem = Problem(field="body", value="(malformed)", allowed="a JSON object")
        return Error(_invalid_request([problem]))
    problems = []
    prompt = fields.get("prompt")
    if not isinstance(prompt, str) or not prompt or not _is_encodable(prompt):
        problems.append(
            Problem(
                field="prompt", value=_shortened(prompt), allowed="a non-empty text"
            )
        )
    max_tokens = fields.get("max_tokens")
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS:
        problems.append(
            Problem(
                field="max_tokens",
                value=_shortened(max_tokens),
                allowed=f"a whole number from 1 to {MAX_TOKENS}",
            )
        )
    if problems:
        return Error(_invalid_request(problems))
    return Ok(Prompt(prompt=prompt, max_tokens=max_tokens))


def resolve_target(
    cfg: Configuration, service: str, kind: ServiceKind, headers: CallerHeaders
) -> Result[tuple[Service, ClientAccount], ResultError]:
    """Return the service and client account that a request names."""
    if cfg.generation == 0:
        return Error(ResultError(code=ResultCode.NOT_READY))
    found = cfg.services.get(service)
    if found is None:
        return Error(ResultError(code=ResultCode.UNKNOWN_SERVICE))
    if found.kind is not kind:
        problem = Problem(
            field="service", value=service, allowed=f"a {kind.value} service"
        )
        return Error(_invalid_request([problem]))
    account = cfg.accounts.get(headers.account)
    if account is None:
        return Error(ResultError(code=ResultCode.UNKNOWN_ACCOUNT))
    if headers.key is not None and headers.key.service != service:
        return Error(ResultError(code=ResultCode.KEY_MISMATCH))
    return Ok((found, account))


def local_refusal(error: ResultError, *, keyed: bool) -> ResultError:
    """Return the error for a refusal by this node, adjusted for keyed requests.

    This node cannot claim that a keyed request has not run, because an earlier
    attempt through another entry node may have run.
    """
    if not keyed:
        return error
    code = ResultCode(keyed_code(error.code))
    if code is error.code:
        return error
    message = f"refused at this entry node: {error.as_json()['message']}"
    return ResultError(code=code, message=message, problems=error.problems)


def forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the request headers that a plain service receives."""
    return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}


def queue_priority(account: ClientAccount, headers: CallerHeaders) -> int:
    """Return the queue priority: by client account first, then by request."""
    return account.priority * (MAX_PRIORITY + 1) + headers.priority


def _integer_header(
    headers: Mapping[str, str],
    name: str,
    default: int,
    low: int,
    high: int,
    problems: list[Problem],
) -> int:
    text = headers.get(name, "")
    if not text:
        return default
    if text.isascii() and text.isdigit() and low <= int(text[:12]) <= high:
        return int(text)
    problems.append(
        Problem(
            field=name,
            value=_shortened(text),
            allowed=f"a whole number from {low} to {high}",
        )
    )
    return default


def _is_encodable(value: str) -> bool:
    # JSON can carry lone surrogates, which have no UTF-8 form.
    return not any("\ud800" <= character <= "\udfff" for character in value)


def _shortened(value: object) -> object:
    return value[:40] if isinstance(value, str) else value


def _invalid_request(problems: list[Problem]) -> ResultError:
    return ResultError(code=ResultCode.INVALID_REQUEST, problems=tuple(problems))
