"""HTTP server, fault injection and counter handling shared by all stand-ins."""

import collections
import json
import os
import signal
import socket
import sys
import threading
from collections.abc import Callable
from typing import Any

import attrs
import cherrypy
from cheroot import wsgi

from eelgrassdale.wire.client import parse_address

MAX_BODY_BYTES = 64 * 1024 * 1024
LISTEN_BACKLOG = 512
EXIT_ADDRESS_UNAVAILABLE = 2
_CONNECTION_KEY = "eelgrassdale.connection"


class _ConnectionGateway(wsgi.Gateway_10):
    """WSGI gateway that lets a handler close its connection without a response."""

    def get_environ(self) -> dict[str, Any]:
        return {**super().get_environ(), _CONNECTION_KEY: self.req.conn}


class StandIn:
    """Base class of the CherryPy roots: health, faults and counters.

    Parameters
    ----------
    faults : attrs instance
        Frozen value whose fields are the faults; `POST /faults` changes them.
    """

    def __init__(self, faults: Any) -> None:
        self._faults = faults
        self._counts: collections.Counter[str] = collections.Counter()
        self._counts_lock = threading.Lock()

    @property
    def current_faults(self) -> Any:
        """Faults that are currently injected."""
        return self._faults

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter of `GET /counts`."""
        with self._counts_lock:
            self._counts[name] += amount

    def consume_fault(self, field: str) -> bool:
        """Return whether the fault counter `field` is above zero, and decrement it."""
        with self._counts_lock:
            remaining = getattr(self._faults, field)
            if remaining > 0:
                self._faults = attrs.evolve(self._faults, **{field: remaining - 1})
        return remaining > 0

    @cherrypy.expose
    def health(self) -> bytes:
        """Answer that the process serves requests."""
        return json_response({"ok": True, "pid": os.getpid()})

    @cherrypy.expose
    def faults(self) -> bytes:
        """Change the faults named in the JSON body and return all of them."""
        if cherrypy.request.method == "POST":
            changes = json.loads(read_body())
            known = {field.name for field in attrs.fields(type(self._faults))}
            unknown = sorted(set(changes) - known)
            if unknown:
                return json_response({"unknown": unknown, "known": sorted(known)}, 400)
            with self._counts_lock:
                self._faults = attrs.evolve(self._faults, **changes)
            self.on_faults_changed()
        return json_response(attrs.asdict(self._faults))

    @cherrypy.expose
    def counts(self) -> bytes:
        """Return the counters since the start."""
        return json_response(self.collect_counts())

    def collect_counts(self) -> dict[str, Any]:
        """Return the counters by name."""
        with self._counts_lock:
            return dict(self._counts)

    def on_faults_changed(self) -> None:
        """Act on changed faults; does nothing unless overridden."""


def read_body() -> bytes:
    """Return the body of the current request."""
    length = int(cherrypy.request.headers.get("Content-Length") or 0)
    return cherrypy.request.rfile.read(length) if length else b""


def json_response(value: object, status: int = 200) -> bytes:
    """Set status and content type of the current response and return its body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value, sort_keys=True).encode()


def drop_connection() -> bytes:
    """Close the connection of the current request without a response."""
    close_connection(current_connection())
    return b""


def current_connection() -> socket.socket:
    """Return the socket of the current request."""
    return cherrypy.request.wsgi_environ[_CONNECTION_KEY].socket


def close_connection(conn: socket.socket) -> None:
    """Shut a connection down in both directions, which cuts the response short."""
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def run(
    root: StandIn,
    *,
    address: str,
    threads: int,
    on_start: Callable[[], None] = lambda: None,
) -> None:
    """Serve `root` until SIGTERM or SIGINT.

    The process exits without waiting for open responses: a stand-in has nothing
    to drain, and long polls would only delay the exit.
    """
    bind_address = parse_address(address)
    cherrypy.config.update({"environment": "embedded", "log.screen": False})
    application = cherrypy.Application(
        root, "", {"/": {"request.process_request_body": False}}
    )
    server = wsgi.Server(
        (bind_address.host, bind_address.port),
        application,
        numthreads=threads,
        request_queue_size=LISTEN_BACKLOG,
    )
    server.gateway = _ConnectionGateway
    server.max_request_body_size = MAX_BODY_BYTES
    server.error_log = _discard_log
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: os._exit(0))
    try:
        server.prepare()
    except OSError as exc:
        print(f"--address: cannot bind {address}: {exc}", file=sys.stderr)
        raise SystemExit(EXIT_ADDRESS_UNAVAILABLE) from exc
    on_start()
    server.serve()


def _discard_log(*_args: object, **_kwargs: object) -> None:
    """Discard cheroot's messages about connections closed by a fault or a caller."""
