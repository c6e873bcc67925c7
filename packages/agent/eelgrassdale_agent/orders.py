"""HTTP client for the weights and orders of a model engine."""

import json

import urllib3
from attrs import evolve, frozen
from expression import Error, Ok, Result

from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode, ResultError

CONNECT_SECONDS = 1.0
STAGE_SECONDS = 10.0
LOAD_SECONDS = 120.0
STATE_SECONDS = 2.0
# The engine's load report lags; for this time after a load by this client the
# order that succeeded says more than the report, unless the engine restarted.
REPORT_LAG_SECONDS = 3.0
CONFLICT = 409
NOT_FOUND = 404


@frozen(kw_only=True)
class EngineState:
    """What the engine has loaded; `manifest` is empty if it does not tell."""

    incarnation: str
    model_version: str
    manifest: str
    cold: bool


class OrderClient:
    """Stages chunks in the engine's memory and orders it to load them.

    Parameters
    ----------
    backend_url : str
        Base URL of the engine.
    clock : Clock
        Source of monotonic time.
    connections : int
        Connections that are kept open.
    """

    def __init__(self, *, backend_url: str, clock: Clock, connections: int = 4) -> None:
        self._url = backend_url.rstrip("/")
        self._clock = clock
        self._incarnation = ""
        self._loaded: EngineState | None = None
        self._loaded_at = 0.0
        self._pool = urllib3.PoolManager(
            num_pools=1, maxsize=connections, retries=False
        )

    def state(self) -> Result[EngineState, ResultError]:
        """Return what the engine has loaded.

        Only the thread that orders loads may call this.
        """
        try:
            resp = self._request("GET", "/load", seconds=STATE_SECONDS)
            fields = json.loads(resp.data) if resp.status == 200 else None
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            return _failed(ResultCode.BACKEND_FAILED, repr(exc))
        if not isinstance(fields, dict):
            return _failed(ResultCode.BACKEND_FAILED, f"status {resp.status}")
        state = EngineState(
            incarnation=str(fields.get("incarnation", "")),
            model_version=str(fields.get("model_version") or ""),
            manifest=str(fields.get("manifest") or ""),
            cold=bool(fields.get("cold", True)),
        )
        self._incarnation = state.incarnation
        return Ok(self._corrected(state))

    def stage(
        self, manifest: str, index: int, data: bytes
    ) -> Result[None, ResultError]:
        """Write one verified chunk into the engine's staging memory."""
        path = f"/weights/{manifest}/{index}"
        try:
            resp = self._request("PUT", path, seconds=STAGE_SECONDS, body=data)
        except urllib3.exceptions.HTTPError as exc:
            return _failed(ResultCode.BACKEND_FAILED, repr(exc))
        if resp.status >= 300:
            return _failed(ResultCode.BACKEND_FAILED, f"status {resp.status}")
        return Ok(None)

    def staged(self, manifest: str, index: int) -> Result[bytes, ResultError]:
        """Read one chunk back from the engine's staging memory, not verified."""
        path = f"/weights/{manifest}/{index}"
        try:
            resp = self._request("GET", path, seconds=STAGE_SECONDS)
        except urllib3.exceptions.HTTPError as exc:
            return _failed(ResultCode.BACKEND_FAILED, repr(exc))
        if resp.status == NOT_FOUND:
            return _failed(ResultCode.CHUNK_NOT_HELD, "not in staging")
        if resp.status != 200:
            return _failed(ResultCode.BACKEND_FAILED, f"status {resp.status}")
        return Ok(resp.data)

    def staged_indices(self, manifest: str) -> Result[set[int] | None, ResultError]:
        """Return the indices of the staged chunks, None if the engine cannot tell."""
        try:
            resp = self._request("GET", f"/weights/{manifest}", seconds=STATE_SECONDS)
            fields = json.loads(resp.data) if resp.status == 200 else {}
            return Ok({int(index) for index in fields["chunks"]})
        except urllib3.exceptions.HTTPError as exc:
            return _failed(ResultCode.BACKEND_FAILED, repr(exc))
        except (KeyError, TypeError, ValueError):
            return Ok(None)

    def order_load(
        self, *, model_version: str, manifest: str, fencing: int
    ) -> Result[None, ResultError]:
        """Order the engine to load a complete staged version; wait until it has.

        Returns
        -------
        Result of None or ResultError
            `FENCED` when the engine saw a higher token, otherwise
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
            resp = self._request("POST", "/orders", seconds=LOAD_SECONDS, body=body)
        except urllib3.exceptions.HTTPError as exc:
            return _failed(ResultCode.LOAD_FAILED, repr(exc))
        if resp.status == CONFLICT:
            return _failed(ResultCode.FENCED, f"token {fencing}")
        if resp.status >= 300:
            return _failed(ResultCode.LOAD_FAILED, f"status {resp.status}")
        self._loaded_at = self._clock.monotonic()
        self._loaded = EngineState(
            incarnation=self._incarnation,
            model_version=model_version,
            manifest=manifest,
            cold=True,
        )
        return Ok(None)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def _corrected(self, state: EngineState) -> EngineState:
        """Return the state with a load that the report cannot show yet."""
        loaded = self._loaded
        if loaded is None or loaded.incarnation != state.incarnation:
            return state
        if self._clock.monotonic() - self._loaded_at > REPORT_LAG_SECONDS:
            return state
        return evolve(
            state, model_version=loaded.model_version, manifest=loaded.manifest
        )

    def _request(self, method: str, path: str, *, seconds: float, body=None):
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=seconds)
        return self._pool.request(
            method, f"{self._url}{path}", body=body, timeout=timeout
        )


def _failed(code: ResultCode, message: str) -> Result:
    return Error(ResultError(code=code, message=message))
