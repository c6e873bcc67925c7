"""Stand-in of the platform's object API.

Objects are JSON values with a version that each update increments by one.
Updates are conditional on the version; a read can wait for a higher one.
"""

import json
import threading
import time
from typing import Any

import attrs
import cherrypy
import click

from eelgrassdale_standins.serving import (
    StandIn,
    drop_connection,
    json_response,
    read_body,
    run,
)

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_SECONDS = 60.0


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of the object API.

    The next `lose_answers` updates take effect but get no answer.
    """

    outage: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    writes_per_second: float = 0.0


@attrs.frozen(kw_only=True)
class StoredObject:
    """One version of an object."""

    version: int
    body: bytes


class WriteRateLimiter:
    """Token bucket that holds the writes of one second; a rate of 0 means no limit."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._refilled_at = 0.0

    def admit(self, rate: float, now: float) -> bool:
        """Return whether a write at time `now` is within `rate` per second."""
        if rate <= 0:
            return True
        elapsed = now - self._refilled_at
        self._tokens = min(max(rate, 1.0), self._tokens + elapsed * rate)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ObjectApi(StandIn):
    """CherryPy root of the object API."""

    def __init__(self) -> None:
        super().__init__(Faults())
        self._objects: dict[str, StoredObject] = {}
        self._changed = threading.Condition()
        self._write_limiter = WriteRateLimiter()

    @cherrypy.expose
    def objects(self, *path: str, **params: str) -> bytes:
        """Serve one object, or the names below a prefix."""
        name = "/".join(path)
        kind = call_kind(cherrypy.request.method, name, params)
        self.count(kind)
        self.count("calls")
        faults = self.current_faults
        if faults.slow_seconds:
            time.sleep(faults.slow_seconds)
        if faults.outage:
            return json_response({"error": "outage"}, 503)
        if kind == "put":
            return self._put(name, read_body())
        if kind == "list":
            return self._list(params.get("prefix", ""))
        if kind == "watch":
            return self._watch(
                name, int(params["watch"]), float(params.get("timeout", "30"))
            )
        return self._object_response(self._objects.get(name))

    def on_faults_changed(self) -> None:
        """Wake the pending watches, since an outage ends them."""
        with self._changed:
            self._changed.notify_all()

    def _list(self, prefix: str) -> bytes:
        with self._changed:
            versions = {
                name: stored.version
                for name, stored in self._objects.items()
                if name.startswith(prefix)
            }
        return json_response({"objects": versions})

    def _watch(self, name: str, version: int, seconds: float) -> bytes:
        def is_due() -> bool:
            stored = self._objects.get(name)
            return self.current_faults.outage or (
                stored is not None and stored.version > version
            )

        with self._changed:
            self._changed.wait_for(is_due, timeout=min(seconds, MAX_WATCH_SECONDS))
            stored = self._objects.get(name)
        if self.current_faults.outage:
            return json_response({"error": "outage"}, 503)
        if stored is None or stored.version <= version:
            cherrypy.response.status = 304
            return b""
        return self._object_response(stored)

    def _put(self, name: str, body: bytes) -> bytes:
        if len(body) > MAX_VALUE_BYTES:
            return json_response({"error": f"over {MAX_VALUE_BYTES} bytes"}, 413)
        try:
            json.loads(body)
        except ValueError:
            return json_response({"error": "not JSON"}, 400)
        headers = cherrypy.request.headers
        if_match, if_none_match = headers.get("If-Match"), headers.get("If-None-Match")
        with self._changed:
            if not self._write_limiter.admit(
                self.current_faults.writes_per_second, time.monotonic()
            ):
                self.count("rate_limited")
                return json_response({"error": "over the write rate"}, 429)
            current = self._objects.get(name)
            if not condition_holds(
                current, if_match=if_match, if_none_match=if_none_match
            ):
                self.count("conflicts")
                return json_response({"error": "version conflict"}, 412)
            version = current.version + 1 if current else 1
            self._objects[name] = StoredObject(version=version, body=body)
            self._changed.notify_all()
        if self.consume_fault("lose_answers"):
            self.count("lost_answers")
            return drop_connection()
        cherrypy.response.headers["ETag"] = f'"{version}"'
        return json_response({"version": version})

    def _object_response(self, stored: StoredObject | None) -> bytes:
        if stored is None:
            return json_response({"error": "no such object"}, 404)
        cherrypy.response.headers["ETag"] = f'"{stored.version}"'
        cherrypy.response.headers["Content-Type"] = "application/json"
        return stored.body


def call_kind(method: str, name: str, params: dict[str, Any]) -> str:
    """Return the name of the counter for a call.

    Examples
    --------
    >>> call_kind("GET", "head", {"watch": "3"})
    'watch'

    """
    if method == "PUT":
        return "put"
    if not name:
        return "list"
    return "watch" if "watch" in params else "get"


def condition_holds(
    current: StoredObject | None, *, if_match: str | None, if_none_match: str | None
) -> bool:
    """Return whether the condition of an update holds; False when there is none.

    Examples
    --------
    >>> condition_holds(None, if_match=None, if_none_match="*")
    True
    >>> condition_holds(None, if_match='"1"', if_none_match=None)
    False

    """
    if if_none_match == "*":
        return current is None
    if if_match is None or current is None:
        return False
    return if_match.strip('"') == str(current.version)


@click.command()
@click.option("--address", required=True)
@click.option("--threads", default=256, show_default=True)
def main(address: str, threads: int) -> None:
    """Serve an object API that keeps its objects in memory."""
    run(ObjectApi(), address=address, threads=threads)


if __name__ == "__main__":
    main()
