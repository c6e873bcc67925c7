"""Query the nodes of a deployment for the generation that they have in force."""

from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor

from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale.wire import Envelope, NodeConnection, NodeStatus, WireError

MAX_PARALLEL_CALLS = 32
CALL_TIMEOUT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.25
SENDER_NAME = "operator"


@frozen(kw_only=True)
class InForceReport:
    """Nodes at which a generation is in force, and those at which it is not.

    `in_force` and `unreachable` hold node names; `behind` gives the older
    generation of each node that is not up to date.

    Examples
    --------
    >>> report = InForceReport(
    ...     generation=3, in_force=("e1",), behind={"e2": 2}, unreachable=()
    ... )
    >>> report.is_complete
    False

    """

    generation: int
    in_force: tuple[str, ...]
    behind: Mapping[str, int]
    unreachable: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether every node was reached and has the generation in force."""
        return not self.behind and not self.unreachable


def read_statuses(addresses: Mapping[str, str]) -> dict[str, NodeStatus | None]:
    """Return the status of each node by name, None for one that cannot be reached.

    Parameters
    ----------
    addresses : Mapping[str, str]
        Node address (`host:port`) by node name.

    """
    if not addresses:
        return {}
    with ThreadPoolExecutor(max_workers=MAX_PARALLEL_CALLS) as pool:
        statuses = pool.map(_read_status, addresses.values())
        return dict(zip(addresses, statuses, strict=True))


def in_force_report(
    generation: int, statuses: Mapping[str, NodeStatus | None]
) -> InForceReport:
    """Report which of the nodes have `generation` or a later one in force.

    Examples
    --------
    >>> statuses = {"e1": NodeStatus(generation=4), "e2": None}
    >>> report = in_force_report(4, statuses)
    >>> report.in_force, report.unreachable
    (('e1',), ('e2',))

    """
    reached = {name: status for name, status in statuses.items() if status is not None}
    return InForceReport(
        generation=generation,
        in_force=_sorted_names(
            name for name, status in reached.items() if status.generation >= generation
        ),
        behind={
            name: status.generation
            for name, status in sorted(reached.items())
            if status.generation < generation
        },
        unreachable=_sorted_names(set(statuses) - set(reached)),
    )


def wait_in_force(
    generation: int,
    addresses: Mapping[str, str],
    *,
    clock: Clock,
    timeout_seconds: float,
) -> InForceReport:
    """Poll the nodes until all have `generation` or a later one in force.

    Returns the last report, which is incomplete if `timeout_seconds` pass
    first.
    """
    deadline = clock.monotonic() + timeout_seconds
    while True:
        report = in_force_report(generation, read_statuses(addresses))
        if report.is_complete or clock.monotonic() >= deadline:
            return report
        clock.sleep(POLL_INTERVAL_SECONDS)


def _read_status(address: str) -> NodeStatus | None:
    conn = NodeConnection(address=address)
    envelope = Envelope(
        sender=SENDER_NAME,
        incarnation=0,
        remaining_ms=int(CALL_TIMEOUT_SECONDS * 1000),
        traceparent="",
        generation=0,
    )
    try:
        return conn.call("status", envelope, timeout_seconds=CALL_TIMEOUT_SECONDS)
    except WireError:
        return None
    finally:
        conn.close()


def _sorted_names(names: Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted(names))
