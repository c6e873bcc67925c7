"""The admission decisions of an agent, shared by its threads."""

import json
import threading
from collections.abc import Callable

import attrs

from eelgrassdale.admission import events as ev
from eelgrassdale.admission.machine import Admission
from eelgrassdale.admission.traces import record_of, settings_record
from eelgrassdale.catalog import Configuration, ServiceKind, VmState
from eelgrassdale.clock import Clock
from eelgrassdale.telemetry import Metrics
from eelgrassdale.wire import Headroom
from eelgrassdale_agent import metrics as names


class AdmissionGate:
    """Passes events to the admission state machine, one at a time.

    Parameters
    ----------
    admission : Admission
        The decisions.
    clock : Clock
        Source of the time of each event.
    metrics : Metrics
        Receives the gauges of the limit and of the key table.
    record : callable or None
        Receives each event with its outcome as one JSON line.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        clock: Clock,
        metrics: Metrics,
        record: Callable[[str], None] | None = None,
    ) -> None:
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._record = record
        self._lock = threading.Lock()
        if record is not None:
            record(json.dumps(settings_record(admission.settings)))

    @property
    def settings(self) -> ev.Settings:
        """Bounds of the tables and the identity of the agent."""
        return self._admission.settings

    def apply(self, kind: type[ev.Event], **values: object) -> ev.Outcome:
        """Apply one event that happens now and return its outcome."""
        with self._lock:
            return self._apply(kind(now=self._clock.monotonic(), **values))

    def report(self, report: ev.EngineReported) -> ev.Outcome:
        """Apply a load report of the engine."""
        with self._lock:
            return self._apply(attrs.evolve(report, now=self._clock.monotonic()))

    def configure(self, cfg: Configuration, *, agent: str, data_centre: str) -> None:
        """Apply the configuration in force."""
        self.apply(
            ev.Configured, **configured_values(cfg, agent=agent, place=data_centre)
        )

    def pause(self) -> None:
        """Refuse new requests until `resume_cold`; running ones continue."""
        self.apply(ev.LoadingStarted)

    def running(self) -> int:
        """Return the number of requests on the backend server."""
        with self._lock:
            return self._admission.running

    def resume_cold(self, model_version: str) -> None:
        """Admit requests of `model_version`, starting at the cold bound."""
        self.apply(ev.LoadingEnded, model_version=model_version)

    def is_warm(self) -> bool:
        """Return whether the backend server takes all the load offered to it."""
        with self._lock:
            return self._admission.backend.is_warm(now=self._clock.monotonic())

    def is_model(self) -> bool:
        """Return whether the service of this agent is a model service."""
        with self._lock:
            return self._admission.backend.is_model

    def service(self) -> str:
        """Return the service of this agent, or empty."""
        with self._lock:
            return self._admission.backend.service

    def is_suspended(self) -> bool:
        """Return whether a pause was seen and not yet checked."""
        with self._lock:
            return self._admission.suspended

    def model_version(self) -> str:
        """Return the loaded model version, or empty."""
        with self._lock:
            return self._admission.backend.version

    def engine_incarnation(self) -> str:
        """Return the engine's incarnation in its last report, or empty."""
        with self._lock:
            return self._admission.backend.incarnation

    def take_expired(self) -> list[int]:
        """Return the tickets whose keys expired since the last call."""
        with self._lock:
            return self._admission.take_expired()

    def headroom(self) -> Headroom:
        """Return what the backend server can still take."""
        with self._lock:
            room = self._admission.room(now=self._clock.monotonic())
        return Headroom(
            slots=room.slots,
            limit=room.limit,
            memory_bytes=room.memory_bytes,
            cold=room.cold,
            accepting=room.accepting,
            model_version=room.model_version,
            running=room.running,
        )

    def update_gauges(self) -> None:
        """Publish the limit and the size of the key table."""
        room = self.headroom()
        with self._lock:
            records = len(self._admission.ledger)
            held_bytes = self._admission.ledger.held_bytes
        self._metrics.gauge(names.SLOT_LIMIT, room.limit)
        self._metrics.gauge(names.SLOTS_USED, room.running)
        self._metrics.gauge(names.KEY_RECORDS, records)
        self._metrics.gauge(names.KEY_BYTES, held_bytes)

    def _apply(self, event: ev.Event) -> ev.Outcome:
        outcome = self._admission.apply(event)
        if self._record is not None:
            self._record(json.dumps(record_of(event, outcome)))
        return outcome


def configured_values(
    cfg: Configuration, *, agent: str, place: str
) -> dict[str, object]:
    """Return the fields of `Configured` for one agent in data centre `place`."""
    vm = cfg.vms.get(agent)
    service = cfg.services.get(vm.service) if vm is not None else None
    places = {place} | ({vm.data_centre} if vm is not None else set())
    return {
        "generation": cfg.generation,
        "bounds": _bounds_of(service) if service is not None else None,
        "services": tuple(sorted(cfg.services)),
        "data_centre_in_service": all(cfg.is_in_service(name) for name in places),
        "vm_in_service": vm is None or vm.state is VmState.IN_SERVICE,
    }


def _bounds_of(service) -> ev.Bounds:
    return ev.Bounds(
        service=service.name,
        model=service.kind is ServiceKind.MODEL,
        model_version=service.model_version,
        cold_slots=service.cold_slots,
        max_slots=service.max_slots,
        memory_bytes=service.memory_bytes,
        token_bytes=service.token_bytes,
    )
