"""Functions that create admissions and events for the tests."""

from eelgrassdale.admission import events as ev
from eelgrassdale.admission.machine import AdmissionController
from eelgrassdale.routing.keys import IssuedKey, format_key
from eelgrassdale.telemetry import InvariantMonitor, Metrics

AGENT = "vm-a"
INCARNATION = 7
SERVICE = "drafting"
WALL_MS = 1_000_000
TOKEN_BYTES = 10

SETTINGS = ev.Settings(
    agent=AGENT,
    incarnation=INCARNATION,
    wall_ms=WALL_MS,
    monotonic=0.0,
    max_keys=8,
    max_key_bytes=6000,
    max_answer_bytes=1000,
    max_key_lifetime_ms=100_000,
    max_attempts=64,
)


def bounds(**values):
    """Return the bounds of a model service."""
    base = {
        "service": SERVICE,
        "model": True,
        "model_version": "v1",
        "cold_slots": 2,
        "max_slots": 6,
        "memory_bytes": 4000,
        "token_bytes": TOKEN_BYTES,
    }
    return ev.Bounds(**{**base, **values})


def configured(
    *, now=0.0, generation=1, data_centre_in_service=True, vm_in_service=True, **values
):
    """Return a configuration in force."""
    return ev.Configured(
        now=now,
        generation=generation,
        bounds=bounds(**values),
        services=("desk", SERVICE),
        data_centre_in_service=data_centre_in_service,
        vm_in_service=vm_in_service,
    )


def report(*, now=0.0, incarnation="e1", sequence=1, **values):
    """Return a load report of an idle warm engine."""
    base = {
        "model_version": "v1",
        "running": 0,
        "waiting": 0,
        "memory_used": 0,
        "memory_limit": 4000,
        "cold": False,
    }
    return ev.EngineReported(
        now=now, incarnation=incarnation, sequence=sequence, **{**base, **values}
    )


def submitted(request_id, *, now=10.0, **values):
    """Return a request of 20 tokens."""
    base = {
        "attempt": 1,
        "service": SERVICE,
        "prompt_tokens": 10,
        "max_tokens": 10,
        "remaining_ms": 5000,
    }
    return ev.Submitted(now=now, request_id=request_id, **{**base, **values})


def new_admission(*, settings=SETTINGS):
    """Return an admission and its monitor."""
    monitor = InvariantMonitor(metrics=Metrics())
    return AdmissionController(settings=settings, monitor=monitor), monitor


def ready_admission(**values):
    """Return an admission that accepts requests."""
    admission, _ = new_admission()
    admission.apply(configured(**values))
    admission.apply(report())
    return admission


def key(nonce="n", *, lifetime_ms=60_000, **values):
    """Return a key that expires `lifetime_ms` after time 0."""
    base = {
        "service": SERVICE,
        "agent": AGENT,
        "incarnation": INCARNATION,
        "expires_at_ms": WALL_MS + lifetime_ms,
    }
    return format_key(IssuedKey(**{**base, **values}, nonce=nonce))
