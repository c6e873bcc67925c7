"""Service quality while a data centre is taken out of service and returns.

Lidwright's deployment under steady load of all three services. Targets:
no failed request, no refusal (the two other data centres can bear the load),
last new work at most 3 s after acceptance, p95 at most 1.5 times that before.
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
from eelgrassdale_standins.control import counts_of, url_of
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.load import Load, LoadTotals
from eelgrassdale_standins.topology import (
    FRANCHISE_PORTAL,
    LID_ASSISTANT,
    ORDER_DESK,
    SAN_FERNANDO,
    ModelSpec,
    lidwright,
)

MODELS = (ModelSpec(version="lid-1", size_bytes=1_000_000),)
PHASE_SECONDS = {"before": 8.0, "out": 10.0, "returned": 12.0}
WARM_UP_SECONDS = 3.0
# The action of a phase comes after its load has started.
ACTION_SECONDS = 0.5
PAUSE_SECONDS = 0.05
SAMPLE_SECONDS = 0.025
SHARE_WINDOW_SECONDS = 2.0
FULL_SHARE = 0.8
ADMIN_TIMEOUT_SECONDS = 10.0
TARGETS = {"failed": 0, "refused": 0, "last_new_work_s": 3.0, "p95_ratio": 1.5}


@attrs.frozen(kw_only=True)
class Sample:
    """Requests that each backend server had started at a monotonic time."""

    at: float
    requests: dict[str, int]


class Sampler:
    """Reads the request counts of the backend servers in a thread."""

    def __init__(self, deployment: Deployment) -> None:
        self._addresses = dict(deployment.addresses.backend)
        self.samples: list[Sample] = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Sampler":
        """Start to sample."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop to sample."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(SAMPLE_SECONDS):
            requests = {
                name: counts_of(address).get("requests", 0)
                for name, address in self._addresses.items()
            }
            self.samples.append(Sample(at=time.monotonic(), requests=requests))


def run() -> Iterator[dict[str, object]]:
    """Yield one line for each phase and one for the whole run."""
    with Deployment(lidwright(models=MODELS)) as deployment:
        load(deployment, WARM_UP_SECONDS)
        with Sampler(deployment) as sampler:
            yield from phases(deployment, sampler)


def phases(deployment: Deployment, sampler: Sampler) -> Iterator[dict[str, object]]:
    """Run the three phases and yield their figures."""
    inside = {
        a.name for a in deployment.topology.agents if a.data_centre == SAN_FERNANDO
    }
    runners = {a.name for a in deployment.topology.agents_of(LID_ASSISTANT)}
    actions = {"before": "", "out": "take-out", "returned": "return"}
    p95_before = 0.0
    totals: collections.Counter[str] = collections.Counter()
    accepted: dict[str, float] = {}
    began: dict[str, float] = {}
    worst_ratio = 0.0
    for phase, action in actions.items():
        began[phase] = time.monotonic()
        seen = load(deployment, PHASE_SECONDS[phase], action, accepted)
        figures = seen.figures()
        totals.update(figures)
        p95 = percentile(seen.seconds, 0.95)
        p95_before = p95_before or p95
        worst_ratio = max(worst_ratio, p95 / p95_before)
        yield {
            "phase": phase,
            "requests": figures["requests"],
            "failed": figures["failed"],
            "refused": figures["refused_not_run"],
            "p95_ms": round(p95 * 1000, 1),
            "p95_ratio": round(p95 / p95_before, 2),
            "examples": seen.examples,
        }
    samples = sampler.samples
    share_before = share(
        samples, runners & inside, runners, began["before"], began["out"]
    )
    yield {
        "phase": "all",
        "requests": totals["requests"],
        "failed": totals["failed"],
        "refused": totals["refused_not_run"],
        "mixed_weights": totals["mixed_weights"],
        "last_new_work_s": last_new_work(
            samples, inside, accepted["take-out"], accepted["return"]
        ),
        "p95_ratio": round(worst_ratio, 2),
        "share_before": round(share_before, 3),
        "seconds_to_full_share": seconds_to_full_share(
            samples, runners & inside, runners, accepted["return"], share_before
        ),
        "violations": deployment.violations(),
        "targets": TARGETS,
    }


def load(
    deployment: Deployment,
    seconds: float,
    action: str = "",
    accepted: dict[str, float] | None = None,
) -> LoadTotals:
    """Run the load and, shortly after its start, an action on the data centre."""
    callers = Load(
        deployment,
        model_service=LID_ASSISTANT,
        reservation_service=ORDER_DESK,
        plain_service=FRANCHISE_PORTAL,
        pause_seconds=PAUSE_SECONDS,
    )
    callers.start()
    if action:
        time.sleep(ACTION_SECONDS)
        change_data_centre(deployment, action)
        accepted[action] = time.monotonic()
    time.sleep(seconds)
    return callers.stop()


def change_data_centre(deployment: Deployment, action: str) -> None:
    """Take the data centre out or return it through the administration API."""
    entry = deployment.topology.entries[0].name
    path = f"/v1/data-centres/{SAN_FERNANDO}/{action}"
    answer = urllib3.request(
        "POST",
        url_of(deployment.addresses.admin[entry], path),
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        timeout=ADMIN_TIMEOUT_SECONDS,
        retries=False,
    )
    if answer.status != 200:
        raise RuntimeError(f"{action}: {answer.status} {answer.data[:300]!r}")


def started(sample: Sample, names: set[str]) -> int:
    """Return the requests that some backend servers had started."""
    return sum(sample.requests[name] for name in names)


def last_new_work(
    samples: list[Sample], names: set[str], since: float, until: float
) -> float:
    """Return the seconds from `since` to the last request that started.

    Examples
    --------
    >>> samples = [Sample(at=t, requests={"a": n}) for t, n in ((1, 5), (2, 6), (3, 6))]
    >>> last_new_work(samples, {"a"}, 0.5, 9)
    1.5

    """
    last = since
    window = [sample for sample in samples if since <= sample.at < until]
    for before, after in itertools.pairwise(window):
        if started(after, names) > started(before, names):
            last = after.at
    return round(last - since, 3)


def share(
    samples: list[Sample], part: set[str], whole: set[str], since: float, until: float
) -> float:
    """Return the part of the started requests within a time, 0 without any."""
    window = [sample for sample in samples if since <= sample.at < until]
    if len(window) < 2:
        return 0.0
    first, last = window[0], window[-1]
    total = started(last, whole) - started(first, whole)
    return (started(last, part) - started(first, part)) / total if total else 0.0


def seconds_to_full_share(
    samples: list[Sample],
    part: set[str],
    whole: set[str],
    since: float,
    before: float,
) -> float | None:
    """Return when a window first had the share from before, None if none had.

    The time is that of the end of the window.
    """
    for sample in samples:
        window_start = sample.at - SHARE_WINDOW_SECONDS
        if window_start < since:
            continue
        now = share(samples, part, whole, window_start, sample.at)
        if now >= FULL_SHARE * before:
            return round(sample.at - since, 2)
    return None
