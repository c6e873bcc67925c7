"""Run the measurements and print one JSON object per line."""

import importlib
import importlib.util
import json
import os
import sys
from collections.abc import Iterator

from eelgrassdale.telemetry import configure_logs

MEASUREMENTS = (
    "time_to_replicas",
    "slow_readers",
    "overload",
    "cost",
    "dispatch_cost",
    "data_centre_change",
    "configuration_spread",
    "state_size",
    "failure_detection",
    "logging_cost",
)


def machine() -> dict[str, object]:
    """Return the core count and load averages of this machine."""
    return {
        "measure": "machine",
        "cores": os.cpu_count(),
        "load_average": [round(value, 2) for value in os.getloadavg()],
    }


def module_name(name: str) -> str:
    """Return the full name of the module of a measurement."""
    return f"eelgrassdale_measures.{name}"


def available_measurements(names: tuple[str, ...] = MEASUREMENTS) -> list[str]:
    """Return the measurements whose module exists.

    Examples
    --------
    >>> available_measurements(("no_such_measure",))
    []

    """
    return [name for name in names if importlib.util.find_spec(module_name(name))]


def run_measurements(names: list[str]) -> Iterator[dict[str, object]]:
    """Run measurements in order; yield the machine's figures, then each result."""
    yield machine()
    for name in names:
        for result in importlib.import_module(module_name(name)).run():
            yield {"measure": name, **result}


def main(arguments: list[str]) -> int:
    """Run the named measurements, or all, and return the exit status.

    The status is 2 if a name is not that of a measurement.
    """
    unknown = sorted(set(arguments) - set(available_measurements()))
    if unknown:
        print(
            f"unknown measurements {unknown}; known: {available_measurements()}",
            file=sys.stderr,
        )
        return 2
    configure_logs(log_format="json", level="warning")
    for line in run_measurements(arguments or available_measurements()):
        print(json.dumps(line), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
