"""Stand-in of the platform's object API.

Objects are JSON values with a version that each update raises by one. Updates
are conditional; a read may wait for a higher version.
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
    json_answer,
    read_body,
    run,
)

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_SECONDS = 60.0


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of the object API.

    `lose_answers` is the number of next updates that take effect while their
    answer is lost.
    """

    outage: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    writes_per_second: float = 0.0


@attrs.frozen(kw_only=True)
class Stored:
    """One version of an object."""

    version: int
    body: bytes


class WriteRate:
    """Token bucket of one second's writes; a rate of 0 means no limit."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._at = 0.0

    def admit(self, rate: float, now: float) -> bool:
        """Return whether a write at time `now` is within `rate` per second."""
        if rate <= 0:
            return True
        elapsed = now - self._at
        self._tokens = min(max(rate, 1.0), self._tokens + elapsed * rate)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ObjectApi(StandIn):
    """CherryPy root of the object API."""

    def __init__(self) -> None:
        super().__init__(Faults())
        self._stored: dict[str, Stored] = {}
        self._changed = threading.Condition()
        self._rate = WriteRate()

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
            return json_answer({"error": "outage"}, 503)
        if kind == "put":
            return self._put(name, read_body())
        if kind == "list":
            return self._list(params.get("prefix", ""))
        if kind == "watch":
            return self._watch(
                name, int(params["watch"]), float(params.get("timeout", "30"))
            )
        return self._answer(self._stored.get(name))

    def faults_changed(self) -> None:
        """Wake the pending watches, which an outage ends."""
        with self._changed:
            self._changed.notify_all()

    def _list(self, prefix: str) -> bytes:
        with self._changed:
            found = {
                name: stored.version
                for name, stored in self._stored.items()
                if name.startswith(prefix)
            }
        return json_answer({"objects": found})

    def _watch(self, name: str, version: int, seconds: float) -> bytes:
        def due() -> bool:
            stored = self._stored.get(name)
            return self.current_faults.outage or (
                stored is not None and stored.version > version
            )

        with self._changed:
            self._changed.wait_for(due, timeout=min(seconds, MAX_WATCH_SECONDS))
            stored = self._stored.get(name)
        if self.current_faults.outage:
            return json_answer({"error": "outage"}, 503)
        if stored is None or stored.version <= version:
            cherrypy.response.status = 304
            return b""
        return self._answer(stored)

    def _put(self, name: str, body: bytes) -> bytes:
        if len(body) > MAX_VALUE_BYTES:
            return json_answer({"error": f"over {MAX_VALUE_BYTES} bytes"}, 413)
        try:
            json.loads(body)
        except ValueError:
            return json_answer({"error": "not JSON"}, 400)
        headers = cherrypy.request.headers
        if_match, if_none = headers.get("If-Match"), headers.get("If-None-Match")
        with self._changed:
            if not self._rate.admit(
                self.current_faults.writes_per_second, time.monotonic()
            ):
                self.count("rate_limited")
                return json_answer({"error": "over the write rate"}, 429)
            old = self._stored.get(name)
            if not condition_holds(old, if_match=if_match, if_none_match=if_none):
                self.count("conflicts")
                return json_answer({"error": "version conflict"}, 412)
            version = old.version + 1 if old else 1
            self._stored[name] = Stored(version=version, body=body)
            self._changed.notify_all()
        if self.use_up("lose_answers"):
            self.count("lost_answers")
            return drop_connection()
        cherrypy.response.headers["ETag"] = f'"{version}"'
        return json_answer({"version": version})

    def _answer(self, stored: Stored | None) -> bytes:
        if stored is None:
            return json_answer({"error": "no such object"}, 404)
        cherrypy.response.headers["ETag"] = f'"{stored.version}"'
        cherrypy.response.headers["Content-Type"] = "application/json"
        return stored.body


def call_kind(method: str, name: str, params: dict[str, Any]) -> str:
    """Return the kind under which a call is counted.

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
    old: Stored | None, *, if_match: str | None, if_none_match: str | None
) -> bool:
    """Return whether the condition of an update holds; one is required.

    Examples
    --------
    >>> condition_holds(None, if_match=None, if_none_match="*")
    True
    >>> condition_holds(None, if_match='"1"', if_none_match=None)
    False

    """
    if if_none_match == "*":
        return old is None
    if if_match is None or old is None:
        return False
    return if_match.strip('"') == str(old.version)


@click.command()
@click.option("--address", required=True)
@click.option("--threads", default=256, show_default=True)
def main(address: str, threads: int) -> None:
    """Serve an object API that keeps its objects in memory."""
    run(ObjectApi(), address=address, threads=threads)


if __name__ == "__main__":
    main()
