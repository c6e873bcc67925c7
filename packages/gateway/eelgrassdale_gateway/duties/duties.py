"""Builds the parts of the duties of one gateway and runs them."""

import asyncio
from collections.abc import Callable, Iterable

from eelgrassdale.clock import Clock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale_gateway.duties.cloudcalls import CloudCalls
from eelgrassdale_gateway.duties.dutystore import DutyKinds, DutyStore
from eelgrassdale_gateway.duties.exchange import Address, Candidate, CountExchange
from eelgrassdale_gateway.duties.lease import DutyPermit
from eelgrassdale_gateway.duties.leasekeeper import LeaseKeeper
from eelgrassdale_gateway.duties.reachability import WatchedCalls
from eelgrassdale_gateway.duties.reporter import UsageReporter
from eelgrassdale_gateway.duties.settings import MAX_CANDIDATES, DutySettings
from eelgrassdale_gateway.messages import DutyNotice
from eelgrassdale_gateway.telemetry import RequestTelemetry

RANK_KEY = "duties"

MakeCloudCalls = Callable[[Callable[[], DutyPermit | None]], CloudCalls]


class Duties:
    """The duties of one gateway.

    Parameters
    ----------
    make_cloud_calls : callable
        Returns the client for the cloud API; it gets `current_permit`.
    live_gateways : callable
        Returns the live gateways; this one has no address, and is left out while it
        stops.
    send : callable
        Sends a datagram to a gateway.
    """

    def __init__(
        self,
        *,
        cfg: DutySettings,
        name: str,
        incarnation: int,
        store: DutyStore,
        kinds: DutyKinds,
        make_cloud_calls: MakeCloudCalls,
        live_gateways: Callable[[], Iterable[Candidate]],
        send: Callable[[bytes, Address], None],
        clock: Clock,
        era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._live_gateways = live_gateways
        self.keeper = LeaseKeeper(
            cfg=cfg,
            store=store,
            kind=kinds.leases,
            holder=name,
            incarnation=incarnation,
            clock=clock,
            is_candidate=self._may_hold_lease,
            era=era,
        )
        self.cloud_calls = WatchedCalls(
            calls=make_cloud_calls(self.keeper.current_permit),
            current_permit=self.keeper.current_permit,
            clock=clock,
        )
        self.exchange: CountExchange | None = None
        self.reporter: UsageReporter | None = None
        if cfg.reports_usage:
            self.exchange = CountExchange(
                name=name,
                incarnation=incarnation,
                window_seconds=cfg.window_seconds,
                clock=clock,
                unix_seconds=lambda: clock.now().timestamp(),
                candidates=self.candidates,
                send=send,
            )
            self.reporter = UsageReporter(
                cfg=cfg,
                store=store,
                kind=kinds.usage_records,
                cloud=self.cloud_calls,
                current_permit=self.keeper.current_permit,
                exchange=self.exchange,
                clock=clock,
                era=era,
            )

    def current_permit(self) -> DutyPermit | None:
        """Return the permit if this gateway holds the lease now."""
        return self.keeper.current_permit()

    def candidates(self) -> list[Candidate]:
        """Return the first live gateways by rank, which alone may hold the lease."""
        gateways = {gateway.name: gateway for gateway in self._live_gateways()}
        order = rendezvous_order(key=RANK_KEY, members=gateways)
        return [gateways[name] for name in order[:MAX_CANDIDATES]]

    def on_new_era(self, old: int, new: int) -> None:
        """Apply a restoration of the store to all parts."""
        self.keeper.on_new_era(old, new)
        if self.reporter is not None:
            self.reporter.on_new_era(old, new)

    def handle_notice(self, notice: DutyNotice) -> None:
        """Apply a notice of another gateway."""
        if self.exchange is not None:
            self.exchange.handle(notice)

    def send_final_counts(self) -> None:
        """Send the counts once more, before the process ends."""
        if self.exchange is not None:
            self.exchange.send_final()

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.keeper.run())
            if self.exchange is not None and self.reporter is not None:
                group.create_task(self.exchange.run())
                group.create_task(self.reporter.run())

    def add_gauges(self, telemetry: RequestTelemetry) -> None:
        """Export what this gateway does as metrics."""
        telemetry.gauge(
            "duty_is_held",
            "1 while this gateway holds the lease of the duties.",
            lambda: float(self.current_permit() is not None),
        )
        telemetry.gauge(
            "duty_token",
            "Fencing token while this gateway holds the lease, else 0.",
            self._token,
        )
        telemetry.gauge(
            "duty_held_seconds",
            "Time for which this gateway has held the lease.",
            self.keeper.held_seconds,
        )
        reporter = self.reporter
        if reporter is None:
            return
        telemetry.gauge(
            "usage_windows_reported",
            "Windows whose usage report of this gateway was accepted.",
            lambda: reporter.reported_count,
        )
        telemetry.gauge(
            "usage_windows_late",
            "Those of them that were accepted too late.",
            lambda: reporter.late_count,
        )
        telemetry.gauge(
            "usage_windows_unknown",
            "Windows that this gateway did not report, for lack of their counts.",
            lambda: reporter.unknown_count,
        )

    def _may_hold_lease(self) -> bool:
        is_candidate = any(gateway.address is None for gateway in self.candidates())
        return is_candidate and not self.cloud_calls.has_stepped_back()

    def _token(self) -> int:
        permit = self.current_permit()
        return permit.token if permit else 0
