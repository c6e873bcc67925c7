"""What gateways tell each other of backend servers."""

import structlog
from attrs import frozen

from eelgrassdale_gateway.model import Incarnation

log = structlog.get_logger(__name__)


@frozen(kw_only=True)
class Leaving:
    """A backend server said that it leaves, in a response at the time `heard_at`.

    Times are in seconds of the monotonic clock.
    """

    incarnation: Incarnation
    heard_at: float


@frozen(kw_only=True)
class RateLimit:
    """The requests a second that a backend server takes from all gateways together.

    `per_second` is None if a response named no limit any more.
    """

    incarnation: Incarnation
    per_second: float | None
    heard_at: float


Statement = Leaving | RateLimit


def log_news_of_others(statement: Statement) -> None:
    """Log what this gateway did not know before another one told it."""
    server, born = statement.incarnation
    match statement:
        case Leaving():
            log.info(
                "another gateway says that a backend server leaves",
                server=server,
                born=born,
            )
        case RateLimit(per_second=per_second):
            log.info(
                "another gateway says which limit a backend server has",
                server=server,
                born=born,
                per_second=per_second,
            )
