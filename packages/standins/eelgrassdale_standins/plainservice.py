"""Stand-in of a plain service that counts the runs of each request."""

import collections
import json
import threading
import time

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

# Upper bound on the answer of `/bytes/{count}`, which returns `count` bytes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of the plain service.

    The next `lose_answers` requests run but get no answer. `status` replaces
    the HTTP status of the answers unless it is 0.
    """

    outage: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    status: int = 0


class PlainService(StandIn):
    """CherryPy root of a plain service.

    A request is counted when it takes effect, by its `X-Request-Id` and by the
    field `reservation` of its JSON body, which stays the same when a caller
    repeats a request under another id.
    """

    def __init__(self, *, delay_seconds: float) -> None:
        super().__init__(Faults(delay_seconds=delay_seconds))
        self._lock = threading.Lock()
        self._runs: collections.Counter[str] = collections.Counter()
        self._reservations: collections.Counter[str] = collections.Counter()
        self._running = 0
        self._most_running = 0

    @cherrypy.expose
    def default(self, *path: str, **_params: str) -> bytes:
        """Run one request."""
        body = read_body()
        if self.current_faults.outage:
            return json_response({"error": "outage"}, 503)
        request_id = cherrypy.request.headers.get("X-Request-Id", "")
        reservation = reservation_of(body)
        with self._lock:
            self._runs[request_id] += 1
            if reservation:
                self._reservations[reservation] += 1
            self._running += 1
            self._most_running = max(self._most_running, self._running)
        try:
            time.sleep(self.current_faults.delay_seconds)
        finally:
            with self._lock:
                self._running -= 1
        if self.consume_fault("lose_answers"):
            return drop_connection()
        if len(path) == 2 and path[0] == "bytes" and path[1].isdigit():
            return bytes(min(int(path[1]), MAX_ANSWER_BYTES))
        return json_response(
            {
                "path": "/".join(path),
                "request_id": request_id,
                "reservation": reservation,
                "received_bytes": len(body),
            },
            self.current_faults.status or 200,
        )

    def collect_counts(self) -> dict[str, object]:
        """Return the number of runs by request id and by reservation."""
        with self._lock:
            return {
                "runs": dict(self._runs),
                "reservations": dict(self._reservations),
                "requests": self._runs.total(),
                "running": self._running,
                "most_running": self._most_running,
            }


def reservation_of(body: bytes) -> str:
    """Return the field `reservation` of a JSON object, or an empty string.

    Examples
    --------
    >>> reservation_of(b'{"reservation": "r-1"}'), reservation_of(b"other")
    ('r-1', '')

    """
    try:
        value = json.loads(body)
    except ValueError:
        return ""
    return str(value.get("reservation", "")) if isinstance(value, dict) else ""


@click.command()
@click.option("--address", required=True)
@click.option("--delay-seconds", default=0.0, show_default=True)
@click.option("--threads", default=128, show_default=True)
def main(address: str, delay_seconds: float, threads: int) -> None:
    """Serve a plain service."""
    root = PlainService(delay_seconds=delay_seconds)
    run(root, address=address, threads=threads)


if __name__ == "__main__":
    main()
