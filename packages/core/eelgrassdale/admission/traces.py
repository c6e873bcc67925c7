"""Admission decisions as JSON records, for recording and replay."""

from typing import Any

import attrs

from eelgrassdale.admission import events as ev
from eelgrassdale.results import ResultCode

EVENT_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        ev.Configured,
        ev.Submitted,
        ev.Resumed,
        ev.Completed,
        ev.EngineReported,
        ev.EngineLost,
        ev.VersionMismatch,
        ev.LoadingStarted,
        ev.LoadingEnded,
        ev.PauseSeen,
        ev.PauseChecked,
        ev.Stopping,
    )
}


def settings_record(settings: ev.Settings) -> dict[str, Any]:
    """Return the first record of a trace."""
    return {"settings": attrs.asdict(settings)}


def record_of(event: ev.Event, outcome: ev.Outcome) -> dict[str, Any]:
    """Return one event with its outcome.

    Examples
    --------
    >>> record = record_of(ev.EngineLost(now=1.5), ev.Outcome())
    >>> record["event"], record["input"]
    ('EngineLost', {'now': 1.5})

    """
    return {
        "event": type(event).__name__,
        "input": attrs.asdict(event),
        "outcome": attrs.asdict(outcome),
    }


def settings_of(record: dict[str, Any]) -> ev.Settings:
    """Return the settings of the first record of a trace."""
    return ev.Settings(**record["settings"])


def event_of(record: dict[str, Any]) -> ev.Event:
    """Return the event of a record.

    Examples
    --------
    >>> event_of({"event": "EngineLost", "input": {"now": 1.5}})
    EngineLost(now=1.5)

    """
    kind = EVENT_TYPES[record["event"]]
    values = dict(record["input"])
    if kind is ev.Configured:
        bounds = values["bounds"]
        values["bounds"] = ev.Bounds(**bounds) if bounds is not None else None
        values["services"] = tuple(values["services"])
    if kind is ev.Completed:
        values["code"] = ResultCode(values["code"])
    return kind(**values)


def outcome_of(record: dict[str, Any]) -> ev.Outcome:
    """Return the recorded outcome of a record."""
    values = dict(record["outcome"])
    values["code"] = ResultCode(values["code"])
    return ev.Outcome(**values)
