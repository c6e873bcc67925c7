"""The admission decisions of one agent as a deterministic state machine.

The machine has no clock, thread or socket. Its owner passes one event at a
time and gets one outcome; the same events give the same outcomes.
"""

from attrs import evolve, frozen

from eelgrassdale.admission import events as ev
from eelgrassdale.admission.keys import check_key, clock_ms
from eelgrassdale.admission.ledger import KeyState, Ledger
from eelgrassdale.admission.limit import (
    fall_to_cold,
    is_warm,
    new_slow_start,
    rise,
    with_bounds,
)
from eelgrassdale.admission.load import OwnLoad, Use, foreign_use
from eelgrassdale.admission.recent import RecentAttempts
from eelgrassdale.results import Ran, ResultCode, verdict_of
from eelgrassdale.telemetry import InvariantMonitor

_C = ResultCode


@frozen(kw_only=True)
class Running:
    """One request on the backend server."""

    memory_bytes: int
    epoch: int
    model_version: str
    key: str


class Admission:
    """Admits requests for one backend server.

    Parameters
    ----------
    settings : Settings
        Who the agent is and the bounds of its tables.
    monitor : InvariantMonitor
        Counts broken invariants.
    """

    def __init__(self, *, settings: ev.Settings, monitor: InvariantMonitor) -> None:
        self.settings = settings
        self.ledger = Ledger(
            max_keys=settings.max_keys, max_bytes=settings.max_key_bytes
        )
        self._monitor = monitor
        self._recent = RecentAttempts(
            max_attempts=settings.max_streams * 8, seconds=settings.remember_seconds
        )
        self._cfg: ev.Configured | None = None
        self._slow = new_slow_start(cold_slots=1, max_slots=1, now=settings.monotonic)
        self._own = OwnLoad()
        self._running: dict[int, Running] = {}
        self._report: ev.EngineReported | None = None
        self._version = ""
        self._version_service = ""
        self._loading = False
        self._suspended = False
        self._stopping = False
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
        """Take one event into account and return its outcome."""
        now_ms = clock_ms(self.settings, now=event.now)
        self._expired += self.ledger.drop_expired(now_ms=now_ms)
        return self._handlers[type(event)](event)

    def take_expired(self) -> list[int]:
        """Return the tickets whose keys expired since the last call."""
        expired, self._expired = self._expired, []
        return expired

    @property
    def model_version(self) -> str:
        """Loaded model version, or empty."""
        return self._version

    @property
    def is_model(self) -> bool:
        """Whether the service of the agent is a model service."""
        bounds = self._bounds()
        return bounds is not None and bounds.model

    @property
    def service(self) -> str:
        """Service of the agent, or empty."""
        bounds = self._bounds()
        return bounds.service if bounds is not None else ""

    @property
    def engine_incarnation(self) -> str:
        """Incarnation of the engine in its last report, or empty."""
        return self._report.incarnation if self._report else ""

    @property
    def running(self) -> int:
        """Number of requests on the backend server."""
        return self._own.use.running

    @property
    def suspended(self) -> bool:
        """Whether a pause was seen and not yet checked."""
        return self._suspended

    def is_warm(self, *, now: float) -> bool:
        """Return whether the backend server takes all the load offered to it."""
        return is_warm(self._slow, now=now, reports=self.is_model)

    def room(self, *, now: float) -> ev.Room:
        """Return what the backend server can still take."""
        used = self._used(now)
        limit = self._slow.limit
        bound = self._memory_bound()
        return ev.Room(
            slots=max(0, limit - used.running),
            limit=limit,
            memory_bytes=max(0, bound - used.memory_bytes),
            cold=limit < self._slow.max_slots,
            accepting=self._blocked() is None,
            model_version=self._version,
            running=self._own.use.running,
        )

    # Configuration and state of the process.

    def _configured(self, event: ev.Configured) -> ev.Outcome:
        old = self._cfg.bounds if self._cfg else None
        new = event.bounds
        self._cfg = event
        if new is None:
            return ev.Outcome()
        if old is None or old.service != new.service:
            self._slow = new_slow_start(
                cold_slots=new.cold_slots, max_slots=new.max_slots, now=event.now
            )
        else:
            self._slow = with_bounds(
                self._slow, cold_slots=new.cold_slots, max_slots=new.max_slots
            )
        self._note_version()
        return ev.Outcome()

    def _stop(self, _event: ev.Stopping) -> ev.Outcome:
        self._stopping = True
        return ev.Outcome()

    def _pause_seen(self, _event: ev.PauseSeen) -> ev.Outcome:
        self._suspended = True
        return ev.Outcome()

    def _pause_checked(self, _event: ev.PauseChecked) -> ev.Outcome:
        self._suspended = False
        return ev.Outcome()

    # State of the backend server.

    def _engine_reported(self, event: ev.EngineReported) -> ev.Outcome:
        last = self._report
        restarted = last is not None and event.incarnation != last.incarnation
        backwards = last is not None and event.sequence < last.sequence
        if restarted or backwards:
            self._slow = fall_to_cold(self._slow, now=event.now)
        if restarted:
            self._version = ""
        self._report = event
        self._slow = evolve(self._slow, reported_cold=event.cold)
        if not self._version and not self._loading:
            self._version = event.model_version
            self._version_service = ""
            self._note_version()
        return ev.Outcome(model_version=self._version)

    def _engine_lost(self, event: ev.EngineLost) -> ev.Outcome:
        self._slow = fall_to_cold(self._slow, now=event.now)
        return ev.Outcome()

    def _version_mismatch(self, event: ev.VersionMismatch) -> ev.Outcome:
        self._slow = fall_to_cold(self._slow, now=event.now)
        self._version = ""
        return ev.Outcome()

    def _loading_started(self, _event: ev.LoadingStarted) -> ev.Outcome:
        self._loading = True
        return ev.Outcome()

    def _loading_ended(self, event: ev.LoadingEnded) -> ev.Outcome:
        self._loading = False
        self._version = event.model_version
        bounds = self._bounds()
        self._version_service = bounds.service if bounds else ""
        self._slow = fall_to_cold(self._slow, now=event.now)
        return ev.Outcome(model_version=self._version)

    # Requests.

    def _submitted(self, event: ev.Submitted) -> ev.Outcome:
        repeat = self._recent.find((event.request_id, event.attempt), now=event.now)
        if repeat is not None:
            return evolve(repeat, run=False)
        outcome = self._decide_keyed(event) if event.key else self._decide(event)
        self._recent.add((event.request_id, event.attempt), outcome, now=event.now)
        return outcome

    def _decide_keyed(self, event: ev.Submitted) -> ev.Outcome:
        checked = check_key(
            event.key, service=event.service, settings=self.settings, now=event.now
        )
        if checked.is_error():
            return ev.Outcome(code=checked.error.code, detail=checked.error.message)
        max_bytes = self.settings.max_answer_bytes
        look = self.ledger.look(
            event.key, digest=event.key_digest, answer_bytes=max_bytes
        )
        if look.code is not _C.OK:
            return ev.Outcome(code=look.code)
        if look.state is not KeyState.NEW:
            return ev.Outcome(ticket=look.ticket, model_version=self._version)
        outcome = self._decide(event)
        expires_at_ms = checked.ok.expires_at_ms
        if outcome.code is _C.OK:
            self.ledger.start(
                event.key,
                digest=event.key_digest,
                expires_at_ms=expires_at_ms,
                ticket=outcome.ticket,
                max_bytes=max_bytes,
            )
        else:
            self.ledger.refuse(
                event.key,
                digest=event.key_digest,
                expires_at_ms=expires_at_ms,
                code=outcome.code,
            )
        return outcome

    def _decide(self, event: ev.Submitted) -> ev.Outcome:
        refusal = self._refusal(event)
        if refusal is not None:
            return refusal
        return self._admit(event, key=event.key)

    def _refusal(self, event: ev.Submitted) -> ev.Outcome | None:
        blocked = self._blocked()
        if blocked is not None and blocked.code is _C.NOT_READY:
            return blocked
        wrong = self._wrong_service(event.service)
        if wrong is not None:
            return wrong
        if event.refuse_with:
            return ev.Outcome(code=_C(event.refuse_with))
        if event.remaining_ms <= 0:
            return ev.Outcome(code=_C.DEADLINE_PASSED)
        if self._bounds().model and (event.max_tokens <= 0 or event.prompt_tokens < 0):
            return ev.Outcome(code=_C.INVALID_REQUEST, detail="max_tokens is not set")
        if blocked is not None:
            return blocked
        return self._no_room(event)

    def _blocked(self) -> ev.Outcome | None:
        cfg = self._cfg
        if cfg is None or cfg.generation == 0:
            return ev.Outcome(code=_C.NOT_READY)
        if self._stopping or not cfg.vm_in_service:
            return ev.Outcome(code=_C.LEAVING)
        if not cfg.data_centre_in_service:
            return ev.Outcome(code=_C.DATA_CENTRE_OUT)
        if cfg.bounds is None:
            return ev.Outcome(code=_C.NO_BACKEND_SERVER)
        if self._suspended:
            return ev.Outcome(code=_C.NOT_READY, detail="checks after a pause")
        if self._loading or (cfg.bounds.model and not self._version_is_served()):
            return ev.Outcome(code=_C.SERVER_LOADING)
        return None

    def _wrong_service(self, service: str) -> ev.Outcome | None:
        if self._cfg.bounds is not None and self._cfg.bounds.service == service:
            return None
        known = service in self._cfg.services
        code = _C.NO_BACKEND_SERVER if known else _C.UNKNOWN_SERVICE
        return ev.Outcome(code=code, detail=f"{service} does not run here")

    def _no_room(self, event: ev.Submitted | ev.Resumed) -> ev.Outcome | None:
        if event.model_version and event.model_version != self._version:
            return ev.Outcome(code=_C.MODEL_VERSION_UNAVAILABLE)
        used = self._used(event.now)
        need = self._memory_of(event)
        if need > self._bounds().memory_bytes:
            return ev.Outcome(code=_C.REQUEST_TOO_LARGE, detail=f"{need} bytes")
        if used.running + 1 > self._slow.limit:
            self._slow = evolve(self._slow, last_limited=event.now)
            return ev.Outcome(code=_C.SERVER_BUSY, detail="slots")
        if used.memory_bytes + need > self._memory_bound():
            return ev.Outcome(code=_C.SERVER_BUSY, detail="memory")
        return None

    def _admit(self, event: ev.Submitted | ev.Resumed, *, key: str) -> ev.Outcome:
        ticket = self._next_ticket
        self._next_ticket += 1
        running = Running(
            memory_bytes=self._memory_of(event),
            epoch=self._slow.epoch,
            model_version=self._version if self._bounds().model else "",
            key=key,
        )
        self._running[ticket] = running
        self._own.add(memory_bytes=running.memory_bytes, now=event.now)
        self._check_admitted(key)
        return ev.Outcome(ticket=ticket, run=True, model_version=running.model_version)

    def _check_admitted(self, key: str) -> None:
        use = self._own.use
        self._monitor.check(
            use.running <= self._slow.limit,
            "slots_within_limit",
            running=use.running,
            limit=self._slow.limit,
        )
        self._monitor.check(
            use.memory_bytes <= self._memory_bound(),
            "memory_within_bound",
            memory_bytes=use.memory_bytes,
        )
        if key:
            fresh = all(item.key != key for item in list(self._running.values())[:-1])
            self._monitor.check(fresh, "key_runs_once", key=key)

    def _resumed(self, event: ev.Resumed) -> ev.Outcome:
        if self._bounds() is None or event.model_version != self._version:
            return ev.Outcome(code=_C.MODEL_VERSION_UNAVAILABLE)
        if self._loading or self._suspended:
            return ev.Outcome(code=_C.SERVER_LOADING)
        return self._no_room(event) or self._admit(event, key="")

    def _completed(self, event: ev.Completed) -> ev.Outcome:
        running = self._running.pop(event.ticket, None)
        self._monitor.check(running is not None, "completes_once", ticket=event.ticket)
        if running is None:
            return ev.Outcome()
        self._own.remove(memory_bytes=running.memory_bytes, now=event.now)
        if event.healthy:
            self._slow = rise(
                self._slow, epoch=running.epoch, now=event.now, reports=self.is_model
            )
        if running.key:
            self._close_key(running.key, event)
        return ev.Outcome()

    def _close_key(self, key: str, event: ev.Completed) -> None:
        if verdict_of(event.code).ran is Ran.NOT_RUN:
            self.ledger.void(key, code=event.code)
        else:
            self.ledger.finish(key, code=event.code, held_bytes=event.answer_bytes)

    # Derived values.

    def _bounds(self) -> ev.Bounds | None:
        return self._cfg.bounds if self._cfg else None

    def _used(self, now: float) -> Use:
        own = self._own.use
        foreign = foreign_use(self._report, peak=self._own.peak(now=now))
        return Use(
            running=own.running + foreign.running,
            memory_bytes=own.memory_bytes + foreign.memory_bytes,
        )

    def _memory_bound(self) -> int:
        bounds = self._bounds()
        if bounds is None:
            return 0
        reported = self._report.memory_limit if self._report else 0
        if not bounds.model or reported <= 0:
            return bounds.memory_bytes
        return min(bounds.memory_bytes, reported)

    def _memory_of(self, event: ev.Submitted | ev.Resumed) -> int:
        bounds = self._bounds()
        if not bounds.model:
            return event.body_bytes
        return (event.prompt_tokens + event.max_tokens) * bounds.token_bytes

    def _note_version(self) -> None:
        bounds = self._bounds()
        if bounds and self._version and self._version == bounds.model_version:
            self._version_service = bounds.service

    def _version_is_served(self) -> bool:
        return bool(self._version) and self._version_service == self._bounds().service
