"""Counts the backend servers and the requests of each subject."""

from collections.abc import Callable, Collection, Iterable, Mapping

from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.scaling.picture import Counts, Subject


def count_subjects(
    services: Collection[str],
    servers: Iterable[BackendServer],
    *,
    requests_at: Callable[[str], int],
    waiting: Mapping[Subject, int],
    known: Collection[Subject] = (),
    data_centres_out: Collection[str] = (),
) -> dict[Subject, Counts]:
    """Return the counts of each subject that is listed or was known before.

    `requests_at` returns the requests at a backend server, `waiting` has the data
    centre of the gateways where requests wait. Where that one has no ready server of
    the service, those that have get them, in proportion to their slots.

    Examples
    --------
    >>> server = BackendServer(
    ...     id="s", service="m", address=("", 0), data_centre="a", region="", slots=4
    ... )
    >>> waiting = {Subject(service="m", data_centre="b"): 3}
    >>> count_subjects(
    ...     ["m"], [server], requests_at=lambda _: 2, waiting=waiting
    ... ).popitem()[1].demand
    5.0

    """
    by_subject: dict[Subject, list[BackendServer]] = {
        subject: [] for subject in known if subject.service in services
    }
    for server in servers:
        if server.service in services:
            subject = Subject(service=server.service, data_centre=server.data_centre)
            by_subject.setdefault(subject, []).append(server)
    capacities = {
        subject: float(_slots(listed))
        for subject, listed in by_subject.items()
        if subject.data_centre not in data_centres_out
    }
    waiting_at = _assign_waiting(waiting, capacities)
    return {
        subject: _counts(listed, requests_at, waiting_at.get(subject, 0.0))
        for subject, listed in by_subject.items()
    }


def _slots(servers: Iterable[BackendServer]) -> int:
    return sum(max(server.slots, 1) for server in servers if not server.is_leaving)


def _counts(
    servers: list[BackendServer], requests_at: Callable[[str], int], waiting: float
) -> Counts:
    ready = sum(not server.is_leaving for server in servers)
    return Counts(
        ready_servers=ready,
        draining_servers=len(servers) - ready,
        slots_per_server=_slots(servers) / ready if ready else 0.0,
        running=sum(requests_at(server.id) for server in servers),
        waiting=waiting,
    )


def _assign_waiting(
    waiting: Mapping[Subject, int], capacities: Mapping[Subject, float]
) -> dict[Subject, float]:
    """Return the waiting requests by the subject that should serve them."""
    assigned: dict[Subject, float] = {}
    for origin, count in waiting.items():
        targets = {origin: 1.0}
        if not capacities.get(origin):
            candidates = {
                subject: capacity
                for subject, capacity in capacities.items()
                if subject.service == origin.service
            }
            # With no ready server at all, each of them is asked for a part.
            targets = {s: c for s, c in candidates.items() if c} or dict.fromkeys(
                candidates, 1.0
            )
        total = sum(targets.values())
        for subject, capacity in targets.items():
            share = count * capacity / total
            assigned[subject] = assigned.get(subject, 0.0) + share
    return assigned
