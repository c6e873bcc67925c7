"""Replays a recorded trace of admission decisions."""

import json
from collections.abc import Iterable
from typing import Any

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.admission.machine import AdmissionController
from eelgrassdale.admission.traces import event_of, outcome_of, settings_of
from eelgrassdale.results import Problem, ResultCode, ResultError
from eelgrassdale.telemetry import InvariantMonitor, Metrics


@frozen(kw_only=True)
class Difference:
    """The first record whose outcome differs from the replayed one."""

    line: int
    event: str
    expected: str
    replayed: str


@frozen(kw_only=True)
class ReplayReport:
    """Result of a replay; `violations` counts broken invariants in it."""

    decisions: int
    violations: int
    difference: Difference | None = None


def replay(lines: Iterable[str]) -> Result[ReplayReport, ResultError]:
    """Apply the recorded inputs and compare each outcome with the recorded one.

    Parameters
    ----------
    lines : iterable of str
        JSON lines: first the settings, then one event with its outcome each.

    Returns
    -------
    Result
        The report, or `INVALID_REQUEST` when a line is not a trace record.

    Examples
    --------
    >>> import attrs, json
    >>> from eelgrassdale.admission import events as ev
    >>> from eelgrassdale.admission.traces import record_of, settings_record
    >>> settings = ev.Settings(agent="a", incarnation=1, wall_ms=0, monotonic=0.0)
    >>> event = ev.EngineLost(now=1.0)
    >>> expected = [ev.Outcome(), ev.Outcome(code=ResultCode.LEAVING)]
    >>> records = [
    ...     settings_record(settings), *(record_of(event, out) for out in expected)
    ... ]
    >>> report = replay(json.dumps(record) for record in records).ok
    >>> report.decisions, report.difference.line
    (2, 3)

    """
    admission: AdmissionController | None = None
    monitor = InvariantMonitor(metrics=Metrics())
    decisions = 0
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            record = json.loads(line)
            if admission is None:
                admission = AdmissionController(
                    settings=settings_of(record), monitor=monitor
                )
                continue
            difference = _compare(admission, record, number)
        except (ValueError, KeyError, TypeError) as exc:
            return _malformed(number, exc)
        decisions += 1
        if difference is not None:
            return Ok(_report(decisions, monitor, difference))
    return Ok(_report(decisions, monitor, None))


def _compare(
    admission: AdmissionController, record: dict[str, Any], number: int
) -> Difference | None:
    expected = outcome_of(record)
    replayed = admission.apply(event_of(record))
    admission.pop_expired_tickets()
    if replayed == expected:
        return None
    return Difference(
        line=number,
        event=record["event"],
        expected=str(expected),
        replayed=str(replayed),
    )


def _report(
    decisions: int, monitor: InvariantMonitor, difference: Difference | None
) -> ReplayReport:
    return ReplayReport(
        decisions=decisions, violations=monitor.count, difference=difference
    )


def _malformed(number: int, exc: Exception) -> Result[ReplayReport, ResultError]:
    problem = Problem(field=f"line {number}", value=repr(exc), allowed="a trace record")
    return Error(
        ResultError(
            code=ResultCode.INVALID_REQUEST,
            message="the file is not an admission trace",
            problems=(problem,),
        )
    )
