"""Processor time of an entry node and an agent per request and per token.

Callers keep a fixed number of requests in flight, at three answer lengths. A
line is fitted to the processor time per request as a function of the tokens
per request: its slope is the cost of a token, its value at zero tokens the
cost of a request.
"""

import threading
import time
from collections.abc import Iterable

import attrs
import psutil

from eelgrassdale_measures.slopes import fitted_value, slope
from eelgrassdale_standins.callers import Caller
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.topology import (
    LID_ASSISTANT,
    AgentSpec,
    EntrySpec,
    ModelSpec,
    Topology,
    small_topology,
)

ANSWER_TOKENS = (4, 32, 96)
CALLER_COUNT = 8
RUN_SECONDS = 6.0
IDLE_SECONDS = 3.0
TOKEN_MS = 10
ENTRY_NODE = "entry-0"
AGENT_NODE = "lid-0"
NODE_BY_ROLE = {"entry": ENTRY_NODE, "agent": AGENT_NODE}
MODEL = ModelSpec(version="lid-1", size_bytes=1_000_000)


@attrs.frozen(kw_only=True)
class RunResult:
    """Answers of one length and the processor time they took, in ms by role."""

    tokens: int
    requests: int
    failed: int
    seconds: float
    cpu_ms: dict[str, float]

    def cpu_ms_per_request(
        self, role: str, idle_ms_per_second: dict[str, float]
    ) -> float:
        """Return the processor time of one request, less that of the idle node."""
        used = self.cpu_ms[role] - idle_ms_per_second[role] * self.seconds
        return used / max(1, self.requests)


def run() -> Iterable[dict[str, object]]:
    """Yield one line for each answer length and one for each role."""
    with Deployment(topology()) as deployment:
        _run_load(deployment, tokens=ANSWER_TOKENS[0], seconds=RUN_SECONDS)
        idle_ms_per_second = _idle_ms_per_second(deployment)
        runs = [_measure(deployment, tokens) for tokens in ANSWER_TOKENS]
    for result in runs:
        yield _result_line(result, idle_ms_per_second)
    for role in NODE_BY_ROLE:
        yield role_line(role, runs, idle_ms_per_second)


def topology() -> Topology:
    """Return a deployment of one entry node and one agent with its engine."""
    base = small_topology(models=(MODEL,))
    data_centre = base.data_centres[0]
    return attrs.evolve(
        base,
        data_centres=(data_centre,),
        entries=(EntrySpec(name=ENTRY_NODE, data_centre=data_centre.name),),
        agents=(
            AgentSpec(
                name=AGENT_NODE, data_centre=data_centre.name, service=LID_ASSISTANT
            ),
        ),
        backend_options={LID_ASSISTANT: ("--token-ms", TOKEN_MS, "--cold-seconds", 0)},
    )


def role_line(
    role: str, runs: list[RunResult], idle_ms_per_second: dict[str, float]
) -> dict[str, object]:
    """Return the cost of a request and of a token for one role.

    Examples
    --------
    >>> runs = [
    ...     RunResult(
    ...         tokens=n, requests=10, failed=0, seconds=1.0, cpu_ms={"a": 30.0 + n}
    ...     )
    ...     for n in (10, 20, 40)
    ... ]
    >>> line = role_line("a", runs, {"a": 10.0})
    >>> line["ms_per_request"], line["ms_per_token"]
    (2.0, 0.1)

    """
    sizes = [result.tokens for result in runs]
    costs = [result.cpu_ms_per_request(role, idle_ms_per_second) for result in runs]
    return {
        "measure": "cost",
        "role": role,
        "ms_per_request": round(fitted_value(sizes, costs, 0), 3),
        "ms_per_token": round(slope(sizes, costs), 4),
        "idle_ms_per_second": round(idle_ms_per_second[role], 2),
    }


def _result_line(
    result: RunResult, idle_ms_per_second: dict[str, float]
) -> dict[str, object]:
    costs = {
        f"{role}_ms_per_request": round(
            result.cpu_ms_per_request(role, idle_ms_per_second), 3
        )
        for role in NODE_BY_ROLE
    }
    return {
        "measure": "cost",
        "tokens": result.tokens,
        "requests": result.requests,
        "failed": result.failed,
        "requests_per_second": round(result.requests / result.seconds, 1),
        **costs,
    }


def _measure(deployment: Deployment, tokens: int) -> RunResult:
    before = _cpu_ms(deployment)
    start = time.monotonic()
    requests, failed = _run_load(deployment, tokens=tokens, seconds=RUN_SECONDS)
    seconds = time.monotonic() - start
    after = _cpu_ms(deployment)
    return RunResult(
        tokens=tokens,
        requests=requests,
        failed=failed,
        seconds=seconds,
        cpu_ms={role: after[role] - before[role] for role in NODE_BY_ROLE},
    )


def _idle_ms_per_second(deployment: Deployment) -> dict[str, float]:
    before = _cpu_ms(deployment)
    time.sleep(IDLE_SECONDS)
    after = _cpu_ms(deployment)
    return {role: (after[role] - before[role]) / IDLE_SECONDS for role in NODE_BY_ROLE}


def _cpu_ms(deployment: Deployment) -> dict[str, float]:
    cpu_ms = {}
    for role, name in NODE_BY_ROLE.items():
        times = psutil.Process(deployment.processes[name].pid).cpu_times()
        cpu_ms[role] = (times.user + times.system) * 1000
    return cpu_ms


def _run_load(
    deployment: Deployment, *, tokens: int, seconds: float
) -> tuple[int, int]:
    """Keep `CALLER_COUNT` requests in flight.

    Returns the numbers of complete and of failed answers.
    """
    deadline = time.monotonic() + seconds
    counts = [[0, 0] for _ in range(CALLER_COUNT)]
    threads = [
        threading.Thread(
            target=_run_caller,
            args=(deployment, index, tokens, deadline, caller_counts),
        )
        for index, caller_counts in enumerate(counts)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(caller_counts[0] for caller_counts in counts), sum(
        caller_counts[1] for caller_counts in counts
    )


def _run_caller(
    deployment: Deployment, index: int, tokens: int, deadline: float, counts: list[int]
) -> None:
    accounts = deployment.topology.accounts
    caller = Caller(
        account=accounts[index % len(accounts)].name,
        weights={MODEL.version: MODEL.weights().loaded_digest},
    )
    while time.monotonic() < deadline:
        answer = caller.generate(
            deployment.addresses.caller[ENTRY_NODE],
            LID_ASSISTANT,
            prompt=f"Which lid fits jar {index}?",
            max_tokens=tokens,
        )
        counts[0 if answer.is_complete else 1] += 1
