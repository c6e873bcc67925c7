"""Tests of the text form of issued keys."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale.results import ResultCode
from eelgrassdale.routing.keys import IssuedKey, format_key, parse_key

NAMES = st.text(
    st.characters(codec="utf-8", exclude_categories=["Cs"]), min_size=1, max_size=20
)
INT64_VALUES = st.integers(min_value=0, max_value=2**63 - 1)


@settings(derandomize=True, max_examples=200)
@given(
    service=NAMES,
    agent=NAMES,
    incarnation=INT64_VALUES,
    expires_at_ms=INT64_VALUES,
    nonce=NAMES,
)
def test_formatted_key_is_parsed_to_the_same_key(
    service, agent, incarnation, expires_at_ms, nonce
):
    key = IssuedKey(
        service=service,
        agent=agent,
        incarnation=incarnation,
        expires_at_ms=expires_at_ms,
        nonce=nonce,
    )
    text = format_key(key)
    if len(text) <= 512:
        assert parse_key(text).ok == key


@pytest.mark.parametrize(
    "text",
    [
        "",
        "a.b.c",
        "a.b.1.2.",
        "a.b.x.2.n",
        "a.b.1.-2.n",
        "a.b.01.2.n",
        "a.b.²a.2.n",
        "%61.b.1.2.n",
        "a.b.1.99999999999999999999.n",
        "a.b.1.2." + "n" * 600,
    ],
)
def test_text_not_produced_by_format_key_is_rejected(text):
    assert parse_key(text).error.code is ResultCode.KEY_NOT_ISSUED
