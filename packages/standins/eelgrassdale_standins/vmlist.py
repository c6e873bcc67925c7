"""Stand-in of the platform's VM list, which shows changes after a configurable lag."""

import json
import threading
import time

import attrs
import cherrypy
import click

from eelgrassdale_standins.serving import StandIn, json_response, read_body, run


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of the VM list; `lag_seconds` delays the visibility of a change."""

    outage: bool = False
    slow_seconds: float = 0.0
    lag_seconds: float = 0.0


class VmList(StandIn):
    """CherryPy root of the VM list."""

    def __init__(self, *, lag_seconds: float) -> None:
        super().__init__(Faults(lag_seconds=lag_seconds))
        self._lock = threading.Lock()
        self._history: list[tuple[float, dict[str, object]]] = [
            (float("-inf"), {"version": 0, "vms": []})
        ]

    @cherrypy.expose
    def vms(self) -> bytes:
        """Replace the list by PUT, or return it as it was `lag_seconds` ago."""
        if cherrypy.request.method == "PUT":
            return self._replace(json.loads(read_body())["vms"])
        self.count("get")
        faults = self.current_faults
        if faults.slow_seconds:
            time.sleep(faults.slow_seconds)
        if faults.outage:
            return json_response({"error": "outage"}, 503)
        visible_until = time.monotonic() - faults.lag_seconds
        with self._lock:
            visible_states = [
                state
                for changed_at, state in self._history
                if changed_at <= visible_until
            ]
        return json_response(visible_states[-1])

    def _replace(self, vms: list[dict[str, object]]) -> bytes:
        with self._lock:
            version = int(self._history[-1][1]["version"]) + 1
            self._history.append((time.monotonic(), {"version": version, "vms": vms}))
        return json_response({"version": version})


@click.command()
@click.option("--address", required=True)
@click.option("--lag-seconds", default=0.0, show_default=True)
@click.option("--threads", default=32, show_default=True)
def main(address: str, lag_seconds: float, threads: int) -> None:
    """Serve a VM list that clients replace by PUT."""
    run(VmList(lag_seconds=lag_seconds), address=address, threads=threads)


if __name__ == "__main__":
    main()
