"""Services that the tasks of all links of an entry node share."""

from collections.abc import Callable

from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.wire import Envelope
from eelgrassdale_entry.messages import AgentUnresponsive, Attempt, AttemptEnded

# An agent that does not answer within one second is treated as suspect.
RESPONSE_TIMEOUT_SECONDS = 1.0


@frozen(kw_only=True)
class LinkContext:
    """Shared services; `post` sends a message to the dispatcher."""

    clock: Clock
    metrics: Metrics
    monitor: InvariantMonitor
    post: Callable[[object], None]
    envelope: Callable[..., Envelope]

    def report_unresponsive(self, agent: str, *, refused: bool) -> None:
        """Report to the dispatcher that an agent did not answer."""
        self.post(AgentUnresponsive(agent=agent, refused=refused))

    def report_ended(
        self, attempt: Attempt, code: int, message: str = "", *, by_agent: bool = True
    ) -> None:
        """Report the outcome of an attempt to the dispatcher."""
        self.post(
            AttemptEnded(
                request_id=attempt.request.request_id,
                attempt=attempt.number,
                agent=attempt.agent,
                code=code,
                message=message,
                by_agent=by_agent,
            )
        )
