"""Idempotency keys, issued by entry nodes together with the list of entry nodes."""

from urllib.parse import quote, unquote

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.results import ResultCode, ResultError

KEY_PARTS = 5
MAX_KEY_CHARACTERS = 512
DOT_ESCAPE = "%2E"


@frozen(kw_only=True)
class IssuedKey:
    """Idempotency key, bound to the only agent that may run its request.

    `incarnation` is that of the agent at the time the key was issued;
    `expires_at_ms` is in milliseconds since 1970 on the agent's clock.
    """

    service: str
    agent: str
    incarnation: int
    expires_at_ms: int
    nonce: str


def format_key(key: IssuedKey) -> str:
    """Return the text form: percent-encoded parts, joined by dots.

    Examples
    --------
    >>> key = IssuedKey(
    ...     service="desk", agent="vm.1", incarnation=7, expires_at_ms=9, nonce="ab"
    ... )
    >>> format_key(key)
    'desk.vm%2E1.7.9.ab'

    """
    parts = (key.service, key.agent, key.incarnation, key.expires_at_ms, key.nonce)
    return ".".join(_encode(str(part)) for part in parts)


def parse_key(text: str) -> Result[IssuedKey, ResultError]:
    """Return the key that `text` encodes, or `KEY_NOT_ISSUED`.

    Only the exact output of `format_key` is accepted: the agent would not
    recognise another encoding of the same key among the keys that it remembers.

    Examples
    --------
    >>> parse_key("desk.vm%2E1.7.9.ab").ok.agent
    'vm.1'
    >>> parse_key("made-up").error.code.name
    'KEY_NOT_ISSUED'

    """
    parts = text.split(".")
    if len(text) > MAX_KEY_CHARACTERS or len(parts) != KEY_PARTS:
        return _not_issued()
    service, agent, incarnation, expires_at_ms, nonce = map(unquote, parts)
    if not (
        _is_nonnegative_int64(incarnation) and _is_nonnegative_int64(expires_at_ms)
    ):
        return _not_issued()
    if not (service and agent and nonce):
        return _not_issued()
    key = IssuedKey(
        service=service,
        agent=agent,
        incarnation=int(incarnation),
        expires_at_ms=int(expires_at_ms),
        nonce=nonce,
    )
    return Ok(key) if format_key(key) == text else _not_issued()


def _encode(part: str) -> str:
    return quote(part, safe="").replace(".", DOT_ESCAPE)


def _is_nonnegative_int64(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) < 1 << 63


def _not_issued() -> Result[IssuedKey, ResultError]:
    return Error(
        ResultError(
            code=ResultCode.KEY_NOT_ISSUED,
            message="the Idempotency-Key was not issued by /v1/entries",
        )
    )
