"""HTTP client that stages weights in a model engine and orders it to load them."""

import json

import urllib3
from attrs import evolve, frozen
from expression import Error, Ok, Result

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.validresponses import pool_manager
from eelgrassdale_agent.backend import read_bounded

CONNECT_TIMEOUT_SECONDS = 1.0
STAGE_TIMEOUT_SECONDS = 10.0
LOAD_TIMEOUT_SECONDS = 120.0
STATE_TIMEOUT_SECONDS = 2.0
# The engine's load report lags behind. For this time after a successful load order
# of this client, the version in the order replaces the one in the report, unless the
# engine has restarted since.
REPORT_LAG_SECONDS = 3.0
# Bounds of what is kept of an answer: a faulty engine may send bytes without end.
MAX_ANSWER_BYTES = 1_048_576
MAX_CHUNK_BYTES = 67_108_864
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404


@frozen(kw_only=True)
class EngineState:
    """What the engine has loaded; `manifest` is empty if it is not reported."""

    incarnation: str
    model_version: str
    manifest: str
    cold: bool


@frozen(kw_only=True)
class _Answer:
    """Status and whole body of an answer."""

    status: int
    data: bytes


class EngineWeightsClient:
    """Stages chunks in the engine's memory and orders it to load them.

    Parameters
    ----------
    backend_url : str
        Base URL of the engine.
    clock : Clock
        Monotonic time.
    connections : int
        Largest number of idle connections kept open.
    """

    def __init__(self, *, backend_url: str, clock: Clock, connections: int = 4) -> None:
        self._url = backend_url.rstrip("/")
        self._clock = clock
        self._incarnation = ""
        self._last_load: EngineState | None = None
        self._loaded_at = 0.0
        self._pool = pool_manager(num_pools=1, maxsize=connections, retries=False)

    def state(self) -> Result[EngineState, ResultError]:
        """Return what the engine has loaded.

        Not thread-safe: only the thread that orders loads may call this.
        """
        try:
            resp = self._request("GET", "/load", timeout_seconds=STATE_TIMEOUT_SECONDS)
            fields = json.loads(resp.data) if resp.status == 200 else None
        except (urllib3.exceptions.HTTPError, ValueError, RecursionError) as exc:
            return _error(ResultCode.BACKEND_FAILED, repr(exc))
        if not isinstance(fields, dict):
            return _error(
                ResultCode.BACKEND_FAILED,
                f"the engine answered with status {resp.status}",
            )
        state = EngineState(
            incarnation=str(fields.get("incarnation", "")),
            model_version=str(fields.get("model_version") or ""),
            manifest=str(fields.get("manifest") or ""),
            cold=bool(fields.get("cold", True)),
        )
        self._incarnation = state.incarnation
        return Ok(self._with_recent_load(state))

    def stage_chunk(
        self, manifest: str, index: int, data: bytes
    ) -> Result[None, ResultError]:
        """Write one verified chunk into the engine's staging memory.

        The error code is `BACKEND_FAILED`.
        """
        path = f"/weights/{manifest}/{index}"
        try:
            resp = self._request(
                "PUT", path, timeout_seconds=STAGE_TIMEOUT_SECONDS, body=data
            )
        except urllib3.exceptions.HTTPError as exc:
            return _error(ResultCode.BACKEND_FAILED, repr(exc))
        if resp.status >= 300:
            return _error(
                ResultCode.BACKEND_FAILED,
                f"the engine answered with status {resp.status}",
            )
        return Ok(None)

    def read_staged_chunk(
        self, manifest: str, index: int
    ) -> Result[bytes, ResultError]:
        """Read one chunk back from the engine's staging memory, without verifying it.

        The error code is `CHUNK_NOT_HELD` if the chunk is not staged, otherwise
        `BACKEND_FAILED`.
        """
        path = f"/weights/{manifest}/{index}"
        try:
            resp = self._request(
                "GET",
                path,
                timeout_seconds=STAGE_TIMEOUT_SECONDS,
                max_bytes=MAX_CHUNK_BYTES,
            )
        except urllib3.exceptions.HTTPError as exc:
            return _error(ResultCode.BACKEND_FAILED, repr(exc))
        if resp.status == HTTP_NOT_FOUND:
            return _error(
                ResultCode.CHUNK_NOT_HELD,
                "the chunk is not in the engine's staging memory",
            )
        if resp.status != 200:
            return _error(
                ResultCode.BACKEND_FAILED,
                f"the engine answered with status {resp.status}",
            )
        return Ok(resp.data)

    def staged_indices(self, manifest: str) -> Result[set[int] | None, ResultError]:
        """Return the indices of the staged chunks, None if they cannot be listed."""
        try:
            resp = self._request(
                "GET", f"/weights/{manifest}", timeout_seconds=STATE_TIMEOUT_SECONDS
            )
            fields = json.loads(resp.data) if resp.status == 200 else {}
            return Ok({int(index) for index in fields["chunks"]})
        except urllib3.exceptions.HTTPError as exc:
            return _error(ResultCode.BACKEND_FAILED, repr(exc))
        except (KeyError, TypeError, ValueError, OverflowError, RecursionError):
            return Ok(None)

    def order_load(
        self, *, model_version: str, manifest: str, fencing: int
    ) -> Result[None, ResultError]:
        """Order the engine to load a staged version and wait for the result.

        Returns
        -------
        Result of None or ResultError
            `FENCED` when the engine has seen a higher fencing token, otherwise
            `LOAD_FAILED`, after which the engine's state is unknown.

        """
        order = {
            "order": "load",
            "model_version": model_version,
            "manifest": manifest,
            "fencing": fencing,
        }
        body = json.dumps(order).encode()
        try:
            resp = self._request(
                "POST", "/orders", timeout_seconds=LOAD_TIMEOUT_SECONDS, body=body
            )
        except urllib3.exceptions.HTTPError as exc:
            return _error(ResultCode.LOAD_FAILED, repr(exc))
        if resp.status == HTTP_CONFLICT:
            return _error(
                ResultCode.FENCED, f"the engine refused fencing token {fencing}"
            )
        if resp.status >= 300:
            return _error(
                ResultCode.LOAD_FAILED, f"the engine answered with status {resp.status}"
            )
        self._loaded_at = self._clock.monotonic()
        self._last_load = EngineState(
            incarnation=self._incarnation,
            model_version=model_version,
            manifest=manifest,
            cold=True,
        )
        return Ok(None)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def _with_recent_load(self, state: EngineState) -> EngineState:
        """Return the state with the last load order applied while the report lags."""
        loaded = self._last_load
        if loaded is None or loaded.incarnation != state.incarnation:
            return state
        if self._clock.monotonic() - self._loaded_at > REPORT_LAG_SECONDS:
            return state
        return evolve(
            state, model_version=loaded.model_version, manifest=loaded.manifest
        )

    def _request(
        self,
        method: str,
        path: str,
        *,
        timeout_seconds: float,
        body: bytes | None = None,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> _Answer:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=timeout_seconds)
        resp = self._pool.request(
            method,
            f"{self._url}{path}",
            body=body,
            timeout=timeout,
            preload_content=False,
        )
        return _Answer(status=resp.status, data=read_bounded(resp, max_bytes=max_bytes))


def _error(code: ResultCode, message: str) -> Result:
    return Error(ResultError(code=code, message=message))
