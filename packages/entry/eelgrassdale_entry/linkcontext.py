"""What the tasks of all links of an entry node share."""

from collections.abc import Callable

from attrs import frozen

from eelgrassdale.clock import Clock
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.wire import Envelope
from eelgrassdale_entry.messages import AgentSilent, Attempt, AttemptEnded

# One second without an answer makes an agent suspect.
SILENCE_SECONDS = 1.0


@frozen(kw_only=True)
class LinkContext:
    """Shared services; `post` sends a message to the dispatcher."""

    clock: Clock
    metrics: Metrics
    monitor: InvariantMonitor
    post: Callable[[object], None]
    envelope: Callable[..., Envelope]

    def silent(self, agent: str, *, refused: bool) -> None:
        """Tell the dispatcher that an agent did not answer."""
        self.post(AgentSilent(agent=agent, refused=refused))

    def ended(
        self, attempt: Attempt, code: int, message: str = "", *, by_agent: bool = True
    ) -> None:
        """Tell the dispatcher how an attempt ended."""
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
