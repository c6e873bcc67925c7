"""Replays recorded routing decisions and compares them with their outcomes.

Each line of a trace is a JSON object: `decision` names the decision, `inputs` has
all its arguments, and `outcome` is the result that it must return.
"""

import json
from collections.abc import Callable, Iterable
from random import Random
from types import SimpleNamespace
from typing import Any

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.results import Problem, ResultCode, ResultError
from eelgrassdale.routing.choice import (
    AgentView,
    Location,
    RequestRequirements,
    choose_server,
)
from eelgrassdale.routing.fairqueue import FairQueue, Queued
from eelgrassdale.routing.frames import AnswerValidator, FrameVerdict
from eelgrassdale.routing.keys import parse_key
from eelgrassdale.routing.outcomes import final_code, keyed_code
from eelgrassdale.routing.regions import RegionBudget
from eelgrassdale.routing.retry import RetryBudget, may_send_again


@frozen(kw_only=True)
class Difference:
    """A decision whose replayed outcome differs from the recorded one."""

    line: int
    decision: str
    expected: object
    replayed: object


@frozen(kw_only=True)
class ReplayReport:
    """Number of replayed decisions, and all differences."""

    decisions: int
    differences: tuple[Difference, ...] = ()


def replay(lines: Iterable[str]) -> Result[ReplayReport, ResultError]:
    """Replay the decisions of a trace and compare their outcomes.

    The error is `INVALID_REQUEST` for a line that is not a routing decision.

    Examples
    --------
    >>> record = {
    ...     "decision": "may_send_again",
    ...     "inputs": {"code": 107, "idempotent": False, "keyed": False},
    ...     "outcome": False,
    ... }
    >>> report = replay([json.dumps(record)]).ok
    >>> report.decisions, report.differences[0].replayed
    (1, True)

    """
    differences = []
    decisions = 0
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            record = json.loads(line)
            name, expected = record["decision"], record["outcome"]
            replayed = DECISIONS[name](**record["inputs"])
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            return _malformed(number, exc)
        decisions += 1
        if replayed != expected:
            differences.append(
                Difference(
                    line=number, decision=name, expected=expected, replayed=replayed
                )
            )
    return Ok(ReplayReport(decisions=decisions, differences=tuple(differences)))


def is_routing_trace(first_line: str) -> bool:
    """Return whether `first_line` is the start of a routing trace."""
    try:
        return "decision" in json.loads(first_line)
    except (ValueError, TypeError):
        return False


def _choose(*, place: dict, views: list, need: dict, seed: int) -> str | None:
    need = {**need, "avoided": frozenset(need.get("avoided", ()))}
    view = choose_server(
        views=[AgentView(**view) for view in views],
        location=Location(**place),
        requirements=RequestRequirements(**need),
        rng=Random(seed),
    )
    return None if view is None else view.name


def _queue(*, limit: int, arrivals: list) -> dict[str, Any]:
    queue = FairQueue(limit=limit)
    refused = []
    for arrival in arrivals:
        displaced = queue.push(Queued(**arrival))
        if displaced is not None:
            refused.append(displaced.queued.request_id)
    served = [queue.pop().request_id for _ in range(len(queue))]
    return {"refused": refused, "served": served}


def _frames(*, reader: dict, frames: list) -> list[str]:
    state = AnswerValidator(**reader)
    verdicts = []
    for fields in frames:
        frame = SimpleNamespace(**{**_FRAME_DEFAULTS, **fields})
        frame.data = frame.data.encode()
        verdict = state.check_frame(frame)
        if verdict is not FrameVerdict.DROP:
            state.accept(frame.data)
        verdicts.append(verdict.value)
    return verdicts


_FRAME_DEFAULTS = {
    "data": "",
    "is_last": False,
    "total_length": 0,
    "digest": "",
    "code": 0,
    "http_status": 0,
}


def _retries(*, tokens: float, steps: list[str]) -> list[bool]:
    budget = RetryBudget(tokens=tokens)
    granted = []
    for step in steps:
        if step == "request":
            budget.record_request()
        else:
            granted.append(budget.try_acquire())
    return granted


def _regions(*, bytes_per_second: float, asked: list) -> list[bool]:
    budget = RegionBudget(bytes_per_second=bytes_per_second)
    allowed = []
    for now, count in asked:
        allowed.append(budget.allows(count, now))
        if allowed[-1]:
            budget.charge(count, now)
    return allowed


def _key(*, text: str) -> int:
    parsed = parse_key(text)
    return int(parsed.error.code) if parsed.is_error() else int(ResultCode.OK)


DECISIONS: dict[str, Callable[..., object]] = {
    "choose": _choose,
    "final_code": lambda **inputs: int(final_code(inputs.pop("code"), **inputs)),
    "frames": _frames,
    "key": _key,
    "keyed_code": lambda *, code: int(keyed_code(code)),
    "may_send_again": may_send_again,
    "queue": _queue,
    "regions": _regions,
    "retries": _retries,
}


def _malformed(number: int, exc: Exception) -> Result[ReplayReport, ResultError]:
    problem = Problem(
        field=f"line {number}", value=repr(exc), allowed="a routing decision"
    )
    return Error(
        ResultError(
            code=ResultCode.INVALID_REQUEST,
            message="the file is not a routing trace",
            problems=(problem,),
        )
    )
