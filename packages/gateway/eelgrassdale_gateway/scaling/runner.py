"""Builds the pictures, decides, and sends the orders, each second while it may."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import structlog
from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.model import Autoscaling
from eelgrassdale_gateway.scaling.decision import (
    desired_servers,
    order_due,
    standing_servers,
)
from eelgrassdale_gateway.scaling.metrics import ScalingMetrics
from eelgrassdale_gateway.scaling.picture import Counts, Picture, Subject
from eelgrassdale_gateway.scaling.state import HolderState

INTERVAL_SECONDS = 1.0
# Longest time of a call; later it counts as one without a response.
ORDER_SECONDS = 2.0
# After a longer time between two decisions the process stood still. What it reads then
# was received before, however recent it seems.
MAX_STEP_SECONDS = 5.0
# Orders that are sent in one interval, the largest first, so that many subjects that
# change together stay within the rate of the cloud API.
MAX_ORDERS_PER_INTERVAL = 8

log = structlog.get_logger(__name__)

Permit = TypeVar("Permit")
OrderServers = Callable[[Permit, str, str, int], Awaitable[None]]


@frozen(kw_only=True)
class Fleet:
    """What the gateway knows of the services with autoscaling and their load."""

    bounds: Mapping[str, Autoscaling]
    counts: Mapping[Subject, Counts]
    data_centres_out: frozenset[str] = frozenset()
    late_shares: Mapping[str, float] = {}
    age_seconds: float = 0.0


class ScalingRunner:
    """Orders backend servers while this gateway holds the duty; not thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    read_fleet : callable
        Returns the fleet, given the subjects known so far; None if no service has
        autoscaling or nothing is known yet.
    current_permit : callable
        Returns the permit to send orders, or None.
    order_servers : callable
        Sends an order: permit, service, data centre and number of servers. An exception
        means that it was not confirmed. If its attribute `may_have_run` is false, the
        order was certainly not carried out.
    metrics : ScalingMetrics
        Metrics of the decisions.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        read_fleet: Callable[[frozenset[Subject]], Fleet | None],
        current_permit: Callable[[], Permit | None],
        order_servers: OrderServers,
        metrics: ScalingMetrics,
    ) -> None:
        self._clock = clock
        self._read_fleet = read_fleet
        self._current_permit = current_permit
        self._order_servers = order_servers
        self._metrics = metrics
        self._permit: Permit | None = None
        self._stepped_at: float | None = None
        self._state = HolderState()

    async def run(self) -> None:
        """Decide each second until cancelled."""
        while True:
            try:
                await self.step()
            except Exception:
                # The task that runs this would end the gateway, with all requests.
                log.exception("servers cannot be scaled")
            await asyncio.sleep(INTERVAL_SECONDS)

    async def step(self) -> None:
        """Decide once for all subjects and send the orders that follow."""
        if not self._follow_permit():
            return
        fleet = self._read_fleet(frozenset(self._state.subjects))
        if fleet is None:
            return
        now = self._clock.monotonic()
        pause_seconds = now - (self._stepped_at or now)
        self._stepped_at = now
        pictures = self._state.pictures(
            fleet.counts,
            fleet.bounds,
            data_centres_out=fleet.data_centres_out,
            late_shares=fleet.late_shares,
            age_seconds=(
                max(fleet.age_seconds, pause_seconds)
                if pause_seconds > MAX_STEP_SECONDS
                else fleet.age_seconds
            ),
            now=now,
        )
        due = []
        self._metrics.clear()
        for subject, picture in pictures.items():
            state = self._state.subjects[subject]
            desired = desired_servers(picture, now)
            self._metrics.record_subject(
                subject, desired=desired, missing=state.missing_servers
            )
            count = order_due(picture, state.unconfirmed, now)
            if count is not None:
                due.append((count - picture.counts.ready_servers, subject, count))
        due.sort(key=lambda order: order[0], reverse=True)
        orders = [
            self._order(subject, pictures[subject], count)
            for _, subject, count in due[:MAX_ORDERS_PER_INTERVAL]
        ]
        await asyncio.gather(*orders)

    def _follow_permit(self) -> bool:
        """Start anew if the permit changed; return whether there is one."""
        permit = self._current_permit()
        if permit != self._permit:
            log.info("scaling begins" if permit is not None else "scaling ends")
            self._permit = permit
            self._stepped_at = None
            self._state.clear()
            self._metrics.clear()
        return permit is not None

    async def _order(self, subject: Subject, picture: Picture, count: int) -> None:
        permit = self._current_permit()
        if permit is None or permit != self._permit:
            return
        state = self._state.subjects[subject]
        now = self._clock.monotonic()
        before = state.last_order
        _log_order(subject, picture, count, now)
        state.record_sending(count, now=now)
        self._metrics.record_order(subject)
        try:
            async with asyncio.timeout(ORDER_SECONDS):
                await self._order_servers(
                    permit, subject.service, subject.data_centre, count
                )
        except Exception as exc:
            may_have_run = getattr(exc, "may_have_run", True)
            state.record_failed(
                count,
                before=before,
                may_have_run=may_have_run,
                now=self._clock.monotonic(),
            )
            self._metrics.record_failed_order(subject)
            log.warning(
                "order for servers not confirmed",
                service=subject.service,
                data_centre=subject.data_centre,
                desired=count,
                may_have_run=may_have_run,
                retry_in=state.unconfirmed.delay_seconds,
                reason=repr(exc)[:200],
            )
        else:
            state.record_accepted()


def _log_order(subject: Subject, picture: Picture, count: int, now: float) -> None:
    counts = picture.counts
    log.info(
        "servers ordered",
        service=subject.service,
        data_centre=subject.data_centre,
        desired=count,
        before=standing_servers(picture, now),
        ready=counts.ready_servers,
        draining=counts.draining_servers,
        pending=picture.pending_servers,
        slots=round(counts.slots_per_server, 1),
        running=round(counts.running, 1),
        waiting=round(counts.waiting, 1),
        expected=round(picture.expected_requests, 1),
        late_share=picture.late_share,
        age=round(picture.age_seconds, 3),
    )
