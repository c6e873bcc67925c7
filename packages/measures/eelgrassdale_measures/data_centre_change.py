"""Service quality while a data centre is taken out of service and returns.

The example deployment `lidwright_topology` runs under steady load on all three
services. Targets: no failed request, no refused request (the other two data
centres have enough capacity), the last request started in the data centre at
most 3 s after the change is accepted, and a 95th percentile of the latency of
at most 1.5 times the one before the change.
"""

import collections
import itertools
import threading
import time
from collections.abc import Iterator

import attrs
import urllib3

from eelgrassdale_measures.callerload import percentile
from eelgrassdale_standins.commands import OPERATOR_TOKEN
from eelgrassdale_standins.control import get_counts, http_url
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.loadgenerator import LoadGenerator, LoadTotals
from eelgrassdale_standins.topology import (
    FRANCHISE_PORTAL,
    LID_ASSISTANT,
    ORDER_DESK,
    SAN_FERNANDO,
    ModelSpec,
    lidwright_topology,
)

MODELS = (ModelSpec(version="lid-1", size_bytes=1_000_000),)
PHASE_SECONDS = {"before": 8.0, "out": 10.0, "returned": 12.0}
WARM_UP_SECONDS = 3.0
# The change is requested this long after the load of its phase has started.
ACTION_DELAY_SECONDS = 0.5
CALLER_PAUSE_SECONDS = 0.05
SAMPLE_INTERVAL_SECONDS = 0.025
SHARE_WINDOW_SECONDS = 2.0
FULL_SHARE_RATIO = 0.8
ADMIN_TIMEOUT_SECONDS = 10.0
TARGETS = {"failed": 0, "refused": 0, "last_new_work_s": 3.0, "p95_ratio": 1.5}


@attrs.frozen(kw_only=True)
class Sample:
    """Requests started so far by backend server, at a monotonic time in seconds."""

    sampled_at: float
    started_requests: dict[str, int]


class RequestCountSampler:
    """Thread that polls the request counts of the backend servers."""

    def __init__(self, deployment: Deployment) -> None:
        self._addresses = dict(deployment.addresses.backend)
        self.samples: list[Sample] = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "RequestCountSampler":
        """Start sampling."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop sampling and wait for the thread to end."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(SAMPLE_INTERVAL_SECONDS):
            started_requests = {
                name: get_counts(address).get("requests", 0)
                for name, address in self._addresses.items()
            }
            self.samples.append(
                Sample(sampled_at=time.monotonic(), started_requests=started_requests)
            )


def run() -> Iterator[dict[str, object]]:
    """Yield one line for each phase and one for the whole run."""
    with Deployment(lidwright_topology(models=MODELS)) as deployment:
        run_load(deployment, WARM_UP_SECONDS)
        with RequestCountSampler(deployment) as sampler:
            yield from run_phases(deployment, sampler)


def run_phases(
    deployment: Deployment, sampler: RequestCountSampler
) -> Iterator[dict[str, object]]:
    """Run the three phases; yield the figures of each and of the whole run."""
    affected_agents = {
        a.name for a in deployment.topology.agents if a.data_centre == SAN_FERNANDO
    }
    model_agents = {a.name for a in deployment.topology.agents_of(LID_ASSISTANT)}
    actions = {"before": "", "out": "take-out", "returned": "return"}
    p95_before = 0.0
    totals: collections.Counter[str] = collections.Counter()
    accepted_at: dict[str, float] = {}
    phase_started_at: dict[str, float] = {}
    worst_ratio = 0.0
    for phase, action in actions.items():
        phase_started_at[phase] = time.monotonic()
        phase_totals = run_load(deployment, PHASE_SECONDS[phase], action, accepted_at)
        figures = phase_totals.figures()
        totals.update(figures)
        p95 = percentile(phase_totals.latencies_seconds, 0.95)
        p95_before = p95_before or p95
        worst_ratio = max(worst_ratio, p95 / p95_before)
        yield {
            "phase": phase,
            "requests": figures["requests"],
            "failed": figures["failed"],
            "refused": figures["refused_not_run"],
            "p95_ms": round(p95 * 1000, 1),
            "p95_ratio": round(p95 / p95_before, 2),
            "examples": phase_totals.examples,
        }
    samples = sampler.samples
    share_before = request_share(
        samples,
        model_agents & affected_agents,
        model_agents,
        phase_started_at["before"],
        phase_started_at["out"],
    )
    yield {
        "phase": "all",
        "requests": totals["requests"],
        "failed": totals["failed"],
        "refused": totals["refused_not_run"],
        "mixed_weights": totals["mixed_weights"],
        "last_new_work_s": seconds_to_last_start(
            samples, affected_agents, accepted_at["take-out"], accepted_at["return"]
        ),
        "p95_ratio": round(worst_ratio, 2),
        "share_before": round(share_before, 3),
        "seconds_to_full_share": seconds_to_full_share(
            samples,
            model_agents & affected_agents,
            model_agents,
            accepted_at["return"],
            share_before,
        ),
        "violations": deployment.violations(),
        "targets": TARGETS,
    }


def run_load(
    deployment: Deployment,
    seconds: float,
    action: str = "",
    accepted_at: dict[str, float] | None = None,
) -> LoadTotals:
    """Run the load and change the data centre shortly after its start.

    The monotonic time of acceptance is stored in `accepted_at` under `action`.
    """
    callers = LoadGenerator(
        deployment,
        model_service=LID_ASSISTANT,
        reservation_service=ORDER_DESK,
        plain_service=FRANCHISE_PORTAL,
        pause_seconds=CALLER_PAUSE_SECONDS,
    )
    callers.start()
    if action:
        time.sleep(ACTION_DELAY_SECONDS)
        change_data_centre(deployment, action)
        accepted_at[action] = time.monotonic()
    time.sleep(seconds)
    return callers.stop()


def change_data_centre(deployment: Deployment, action: str) -> None:
    """Take the data centre out of service or return it, with the administration API.

    Raises
    ------
    RuntimeError
        The API answers with a status other than 200.

    """
    entry = deployment.topology.entries[0].name
    path = f"/v1/data-centres/{SAN_FERNANDO}/{action}"
    answer = urllib3.request(
        "POST",
        http_url(deployment.addresses.admin[entry], path),
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        timeout=ADMIN_TIMEOUT_SECONDS,
        retries=False,
    )
    if answer.status != 200:
        raise RuntimeError(
            f"{action} failed with status {answer.status}: {answer.data[:300]!r}"
        )


def count_started(sample: Sample, names: set[str]) -> int:
    """Return the number of requests that the named backend servers had started."""
    return sum(sample.started_requests[name] for name in names)


def seconds_to_last_start(
    samples: list[Sample], names: set[str], start: float, end: float
) -> float:
    """Return the seconds from `start` to the last request started before `end`.

    Examples
    --------
    >>> samples = [
    ...     Sample(sampled_at=t, started_requests={"a": n})
    ...     for t, n in ((1, 5), (2, 6), (3, 6))
    ... ]
    >>> seconds_to_last_start(samples, {"a"}, 0.5, 9)
    1.5

    """
    last = start
    window = [sample for sample in samples if start <= sample.sampled_at < end]
    for before, after in itertools.pairwise(window):
        if count_started(after, names) > count_started(before, names):
            last = after.sampled_at
    return round(last - start, 3)


def request_share(
    samples: list[Sample],
    subset: set[str],
    all_servers: set[str],
    start: float,
    end: float,
) -> float:
    """Return the share of requests between two times that `subset` started.

    The result is 0 if `all_servers` started none or there is only one sample.
    """
    window = [sample for sample in samples if start <= sample.sampled_at < end]
    if len(window) < 2:
        return 0.0
    first, last = window[0], window[-1]
    total = count_started(last, all_servers) - count_started(first, all_servers)
    return (
        (count_started(last, subset) - count_started(first, subset)) / total
        if total
        else 0.0
    )


def seconds_to_full_share(
    samples: list[Sample],
    subset: set[str],
    all_servers: set[str],
    start: float,
    share_before: float,
) -> float | None:
    """Return the seconds from `start` until the share is back to normal.

    That is the end of the first window in which `subset` has at least
    `FULL_SHARE_RATIO` of `share_before`; None if there is no such window.
    """
    for sample in samples:
        window_start = sample.sampled_at - SHARE_WINDOW_SECONDS
        if window_start < start:
            continue
        current_share = request_share(
            samples, subset, all_servers, window_start, sample.sampled_at
        )
        if current_share >= FULL_SHARE_RATIO * share_before:
            return round(sample.sampled_at - start, 2)
    return None
