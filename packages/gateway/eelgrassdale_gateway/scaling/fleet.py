"""Reads the fleet of services with autoscaling from the components of a gateway."""

from collections.abc import Callable, Collection
from statistics import median_low
from typing import Protocol

from attrs import define

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.loads import LoadTracker
from eelgrassdale_gateway.mirror import WATCH_TIMEOUT_SECONDS
from eelgrassdale_gateway.model import Autoscaling
from eelgrassdale_gateway.routingstate import RoutingState
from eelgrassdale_gateway.scaling.counting import count_subjects
from eelgrassdale_gateway.scaling.lateness import LateShares
from eelgrassdale_gateway.scaling.picture import Subject
from eelgrassdale_gateway.scaling.runner import Fleet
from eelgrassdale_gateway.scaling.waiting import WaitingRequests


class Reporter(Protocol):
    """A gateway whose load reports the pictures need."""

    is_leaving: bool

    def silence_seconds(self, now: float) -> float:
        """Return the time since it was last known to be alive."""
        ...


@define(kw_only=True)
class FleetReader:
    """Reads the fleet; `list_silence_seconds` is that of the copy of the store."""

    clock: Clock
    routing_state: RoutingState
    loads: LoadTracker
    waiting: WaitingRequests
    late_shares: LateShares
    peers: Callable[[], Collection[Reporter]]
    list_silence_seconds: Callable[[], float]
    _has_known_peers: bool = False

    def read(self, known: Collection[Subject]) -> Fleet | None:
        """Return the fleet, None if no service has autoscaling or nothing is known."""
        state = self.routing_state
        bounds = autoscaled_services(state)
        if not bounds or not state.has_servers:
            return None
        now = self.clock.monotonic()
        counts = count_subjects(
            bounds,
            state.servers.values(),
            requests_at=lambda server: self.loads.server_load(server, now=now).requests,
            waiting=self.waiting.combined(now=now),
            known=known,
            data_centres_out=state.data_centres_out,
        )
        return Fleet(
            bounds=bounds,
            counts=counts,
            data_centres_out=state.data_centres_out,
            late_shares=self.late_shares.shares(now=now),
            age_seconds=max(
                self._reports_age_seconds(now),
                # A watch without a change is answered after its time-out.
                self.list_silence_seconds() - WATCH_TIMEOUT_SECONDS,
            ),
        )

    def _reports_age_seconds(self, now: float) -> float:
        peers = self.peers()
        if not peers and self._has_known_peers:
            # All were forgotten after a long silence: this gateway is cut off.
            return float("inf")
        self._has_known_peers = bool(peers)
        return reports_age_seconds(peers, now)


def autoscaled_services(state: RoutingState) -> dict[str, Autoscaling]:
    """Return the bounds of the services that have autoscaling."""
    if state.table is None:
        return {}
    return {
        name: service.autoscaling
        for name, service in state.table.services.items()
        if service.autoscaling is not None
    }


def reports_age_seconds(peers: Collection[Reporter], now: float) -> float:
    """Return the age of the reports of the typical gateway.

    A gateway that is cut off from the others sees only its own requests. Silence of
    fewer than half of the gateways is a loss of these, whose load really moves.
    """
    silences = [peer.silence_seconds(now) for peer in peers if not peer.is_leaving]
    return max(0.0, median_low(silences)) if silences else 0.0
