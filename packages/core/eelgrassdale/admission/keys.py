"""Checks of an idempotency key before it is looked up in the key table."""

from expression import Error, Ok, Result

from eelgrassdale.admission.events import Settings
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.routing.keys import IssuedKey, parse_key


def wall_clock_ms(settings: Settings, *, now: float) -> int:
    """Return the agent's own wall-clock time in ms, free of clock steps.

    Examples
    --------
    >>> settings = Settings(agent="a", incarnation=1, wall_ms=1000, monotonic=5.0)
    >>> wall_clock_ms(settings, now=5.25)
    1250

    """
    return settings.wall_ms + int((now - settings.monotonic) * 1000)


def check_key(
    text: str, *, service: str, settings: Settings, now: float
) -> Result[IssuedKey, ResultError]:
    """Return the key if this incarnation of the agent may still run its request.

    The request of a key of another agent or incarnation may have run there, and
    that of an expired key may have run here. A key that expires too far ahead is
    not recorded, so it is not refused as `not run` either: its request could
    run on a later submit, when the expiry is nearer.
    """
    parsed = parse_key(text)
    if parsed.is_error():
        return parsed
    key = parsed.ok
    if key.agent != settings.agent:
        return _refuse(ResultCode.KEY_UNREACHABLE, f"the key names {key.agent}")
    if key.incarnation != settings.incarnation:
        return _refuse(ResultCode.INCARNATION_GONE, "the key names another life")
    if key.service != service:
        return _refuse(ResultCode.KEY_MISMATCH, f"the key is for {key.service}")
    remaining_ms = key.expires_at_ms - wall_clock_ms(settings, now=now)
    if remaining_ms <= 0:
        return _refuse(ResultCode.KEY_EXPIRED, f"expired {-remaining_ms} ms ago")
    if remaining_ms > settings.max_key_lifetime_ms:
        return _refuse(ResultCode.KEY_TABLE_FULL, "the key expires too far ahead")
    return Ok(key)


def _refuse(code: ResultCode, message: str) -> Result[IssuedKey, ResultError]:
    return Error(ResultError(code=code, message=message))
