"""HTTP client of a weight source: the weight store or the origin."""

import urllib3
from expression import Error, Ok, Result

from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.validresponses import pool_manager

CONNECT_SECONDS = 1.0
READ_SECONDS = 10.0
MAX_MANIFEST_BYTES = 64 * 1024 * 1024
PRECONDITION_FAILED = 412
OK = 200
PARTIAL_CONTENT = 206


class WeightSourceClient:
    """Reads manifests and chunks from one weight source.

    Parameters
    ----------
    url : str
        Base URL of the source.
    connections : int
        Maximum number of pooled connections.
    """

    def __init__(self, *, url: str, connections: int = 4) -> None:
        self.url = url.rstrip("/")
        self._pool = pool_manager(
            num_pools=1,
            maxsize=connections,
            retries=False,
            timeout=_timeout(READ_SECONDS),
        )

    def manifest(self, version: str) -> Result[bytes, ResultError]:
        """Return the unvalidated JSON manifest of a model version."""
        try:
            resp = self._pool.request("GET", f"{self.url}/models/{version}/manifest")
        except urllib3.exceptions.HTTPError as exc:
            return _unavailable(f"{self.url}: {exc!r}")
        if resp.status != OK:
            return _unavailable(f"{self.url}: status {resp.status}")
        if len(resp.data) > MAX_MANIFEST_BYTES:
            return Error(
                ResultError(code=ResultCode.CHUNK_CORRUPT, message="manifest too large")
            )
        return Ok(resp.data)

    def read(
        self,
        *,
        version: str,
        manifest: str,
        start: int,
        end: int,
        timeout_seconds: float,
    ) -> Result[bytes, ResultError]:
        """Return the unverified bytes from `start` to before `end` of the weights.

        Parameters
        ----------
        version : str
            Name of the model version.
        manifest : str
            Required manifest digest, sent as a precondition.
        start, end : int
            Byte range; `end` is exclusive.
        timeout_seconds : float
            Read time-out: longest time without a byte.

        Returns
        -------
        Result of bytes or ResultError
            `VERSION_CHANGED` if the source serves another manifest, and
            `SOURCE_UNAVAILABLE` for all failures that may be retried.

        """
        headers = {"Range": f"bytes={start}-{end - 1}", "If-Match": f'"{manifest}"'}
        url = f"{self.url}/models/{version}/weights"
        try:
            resp = self._pool.request(
                "GET", url, headers=headers, timeout=_timeout(timeout_seconds)
            )
        except urllib3.exceptions.HTTPError as exc:
            return _unavailable(f"{self.url}: {exc!r}")
        if resp.status == PRECONDITION_FAILED:
            return Error(
                ResultError(
                    code=ResultCode.VERSION_CHANGED, message=f"{self.url}: status 412"
                )
            )
        if resp.status != PARTIAL_CONTENT:
            return _unavailable(f"{self.url}: status {resp.status}")
        return Ok(resp.data)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()


def _timeout(seconds: float) -> urllib3.Timeout:
    return urllib3.Timeout(connect=CONNECT_SECONDS, read=seconds)


def _unavailable(message: str) -> Result:
    return Error(ResultError(code=ResultCode.SOURCE_UNAVAILABLE, message=message))
