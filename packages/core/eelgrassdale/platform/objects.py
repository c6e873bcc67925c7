"""HTTP client of the platform's object API.

Every call is counted and rate limited. Failed reads are retried with exponential
back-off. A conditional put is sent once: if its response is lost, only the caller
can find out whether the object was written.
"""

import json
import random
from urllib.parse import quote

import urllib3
from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.clock import Clock, SystemClock
from eelgrassdale.platform.budget import CallRateLimiter, backoff_seconds
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.telemetry import Metrics
from eelgrassdale.validresponses import pool_manager

CALL_TIMEOUT_SECONDS = 2.0
# Time beyond the requested wait within which a watch call must return.
WATCH_MARGIN_SECONDS = 2.0
READ_ATTEMPTS = 3
CALLS_PER_SECOND = 50.0
CALL_BURST = 200
MAX_VALUE_BYTES = 1_000_000
# Longer numbers are not versions that a store counts up.
MAX_VERSION_DIGITS = 18
STORE_CALLS = "store_calls"
RETRIED_STATUSES = (429, 500, 502, 503, 504)


@frozen(kw_only=True)
class ObjectValue:
    """An object and its version, or version 0 if that is unknown."""

    name: str
    version: int
    body: bytes


class ObjectStore:
    """Thread-safe client of the object API.

    Parameters
    ----------
    url : str
        Base URL of the object API.
    metrics : Metrics
        Counts the calls as `store_calls`.
    clock : Clock, optional
        Clock for the rate limit and back-off.
    timeout_seconds : float
        Time-out of one call in seconds, without the wait of a watch.
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
        self._limiter = CallRateLimiter(
            calls_per_second=calls_per_second, burst=CALL_BURST, clock=self._clock
        )
        # Not seeded: the jitter of the back-off need not be reproducible.
        self._rng = random.Random()
        self._pool = pool_manager(retries=False, maxsize=4)

    def get(self, name: str) -> Result[ObjectValue | None, ResultError]:
        """Return the object, or None if there is none with this name."""
        return self._read(name, self._url(name), self._timeout, READ_ATTEMPTS)

    def watch(
        self, name: str, *, version: int, timeout_seconds: float
    ) -> Result[ObjectValue | None, ResultError]:
        """Wait until the version of the object exceeds `version`; return the object.

        Returns None after `timeout_seconds` without a change. A failed call is
        not retried here.
        """
        url = f"{self._url(name)}?watch={version}&timeout={timeout_seconds:g}"
        return self._read(name, url, timeout_seconds + WATCH_MARGIN_SECONDS, 1)

    def put(
        self, name: str, body: bytes, *, expected_version: int | None
    ) -> Result[int, ResultError]:
        """Write the object if its version is `expected_version`; return the new one.

        With None as `expected_version`, the object must not exist. The error is
        `CONFIGURATION_CONFLICT` if the condition does not hold, and
        `STORE_UNAVAILABLE` if the outcome is unknown.
        """
        condition = (
            {"If-None-Match": "*"}
            if expected_version is None
            else {"If-Match": f'"{expected_version}"'}
        )
        headers = {"Content-Type": "application/json", **condition}
        result = self._send("PUT", self._url(name), self._timeout, body, headers)
        if result.is_error():
            return Error(result.error)
        resp = result.ok
        if resp.status in (200, 201, 204):
            return Ok(_version_of(resp))
        if resp.status == 412:
            return Error(_conflict(name))
        return Error(_unavailable(f"PUT {name}: HTTP status {resp.status}"))

    def list(self, prefix: str) -> Result[list[str], ResultError]:
        """Return the names of the objects that start with `prefix`."""
        url = f"{self._base}?prefix={quote(prefix, safe='')}"
        result = self._read("", url, self._timeout, READ_ATTEMPTS)
        if result.is_error():
            return Error(result.error)
        try:
            items = json.loads(result.ok.body)["objects"]
            names = [item["name"] if isinstance(item, dict) else item for item in items]
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            RecursionError,
        ) as exc:
            return Error(_unavailable(f"list {prefix}: {exc!r}"))
        if not all(isinstance(name, str) for name in names):
            return Error(_unavailable(f"list {prefix}: a name is no text"))
        return Ok(names)

    def close(self) -> None:
        """Close the connections."""
        self._pool.clear()

    def _url(self, name: str) -> str:
        return f"{self._base}/{quote(name, safe='')}"

    def _read(
        self, name: str, url: str, timeout: float, attempts: int
    ) -> Result[ObjectValue | None, ResultError]:
        outcome: Result = Error(_unavailable(f"GET {name}: no attempt was made"))
        for attempt in range(attempts):
            if attempt:
                self._clock.sleep(backoff_seconds(attempt - 1, self._rng))
            result = self._send("GET", url, timeout, None, {})
            if result.is_error():
                outcome = Error(result.error)
                continue
            if result.ok.status not in RETRIED_STATUSES:
                return _parse_response(name, result.ok)
            outcome = Error(_unavailable(f"GET {name}: HTTP status {result.ok.status}"))
        return outcome

    def _send(
        self,
        method: str,
        url: str,
        timeout: float,
        body: bytes | None,
        headers: dict[str, str],
    ) -> Result[urllib3.BaseHTTPResponse, ResultError]:
        self._limiter.acquire()
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


def _parse_response(
    name: str, resp: urllib3.BaseHTTPResponse
) -> Result[ObjectValue | None, ResultError]:
    if resp.status in (304, 404):
        return Ok(None)
    if resp.status != 200:
        return Error(_unavailable(f"GET {name}: HTTP status {resp.status}"))
    return Ok(ObjectValue(name=name, version=_version_of(resp), body=resp.data))


def _version_of(resp: urllib3.BaseHTTPResponse) -> int:
    text = resp.headers.get("ETag", "").strip('"')
    is_version = text.isdecimal() and len(text) <= MAX_VERSION_DIGITS
    return int(text) if is_version else 0


def _conflict(name: str) -> ResultError:
    return ResultError(
        code=ResultCode.CONFIGURATION_CONFLICT,
        message=f"{name} changed since it was read",
    )


def _unavailable(message: str) -> ResultError:
    return ResultError(code=ResultCode.STORE_UNAVAILABLE, message=message)
