"""Decodes JSON that other programs wrote, of which a part may be unusable.

One unusable value costs only the object that holds it: values that are nested too deep
and strings that no text can hold become None, numbers that are too large become
infinite, and bytes that are no text are replaced.
"""

import json
import math
import re
from typing import Any

# No object of the platform is nested as deep. Python's parser and encoder fail at about
# 1,000 levels.
MAX_DEPTH = 64
# Longer whole numbers are not exact in a floating-point number.
MAX_INTEGER_DIGITS = 18
# A string without an end goes to the end of the text, so that no byte is tried twice.
_TOKENS = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[\[{]+|[\]}]+', re.DOTALL)
_HALF_CHARACTER = re.compile(rb"\\u[dD][89a-fA-F]")
_TOKEN = re.compile(r"[!-~]+")


def decode_json(data: bytes) -> Any:
    """Return the value of a JSON text; raises `ValueError` if it is malformed.

    A text that is nested too deep takes up to a second for each megabyte.

    Examples
    --------
    >>> decode_json(b'{"a": 1e999, "b": "\\xff"}')
    {'a': inf, 'b': '\\ufffd'}
    >>> decode_json(b'[1, ' + b'[' * 2000 + b']' * 2000 + b']')[0]
    1

    """
    try:
        return parse_json(data)
    except RecursionError:
        return parse_json(_without_deep_values(data))


def parse_json(data: bytes) -> Any:
    """Return the value of a JSON text that is not nested too deep.

    Raises
    ------
    ValueError
        If the text is malformed.
    RecursionError
        If it is nested deeper than the parser can follow.

    Examples
    --------
    >>> parse_json(b'["half a character: " , "' + bytes([92]) + b'ud800"]')
    ['half a character: ', None]

    """
    value = json.loads(
        data.decode("utf-8", errors="replace"), strict=False, parse_int=_parse_integer
    )
    # Only such an escape becomes a string that no text can hold.
    return _text_only(value) if _HALF_CHARACTER.search(data) else value


def is_usable(value: Any) -> bool:
    """Return whether a value is not nested too deep, at most `MAX_DEPTH` levels.

    Examples
    --------
    >>> is_usable({"a": [1, 2]}), is_usable(decode_json(b"[" * 100 + b"]" * 100))
    (True, False)

    """
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return True
    return False


def is_text(value: Any) -> bool:
    """Return whether a value is a string that UTF-8 can hold.

    Examples
    --------
    >>> is_text("a"), is_text(chr(0xD800)), is_text(7)
    (True, False, False)

    """
    if not isinstance(value, str):
        return False
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_token(value: Any, *, max_length: int) -> bool:
    """Return whether a value is a string of visible ASCII characters.

    Such strings may stand in headers, paths and log lines.

    Examples
    --------
    >>> is_token("i-7f3a91c2", max_length=200), is_token("a b", max_length=200)
    (True, False)

    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= max_length
        and _TOKEN.fullmatch(value) is not None
    )


def whole_number(value: Any, *, lowest: int = 0, highest: int) -> int:
    """Return a decoded number as an integer within bounds.

    Raises
    ------
    ValueError
        If it is no number, not finite or out of bounds.

    Examples
    --------
    >>> whole_number(7.0, highest=10)
    7
    >>> whole_number(float("inf"), highest=10)
    Traceback (most recent call last):
    ...
    ValueError: no whole number from 0 to 10: inf

    """
    is_number = isinstance(value, int | float) and math.isfinite(value)
    if not is_number or not lowest <= value <= highest:
        shown = repr(value)[:100]
        raise ValueError(f"no whole number from {lowest} to {highest}: {shown}")
    return int(value)


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float(digits)


def _text_only(value: Any) -> Any:
    """Return a value with None in place of strings that UTF-8 cannot hold."""
    match value:
        case str():
            return value if is_text(value) else None
        case list():
            return [_text_only(item) for item in value]
        case dict():
            return {
                name: _text_only(item) for name, item in value.items() if is_text(name)
            }
        case _:
            return value


def _children(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []


def _without_deep_values(data: bytes) -> bytes:
    """Return a JSON text in which values beyond twice `MAX_DEPTH` levels are null.

    What is kept of their object is still nested too deep to be usable.
    """
    limit = 2 * MAX_DEPTH
    parts = []
    depth = 0
    copied_to = 0
    for token in _TOKENS.finditer(data):
        brackets = token.group()
        if brackets[:1] in b"[{":
            if depth < limit <= depth + len(brackets):
                parts.append(data[copied_to : token.start() + limit - depth - 1])
            depth += len(brackets)
        elif brackets[:1] in b"]}":
            if depth - len(brackets) < limit <= depth:
                parts.append(b"null")
                copied_to = token.start() + depth - limit + 1
            depth -= len(brackets)
    parts.append(data[copied_to:])
    return b"".join(parts)
