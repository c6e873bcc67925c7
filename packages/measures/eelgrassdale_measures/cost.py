"""Processor time of one entry node and one agent for requests and tokens.

Callers keep a fixed number of requests under way at three answer lengths. The
processor time per request over the tokens per request is a line: its slope is
the cost of a token, its value at no token the cost of a request.
"""

import threading
import time
from collections.abc import Iterable

import attrs
import psutil

from eelgrassdale_measures.slopes import at_size, slope
from eelgrassdale_standins.callers import Caller
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.topology import (
    LID_ASSISTANT,
    AgentSpec,
    EntrySpec,
    ModelSpec,
    Topology,
    small,
)

TOKENS = (4, 32, 96)
CALLERS = 8
SECONDS = 6.0
IDLE_SECONDS = 3.0
TOKEN_MS = 10
ENTRY = "entry-0"
AGENT = "lid-0"
ROLES = {"entry": ENTRY, "agent": AGENT}
MODEL = ModelSpec(version="lid-1", size_bytes=1_000_000)


@attrs.frozen(kw_only=True)
class Run:
    """Whole answers of one length, and what they cost by role in ms."""

    tokens: int
    requests: int
    failed: int
    seconds: float
    cpu_ms: dict[str, float]

    def per_request_ms(self, role: str, idle: dict[str, float]) -> float:
        """Return the processor time of one request without what idling takes."""
        used = self.cpu_ms[role] - idle[role] * self.seconds
        return used / max(1, self.requests)


def run() -> Iterable[dict[str, object]]:
    """Yield one line for each answer length and one for each role."""
    with Deployment(topology()) as deployment:
        _serve(deployment, tokens=TOKENS[0], seconds=SECONDS)
        idle = _idle_ms_per_second(deployment)
        runs = [_measure(deployment, tokens) for tokens in TOKENS]
    for done in runs:
        yield _line(done, idle)
    for role in ROLES:
        yield summary(role, runs, idle)


def topology() -> Topology:
    """Return one entry node and one agent beside an engine."""
    base = small(models=(MODEL,))
    place = base.data_centres[0]
    return attrs.evolve(
        base,
        data_centres=(place,),
        entries=(EntrySpec(name=ENTRY, data_centre=place.name),),
        agents=(AgentSpec(name=AGENT, data_centre=place.name, service=LID_ASSISTANT),),
        backend_options={LID_ASSISTANT: ("--token-ms", TOKEN_MS, "--cold-seconds", 0)},
    )


def summary(role: str, runs: list[Run], idle: dict[str, float]) -> dict[str, object]:
    """Return the cost of a request and of a token for one role.

    Examples
    --------
    >>> runs = [
    ...     Run(tokens=n, requests=10, failed=0, seconds=1.0, cpu_ms={"a": 30.0 + n})
    ...     for n in (10, 20, 40)
    ... ]
    >>> line = summary("a", runs, {"a": 10.0})
    >>> line["ms_per_request"], line["ms_per_token"]
    (2.0, 0.1)

    """
    sizes = [done.tokens for done in runs]
    costs = [done.per_request_ms(role, idle) for done in runs]
    return {
        "measure": "cost",
        "role": role,
        "ms_per_request": round(at_size(sizes, costs, 0), 3),
        "ms_per_token": round(slope(sizes, costs), 4),
        "idle_ms_per_second": round(idle[role], 2),
    }


def _line(done: Run, idle: dict[str, float]) -> dict[str, object]:
    costs = {
        f"{role}_ms_per_request": round(done.per_request_ms(role, idle), 3)
        for role in ROLES
    }
    return {
        "measure": "cost",
        "tokens": done.tokens,
        "requests": done.requests,
        "failed": done.failed,
        "requests_per_second": round(done.requests / done.seconds, 1),
        **costs,
    }


def _measure(deployment: Deployment, tokens: int) -> Run:
    before = _cpu_ms(deployment)
    start = time.monotonic()
    requests, failed = _serve(deployment, tokens=tokens, seconds=SECONDS)
    seconds = time.monotonic() - start
    after = _cpu_ms(deployment)
    return Run(
        tokens=tokens,
        requests=requests,
        failed=failed,
        seconds=seconds,
        cpu_ms={role: after[role] - before[role] for role in ROLES},
    )


def _idle_ms_per_second(deployment: Deployment) -> dict[str, float]:
    before = _cpu_ms(deployment)
    time.sleep(IDLE_SECONDS)
    after = _cpu_ms(deployment)
    return {role: (after[role] - before[role]) / IDLE_SECONDS for role in ROLES}


def _cpu_ms(deployment: Deployment) -> dict[str, float]:
    found = {}
    for role, name in ROLES.items():
        times = psutil.Process(deployment.processes[name].pid).cpu_times()
        found[role] = (times.user + times.system) * 1000
    return found


def _serve(deployment: Deployment, *, tokens: int, seconds: float) -> tuple[int, int]:
    """Keep `CALLERS` requests under way and return the whole and failed answers."""
    deadline = time.monotonic() + seconds
    counts = [[0, 0] for _ in range(CALLERS)]
    threads = [
        threading.Thread(target=_call, args=(deployment, index, tokens, deadline, own))
        for index, own in enumerate(counts)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(own[0] for own in counts), sum(own[1] for own in counts)


def _call(
    deployment: Deployment, index: int, tokens: int, deadline: float, counts: list[int]
) -> None:
    accounts = deployment.topology.accounts
    caller = Caller(
        account=accounts[index % len(accounts)].name,
        weights={MODEL.version: MODEL.weights().loaded_digest},
    )
    while time.monotonic() < deadline:
        answer = caller.generate(
            deployment.addresses.caller[ENTRY],
            LID_ASSISTANT,
            prompt=f"Which lid fits jar {index}?",
            max_tokens=tokens,
        )
        counts[0 if answer.is_whole else 1] += 1
