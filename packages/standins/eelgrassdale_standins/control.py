"""HTTP client of a deployment for its stand-ins and its entry nodes."""

import json
from typing import Any

import urllib3

_TIMEOUT = urllib3.Timeout(connect=2.0, read=10.0)
_pool = urllib3.PoolManager(maxsize=32, num_pools=256, retries=False, timeout=_TIMEOUT)


def http_url(address: str, path: str = "") -> str:
    """Return the URL of a path at `host:port`.

    Examples
    --------
    >>> http_url("127.0.0.1:80", "/health")
    'http://127.0.0.1:80/health'

    """
    return f"http://{address}{path}"


def is_healthy(address: str, path: str = "/health") -> bool:
    """Return whether a server answers its health check with 200."""
    try:
        return _pool.request("GET", http_url(address, path)).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def get_json(address: str, path: str) -> Any:
    """Return the JSON body of a successful GET."""
    return _request_json("GET", address, path, None)


def put_json(address: str, path: str, value: object) -> Any:
    """PUT a JSON value and return the JSON answer."""
    return _request_json("PUT", address, path, value)


def set_faults(address: str, **faults: object) -> Any:
    """Change faults of a stand-in and return all of them."""
    return _request_json("POST", address, "/faults", faults)


def get_counts(address: str) -> dict[str, Any]:
    """Return the counters of a stand-in."""
    return get_json(address, "/counts")


def _request_json(method: str, address: str, path: str, value: object) -> Any:
    body = None if value is None else json.dumps(value).encode()
    response = _pool.request(method, http_url(address, path), body=body)
    if response.status != 200:
        raise RuntimeError(
            f"{method} {path}: {response.status} {response.data[:500]!r}"
        )
    return json.loads(response.data)
