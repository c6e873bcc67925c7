"""Callers of entry nodes, and the classification of the answers they get.

An answer is whole when its length, digest and content are those of the model
version it names. A refusal counts as `not run` only when its body says so.
"""

import json
import time
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

import attrs
import urllib3

from eelgrassdale.hashing import digest_of
from eelgrassdale.results import ExecutionState
from eelgrassdale_standins.control import http_url
from eelgrassdale_standins.models import answer_text

MAX_IDLE_CONNECTIONS = 64
CONNECT_SECONDS = 2.0


class Outcome(Enum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    NOT_RUN = "refused, not run"
    MAY_HAVE_RUN = "may have run"
    BROKEN = "broken off"
    NOT_CONNECTED = "not connected"
    LOOKS_WHOLE = "truncated or wrong, but well-formed"
    MIXED_WEIGHTS = "content of no single model version"


@attrs.frozen(kw_only=True)
class Answer:
    """One answer with its outcome for the caller; times are in seconds."""

    outcome: Outcome
    code: int = -1
    detail: str = ""
    text: str = ""
    model_version: str = ""
    body: bytes = b""
    seconds: float = 0.0
    first_text_seconds: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the caller got the complete answer."""
        return self.outcome is Outcome.WHOLE


@attrs.frozen(kw_only=True)
class EntryList:
    """Addresses of entry nodes in order of preference, and issued idempotency keys."""

    addresses: tuple[str, ...]
    keep_seconds: float
    keys: tuple[str, ...]


class Caller:
    """Caller of one client account; safe to use from several threads.

    Parameters
    ----------
    account : str
        Sent as `X-Client-Account`.
    weights : Mapping of str to str
        Digest of the loaded weights by model version, for the expected text.
    timeout_seconds : float
        Read timeout: the longest wait for the next bytes of an answer.
    """

    def __init__(
        self, *, account: str, weights: Mapping[str, str], timeout_seconds: float = 30.0
    ) -> None:
        self._account = account
        self._weights = weights
        self._pool = urllib3.PoolManager(
            maxsize=MAX_IDLE_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=timeout_seconds),
        )

    def entries(self, address: str, service: str, keys: int = 0) -> EntryList:
        """Request the entry nodes of a service and `keys` idempotency keys.

        Raises
        ------
        RuntimeError
            The entry node answered with a status other than 200.

        """
        path = f"/v1/entries?service={service}&keys={keys}"
        response = self._pool.request(
            "GET", http_url(address, path), headers=self._headers({})
        )
        if response.status != 200:
            raise RuntimeError(f"entries: {response.status} {response.data[:300]!r}")
        fields = json.loads(response.data)
        return EntryList(
            addresses=tuple(entry["address"] for entry in fields["entries"]),
            keep_seconds=fields["keep_seconds"],
            keys=tuple(fields.get("keys", ())),
        )

    def generate(
        self,
        address: str,
        service: str,
        *,
        prompt: str,
        max_tokens: int,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a prompt, read the stream and classify the answer."""
        start = time.monotonic()
        body = {"prompt": prompt, "max_tokens": max_tokens}
        path = f"/v1/services/{service}/generate"
        try:
            response = self._post(
                address, path, json.dumps(body).encode(), headers or {}
            )
            if response.status != 200:
                return _classify_refusal(response.status, response.read())
            lines, first_seconds = _read_lines(response, start)
            response.release_conn()
        except urllib3.exceptions.HTTPError as exc:
            return _classify_connection_error(exc)
        classified = classify_stream(
            lines, prompt=prompt, max_tokens=max_tokens, weights=self._weights
        )
        return attrs.evolve(
            classified,
            seconds=time.monotonic() - start,
            first_text_seconds=first_seconds,
        )

    def call(
        self,
        address: str,
        service: str,
        path: str,
        *,
        body: bytes,
        key: str = "",
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Call a plain service."""
        start = time.monotonic()
        request_headers = {
            **(headers or {}),
            **({"Idempotency-Key": key} if key else {}),
        }
        try:
            response = self._post(
                address, f"/v1/services/{service}/call/{path}", body, request_headers
            )
            data = response.read()
            response.release_conn()
        except urllib3.exceptions.HTTPError as exc:
            return _classify_connection_error(exc)
        if response.headers.get("X-Result-Code", "0") != "0" or response.status >= 400:
            return _classify_refusal(response.status, data)
        seconds = time.monotonic() - start
        return Answer(outcome=Outcome.WHOLE, code=0, body=data, seconds=seconds)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def _post(
        self, address: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            "POST",
            http_url(address, path),
            body=body,
            headers=self._headers(headers),
            preload_content=False,
        )

    def _headers(self, headers: Mapping[str, str]) -> dict[str, str]:
        return {
            "X-Client-Account": self._account,
            "Content-Type": "application/json",
            **headers,
        }


def classify_stream(
    lines: Iterable[bytes], *, prompt: str, max_tokens: int, weights: Mapping[str, str]
) -> Answer:
    """Classify a stream whose HTTP framing was complete.

    Examples
    --------
    >>> lines = [b'{"offset": 0, "text": "lid"}']
    >>> classify_stream(lines, prompt="p", max_tokens=1, weights={}).outcome
    <Outcome.LOOKS_WHOLE: 'truncated or wrong, but well-formed'>

    """
    text = ""
    length = 0
    end_line: dict[str, Any] = {}
    for line in lines:
        fields = json.loads(line)
        if "end" in fields:
            end_line = fields
            break
        if fields["offset"] != length:
            return _malformed_answer(f"offset {fields['offset']} after {length} bytes")
        text += fields["text"]
        length = len(text.encode())
    if not end_line.get("end"):
        return _malformed_answer(f"no end line after {length} bytes")
    if end_line["length"] != length or end_line["digest"] != digest_of(text.encode()):
        return _malformed_answer(f"end line {end_line} after {length} bytes")
    version = end_line["model_version"]
    expected = answer_text(
        weights=weights.get(version, ""), prompt=prompt, max_tokens=max_tokens
    )
    outcome = Outcome.WHOLE if text == expected else Outcome.MIXED_WEIGHTS
    return Answer(
        outcome=outcome, code=end_line["code"], text=text, model_version=version
    )


def _read_lines(
    response: urllib3.BaseHTTPResponse, start: float
) -> tuple[list[bytes], float]:
    data = b""
    first_seconds = 0.0
    for piece in response.stream(65536):
        if not data:
            first_seconds = time.monotonic() - start
        data += piece
    return data.splitlines(), first_seconds


def _classify_refusal(status: int, body: bytes) -> Answer:
    try:
        fields = json.loads(body)
        ran, code = fields["ran"], fields["code"]
    except (ValueError, KeyError, TypeError):
        detail = f"{status} {body[:300]!r}"
        return Answer(outcome=Outcome.MAY_HAVE_RUN, detail=detail)
    is_not_run = ran == ExecutionState.NOT_RUN.value
    outcome = Outcome.NOT_RUN if is_not_run else Outcome.MAY_HAVE_RUN
    return Answer(outcome=outcome, code=code, detail=str(fields))


def _classify_connection_error(exc: urllib3.exceptions.HTTPError) -> Answer:
    is_refused = isinstance(exc, urllib3.exceptions.NewConnectionError)
    outcome = Outcome.NOT_CONNECTED if is_refused else Outcome.BROKEN
    return Answer(outcome=outcome, detail=repr(exc))


def _malformed_answer(detail: str) -> Answer:
    return Answer(outcome=Outcome.LOOKS_WHOLE, detail=detail)
