"""Load from callers in separate processes.

The callers then slow down neither each other nor the measuring process.
"""

import itertools
import multiprocessing
import threading
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from concurrent.futures import Future, ProcessPoolExecutor

import attrs
import urllib3

from eelgrassdale_standins.callers import Answer, Caller, Outcome

HEALTH_TIMEOUT_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class CallerSpec:
    """Callers of one kind.

    Parameters
    ----------
    kind : str
        `generate`, `call` or `health`.
    addresses : tuple of str
        Entry nodes (`host:port`), assigned to the threads in turn.
    service, path : str
        Service, and path of a plain call.
    accounts : tuple of str
        Client accounts, assigned to the threads in turn.
    weights : Mapping of str to str
        Digest of the loaded weights by model version.
    threads : int
        Callers that each send one request after the other.
    rate : float
        Requests per second over all threads; 0 for no limit.
    pause_seconds : float
        Pause of a thread between its requests if `rate` is 0.
    max_tokens : int
        Length limit of a generated answer.
    seconds : float
        Duration of the load.
    timeout_seconds : float
        Longest wait of a caller for the next bytes of an answer.
    """

    kind: str
    addresses: tuple[str, ...]
    service: str = ""
    path: str = "page"
    accounts: tuple[str, ...] = ("",)
    weights: Mapping[str, str] = attrs.Factory(dict)
    threads: int = 4
    rate: float = 0.0
    pause_seconds: float = 0.02
    max_tokens: int = 16
    seconds: float = 5.0
    timeout_seconds: float = 30.0


@attrs.frozen(kw_only=True)
class CallerResult:
    """Latencies of the complete answers and the number of each outcome."""

    latency_seconds: tuple[float, ...] = ()
    outcomes: Mapping[str, int] = attrs.Factory(dict)
    elapsed_seconds: float = 0.0

    @property
    def complete_answers(self) -> int:
        """Number of complete answers."""
        return len(self.latency_seconds)

    def p95_ms(self) -> float:
        """Return the 95th percentile of the latencies in milliseconds."""
        return percentile(self.latency_seconds, 0.95) * 1000

    def count_failed(self) -> int:
        """Return the number of answers neither complete nor refused as not run."""
        not_failed = (Outcome.WHOLE.name, Outcome.NOT_RUN.name)
        return sum(n for name, n in self.outcomes.items() if name not in not_failed)


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the smallest value that `fraction` of the values do not exceed.

    The result is 0 if there are no values.

    Examples
    --------
    >>> percentile([4, 1, 2, 3], 0.5)
    2

    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, int(len(ordered) * fraction + 0.999999) - 1)]


def merge_results(results: Sequence[CallerResult]) -> CallerResult:
    """Combine the results of several runs; their durations are added."""
    outcomes: Counter[str] = Counter()
    for result in results:
        outcomes.update(result.outcomes)
    return CallerResult(
        latency_seconds=tuple(
            itertools.chain(*(result.latency_seconds for result in results))
        ),
        outcomes=dict(outcomes),
        elapsed_seconds=sum(result.elapsed_seconds for result in results),
    )


class CallerProcesses:
    """Pool of processes that run callers; the `with` statement shuts it down."""

    def __init__(self, count: int) -> None:
        # A forked child would inherit the locks that threads of this process hold.
        context = multiprocessing.get_context("spawn")
        self._pool = ProcessPoolExecutor(count, mp_context=context)
        # The pool starts a process only when there is work for it. Sleeping
        # tasks keep one process from running them all, so that every process
        # exists before the first run and no later run waits for an import.
        for _ in self._pool.map(time.sleep, [0.3] * count):
            pass

    def __enter__(self) -> "CallerProcesses":
        """Return the pool."""
        return self

    def __exit__(self, *_: object) -> None:
        """Cancel the waiting runs and end the processes."""
        self._pool.shutdown(wait=True, cancel_futures=True)

    def start(self, spec: CallerSpec) -> "Future[CallerResult]":
        """Run callers in a free process and return the future of their result."""
        return self._pool.submit(run_callers, spec)

    def run(self, *specs: CallerSpec) -> list[CallerResult]:
        """Run several specifications in parallel and return their results in order."""
        return [future.result() for future in [self.start(spec) for spec in specs]]


def run_callers(spec: CallerSpec) -> CallerResult:
    """Run callers in this process for the duration of the specification."""
    results: list[Answer] = []
    request_numbers = itertools.count()
    started_at = time.monotonic()
    threads = [
        threading.Thread(
            target=_run_caller,
            args=(spec, index, started_at, request_numbers, results),
            daemon=True,
        )
        for index in range(spec.threads)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return CallerResult(
        latency_seconds=tuple(
            answer.seconds for answer in results if answer.is_complete
        ),
        outcomes=dict(Counter(answer.outcome.name for answer in results)),
        elapsed_seconds=time.monotonic() - started_at,
    )


def _run_caller(spec, index, started_at, request_numbers, results) -> None:
    account = spec.accounts[index % len(spec.accounts)]
    address = spec.addresses[index % len(spec.addresses)]
    caller = Caller(
        account=account, weights=spec.weights, timeout_seconds=spec.timeout_seconds
    )
    while time.monotonic() - started_at < spec.seconds:
        number = next(request_numbers)
        if spec.rate:
            time.sleep(max(0.0, started_at + number / spec.rate - time.monotonic()))
        if time.monotonic() - started_at >= spec.seconds:
            break
        results.append(_send_request(caller, spec, address, f"{index}-{number}"))
        if not spec.rate:
            time.sleep(spec.pause_seconds)
    caller.close()


def _send_request(caller: Caller, spec: CallerSpec, address: str, label: str) -> Answer:
    if spec.kind == "generate":
        return caller.generate(
            address,
            spec.service,
            prompt=f"Which lid fits {label}?",
            max_tokens=spec.max_tokens,
        )
    if spec.kind == "call":
        return caller.call(address, spec.service, spec.path, body=b"{}")
    return _request_health(address)


def _request_health(address: str) -> Answer:
    started_at = time.monotonic()
    try:
        response = urllib3.request(
            "GET",
            f"http://{address}/v1/health",
            timeout=HEALTH_TIMEOUT_SECONDS,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as exc:
        return Answer(outcome=Outcome.BROKEN, detail=repr(exc))
    outcome = Outcome.WHOLE if response.status == 200 else Outcome.NOT_RUN
    return Answer(outcome=outcome, seconds=time.monotonic() - started_at)
