"""Thread-safe access to the admission decisions of an agent."""

import json
import threading
from collections.abc import Callable

import attrs

from eelgrassdale.admission import events as ev
from eelgrassdale.admission.machine import AdmissionController
from eelgrassdale.admission.traces import record_of, settings_record
from eelgrassdale.catalog import Configuration, ServiceKind, VmState
from eelgrassdale.clock import Clock
from eelgrassdale.telemetry import Metrics
from eelgrassdale.wire import Headroom
from eelgrassdale_agent import metrics as metric_names


class AdmissionGate:
    """Serialises the events of all threads into the admission state machine.

    Parameters
    ----------
    admission : AdmissionController
        State machine that decides on admission.
    clock : Clock
        Time of each event.
    metrics : Metrics
        Receives the gauges of the limit and of the key table.
    write_trace : callable or None
        Receives each event with its outcome as one line of JSON.
    """

    def __init__(
        self,
        *,
        admission: AdmissionController,
        clock: Clock,
        metrics: Metrics,
        write_trace: Callable[[str], None] | None = None,
    ) -> None:
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._write_trace = write_trace
        self._lock = threading.Lock()
        if write_trace is not None:
            write_trace(json.dumps(settings_record(admission.settings)))

    @property
    def settings(self) -> ev.Settings:
        """Table limits and the identity of the agent."""
        return self._admission.settings

    def apply(self, kind: type[ev.Event], **values: object) -> ev.Outcome:
        """Apply one event at the present time and return its outcome."""
        with self._lock:
            return self._apply(kind(now=self._clock.monotonic(), **values))

    def report(self, report: ev.EngineReported) -> ev.Outcome:
        """Apply a load report of the engine."""
        with self._lock:
            return self._apply(attrs.evolve(report, now=self._clock.monotonic()))

    def configure(self, cfg: Configuration, *, agent: str, data_centre: str) -> None:
        """Apply the configuration in force."""
        self.apply(
            ev.Configured,
            **configured_event_fields(cfg, agent=agent, own_data_centre=data_centre),
        )

    def pause_admission(self) -> None:
        """Refuse new requests until `resume_cold`; running requests continue."""
        self.apply(ev.LoadingStarted)

    def running_count(self) -> int:
        """Return the number of requests that run on the backend server."""
        with self._lock:
            return self._admission.running

    def resume_cold(self, model_version: str) -> None:
        """Admit requests for `model_version`, limited to the cold slots at first."""
        self.apply(ev.LoadingEnded, model_version=model_version)

    def is_warm(self) -> bool:
        """Return whether the backend server has completed its warm-up."""
        with self._lock:
            return self._admission.backend.is_warm(now=self._clock.monotonic())

    def is_model(self) -> bool:
        """Return whether this agent runs a model service."""
        with self._lock:
            return self._admission.backend.is_model

    def service(self) -> str:
        """Return the name of this agent's service, empty if it has none."""
        with self._lock:
            return self._admission.backend.service

    def is_suspended(self) -> bool:
        """Return whether the state was not yet checked after a process pause."""
        with self._lock:
            return self._admission.is_suspended

    def model_version(self) -> str:
        """Return the loaded model version, empty if none is loaded."""
        with self._lock:
            return self._admission.backend.model_version

    def engine_incarnation(self) -> str:
        """Return the incarnation in the engine's last report, empty if unknown."""
        with self._lock:
            return self._admission.backend.incarnation

    def pop_expired_tickets(self) -> list[int]:
        """Remove and return the tickets whose keys expired since the last call."""
        with self._lock:
            return self._admission.pop_expired_tickets()

    def headroom(self) -> Headroom:
        """Return the free capacity of the backend server."""
        with self._lock:
            capacity = self._admission.headroom(now=self._clock.monotonic())
        return Headroom(
            slots=capacity.slots,
            limit=capacity.limit,
            memory_bytes=capacity.memory_bytes,
            cold=capacity.cold,
            accepting=capacity.accepting,
            model_version=capacity.model_version,
            running=capacity.running,
        )

    def update_gauges(self) -> None:
        """Publish the slot limit and the size of the key table as gauges."""
        capacity = self.headroom()
        with self._lock:
            records = len(self._admission.key_table)
            held_bytes = self._admission.key_table.held_bytes
        self._metrics.gauge(metric_names.SLOT_LIMIT, capacity.limit)
        self._metrics.gauge(metric_names.SLOTS_USED, capacity.running)
        self._metrics.gauge(metric_names.KEY_RECORDS, records)
        self._metrics.gauge(metric_names.KEY_BYTES, held_bytes)

    def _apply(self, event: ev.Event) -> ev.Outcome:
        outcome = self._admission.apply(event)
        if self._write_trace is not None:
            self._write_trace(json.dumps(record_of(event, outcome)))
        return outcome


def configured_event_fields(
    cfg: Configuration, *, agent: str, own_data_centre: str
) -> dict[str, object]:
    """Return the fields of `Configured` for one agent.

    Both `own_data_centre`, from the agent's settings, and the data centre of its VM
    in the configuration have to be in service.
    """
    vm = cfg.vms.get(agent)
    service = cfg.services.get(vm.service) if vm is not None else None
    data_centres = {own_data_centre} | ({vm.data_centre} if vm is not None else set())
    return {
        "generation": cfg.generation,
        "bounds": _service_bounds(service) if service is not None else None,
        "services": tuple(sorted(cfg.services)),
        "data_centre_in_service": all(cfg.is_in_service(name) for name in data_centres),
        "vm_in_service": vm is None or vm.state is VmState.IN_SERVICE,
    }


def _service_bounds(service) -> ev.Bounds:
    return ev.Bounds(
        service=service.name,
        model=service.kind is ServiceKind.MODEL,
        model_version=service.model_version,
        cold_slots=service.cold_slots,
        max_slots=service.max_slots,
        memory_bytes=service.memory_bytes,
        token_bytes=service.token_bytes,
    )
