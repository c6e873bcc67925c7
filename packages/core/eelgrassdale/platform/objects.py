"""HTTP client of the platform's object API.

Every call is counted and spends a token of the call budget. Reads are
repeated with exponential backoff. A conditional put is sent once, because
only its caller can tell whether a lost answer hides a success.
"""

import json
import random
from urllib.parse import quote

import urllib3
from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.clock import Clock, SystemClock
from eelgrassdale.platform.budget import CallBudget, backoff_seconds
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.telemetry import Metrics

CALL_TIMEOUT_SECONDS = 2.0
# Time beyond the requested wait in which a watch answer must arrive.
WATCH_MARGIN_SECONDS = 2.0
READ_ATTEMPTS = 3
CALLS_PER_SECOND = 50.0
CALL_BURST = 200
MAX_VALUE_BYTES = 1_000_000
STORE_CALLS = "store_calls"
RETRIED_STATUSES = (429, 500, 502, 503, 504)


@frozen(kw_only=True)
class ObjectValue:
    """An object and its version; `version` is 0 where only the name is known."""

    name: str
    version: int
    body: bytes


class ObjectStore:
    """Client of the object API; safe to use from every thread.

    Parameters
    ----------
    url : str
        Base URL of the object API.
    metrics : Metrics
        Counts `store_calls`.
    clock : Clock, optional
        Source of time for budget and backoff.
    timeout_seconds : float
        Longest duration of one call, the wait of a watch excluded.
    """

    def __init__(
        self,
        *,
        url: str,
        metrics: Metrics,
        clock: Clock | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        calls_per_second: float = CALLS_PER_SECOND,
    ) -> None:
        self._base = f"{url.rstrip('/')}/objects"
        self._metrics = metrics
        self._clock = clock or SystemClock()
        self._timeout = timeout_seconds
        self._budget = CallBudget(
            calls_per_second=calls_per_second, burst=CALL_BURST, clock=self._clock
        )
        # Backoff needs no reproducible randomness.
        self._rng = random.Random()
        self._pool = urllib3.PoolManager(retries=False, maxsize=4)

    def get(self, name: str) -> Result[ObjectValue | None, ResultError]:
        """Return the object, or None if there is none with this name."""
        return self._read(name, self._url(name), self._timeout, READ_ATTEMPTS)

    def watch(
        self, name: str, *, version: int, timeout_seconds: float
    ) -> Result[ObjectValue | None, ResultError]:
        """Return the object once its version exceeds `version`, else None.

        The call ends after `timeout_seconds` without a change. It is sent
        once; the caller repeats it.
        """
        url = f"{self._url(name)}?watch={version}&timeout={timeout_seconds:g}"
        return self._read(name, url, timeout_seconds + WATCH_MARGIN_SECONDS, 1)

    def put(
        self, name: str, body: bytes, *, if_version: int | None
    ) -> Result[int, ResultError]:
        """Write the object if its version is `if_version`; return the new version.

        `if_version` None means that the object must not exist. The error is
        `CONFIGURATION_CONFLICT` when the condition does not hold, and
        `STORE_UNAVAILABLE` when the outcome is unknown.
        """
        condition = (
            {"If-None-Match": "*"}
            if if_version is None
            else {"If-Match": f'"{if_version}"'}
        )
        headers = {"Content-Type": "application/json", **condition}
        sent = self._send("PUT", self._url(name), self._timeout, body, headers)
        if sent.is_error():
            return Error(sent.error)
        answer = sent.ok
        if answer.status in (200, 201, 204):
            return Ok(_version_of(answer))
        if answer.status == 412:
            return Error(_conflict(name))
        return Error(_unavailable(f"PUT {name}: HTTP status {answer.status}"))

    def list(self, prefix: str) -> Result[list[str], ResultError]:
        """Return the names of the objects that start with `prefix`."""
        url = f"{self._base}?prefix={quote(prefix, safe='')}"
        read = self._read("", url, self._timeout, READ_ATTEMPTS)
        if read.is_error():
            return Error(read.error)
        try:
            found = json.loads(read.ok.body)["objects"]
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            return Error(_unavailable(f"list {prefix}: {exc!r}"))
        return Ok([item["name"] if isinstance(item, dict) else item for item in found])

    def close(self) -> None:
        """Close the connections."""
        self._pool.clear()

    def _url(self, name: str) -> str:
        return f"{self._base}/{quote(name, safe='')}"

    def _read(
        self, name: str, url: str, timeout: float, attempts: int
    ) -> Result[ObjectValue | None, ResultError]:
        outcome: Result = Error(_unavailable(f"GET {name}: not tried"))
        for attempt in range(attempts):
            if attempt:
                self._clock.sleep(backoff_seconds(attempt - 1, self._rng))
            sent = self._send("GET", url, timeout, None, {})
            if sent.is_error():
                outcome = Error(sent.error)
                continue
            if sent.ok.status not in RETRIED_STATUSES:
                return _read_answer(name, sent.ok)
            outcome = Error(_unavailable(f"GET {name}: HTTP status {sent.ok.status}"))
        return outcome

    def _send(
        self,
        method: str,
        url: str,
        timeout: float,
        body: bytes | None,
        headers: dict[str, str],
    ) -> Result[urllib3.BaseHTTPResponse, ResultError]:
        self._budget.spend()
        self._metrics.count(STORE_CALLS)
        try:
            return Ok(
                self._pool.request(
                    method,
                    url,
                    body=body,
                    headers=headers,
                    timeout=urllib3.Timeout(connect=self._timeout, read=timeout),
                )
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Error(_unavailable(f"{method} {url}: {exc!r}"))


def _read_answer(
    name: str, answer: urllib3.BaseHTTPResponse
) -> Result[ObjectValue | None, ResultError]:
    if answer.status in (304, 404):
        return Ok(None)
    if answer.status != 200:
        return Error(_unavailable(f"GET {name}: HTTP status {answer.status}"))
    return Ok(ObjectValue(name=name, version=_version_of(answer), body=answer.data))


def _version_of(answer: urllib3.BaseHTTPResponse) -> int:
    text = answer.headers.get("ETag", "").strip('"')
    return int(text) if text.isdecimal() else 0


def _conflict(name: str) -> ResultError:
    return ResultError(
        code=ResultCode.CONFIGURATION_CONFLICT,
        message=f"{name} changed since it was read",
    )


def _unavailable(message: str) -> ResultError:
    return ResultError(code=ResultCode.STORE_UNAVAILABLE, message=message)
