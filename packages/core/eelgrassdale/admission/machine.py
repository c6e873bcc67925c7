"""The admission decisions of one agent as a deterministic state machine.

The machine has no clock, thread or socket. Its owner passes one event at a
time and gets one outcome; the same events give the same outcomes.
"""

from attrs import evolve, frozen

from eelgrassdale.admission import events as ev
from eelgrassdale.admission.backend import BackendState
from eelgrassdale.admission.keys import check_key, wall_clock_ms
from eelgrassdale.admission.keytable import KeyState, KeyTable
from eelgrassdale.admission.load import OwnLoad, Usage
from eelgrassdale.admission.recentattempts import RecentAttempts
from eelgrassdale.results import ExecutionState, ResultCode, info_of
from eelgrassdale.telemetry import InvariantMonitor

# Requests read within this time after a pause may have arrived during it.
PAUSE_BACKLOG_SECONDS = 1.0
# A key is bound to one agent, so a caller that received it just before the data
# centre was taken out of service cannot use it elsewhere. The data centre must
# receive no new work 3 s after the change is accepted; the remaining time is for
# the change to reach the agent.
KEY_GRACE_SECONDS = 2.0

_C = ResultCode


@frozen(kw_only=True)
class RunningRequest:
    """One request on the backend server."""

    memory_bytes: int
    epoch: int
    key: str


class AdmissionController:
    """Admits requests for one backend server.

    Parameters
    ----------
    settings : Settings
        Identity of the agent and the bounds of its tables.
    monitor : InvariantMonitor
        Counts broken invariants.
    """

    def __init__(self, *, settings: ev.Settings, monitor: InvariantMonitor) -> None:
        self.settings = settings
        self.key_table = KeyTable(
            max_keys=settings.max_keys, max_bytes=settings.max_key_bytes
        )
        self.backend = BackendState(now=settings.monotonic)
        self._monitor = monitor
        self._recent_attempts = RecentAttempts(
            max_attempts=settings.max_attempts,
            retention_seconds=settings.remember_seconds,
        )
        self._cfg: ev.Configured | None = None
        self._own_load = OwnLoad()
        self._running: dict[int, RunningRequest] = {}
        self._running_keys: set[str] = set()
        self._last_pause: ev.PauseSeen | None = None
        self._suspended = False
        self._stopping = False
        self._data_centre_out_at: float | None = None
        self._next_ticket = 1
        self._expired: list[int] = []
        self._handlers = {
            ev.Configured: self._configured,
            ev.Submitted: self._submitted,
            ev.Resumed: self._resumed,
            ev.Completed: self._completed,
            ev.EngineReported: self._engine_reported,
            ev.EngineLost: self._engine_lost,
            ev.VersionMismatch: self._version_mismatch,
            ev.LoadingStarted: self._loading_started,
            ev.LoadingEnded: self._loading_ended,
            ev.PauseSeen: self._pause_seen,
            ev.PauseChecked: self._pause_checked,
            ev.Stopping: self._stop,
        }

    def apply(self, event: ev.Event) -> ev.Outcome:
        """Apply one event and return its outcome."""
        now_ms = wall_clock_ms(self.settings, now=event.now)
        self._expired += self.key_table.drop_expired(now_ms=now_ms)
        return self._handlers[type(event)](event)

    def pop_expired_tickets(self) -> list[int]:
        """Return the tickets whose keys expired since the last call."""
        expired, self._expired = self._expired, []
        return expired

    @property
    def running(self) -> int:
        """Number of requests on the backend server."""
        return self._own_load.usage.running

    @property
    def is_suspended(self) -> bool:
        """Whether state has yet to be read again after a pause."""
        return self._suspended

    def headroom(self, *, now: float) -> ev.Room:
        """Return the free capacity of the backend server."""
        used = self._total_usage(now)
        slow_start = self.backend.slow_start
        return ev.Room(
            slots=max(0, slow_start.limit - used.running),
            limit=slow_start.limit,
            memory_bytes=max(0, self.backend.memory_bound - used.memory_bytes),
            cold=slow_start.limit < slow_start.max_slots,
            accepting=self._state_refusal() is None,
            model_version=self.backend.model_version,
            running=self._own_load.usage.running,
        )

    # Configuration and state of the process.

    def _configured(self, event: ev.Configured) -> ev.Outcome:
        was_in_service = self._cfg is not None and self._cfg.data_centre_in_service
        if was_in_service and not event.data_centre_in_service:
            self._data_centre_out_at = event.now
        self._cfg = event
        self.backend.configure(event.bounds, now=event.now)
        return ev.Outcome()

    def _stop(self, _event: ev.Stopping) -> ev.Outcome:
        self._stopping = True
        return ev.Outcome()

    def _pause_seen(self, event: ev.PauseSeen) -> ev.Outcome:
        self._suspended = True
        self._last_pause = event
        self._recent_attempts.extend(seconds=event.seconds)
        return ev.Outcome()

    def _pause_checked(self, _event: ev.PauseChecked) -> ev.Outcome:
        self._suspended = False
        return ev.Outcome()

    # State of the backend server.

    def _engine_reported(self, event: ev.EngineReported) -> ev.Outcome:
        self.backend.apply_report(event)
        return ev.Outcome(model_version=self.backend.model_version)

    def _engine_lost(self, event: ev.EngineLost) -> ev.Outcome:
        self.backend.reset_to_cold(now=event.now)
        return ev.Outcome()

    def _version_mismatch(self, event: ev.VersionMismatch) -> ev.Outcome:
        self.backend.forget_version(now=event.now)
        return ev.Outcome()

    def _loading_started(self, _event: ev.LoadingStarted) -> ev.Outcome:
        self.backend.is_loading = True
        return ev.Outcome()

    def _loading_ended(self, event: ev.LoadingEnded) -> ev.Outcome:
        self.backend.record_loaded(event.model_version, now=event.now)
        return ev.Outcome(model_version=self.backend.model_version)

    # Requests.

    def _submitted(self, event: ev.Submitted) -> ev.Outcome:
        attempt = (event.request_id, event.attempt)
        repeat = self._recent_attempts.find(attempt, now=event.now)
        if repeat is not None:
            return evolve(repeat, run=False)
        outcome = self._decide_keyed(event) if event.key else self._decide(event)
        self._recent_attempts.add(attempt, outcome, now=event.now)
        return outcome

    def _decide_keyed(self, event: ev.Submitted) -> ev.Outcome:
        checked = check_key(
            event.key, service=event.service, settings=self.settings, now=event.now
        )
        if checked.is_error():
            return ev.Outcome(code=checked.error.code, detail=checked.error.message)
        lookup = self.key_table.lookup(
            event.key,
            digest=event.key_digest,
            answer_bytes=self.settings.max_answer_bytes,
        )
        if lookup.code is not _C.OK:
            return ev.Outcome(code=lookup.code)
        if lookup.state is not KeyState.NEW:
            return ev.Outcome(
                ticket=lookup.ticket, model_version=self.backend.model_version
            )
        return self._decide_new_key(event, checked.ok.expires_at_ms)

    def _decide_new_key(self, event: ev.Submitted, expires_at_ms: int) -> ev.Outcome:
        outcome = self._decide(event)
        record = {"digest": event.key_digest, "expires_at_ms": expires_at_ms}
        if outcome.code is not _C.OK:
            self.key_table.refuse(event.key, code=outcome.code, **record)
            return outcome
        self.key_table.start(
            event.key,
            ticket=outcome.ticket,
            max_bytes=self.settings.max_answer_bytes,
            **record,
        )
        return outcome

    def _decide(self, event: ev.Submitted) -> ev.Outcome:
        return self._find_refusal(event) or self._admit(event, key=event.key)

    def _find_refusal(self, event: ev.Submitted) -> ev.Outcome | None:
        if self._cfg is None or self._cfg.generation == 0:
            return ev.Outcome(code=_C.NOT_READY)
        return (
            self._service_refusal(event.service)
            or self._format_refusal(event)
            or self._deadline_refusal(event)
            or self._state_refusal(
                allow_data_centre_out=self._has_key_in_grace_period(event)
            )
            or self._capacity_refusal(event)
        )

    def _service_refusal(self, service: str) -> ev.Outcome | None:
        if self.backend.service == service:
            return None
        known = service in self._cfg.services
        code = _C.NO_BACKEND_SERVER if known else _C.UNKNOWN_SERVICE
        return ev.Outcome(code=code, detail=f"{service} does not run here")

    def _format_refusal(self, event: ev.Submitted) -> ev.Outcome | None:
        if event.refuse_with:
            return ev.Outcome(code=_C(event.refuse_with))
        counts_valid = event.max_tokens > 0 and event.prompt_tokens >= 0
        if self.backend.is_model and not counts_valid:
            return ev.Outcome(code=_C.INVALID_REQUEST, detail="max_tokens is not set")
        return None

    def _deadline_refusal(self, event: ev.Submitted) -> ev.Outcome | None:
        if event.remaining_ms <= self._pause_backlog_ms(event.now):
            return ev.Outcome(code=_C.DEADLINE_PASSED)
        return None

    def _pause_backlog_ms(self, now: float) -> float:
        """Return how long a request may have waited unread during a pause."""
        pause = self._last_pause
        if pause is None or now - pause.now > PAUSE_BACKLOG_SECONDS:
            return 0.0
        return pause.seconds * 1000

    def _has_key_in_grace_period(self, event: ev.Submitted) -> bool:
        """Return whether a key may be older than the data centre's removal."""
        if not event.key or self._data_centre_out_at is None:
            return False
        return event.now - self._data_centre_out_at < KEY_GRACE_SECONDS

    def _state_refusal(
        self, *, allow_data_centre_out: bool = False
    ) -> ev.Outcome | None:
        cfg = self._cfg
        if cfg is None or cfg.generation == 0:
            return ev.Outcome(code=_C.NOT_READY)
        if self._stopping or not cfg.vm_in_service:
            return ev.Outcome(code=_C.LEAVING)
        if not cfg.data_centre_in_service and not allow_data_centre_out:
            return ev.Outcome(code=_C.DATA_CENTRE_OUT)
        if self._suspended:
            return ev.Outcome(code=_C.NOT_READY, detail="checks after a pause")
        if not self.backend.is_serving():
            return ev.Outcome(code=_C.SERVER_LOADING)
        return None

    def _capacity_refusal(self, event: ev.Submitted | ev.Resumed) -> ev.Outcome | None:
        backend = self.backend
        if event.model_version and event.model_version != backend.model_version:
            return ev.Outcome(code=_C.MODEL_VERSION_UNAVAILABLE)
        used = self._total_usage(event.now)
        need = self._memory_needed(event)
        if need > backend.bounds.memory_bytes:
            return ev.Outcome(code=_C.REQUEST_TOO_LARGE, detail=f"{need} bytes")
        if used.running + 1 > backend.slow_start.limit:
            backend.record_slot_refusal(now=event.now)
            return ev.Outcome(code=_C.SERVER_BUSY, detail="slots")
        if used.memory_bytes + need > backend.memory_bound:
            return ev.Outcome(code=_C.SERVER_BUSY, detail="memory")
        if self._recent_attempts.is_full(now=event.now):
            return ev.Outcome(code=_C.SERVER_BUSY, detail="attempts")
        return None

    def _admit(self, event: ev.Submitted | ev.Resumed, *, key: str) -> ev.Outcome:
        ticket = self._next_ticket
        self._next_ticket += 1
        running = RunningRequest(
            memory_bytes=self._memory_needed(event),
            epoch=self.backend.slow_start.epoch,
            key=key,
        )
        self._running[ticket] = running
        self._own_load.add(memory_bytes=running.memory_bytes, now=event.now)
        self._check_admission_invariants(key)
        version = self.backend.model_version if self.backend.is_model else ""
        return ev.Outcome(ticket=ticket, run=True, model_version=version)

    def _check_admission_invariants(self, key: str) -> None:
        usage, backend = self._own_load.usage, self.backend
        self._monitor.check(
            usage.running <= backend.slow_start.limit,
            "slots_within_limit",
            running=usage.running,
            limit=backend.slow_start.limit,
        )
        self._monitor.check(
            usage.memory_bytes <= backend.memory_bound,
            "memory_within_bound",
            memory_bytes=usage.memory_bytes,
            bound=backend.memory_bound,
        )
        if key:
            self._monitor.check(key not in self._running_keys, "key_runs_once", key=key)
            self._running_keys.add(key)

    def _resumed(self, event: ev.Resumed) -> ev.Outcome:
        if self._suspended or self.backend.is_loading:
            return ev.Outcome(code=_C.SERVER_LOADING)
        if not self.backend.is_serving():
            return ev.Outcome(code=_C.MODEL_VERSION_UNAVAILABLE)
        return self._capacity_refusal(event) or self._admit(event, key="")

    def _completed(self, event: ev.Completed) -> ev.Outcome:
        running = self._running.pop(event.ticket, None)
        known = self._monitor.check(
            running is not None, "completes_once", ticket=event.ticket
        )
        if not known:
            return ev.Outcome()
        self._own_load.remove(memory_bytes=running.memory_bytes, now=event.now)
        if event.healthy:
            self.backend.raise_limit(epoch=running.epoch, now=event.now)
        if running.key:
            self._running_keys.discard(running.key)
            self._finish_key(running.key, event)
        return ev.Outcome()

    def _finish_key(self, key: str, event: ev.Completed) -> None:
        if info_of(event.code).ran is ExecutionState.NOT_RUN:
            self.key_table.record_not_run(key, code=event.code)
        else:
            self.key_table.finish(key, code=event.code, held_bytes=event.answer_bytes)

    # Derived values.

    def _total_usage(self, now: float) -> Usage:
        own = self._own_load.usage
        external = self.backend.external_usage(peak=self._own_load.peak(now=now))
        return Usage(
            running=own.running + external.running,
            memory_bytes=own.memory_bytes + external.memory_bytes,
        )

    def _memory_needed(self, event: ev.Submitted | ev.Resumed) -> int:
        if not self.backend.is_model:
            return event.body_bytes
        tokens = event.prompt_tokens + event.max_tokens
        return tokens * self.backend.bounds.token_bytes
