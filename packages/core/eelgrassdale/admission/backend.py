"""State of one backend server: concurrency limit, load report and version."""

from attrs import evolve

from eelgrassdale.admission import events as ev
from eelgrassdale.admission.load import Usage, compute_external_usage
from eelgrassdale.admission.slowstart import (
    SlowStart,
    is_warm,
    new_slow_start,
    raise_limit,
    reset_slow_start,
    with_bounds,
)

# Loaded model versions whose service is remembered: an engine may still hold a
# version of an earlier configuration.
MAX_REMEMBERED_VERSIONS = 8


class BackendState:
    """State of one backend server, changed by events only.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self.bounds: ev.Bounds | None = None
        self.slow_start: SlowStart = new_slow_start(cold_slots=1, max_slots=1, now=now)
        self.report: ev.EngineReported | None = None
        self.model_version = ""
        self.is_loading = False
        self._service_by_version: dict[str, str] = {}

    @property
    def is_model(self) -> bool:
        """Whether the backend server is a model engine, which reports its load."""
        return self.bounds is not None and self.bounds.model

    @property
    def service(self) -> str:
        """Service of the backend server, or empty."""
        return self.bounds.service if self.bounds is not None else ""

    @property
    def incarnation(self) -> str:
        """Incarnation of the engine in its last report, or empty."""
        return self.report.incarnation if self.report else ""

    @property
    def memory_bound(self) -> int:
        """Bound of the memory of all requests in bytes."""
        if self.bounds is None:
            return 0
        reported = self.report.memory_limit if self.report else 0
        if not self.is_model or reported <= 0:
            return self.bounds.memory_bytes
        return min(self.bounds.memory_bytes, reported)

    def is_serving(self) -> bool:
        """Return whether no weights are being loaded and the version can be used.

        A model version must have been loaded for the current service, because
        a VM can be assigned to another service before its engine loads again.
        """
        if self.is_loading or self.bounds is None:
            return False
        return (
            not self.is_model
            or self._service_by_version.get(self.model_version) == self.service
        )

    def is_warm(self, *, now: float) -> bool:
        """Return whether the backend server counts as warm.

        Its limit is at the maximum, or no request was refused for lack of slots
        during the last `IDLE_WARM_SECONDS`.
        """
        return is_warm(self.slow_start, now=now, sends_reports=self.is_model)

    def external_usage(self, *, peak: Usage) -> Usage:
        """Return the reported usage by requests that the agent did not send."""
        return compute_external_usage(self.report, peak=peak)

    def configure(self, bounds: ev.Bounds | None, *, now: float) -> None:
        """Apply the bounds of the service in force, None without one."""
        old, self.bounds = self.bounds, bounds
        if bounds is None:
            return
        slots = {"cold_slots": bounds.cold_slots, "max_slots": bounds.max_slots}
        if old is None or old.service != bounds.service:
            self.slow_start = new_slow_start(**slots, now=now)
        else:
            self.slow_start = with_bounds(self.slow_start, **slots)
        self._remember_configured_version()

    def apply_report(self, report: ev.EngineReported) -> None:
        """Apply a load report; reset the limit if the engine lost its state.

        A new incarnation means a restart. A sequence number that decreased
        means a restart or an emptied cache.
        """
        last = self.report
        restarted = last is not None and report.incarnation != last.incarnation
        sequence_decreased = last is not None and report.sequence < last.sequence
        if restarted or sequence_decreased:
            self.reset_to_cold(now=report.now)
        if restarted:
            self.model_version = ""
        self.report = report
        self.slow_start = evolve(self.slow_start, reported_cold=report.cold)
        if not self.model_version and not self.is_loading:
            self.model_version = report.model_version
            self._remember_configured_version()

    def reset_to_cold(self, *, now: float) -> None:
        """Reset the limit to the cold slots."""
        self.slow_start = reset_slow_start(self.slow_start, now=now)

    def raise_limit(self, *, epoch: int, now: float) -> None:
        """Raise the limit after a healthy completion of a request of `epoch`."""
        self.slow_start = raise_limit(
            self.slow_start, epoch=epoch, now=now, sends_reports=self.is_model
        )

    def record_slot_refusal(self, *, now: float) -> None:
        """Record that a request was refused because no slot was free."""
        self.slow_start = evolve(self.slow_start, last_slot_refusal_at=now)

    def forget_version(self, *, now: float) -> None:
        """Discard the loaded version after the engine answered with another one."""
        self.model_version = ""
        self.reset_to_cold(now=now)

    def record_loaded(self, version: str, *, now: float) -> None:
        """Record the version that was loaded for the current service."""
        self.is_loading = False
        self.model_version = version
        if version and self.bounds is not None:
            self._remember_version(version)
        self.reset_to_cold(now=now)

    def _remember_configured_version(self) -> None:
        if (
            self.bounds
            and self.model_version
            and self.model_version == self.bounds.model_version
        ):
            self._remember_version(self.model_version)

    def _remember_version(self, version: str) -> None:
        self._service_by_version.pop(version, None)
        self._service_by_version[version] = self.service
        if len(self._service_by_version) > MAX_REMEMBERED_VERSIONS:
            del self._service_by_version[next(iter(self._service_by_version))]
