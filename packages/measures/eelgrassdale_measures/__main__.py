"""Runner of the measurements: one JSON object a line."""

import importlib
import importlib.util
import json
import os
import sys
from collections.abc import Iterator

from eelgrassdale.telemetry import configure_logs

MEASURES = (
    "time_to_replicas",
    "slow_readers",
    "overload",
    "cost",
    "data_centre_change",
    "configuration_spread",
    "state_size",
    "failure_detection",
    "logging_cost",
)


def machine() -> dict[str, object]:
    """Return the cores and load average under which the figures arise."""
    return {
        "measure": "machine",
        "cores": os.cpu_count(),
        "load_average": [round(value, 2) for value in os.getloadavg()],
    }


def module_of(name: str) -> str:
    """Return the module that holds a measurement."""
    return f"eelgrassdale_measures.{name}"


def available(names: tuple[str, ...] = MEASURES) -> list[str]:
    """Return the measurements whose module exists.

    Examples
    --------
    >>> available(("no_such_measure",))
    []

    """
    return [name for name in names if importlib.util.find_spec(module_of(name))]


def lines(names: list[str]) -> Iterator[dict[str, object]]:
    """Run measurements in order and yield their results."""
    yield machine()
    for name in names:
        for result in importlib.import_module(module_of(name)).run():
            yield {"measure": name, **result}


def main(arguments: list[str]) -> int:
    """Run the measurement named by the argument, or all.

    Returns 2 for a name that is not a measurement.
    """
    unknown = sorted(set(arguments) - set(available()))
    if unknown:
        print(f"no measurement {unknown}; known: {available()}", file=sys.stderr)
        return 2
    configure_logs(log_format="json", level="warning")
    for line in lines(arguments or available()):
        print(json.dumps(line), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
