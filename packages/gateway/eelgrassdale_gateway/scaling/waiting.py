"""Waiting requests of services with autoscaling, as gateways report them."""

from collections.abc import Callable, Collection, Mapping

from attrs import frozen

from eelgrassdale_gateway.loads import REPORT_TTL_SECONDS
from eelgrassdale_gateway.scaling.picture import Subject

# A report with more entries is cut: nothing else limits what a gateway keeps of it.
MAX_ENTRIES = 256


@frozen
class _Report:
    received_at: float
    counts: Mapping[Subject, int]


class WaitingRequests:
    """Waiting requests of this gateway, and the last reports of its peers.

    Parameters
    ----------
    data_centre : str
        Data centre of this gateway.
    read_own : callable
        Returns the waiting requests here, by service with autoscaling.
    """

    def __init__(
        self, *, data_centre: str, read_own: Callable[[], Mapping[str, int]]
    ) -> None:
        self._data_centre = data_centre
        self._read_own = read_own
        self._reports: dict[str, _Report] = {}

    def own(self) -> dict[Subject, int]:
        """Return the requests that wait at this gateway, without zeros."""
        return {
            Subject(service=service, data_centre=self._data_centre): count
            for service, count in self._read_own().items()
            if count
        }

    def record_report(
        self, peer: str, counts: Mapping[Subject, int], *, now: float
    ) -> None:
        """Replace the last report of a peer."""
        if counts:
            entries = list(counts.items())[:MAX_ENTRIES]
            self._reports[peer] = _Report(now, dict(entries))
        else:
            self._reports.pop(peer, None)

    def remove_peer(self, peer: str) -> None:
        """Remove the report of a peer that is gone."""
        self._reports.pop(peer, None)

    def combined(
        self, peers: Collection[str] | None = None, *, now: float
    ) -> dict[Subject, int]:
        """Return the sum over this gateway and the given peers, by default all."""
        total = self.own()
        for peer, report in self._reports.items():
            if now - report.received_at > REPORT_TTL_SECONDS:
                continue
            if peers is None or peer in peers:
                for subject, count in report.counts.items():
                    total[subject] = total.get(subject, 0) + max(count, 0)
        return total
