"""Load of callers from processes of their own, so that they do not slow each
other or the measuring process down."""

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
        Entry nodes, used in turn by the threads.
    service, path : str
        Service and path of a plain call.
    accounts : tuple of str
        Client accounts, used in turn by the threads.
    weights : Mapping of str to str
        Digest of the loaded weights by model version.
    threads : int
        Callers that each send one request after the other.
    rate : float
        Requests per second over all threads; 0 for no pause but
        `pause_seconds`.
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
    """Durations of the whole answers and the number of each outcome."""

    seconds: tuple[float, ...] = ()
    outcomes: Mapping[str, int] = attrs.Factory(dict)
    elapsed: float = 0.0

    @property
    def whole(self) -> int:
        """Number of whole answers."""
        return len(self.seconds)

    def p95_ms(self) -> float:
        """Return the 95th percentile of the durations in milliseconds."""
        return percentile(self.seconds, 0.95) * 1000

    def failed(self) -> int:
        """Return the answers that are neither whole nor refused as not run."""
        kept = (Outcome.WHOLE.name, Outcome.NOT_RUN.name)
        return sum(n for name, n in self.outcomes.items() if name not in kept)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` of the values are, 0 without any.

    Examples
    --------
    >>> percentile([4, 1, 2, 3], 0.5)
    2

    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, int(len(ordered) * share + 0.999999) - 1)]


def merged(results: Sequence[CallerResult]) -> CallerResult:
    """Return the results of several runs as one."""
    outcomes: Counter[str] = Counter()
    for result in results:
        outcomes.update(result.outcomes)
    return CallerResult(
        seconds=tuple(itertools.chain(*(result.seconds for result in results))),
        outcomes=dict(outcomes),
        elapsed=sum(result.elapsed for result in results),
    )


class CallerProcesses:
    """Processes that run callers; leave by `with` to end them."""

    def __init__(self, count: int) -> None:
        # A forked child would share the locks of this process' threads.
        context = multiprocessing.get_context("spawn")
        self._pool = ProcessPoolExecutor(count, mp_context=context)
        # A process starts with its first work; the pause keeps one from
        # taking it all, so that no later run waits for an import.
        for _ in self._pool.map(time.sleep, [0.3] * count):
            pass

    def __enter__(self) -> "CallerProcesses":
        """Return the processes."""
        return self

    def __exit__(self, *_: object) -> None:
        """End the processes."""
        self._pool.shutdown(wait=True, cancel_futures=True)

    def start(self, spec: CallerSpec) -> "Future[CallerResult]":
        """Start callers in a process that is free."""
        return self._pool.submit(run_callers, spec)

    def run(self, *specs: CallerSpec) -> list[CallerResult]:
        """Run callers of several kinds side by side."""
        return [future.result() for future in [self.start(spec) for spec in specs]]


def run_callers(spec: CallerSpec) -> CallerResult:
    """Run callers in this process until their time is over."""
    results: list[Answer] = []
    numbers = itertools.count()
    began = time.monotonic()
    threads = [
        threading.Thread(
            target=_run_caller, args=(spec, index, began, numbers, results), daemon=True
        )
        for index in range(spec.threads)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return CallerResult(
        seconds=tuple(answer.seconds for answer in results if answer.is_whole),
        outcomes=dict(Counter(answer.outcome.name for answer in results)),
        elapsed=time.monotonic() - began,
    )


def _run_caller(spec, index, began, numbers, results) -> None:
    account = spec.accounts[index % len(spec.accounts)]
    address = spec.addresses[index % len(spec.addresses)]
    caller = Caller(
        account=account, weights=spec.weights, timeout_seconds=spec.timeout_seconds
    )
    while time.monotonic() - began < spec.seconds:
        number = next(numbers)
        if spec.rate:
            time.sleep(max(0.0, began + number / spec.rate - time.monotonic()))
        if time.monotonic() - began >= spec.seconds:
            break
        results.append(_request(caller, spec, address, f"{index}-{number}"))
        if not spec.rate:
            time.sleep(spec.pause_seconds)
    caller.close()


def _request(caller: Caller, spec: CallerSpec, address: str, name: str) -> Answer:
    if spec.kind == "generate":
        return caller.generate(
            address,
            spec.service,
            prompt=f"Which lid fits {name}?",
            max_tokens=spec.max_tokens,
        )
    if spec.kind == "call":
        return caller.call(address, spec.service, spec.path, body=b"{}")
    return _health(address)


def _health(address: str) -> Answer:
    began = time.monotonic()
    try:
        answer = urllib3.request(
            "GET",
            f"http://{address}/v1/health",
            timeout=HEALTH_TIMEOUT_SECONDS,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as exc:
        return Answer(outcome=Outcome.BROKEN, detail=repr(exc))
    outcome = Outcome.WHOLE if answer.status == 200 else Outcome.NOT_RUN
    return Answer(outcome=outcome, seconds=time.monotonic() - began)
