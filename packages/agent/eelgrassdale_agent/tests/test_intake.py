"""Tests of taking requests."""

from eelgrassdale.admission.events import Outcome
from eelgrassdale.clock import ManualClock
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.wire import CallRequest, Envelope
from eelgrassdale_agent.answers import BufferBudget
from eelgrassdale_agent.intake import Intake
from eelgrassdale_agent.streams import StreamTable


class Gate:
    """Refuses everything and keeps what it was told."""

    def is_model(self):
        return False

    def headroom(self):
        return None

    def apply(self, _kind, **values):
        self.values = values
        return Outcome(code=ResultCode.SERVER_BUSY)


def test_time_since_arrival_is_taken_off_the_deadline():
    # A process paused between arrival and admission must not run it late.
    clock, monitor, gate = ManualClock(), InvariantMonitor(metrics=Metrics()), Gate()
    clock.advance(seconds=5.0)
    intake = Intake(
        gate=gate,
        worker=None,
        streams=StreamTable(incarnation=1, clock=clock, monitor=monitor, max_streams=1),
        budget=BufferBudget(max_bytes=0, max_answers=0),
        kept_bytes=0,
        incarnation=1,
        clock=clock,
        metrics=Metrics(),
        monitor=monitor,
    )
    request = CallRequest(request_id="r", attempt=1, service_name="s", body=b"")
    envelope = Envelope(sender="e", incarnation=1, remaining_ms=3000)
    intake.submit(envelope, request, received=3.0)
    assert gate.values["remaining_ms"] == 1000
