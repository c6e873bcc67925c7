"""Steady load on a deployment, with one request thread per client account."""

import collections
import itertools
import json
import threading

import attrs

from eelgrassdale_standins.callers import Answer, Caller, EntryList, Outcome
from eelgrassdale_standins.deployment import Deployment

KEYS_PER_BATCH = 2  # used within a second, far less than their validity
MAX_TOKENS = 24
PAUSE_SECONDS = 0.02
REPEAT_INTERVAL = 5  # a reservation of every fifth round is repeated with its key
JOIN_TIMEOUT_SECONDS = 40.0
MAX_EXAMPLES = 5


@attrs.define(kw_only=True)
class LoadTotals:
    """Totals over all callers; `examples` describes answers that were not whole."""

    outcomes: collections.Counter = attrs.Factory(collections.Counter)
    versions: collections.Counter = attrs.Factory(collections.Counter)
    latencies_seconds: list[float] = attrs.Factory(list)
    refused_reservations: set[str] = attrs.Factory(set)
    confirmed_reservations: set[str] = attrs.Factory(set)
    mismatched_repeats: int = 0
    examples: list[str] = attrs.Factory(list)

    def figures(self) -> dict[str, int]:
        """Return the number of answers by outcome."""
        requests = self.outcomes.total()
        whole = self.outcomes[Outcome.WHOLE]
        refused = self.outcomes[Outcome.NOT_RUN]
        mixed = self.outcomes[Outcome.MIXED_WEIGHTS]
        return {
            "requests": requests,
            "whole_answers": whole,
            "refused_not_run": refused,
            "failed": requests - whole - refused + self.mismatched_repeats,
            "mixed_weights": mixed,
        }

    def add(self, answer: Answer, label: str) -> None:
        """Count one answer."""
        self.outcomes[answer.outcome] += 1
        if answer.is_complete:
            self.latencies_seconds.append(answer.seconds)
            self.versions[answer.model_version] += 1
        elif len(self.examples) < MAX_EXAMPLES:
            self.examples.append(f"{label}: {answer.outcome.value} {answer.detail}")


class LoadGenerator:
    """Load generator with one caller per account, each sending requests in sequence.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose entry nodes receive the requests.
    model_service, reservation_service, plain_service : str
        Services to call; an empty name disables that kind of request.
    pause_seconds : float
        Pause of each caller between its rounds of requests.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        model_service: str = "",
        reservation_service: str = "",
        plain_service: str = "",
        pause_seconds: float = PAUSE_SECONDS,
    ) -> None:
        self._deployment = deployment
        self._model_service = model_service
        self._reservation_service = reservation_service
        self._plain_service = plain_service
        self._pause_seconds = pause_seconds
        self._weights = {
            model.version: model.weights().loaded_digest
            for model in deployment.topology.models
        }
        self._totals = LoadTotals()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(index, account.name), daemon=True)
            for index, account in enumerate(deployment.topology.accounts)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> LoadTotals:
        """Stop once the requests in flight have ended and return the totals."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_SECONDS)
        unfinished = sum(thread.is_alive() for thread in self._threads)
        if unfinished:
            raise RuntimeError(f"{unfinished} callers have not finished their requests")
        return self._totals

    def snapshot(self) -> dict[str, int]:
        """Return the figures so far."""
        with self._lock:
            return self._totals.figures()

    def _run(self, index: int, account: str) -> None:
        caller = Caller(account=account, weights=self._weights)
        try:
            self._send_requests(caller, index, account)
        except Exception as exc:
            # Counted as a failed request: the run must not look like a success with
            # less load.
            failed = Answer(outcome=Outcome.MAY_HAVE_RUN, detail=repr(exc))
            self._record(failed, "caller ended by an error")
        finally:
            caller.close()

    def _send_requests(self, caller: Caller, index: int, account: str) -> None:
        addresses = list(self._deployment.addresses.caller.values())
        entry_address = addresses[index % len(addresses)]
        keys: list[str] = []
        for number in itertools.count():
            if self._stopping.is_set():
                break
            request_name = f"{account}-{number}"
            if self._model_service:
                self._generate(caller, entry_address, request_name)
            if self._plain_service:
                self._call_plain_service(caller, entry_address, request_name)
            if self._reservation_service:
                entries = (
                    self._fetch_entries(caller, entry_address) if not keys else None
                )
                if entries is not None:
                    keys, addresses = list(entries.keys), list(entries.addresses)
                if keys:
                    self._reserve(caller, addresses, keys.pop(), number, request_name)
            self._stopping.wait(self._pause_seconds)

    def _fetch_entries(self, caller: Caller, entry_address: str) -> EntryList | None:
        try:
            return caller.entries(
                entry_address, self._reservation_service, KEYS_PER_BATCH
            )
        except Exception as exc:
            failed = Answer(outcome=Outcome.MAY_HAVE_RUN, detail=repr(exc))
            self._record(failed, "entries")
            return None

    def _generate(self, caller: Caller, entry_address: str, request_name: str) -> None:
        answer = caller.generate(
            entry_address,
            self._model_service,
            prompt=f"Which lid fits the pot of {request_name}?",
            max_tokens=MAX_TOKENS,
        )
        self._record(answer, self._model_service)

    def _call_plain_service(
        self, caller: Caller, entry_address: str, request_name: str
    ) -> None:
        body = json.dumps({"page": request_name}).encode()
        answer = caller.call(entry_address, self._plain_service, "page", body=body)
        self._record(answer, self._plain_service)

    def _reserve(
        self,
        caller: Caller,
        addresses: list[str],
        key: str,
        number: int,
        request_name: str,
    ) -> None:
        body = json.dumps({"reservation": request_name}).encode()
        service = self._reservation_service
        answer = caller.call(addresses[0], service, "reserve", body=body, key=key)
        self._record(answer, service)
        with self._lock:
            if answer.is_complete:
                self._totals.confirmed_reservations.add(request_name)
            elif answer.outcome is Outcome.NOT_RUN:
                self._totals.refused_reservations.add(request_name)
        if not answer.is_complete or number % REPEAT_INTERVAL:
            return
        repeated = caller.call(addresses[-1], service, "reserve", body=body, key=key)
        self._record(repeated, f"{service} repeated")
        if repeated.body != answer.body:
            with self._lock:
                self._totals.mismatched_repeats += 1

    def _record(self, answer: Answer, label: str) -> None:
        with self._lock:
            self._totals.add(answer, label)
