"""What is known of one service in one data centre when its size is decided."""

from attrs import frozen

from eelgrassdale_gateway.model import Autoscaling


@frozen(kw_only=True)
class Subject:
    """A service in a data centre, whose number of backend servers is decided."""

    service: str
    data_centre: str


@frozen(kw_only=True)
class Counts:
    """Backend servers and requests of one subject.

    `slots_per_server` is the mean over the ready servers, or over the last ones if
    there are none, 0 if it is not known.
    `running` includes requests at draining servers: those that replace them go to
    ready ones.
    """

    ready_servers: int = 0
    draining_servers: int = 0
    slots_per_server: float = 0.0
    running: float = 0.0
    waiting: float = 0.0

    @property
    def demand(self) -> float:
        """Requests that run or wait."""
        return self.running + self.waiting


@frozen(kw_only=True)
class Order:
    """An order for a number of servers, and when it was first sent."""

    count: int
    ordered_at: float


@frozen(kw_only=True)
class Unconfirmed:
    """An order that was not confirmed, and when the next one may be sent.

    If it `may_have_run`, the same one is sent again.
    """

    count: int
    may_have_run: bool
    delay_seconds: float
    retry_at: float


@frozen(kw_only=True)
class Picture:
    """Everything on which the number of servers of one subject depends.

    Times are in monotonic seconds. `pending_servers` were ordered and are not listed
    yet. `expected_requests` is what the subject gets once it has its part of the load
    of a lost data centre. `late_share` is the share of requests placed too late for
    their objective, None if it is not known. `low_since` is since when utilisation
    has been low, or None. `missing_since` is since when fewer servers are listed than
    were ordered, or None.
    """

    bounds: Autoscaling
    counts: Counts
    pending_servers: int = 0
    expected_requests: float = 0.0
    late_share: float | None = None
    age_seconds: float = 0.0
    is_out: bool = False
    last_order: Order | None = None
    low_since: float | None = None
    missing_since: float | None = None
    is_reordered: bool = False
